//! Moves the only copy of a model to an engine with room for it.

use super::{MIN_PRESSURE_RATIO, Planner};

impl Planner<'_> {
    /// Loads a second copy of a model elsewhere, so that its only copy can later be
    /// unloaded for a model with higher pressure. Returns false if no such move is
    /// worth it.
    pub(super) fn relocate_for(&mut self, model_idx: usize) -> bool {
        let spec = self.spec;
        let Some(model) = spec.models.get(model_idx) else {
            return false;
        };
        if self.store_loads == 0 || !self.is_asked_for(model_idx) {
            return false;
        }
        let new_pressure = self.pressure(model_idx, self.copies[model_idx] + 1);
        let mut best: Option<(f64, usize, usize)> = None;
        for (from, engine) in self.engines.iter().enumerate() {
            if !engine.can_take(&model.name) {
                continue;
            }
            let free = self.free_mb[from];
            let settled = engine
                .copies
                .iter()
                .filter(|c| c.is_settled && !c.is_leaving);
            for copy in settled {
                let Some(displaced) = self.model_index(&copy.model) else {
                    continue;
                };
                let fits = free + spec.models[displaced].weight_mb >= model.weight_mb;
                let is_worth_it =
                    self.mean_open_requests(displaced) * MIN_PRESSURE_RATIO < new_pressure;
                if self.copies[displaced] != 1 || !fits || !is_worth_it {
                    continue;
                }
                let Some(to) = self.best_fit(displaced, from) else {
                    continue;
                };
                let cost = f64::from(copy.open_requests) + self.mean_open_requests(displaced);
                if best.is_none_or(|(known, ..)| cost < known) {
                    best = Some((cost, displaced, to));
                }
            }
        }
        let Some((_, displaced, to)) = best else {
            return false;
        };
        self.load(displaced, to);
        // The room becomes available in a later round.
        self.skipped[model_idx] = true;
        true
    }

    /// The engine with the least free memory that still fits a model (best fit).
    fn best_fit(&self, model_idx: usize, except: usize) -> Option<usize> {
        let model = &self.spec.models[model_idx];
        let places = self.engines.iter().enumerate();
        let places =
            places.filter(|(engine_idx, e)| *engine_idx != except && e.can_take(&model.name));
        let places = places.map(|(engine_idx, _)| (self.free_mb[engine_idx], engine_idx));
        let places = places.filter(|(free, _)| *free >= model.weight_mb);
        let best = places.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, engine_idx)| engine_idx)
    }
}
