//! Decides which engine holds which model, from the demand for each model.
//!
//! Models that are asked for get a copy each, those with the most demand first. The
//! remaining memory goes to the models with the most open requests per copy (their
//! pressure), so that a model with rising demand gets further copies before its engines
//! are full. What is left holds the models that nobody asks for now. A copy is replaced
//! if its model keeps another one and the pressure of the new model is clearly higher, or
//! if its model is not asked for: where there are more models than places, idle ones
//! yield, and are loaded again once they are asked for.

mod budget;
mod relocation;
mod victims;

use compact_str::CompactString;

use super::document::{EngineSpec, ModelSpec};
use crate::clock::Millis;

use victims::{Room, STRAINED_SHARE, Victims};

pub use budget::LoadBudget;

/// Open requests per copy above which a model gets another copy. A batch of a few
/// requests runs nearly as fast as a single request.
const SCALE_UP_ABOVE: f64 = 2.0;
/// A copy is replaced only by a model with more than this many times its pressure.
/// Otherwise two models would keep replacing each other.
const MIN_PRESSURE_RATIO: f64 = 1.8;
/// Upper bound of the request duration used for demand. Longer durations include
/// queueing, which reflects missing copies and not the work of the requests.
const MAX_DURATION_S: f64 = 3.0;
/// Demand for one model, from the callers of all gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests that arrive per second.
    pub per_s: f64,
    /// Mean duration of a request, in seconds.
    pub mean_duration_s: f64,
    /// How long no request has arrived; zero while some do.
    pub idle_for: Millis,
}

impl Demand {
    /// Mean number of open requests (Little's law).
    pub fn mean_open_requests(&self) -> f64 {
        self.per_s * self.mean_duration_s.min(MAX_DURATION_S)
    }

    /// Whether requests arrive.
    pub fn is_asked_for(&self) -> bool {
        self.per_s > 0.0
    }
}

/// A copy of a model at an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelCopy {
    /// The model.
    pub model: CompactString,
    /// Whether no load or unload of it is pending.
    pub is_settled: bool,
    /// Whether it is being unloaded or is hidden from requests.
    pub is_leaving: bool,
    /// Time since the leader ordered it; copies that it did not order count as old.
    pub age: Millis,
    /// Its open requests from all gateways.
    pub open_requests: u32,
}

impl ModelCopy {
    /// Whether requests can use it.
    fn is_serving(&self) -> bool {
        self.is_settled && !self.is_leaving
    }
}

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its identifier.
    pub id: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Whether it can be sent an order now: its report has been read, no order is
    /// pending, and it has not just rejected one.
    pub is_free: bool,
    /// Whether it takes new requests.
    pub is_open: bool,
    /// Models that it holds or may hold, pending loads included.
    pub copies: Vec<ModelCopy>,
    /// Models that it can load without the weight store.
    pub local_models: Vec<CompactString>,
    /// Its open requests from all gateways.
    pub open_requests: u32,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The model for which a copy here was unloaded or is being unloaded.
    pub reserved_for: Option<CompactString>,
}

impl Engine {
    /// Whether a copy of a model may be loaded here now.
    fn can_take(&self, model: &str) -> bool {
        self.is_free && self.is_open && self.reserved_for.is_none() && !self.holds(model)
    }

    fn holds(&self, model: &str) -> bool {
        self.copies.iter().any(|c| c.model == model)
    }
}

/// One load or unload towards a better placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: CompactString,
    /// The model.
    pub model: CompactString,
    /// Whether the move is a load; otherwise it is an unload.
    pub is_load: bool,
    /// Whether the load comes from the weight store.
    pub is_from_store: bool,
    /// The model that an unload makes room for.
    pub makes_room_for: Option<CompactString>,
}

/// The inputs of one planning round.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Memory, rates and models of the service's engines.
    pub spec: &'a EngineSpec,
    /// The engines.
    pub engines: &'a [Engine],
    /// Demand by model, in the order of the models.
    pub demand: &'a [Demand],
    /// Number of loads from the weight store that may start now.
    pub store_loads: usize,
    /// Copies that requests need at certain engines.
    pub required: &'a [RequiredCopy],
}

