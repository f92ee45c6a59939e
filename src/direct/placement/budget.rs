//! Limits loads from the weight store.

use crate::clock::Millis;
use crate::direct::document::EngineSpec;

/// Limits how many loads from the weight store start per second and run at once.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    /// Start times of the loads within the window.
    started_at: Vec<Millis>,
}

/// Fraction of the operator's rate that is used. A load starts at the engine later
/// than it was ordered, so a window can see more starts than orders.
const BUDGET_FRACTION: f64 = 0.9;

impl LoadBudget {
    /// Creates the budget of a new leader. The loads that its predecessor ordered are
    /// not known, so half of the allowance of a window counts as used.
    pub fn after_takeover(now: Millis, spec: &EngineSpec, window: Millis) -> Self {
        let allowance = Self::allowance(spec, window);
        Self {
            started_at: vec![now; allowance / 2],
        }
    }

    /// Number of loads that may start within a window.
    fn allowance(spec: &EngineSpec, window: Millis) -> usize {
        let window_s = window.as_duration().as_secs_f64();
        (spec.loads_per_s * window_s * BUDGET_FRACTION) as usize
    }

    /// Number of loads that may start now, given the number of pending loads.
    pub fn available(
        &mut self,
        now: Millis,
        spec: &EngineSpec,
        window: Millis,
        pending_loads: usize,
    ) -> usize {
        self.started_at.retain(|at| now.since(*at) <= window);
        let by_rate = Self::allowance(spec, window).saturating_sub(self.started_at.len());
        // Concurrent loads slow each other down, so no more run at once than may
        // start within the longest load time of any model.
        let longest_load_ms = spec
            .models
            .iter()
            .map(|m| m.load_time.0)
            .max()
            .unwrap_or(1_000);
        let max_concurrent = (spec.loads_per_s * longest_load_ms as f64 / 1_000.0).ceil() as usize;
        by_rate.min(max_concurrent.max(1).saturating_sub(pending_loads))
    }

    /// Records the start of a load.
    pub fn record_load(&mut self, now: Millis) {
        self.started_at.push(now);
    }
}
