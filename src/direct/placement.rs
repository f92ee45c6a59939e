//! Which engine holds which model, decided from what is asked of each model.
//!
//! Every model keeps a copy that can be reached. Beyond that, memory goes to
//! the models with the most open requests for each copy, so that a model whose
//! demand rises gets further copies before its engines are full. A copy makes
//! way only if another one stays and the newcomer needs the room clearly more.

use compact_str::CompactString;

use super::document::{EngineSpec, ModelSpec};
use crate::clock::Millis;

/// Open requests for each copy above which a model gets another one: a batch
/// of a few requests runs nearly as fast as one alone.
const SCALE_UP_ABOVE: f64 = 2.0;
/// A copy makes way only for a model with this many times its pressure, or two
/// models would take turns at one place.
const MIN_PRESSURE_RATIO: f64 = 1.8;
/// The longest time of a request that counts: beyond it requests wait, and
/// would be counted for what the copies lack rather than for what they need.
const MAX_DURATION_S: f64 = 3.0;
/// A copy stays for at least this long, several times as long as it took to
/// bring it.
const MIN_RESIDENCY: Millis = Millis(4_000);

/// What callers ask of one model, over all gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests that arrive a second.
    pub per_s: f64,
    /// How long one takes, in seconds.
    pub mean_duration_s: f64,
}

impl Demand {
    /// Requests that are open on average (Little's law).
    pub fn mean_open_requests(&self) -> f64 {
        self.per_s * self.mean_duration_s.min(MAX_DURATION_S)
    }
}

/// A model at an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelCopy {
    /// The model.
    pub model: CompactString,
    /// Whether it is certainly there; a load or an unload may be under way.
    pub is_settled: bool,
    /// Whether it is being unloaded.
    pub is_leaving: bool,
    /// How long it has been there, as far as the leader knows.
    pub age: Millis,
    /// Requests that run there.
    pub open_requests: u32,
}

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its identifier.
    pub id: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Whether it takes orders now: it stays, answers, and has none under way.
    pub is_free: bool,
    /// Whether it takes new work.
    pub is_open: bool,
    /// Models that it holds or may hold.
    pub copies: Vec<ModelCopy>,
    /// Models that load without the weight store.
    pub local_models: Vec<CompactString>,
    /// Its open requests from all gateways.
    pub open_requests: u32,
    /// The model that a copy was told to make way for.
    pub reserved_for: Option<CompactString>,
}

impl Engine {
    /// Whether a copy of a model may be brought here now.
    fn can_take(&self, model: &str) -> bool {
        self.is_free && self.is_open && self.reserved_for.is_none() && !self.holds(model)
    }

    fn holds(&self, model: &str) -> bool {
        self.copies.iter().any(|c| c.model == model)
    }
}

/// One step towards a better placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: CompactString,
    /// The model.
    pub model: CompactString,
    /// Whether it is loaded; it is unloaded otherwise.
    pub is_load: bool,
    /// Whether the load comes from the weight store.
    pub is_from_store: bool,
    /// The model that an unload makes room for.
    pub makes_room_for: Option<CompactString>,
}

/// The inputs of one round of planning.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// What the engines are made of.
    pub spec: &'a EngineSpec,
    /// The engines.
    pub engines: &'a [Engine],
    /// Demand by model, in the order of the models.
    pub demand: &'a [Demand],
    /// Loads from the weight store that may begin now.
    pub store_loads: usize,
}

/// The moves that are to begin now, at most one for an engine.
pub fn plan(input: &PlanInput<'_>) -> Vec<Move> {
    let mut planner = Planner::new(input);
    planner.load_reserved();
    while let Some(model_idx) = planner.neediest() {
        if !planner.add_copy(model_idx) && !planner.relocate_for(model_idx) {
            planner.skipped[model_idx] = true;
        }
    }
    planner.moves
}

struct Planner<'a> {
    spec: &'a EngineSpec,
    engines: Vec<Engine>,
    demand: &'a [Demand],
    store_loads: usize,
    /// Copies by model, those on their way included.
    copies: Vec<usize>,
    skipped: Vec<bool>,
    moves: Vec<Move>,
}

impl<'a> Planner<'a> {
    fn new(input: &PlanInput<'a>) -> Self {
        let models = &input.spec.models;
        let copies = models.iter().map(|model| {
            let open = input.engines.iter().filter(|e| e.is_open);
            let copies = open.flat_map(|e| &e.copies);
            let there = copies.filter(|c| c.model == model.name && !c.is_leaving);
            let reserved = input.engines.iter().filter(|e| e.is_open);
            let reserved = reserved.filter(|e| e.reserved_for.as_ref() == Some(&model.name));
            there.count() + reserved.count()
        });
        Self {
            spec: input.spec,
            engines: input.engines.to_vec(),
            demand: input.demand,
            store_loads: input.store_loads,
            copies: copies.collect(),
            skipped: vec![false; models.len()],
            moves: Vec::new(),
        }
    }