/// A model that must have a copy at one of a few engines, because streams that began
/// at their software version go on only there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequiredCopy {
    /// The model.
    pub model: CompactString,
    /// The engines.
    pub engines: Vec<CompactString>,
}

/// Returns the moves that should start now, at most one per engine.
pub fn plan(input: &PlanInput<'_>) -> Vec<Move> {
    let mut planner = Planner::new(input);
    planner.load_reserved();
    for required in input.required {
        planner.add_required(required);
    }
    while let Some(model_idx) = planner.neediest() {
        let is_served = match planner.is_scarce && planner.is_missing(model_idx) {
            true => planner.add_copy(model_idx, None, Victims::Idle),
            false => {
                planner.add_copy(model_idx, None, Victims::Spare)
                    || planner.relocate_for(model_idx)
                    || (planner.is_scarce && planner.add_copy(model_idx, None, Victims::Idle))
            }
        };
        if !is_served {
            planner.skipped[model_idx] = true;
        }
    }
    planner.moves
}

/// The state of one planning round.
struct Planner<'a> {
    spec: &'a EngineSpec,
    engines: Vec<Engine>,
    /// Free memory of each engine, in MB.
    free_mb: Vec<f64>,
    demand: &'a [Demand],
    store_loads: usize,
    /// Number of copies by model, including pending loads and reserved places.
    copies: Vec<usize>,
    /// Number of copies by model that requests can use now.
    serving: Vec<usize>,
    /// Whether the engines have fewer places than there are models.
    is_scarce: bool,
    /// The number of requests that an engine runs concurrently.
    slots: f64,
    /// Models for which nothing more can be done in this round.
    skipped: Vec<bool>,
    moves: Vec<Move>,
}

impl<'a> Planner<'a> {
    fn new(input: &PlanInput<'a>) -> Self {
        let models = &input.spec.models;
        let serving = models.iter().map(|model| {
            let open = input.engines.iter().filter(|e| e.is_open);
            let copies = open.flat_map(|e| &e.copies);
            let serving = copies.filter(|c| c.model == model.name && c.is_serving());
            serving.count()
        });
        let largest_mb = models.iter().map(|m| m.weight_mb).fold(0.0, f64::max);
        let places = (usable_mb(input.spec) / largest_mb.max(1.0)) as usize * input.engines.len();
        let copies = models.iter().map(|model| {
            let open = input.engines.iter().filter(|e| e.is_open);
            let copies = open.flat_map(|e| &e.copies);
            let loaded = copies.filter(|c| c.model == model.name && !c.is_leaving);
            let reserved = input.engines.iter().filter(|e| e.is_open);
            let reserved = reserved.filter(|e| e.reserved_for.as_ref() == Some(&model.name));
            loaded.count() + reserved.count()
        });
        Self {
            spec: input.spec,
            engines: input.engines.to_vec(),
            free_mb: input
                .engines
                .iter()
                .map(|engine| free_mb(input.spec, engine))
                .collect(),
            demand: input.demand,
            store_loads: input.store_loads,
            copies: copies.collect(),
            serving: serving.collect(),
            slots: f64::from(input.engines.iter().map(|e| e.slots).max().unwrap_or(1)),
            is_scarce: places < models.len(),
            skipped: vec![false; models.len()],
            moves: Vec::new(),
        }
    }

    /// Loads the models for which other copies have been unloaded. Their places were
    /// counted when the unload was ordered, possibly several rounds earlier.
    fn load_reserved(&mut self) {
        for engine_idx in 0..self.engines.len() {
            let engine = &self.engines[engine_idx];
            let reserved_model = engine
                .reserved_for
                .as_ref()
                .filter(|_| engine.is_free && engine.is_open);
            let Some(model_idx) = reserved_model.and_then(|model| self.model_index(model)) else {
                continue;
            };
            let model = &self.spec.models[model_idx];
            let is_from_store = !engine.local_models.contains(&model.name);
            if self.free_mb[engine_idx] < model.weight_mb {
                // What was unloaded may be listed for some time.
                if engine.copies.iter().any(|c| c.is_leaving) {
                    continue;
                }
                let room = self.room_for(model_idx, engine_idx, true, Victims::Idle);
                if let Some(Room::After { victim, .. }) = room {
                    self.copies[model_idx] -= 1;
                    self.unload(victim, model_idx, engine_idx);
                }
            } else if self.store_loads > 0 || !is_from_store {
                self.copies[model_idx] -= 1;
                self.load(model_idx, engine_idx);
            }
        }
    }

