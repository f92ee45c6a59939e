//! Chooses the copy that makes room for that of another model.

use super::{MIN_PRESSURE_RATIO, ModelCopy, Planner};
use crate::clock::Millis;

/// Share of an engine's slots that the open requests of each copy take up where a model
/// gets a place for a further copy from an idle model that has no other.
pub(super) const STRAINED_SHARE: f64 = 0.5;
/// How long no request must have arrived for a model that loses its last copy: all
/// gateways have reported their demand in this time.
const MIN_IDLE: Millis = Millis(1_000);
/// Cost of the last copy of an idle model, in open requests, beside the expected wait for
/// its return.
const LAST_COPY_COST: f64 = 1.0;
/// Cost of an unload that has to be followed by another one, in open requests.
const SECOND_UNLOAD_COST: f64 = 1.0;
/// Minimum time that a copy stays, unless a model without any copy needs the room.
const MIN_RESIDENCY: Millis = Millis(4_000);

/// The room for a model at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Room {
    /// There is room already.
    Free,
    /// There is once a model is unloaded.
    After {
        /// That model.
        victim: usize,
        /// What its copy is worth there, in open requests.
        cost: f64,
    },
}

/// Which copies may be replaced by that of another model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Victims {
    /// Those of models that keep another copy.
    Spare,
    /// Also the last ones of models that nobody asks for.
    Idle,
}

impl Planner<'_> {
    /// How another model fits at an engine; `None` if no copy there may be replaced.
    /// Requests wait for an urgent copy.
    pub(super) fn room_for(
        &self,
        model_idx: usize,
        engine_idx: usize,
        is_urgent: bool,
        victims: Victims,
    ) -> Option<Room> {
        let model = &self.spec.models[model_idx];
        let engine = &self.engines[engine_idx];
        let free = self.free_mb[engine_idx];
        if free >= model.weight_mb {
            return Some(Room::Free);
        }
        let new_pressure = self.pressure(model_idx, self.copies[model_idx] + 1);
        let mut best: Option<(f64, usize)> = None;
        let serving = engine.copies.iter().filter(|c| c.is_serving());
        for copy in serving.filter(|c| is_urgent || c.age >= MIN_RESIDENCY) {
            let Some(victim) = self.model_index(&copy.model) else {
                continue;
            };
            // A copy that is on its way does not serve yet.
            let is_last = self.serving[victim] < 2;
            let victim_pressure = match is_last {
                true if victims == Victims::Idle && self.may_yield(victim, copy) => {
                    LAST_COPY_COST + self.cost_of_return(victim)
                }
                true => continue,
                false => self.pressure(victim, self.copies[victim].saturating_sub(1)),
            };
            let strain = f64::from(engine.slots) * STRAINED_SHARE;
            let is_worth_it = match is_last {
                true if is_urgent => self.is_asked_for(model_idx),
                false if is_urgent => {
                    !self.is_scarce
                        || victim_pressure <= strain.max(self.mean_open_requests(model_idx))
                }
                true => new_pressure > strain,
                false => victim_pressure * MIN_PRESSURE_RATIO < new_pressure,
            };
            let fits = free + self.spec.models[victim].weight_mb >= model.weight_mb;
            // A copy whose unload alone does not free enough memory is chosen only if
            // its model has less than one open request on average.
            let is_allowed = is_worth_it && (fits || self.mean_open_requests(victim) < 1.0);
            // An unload waits for the requests that run there.
            let mut cost = victim_pressure + f64::from(copy.open_requests);
            if !fits {
                cost += SECOND_UNLOAD_COST;
            }
            if is_allowed && best.is_none_or(|(known, _)| cost < known) {
                best = Some((cost, victim));
            }
        }
        best.map(|(cost, victim)| Room::After { victim, cost })
    }

    /// Whether the last copy of a model may go: nobody asks for it.
    fn may_yield(&self, model_idx: usize, copy: &ModelCopy) -> bool {
        let demand = self.demand.get(model_idx);
        let is_idle = demand.is_some_and(|d| !d.is_asked_for() && d.idle_for >= MIN_IDLE);
        is_idle && copy.open_requests == 0
    }

    /// The requests that would wait for an idle model to be loaded again, if one arrives
    /// in as long a time as none has.
    fn cost_of_return(&self, model_idx: usize) -> f64 {
        let load_ms = self.spec.models[model_idx].load_time.0 as f64;
        let idle_for = self.demand.get(model_idx).map_or(0, |d| d.idle_for.0);
        load_ms / (idle_for as f64).max(1.0)
    }
}