    /// Loads the models that copies have made way for. Their places were counted
    /// when the copies were told to leave, which may be seconds ago.
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
            let has_room = free_mb(self.spec, engine) >= model.weight_mb;
            if has_room && (self.store_loads > 0 || !is_from_store) {
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

    /// Open requests for each copy, if a model had so many.
    fn pressure(&self, model_idx: usize, copies: usize) -> f64 {
        match copies {
            0 => f64::INFINITY,
            copies => self.mean_open_requests(model_idx) / copies as f64,
        }
    }

    /// The model that needs a copy most: those without any first, by demand.
    fn neediest(&self) -> Option<usize> {
        let candidates = (0..self.copies.len()).filter(|model_idx| {
            let copies = self.copies[*model_idx];
            let can_grow = copies < self.engines.len();
            let grows = copies == 0 || self.pressure(*model_idx, copies) > SCALE_UP_ABOVE;
            !self.skipped[*model_idx] && can_grow && grows
        });
        candidates.max_by(|a, b| {
            let rank = |model_idx: usize| {
                let pressure = self.pressure(model_idx, self.copies[model_idx]);
                (pressure, self.mean_open_requests(model_idx))
            };
            let (a, b) = (rank(*a), rank(*b));
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }

    /// Adds a copy where it costs least; false if there is no place.
    fn add_copy(&mut self, model_idx: usize) -> bool {
        let spec = self.spec;
        let Some(model) = spec.models.get(model_idx) else {
            return false;
        };
        let places = self.engines.iter().enumerate();
        let places = places.filter(|(_, e)| e.can_take(&model.name));
        let places = places.filter_map(|(engine_idx, engine)| {
            let is_from_store = !engine.local_models.contains(&model.name);
            if is_from_store && self.store_loads == 0 {
                return None;
            }
            let (victim, running) = self.victim_for(model_idx, model, engine)?;
            let mut cost = self.move_cost(model, engine, victim, is_from_store);
            // An unload waits for what runs there.
            cost += f64::from(running);
            Some((cost, engine_idx, victim))
        });
        let best = places.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, engine_idx, victim)) = best else {
            return false;
        };
        match victim {
            None => self.load(model_idx, engine_idx),
            Some(victim) => self.unload(victim, model_idx, engine_idx),
        }
        true
    }

    /// `Some(None)` if the model fits as it is, `Some(Some(_))` with the model
    /// that would make way, `None` if it cannot be placed there.
    fn victim_for(
        &self,
        model_idx: usize,
        model: &ModelSpec,
        engine: &Engine,
    ) -> Option<(Option<usize>, u32)> {
        let free = free_mb(self.spec, engine);
        if free >= model.weight_mb {
            return Some((None, 0));
        }
        let new_pressure = self.pressure(model_idx, self.copies[model_idx] + 1);
        let has_no_copy = self.copies[model_idx] == 0;
        let mut best: Option<(f64, usize, u32)> = None;
        let settled = engine
            .copies
            .iter()
            .filter(|c| c.is_settled && !c.is_leaving);
        for copy in settled.filter(|c| has_no_copy || c.age >= MIN_RESIDENCY) {
            let Some(victim) = self.model_index(&copy.model) else {
                continue;
            };
            let copies = self.copies[victim];
            if copies < 2 {
                continue;
            }
            let victim_pressure = self.pressure(victim, copies - 1);
            let fits = free + self.spec.models[victim].weight_mb >= model.weight_mb;
            let is_worth_it = has_no_copy || victim_pressure * MIN_PRESSURE_RATIO < new_pressure;
            // One that does not make enough room alone is taken only if it is idle.
            let is_allowed = is_worth_it && (fits || self.mean_open_requests(victim) < 1.0);
            let cost = victim_pressure + f64::from(copy.open_requests);
            if is_allowed && best.is_none_or(|(known, ..)| cost < known) {
                best = Some((cost, victim, copy.open_requests));
            }
        }
        best.map(|(_, victim, running)| (Some(victim), running))
    }

    /// Brings a second copy of a model elsewhere, so that its only copy can make
    /// way for a model that needs the room more; false if that gains nothing.
    fn relocate_for(&mut self, model_idx: usize) -> bool {
        let spec = self.spec;
        let Some(model) = spec.models.get(model_idx) else {
            return false;
        };
        if self.store_loads == 0 {
            return false;
        }
        let new_pressure = self.pressure(model_idx, self.copies[model_idx] + 1);
        let mut best: Option<(f64, usize, usize)> = None;
        for (from, engine) in self.engines.iter().enumerate() {
            if !engine.can_take(&model.name) {
                continue;
            }
            let free = free_mb(spec, engine);
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
        // The room is there in a later round.
        self.skipped[model_idx] = true;
        true
    }

    /// The engine that has just enough room for a model.
    fn best_fit(&self, model_idx: usize, except: usize) -> Option<usize> {
        let model = &self.spec.models[model_idx];
        let places = self.engines.iter().enumerate();
        let places =
            places.filter(|(engine_idx, e)| *engine_idx != except && e.can_take(&model.name));
        let places = places.map(|(engine_idx, e)| (free_mb(self.spec, e), engine_idx));
        let places = places.filter(|(free, _)| *free >= model.weight_mb);
        let best = places.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, engine_idx)| engine_idx)
    }

