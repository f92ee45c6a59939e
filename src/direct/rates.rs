//! Moving averages of what callers ask of one gateway.

use super::control::LocalUse;
use super::gossip::{ModelUsage, WorkspaceUsage};
use crate::clock::Millis;

/// Weight of the newest reading of a model's arrivals, for a memory of about a
/// second at four readings a second.
const WEIGHT: f64 = 0.25;
/// Weight of the newest reading of a limit's use, for a memory of three seconds:
/// one request may ask for as many tokens as a second's part.
const LIMIT_WEIGHT: f64 = 0.08;

/// Ended requests that weigh as much as all earlier ones in the average time.
const STEADY_ENDS: f64 = 10.0;
/// Time of a request before one has ended: a common answer of fifty events.
const DEFAULT_TOOK_MS: f64 = 1_000.0;

#[derive(Clone, Debug)]
struct ModelRate {
    one: ModelUsage,
    per_s: f64,
    took_ms: f64,
}

/// What callers ask for, a second.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    limits: Vec<WorkspaceUsage>,
    models: Vec<ModelRate>,
}

impl Rates {
    /// Takes in what was asked for in a span.
    pub fn note(&mut self, span: Millis, local: &LocalUse) {
        let span_s = span.as_duration().as_secs_f64().max(0.001);
        let limits = local.limits.iter().map(|usage| {
            let known = self.limits.iter();
            let before = known.filter(|u| u.workspace == usage.workspace);
            let before = before.map(|u| u.asked_per_s).sum::<u64>() as f64;
            let newest = (usage.used + usage.refused) as f64 / span_s;
            WorkspaceUsage {
                workspace: usage.workspace.clone(),
                level: usage.level,
                asked_per_s: (before * (1.0 - LIMIT_WEIGHT) + newest * LIMIT_WEIGHT) as u64,
            }
        });
        self.limits = limits.collect();
        for model in &mut self.models {
            model.per_s *= 1.0 - WEIGHT;
        }
        for newest in &local.demand {
            let known = self
                .models
                .iter_mut()
                .find(|m| m.one.model == newest.model && m.one.service == newest.service);
            let per_s = f64::from(newest.arrived) / span_s * WEIGHT;
            let ended = f64::from(newest.ended);
            let took_ms = newest.took.0 as f64 / ended.max(1.0);
            match known {
                Some(model) => {
                    model.per_s += per_s;
                    let weight = ended / (ended + STEADY_ENDS);
                    model.took_ms += (took_ms - model.took_ms) * weight;
                }
                None => self.models.push(ModelRate {
                    one: ModelUsage {
                        service: newest.service.clone(),
                        model: newest.model.clone(),
                        milli_per_s: 0,
                        took_ms: 0,
                    },
                    per_s,
                    took_ms: if newest.ended > 0 {
                        took_ms
                    } else {
                        DEFAULT_TOOK_MS
                    },
                }),
            }
        }
        for model in &mut self.models {
            model.one.milli_per_s = (model.per_s * 1_000.0) as u32;
            model.one.took_ms = model.took_ms as u32;
        }
        self.models.retain(|m| m.one.milli_per_s > 0);
    }

    /// Use of the workspaces' limits, by ascending workspace.
    pub fn limits(&self) -> &[WorkspaceUsage] {
        &self.limits
    }

    /// Demand by model.
    pub fn demand(&self) -> Vec<ModelUsage> {
        self.models.iter().map(|m| m.one.clone()).collect()
    }
}
