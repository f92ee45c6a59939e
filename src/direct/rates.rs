//! Moving averages of what callers ask of one gateway.

use super::control::LocalUse;
use super::gossip::{ModelUse, WorkspaceUse};
use crate::clock::Millis;

/// Weight of the newest reading, for a memory of about a second at four
/// readings a second.
const WEIGHT: f64 = 0.25;

#[derive(Clone, Debug)]
struct ModelRate {
    one: ModelUse,
    per_s: f64,
}

/// What callers ask for, a second.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    limits: Vec<WorkspaceUse>,
    models: Vec<ModelRate>,
}

impl Rates {
    /// Takes in what was asked for in a span.
    pub fn note(&mut self, span: Millis, local: &LocalUse) {
        let span_s = span.as_duration().as_secs_f64().max(0.001);
        let limits = local.asked.iter().map(|(workspace, tokens)| {
            let before = self.limits.iter().find(|u| u.workspace == *workspace);
            let before = before.map_or(0, |u| u.asked_per_s) as f64;
            let newest = *tokens as f64 / span_s;
            WorkspaceUse {
                workspace: workspace.clone(),
                asked_per_s: (before * (1.0 - WEIGHT) + newest * WEIGHT) as u64,
            }
        });
        self.limits = limits.collect();
        for model in &mut self.models {
            model.one.open = 0;
            model.per_s *= 1.0 - WEIGHT;
        }
        for newest in &local.demand {
            let known = self
                .models
                .iter_mut()
                .find(|m| m.one.model == newest.model && m.one.service == newest.service);
            let per_s = f64::from(newest.arrived) / span_s * WEIGHT;
            match known {
                Some(model) => {
                    model.one.open = newest.open;
                    model.per_s += per_s;
                }
                None => self.models.push(ModelRate {
                    one: ModelUse {
                        service: newest.service.clone(),
                        model: newest.model.clone(),
                        milli_per_s: 0,
                        open: newest.open,
                    },
                    per_s,
                }),
            }
        }
        for model in &mut self.models {
            model.one.milli_per_s = (model.per_s * 1_000.0) as u32;
        }
        self.models
            .retain(|m| m.one.milli_per_s > 0 || m.one.open > 0);
    }

    /// Use of the workspaces' limits, by ascending workspace.
    pub fn limits(&self) -> &[WorkspaceUse] {
        &self.limits
    }

    /// Demand by model.
    pub fn demand(&self) -> Vec<ModelUse> {
        self.models.iter().map(|m| m.one.clone()).collect()
    }
}