    /// Begins to load a model at an engine.
    fn load(&mut self, model_idx: usize, engine_idx: usize) {
        let model = &self.spec.models[model_idx];
        let engine = &mut self.engines[engine_idx];
        let is_from_store = !engine.local_models.contains(&model.name);
        self.copies[model_idx] += 1;
        self.store_loads -= usize::from(is_from_store).min(self.store_loads);
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

    /// Begins to unload a model at an engine, to make room for another one.
    fn unload(&mut self, victim: usize, for_model: usize, engine_idx: usize) {
        let engine = &mut self.engines[engine_idx];
        engine.is_free = false;
        self.copies[victim] -= 1;
        // The place is spoken for: counting it keeps this round and the next
        // ones from clearing a place for the same need again.
        self.copies[for_model] += 1;
        self.moves.push(Move {
            engine: engine.id.clone(),
            model: self.spec.models[victim].name.clone(),
            is_load: false,
            is_from_store: false,
            makes_room_for: Some(self.spec.models[for_model].name.clone()),
        });
    }

    fn move_cost(
        &self,
        model: &ModelSpec,
        engine: &Engine,
        victim: Option<usize>,
        is_from_store: bool,
    ) -> f64 {
        // In open requests: what the move takes away or puts at risk.
        let mut cost = f64::from(engine.open_requests) / 8.0;
        if let Some(victim) = victim {
            cost += 4.0 + self.pressure(victim, self.copies[victim].saturating_sub(1));
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

/// Memory left at an engine when every place for adapters is taken. Whatever
/// may be there counts, also what is about to leave.
pub fn free_mb(spec: &EngineSpec, engine: &Engine) -> f64 {
    let largest = spec.models.iter().map(|m| m.adapter_mb);
    let adapters = largest.fold(0.0, f64::max) * spec.adapter_slots as f64;
    let held = engine.copies.iter().filter_map(|c| spec.model(&c.model));
    let held: f64 = held.map(|m| m.weight_mb).sum();
    spec.weight_mb - adapters - held
}

/// How many loads from the weight store may begin.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    started: Vec<Millis>,
}

/// Part of the operator's rate that is used: a load begins at the engine later
/// than it was ordered.
const BUDGET_FRACTION: f64 = 0.9;

impl LoadBudget {
    /// A budget of a leader that has just taken over: what the one before it
    /// ordered is not known, so that a whole window counts as used.
    pub fn after_takeover(now: Millis, spec: &EngineSpec, window: Millis) -> Self {
        let allowance = Self::allowance(spec, window);
        Self {
            started: vec![now; allowance / 2],
        }
    }

    fn allowance(spec: &EngineSpec, window: Millis) -> usize {
        let window_s = window.as_duration().as_secs_f64();
        (spec.loads_per_s * window_s * BUDGET_FRACTION) as usize
    }

    /// Loads that may begin now, so many being under way.
    pub fn available(
        &mut self,
        now: Millis,
        spec: &EngineSpec,
        window: Millis,
        under_way: usize,
    ) -> usize {
        self.started.retain(|at| now.since(*at) <= window);
        let by_rate = Self::allowance(spec, window).saturating_sub(self.started.len());
        // Loads take longer the more are under way: no more at once than begin
        // within the time that one takes.
        let longest = spec.models.iter().map(|m| m.load.0).max().unwrap_or(1_000);
        let at_once = (spec.loads_per_s * longest as f64 / 1_000.0).ceil() as usize;
        by_rate.min(at_once.max(1).saturating_sub(under_way))
    }

    /// Notes a load that begins.
    pub fn record_load(&mut self, now: Millis) {
        self.started.push(now);
    }
}
