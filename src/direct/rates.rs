//! Exponential moving averages of the usage and demand at one gateway.

use super::control::LocalUsage;
use super::gossip::{ModelUsage, WorkspaceUsage};
use crate::clock::Millis;

/// Smoothing factor of a model's arrival rate. At four readings a second it averages
/// over about one second.
const ARRIVAL_SMOOTHING: f64 = 0.25;
/// Smoothing factor of a limit's usage. It averages over about three seconds, since a
/// single request may need as many tokens as the share accrues in one second.
const LIMIT_SMOOTHING: f64 = 0.08;

/// Number of ended requests in one reading that have the same weight as all earlier
/// ones in the average duration.
const DURATION_SMOOTHING_REQUESTS: f64 = 10.0;
/// Duration that is assumed before the first request has ended: that of a typical
/// response with 50 events.
const DEFAULT_DURATION_MS: f64 = 1_000.0;

#[derive(Clone, Debug)]
struct ModelRate {
    usage: ModelUsage,
    per_s: f64,
    took_ms: f64,
}

/// Usage of limits and demand for models, per second.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    limits: Vec<WorkspaceUsage>,
    models: Vec<ModelRate>,
}

impl Rates {
    /// Adds the usage and demand of one span of time.
    pub fn record(&mut self, span: Millis, local: &LocalUsage) {
        let span_s = span.as_duration().as_secs_f64().max(0.001);
        let limits = local.limits.iter().map(|usage| {
            let known = self.limits.iter();
            let before = known.filter(|u| u.workspace == usage.workspace);
            let before = before.map(|u| u.asked_per_s).sum::<u64>() as f64;
            let newest = (usage.used + usage.refused) as f64 / span_s;
            WorkspaceUsage {
                workspace: usage.workspace.clone(),
                level: usage.level,
                asked_per_s: (before * (1.0 - LIMIT_SMOOTHING) + newest * LIMIT_SMOOTHING) as u64,
            }
        });
        self.limits = limits.collect();
        for model in &mut self.models {
            model.per_s *= 1.0 - ARRIVAL_SMOOTHING;
        }
        for newest in &local.demand {
            let known = self
                .models
                .iter_mut()
                .find(|m| m.usage.model == newest.model && m.usage.service == newest.service);
            let per_s = f64::from(newest.arrived) / span_s * ARRIVAL_SMOOTHING;
            let ended = f64::from(newest.ended);
            let took_ms = newest.took.0 as f64 / ended.max(1.0);
            match known {
                Some(model) => {
                    model.per_s += per_s;
                    let weight = ended / (ended + DURATION_SMOOTHING_REQUESTS);
                    model.took_ms += (took_ms - model.took_ms) * weight;
                }
                None => self.models.push(ModelRate {
                    usage: ModelUsage {
                        service: newest.service.clone(),
                        model: newest.model.clone(),
                        milli_per_s: 0,
                        took_ms: 0,
                    },
                    per_s,
                    took_ms: if newest.ended > 0 {
                        took_ms
                    } else {
                        DEFAULT_DURATION_MS
                    },
                }),
            }
        }
        for model in &mut self.models {
            model.usage.milli_per_s = (model.per_s * 1_000.0) as u32;
            model.usage.took_ms = model.took_ms as u32;
        }
        self.models.retain(|m| m.usage.milli_per_s > 0);
    }

    /// Usage of the workspaces' limits, sorted by workspace.
    pub fn limits(&self) -> &[WorkspaceUsage] {
        &self.limits
    }

    /// Demand by model.
    pub fn demand(&self) -> Vec<ModelUsage> {
        self.models.iter().map(|m| m.usage.clone()).collect()
    }
}