    fn mean_open_requests(&self, model_idx: usize) -> f64 {
        self.demand
            .get(model_idx)
            .map_or(0.0, Demand::mean_open_requests)
    }

    /// Mean open requests per copy if the model had this number of copies.
    fn pressure(&self, model_idx: usize, copies: usize) -> f64 {
        match copies {
            0 => f64::INFINITY,
            copies => self.mean_open_requests(model_idx) / copies as f64,
        }
    }

    /// The model that needs a copy most. Where all models fit into the engines, those without
    /// a copy come first. Otherwise those with the most open requests beyond what their copies
    /// bear do, then those under the most pressure, and those that nobody asks for last.
    fn neediest(&self) -> Option<usize> {
        let candidates = (0..self.copies.len()).filter(|model_idx| {
            let copies = self.copies[*model_idx];
            let can_grow = copies < self.engines.len();
            let needs_copy = copies == 0 || self.pressure(*model_idx, copies) > SCALE_UP_ABOVE;
            !self.skipped[*model_idx] && can_grow && needs_copy
        });
        candidates.max_by(|a, b| {
            let (a, b) = (self.need(*a), self.need(*b));
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }

    /// The open requests of a model that its copies can't bear, and its pressure.
    fn need(&self, model_idx: usize) -> (f64, f64) {
        let copies = self.copies[model_idx];
        let open = self.mean_open_requests(model_idx);
        if copies == 0 && !self.is_scarce {
            return (f64::INFINITY, open);
        }
        if !self.is_asked_for(model_idx) {
            return (0.0, 0.0);
        }
        if !self.is_scarce {
            return (0.0, self.pressure(model_idx, copies));
        }
        let unborne = open - copies as f64 * self.slots * STRAINED_SHARE;
        (unborne.max(0.0), self.pressure(model_idx, copies))
    }

    /// Whether requests arrive for a model without a copy.
    fn is_missing(&self, model_idx: usize) -> bool {
        self.copies[model_idx] == 0 && self.is_asked_for(model_idx)
    }

    fn is_asked_for(&self, model_idx: usize) -> bool {
        self.demand.get(model_idx).is_some_and(Demand::is_asked_for)
    }

    /// Adds a copy that streams need, unless one of the engines has it already.
    fn add_required(&mut self, required: &RequiredCopy) {
        let Some(model_idx) = self.model_index(&required.model) else {
            return;
        };
        let mut engines = self.engines.iter();
        let has_copy = engines.any(|engine| {
            let mut copies = engine.copies.iter().filter(|c| !c.is_leaving);
            let is_held = copies.any(|c| c.model == required.model);
            let is_reserved = engine.reserved_for.as_ref() == Some(&required.model);
            (is_held || is_reserved) && required.engines.contains(&engine.id)
        });
        if !has_copy {
            let _ = self.add_copy(model_idx, Some(required), Victims::Spare)
                || self.add_copy(model_idx, Some(required), Victims::Idle);
        }
    }

    /// Adds a copy at the engine with the lowest cost, one of the required engines if
    /// there are any. Returns false if no engine can take it.
    fn add_copy(
        &mut self,
        model_idx: usize,
        required: Option<&RequiredCopy>,
        victims: Victims,
    ) -> bool {
        let spec = self.spec;
        let Some(model) = spec.models.get(model_idx) else {
            return false;
        };
        let places = self.engines.iter().enumerate();
        let places = places.filter(|(_, e)| e.can_take(&model.name));
        let places = places.filter(|(_, e)| required.is_none_or(|r| r.engines.contains(&e.id)));
        let is_missing = self.copies[model_idx] == 0;
        let is_urgent =
            required.is_some() || (is_missing && (self.is_asked_for(model_idx) || !self.is_scarce));
        let places = places.filter_map(|(engine_idx, engine)| {
            let is_from_store = !engine.local_models.contains(&model.name);
            if is_from_store && self.store_loads == 0 {
                return None;
            }
            let room = self.room_for(model_idx, engine_idx, is_urgent, victims)?;
            let cost = self.move_cost(model, engine, &room, is_from_store);
            Some((cost, engine_idx, room))
        });
        let best = places.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, engine_idx, room)) = best else {
            return false;
        };
        match room {
            Room::Free => self.load(model_idx, engine_idx),
            Room::After { victim, .. } => self.unload(victim, model_idx, engine_idx),
        }
        true
    }

    /// Starts to load a model at an engine.
    fn load(&mut self, model_idx: usize, engine_idx: usize) {
        let model = &self.spec.models[model_idx];
        let engine = &mut self.engines[engine_idx];
        let is_from_store = !engine.local_models.contains(&model.name);
        self.copies[model_idx] += 1;
        self.store_loads -= usize::from(is_from_store).min(self.store_loads);
        self.free_mb[engine_idx] -= model.weight_mb;
        engine.is_free = false;
        engine.copies.push(ModelCopy {
            model: model.name.clone(),
            is_settled: false,
            is_leaving: false,
            age: Millis::ZERO,
            open_requests: 0,
        });
        self.moves.push(Move {
            engine: engine.id.clone(),
            model: model.name.clone(),
            is_load: true,
            is_from_store,
            makes_room_for: None,
        });
    }

    /// Starts to unload a model at an engine to make room for another one.
    fn unload(&mut self, victim: usize, for_model: usize, engine_idx: usize) {
        let engine = &mut self.engines[engine_idx];
        engine.is_free = false;
        self.copies[victim] = self.copies[victim].saturating_sub(1);
        self.serving[victim] = self.serving[victim].saturating_sub(1);
        // The place is reserved: counting it as a copy keeps this round and later
        // ones from clearing another place for the same model.
        self.copies[for_model] += 1;
        self.moves.push(Move {
            engine: engine.id.clone(),
            model: self.spec.models[victim].name.clone(),
            is_load: false,
            is_from_store: false,
            makes_room_for: Some(self.spec.models[for_model].name.clone()),
        });
    }

    /// The cost of adding a copy at an engine, in open requests that the move
    /// delays or puts at risk. Every copy in the same zone adds one.
    fn move_cost(
        &self,
        model: &ModelSpec,
        engine: &Engine,
        room: &Room,
        is_from_store: bool,
    ) -> f64 {
        let mut cost = f64::from(engine.open_requests) / 8.0;
        if let Room::After {
            cost: of_victim, ..
        } = room
        {
            cost += 4.0 + of_victim;
        }
        if is_from_store {
            cost += 3.0;
        }
        let holders = self.engines.iter().filter(|e| e.holds(&model.name));
        cost + holders.filter(|e| e.zone == engine.zone).count() as f64
    }

    fn model_index(&self, model: &str) -> Option<usize> {
        let models = &self.spec.models;
        models.binary_search_by(|m| m.name.as_str().cmp(model)).ok()
    }
}

/// Free memory of an engine, in MB, with all adapter slots taken. Every model that
/// may be there counts, including those being unloaded.
pub fn free_mb(spec: &EngineSpec, engine: &Engine) -> f64 {
    let held = engine.copies.iter().filter_map(|c| spec.model(&c.model));
    let held: f64 = held.map(|m| m.weight_mb).sum();
    usable_mb(spec) - held
}

/// Memory of an engine for models, in MB, with all adapter slots taken.
fn usable_mb(spec: &EngineSpec) -> f64 {
    let largest = spec.models.iter().map(|m| m.adapter_mb);
    spec.weight_mb - largest.fold(0.0, f64::max) * spec.adapter_slots as f64
}
