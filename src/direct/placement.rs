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
const GROW_ABOVE: f64 = 2.0;
/// A copy makes way only for a model with this many times its pressure, or two
/// models would take turns at one place.
const ADVANTAGE: f64 = 1.8;
/// The longest time of a request that counts: beyond it requests wait, and
/// would be counted for what the copies lack rather than for what they need.
const LONGEST_TOOK_S: f64 = 3.0;
/// A copy stays for at least this long, several times as long as it took to
/// bring it.
const MIN_STAY: Millis = Millis(4_000);

/// What callers ask of one model, over all gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests that arrive a second.
    pub per_s: f64,
    /// How long one takes, in seconds.
    pub took_s: f64,
}

impl Demand {
    /// Requests that are open on average (Little's law).
    pub fn weight(&self) -> f64 {
        self.per_s * self.took_s.min(LONGEST_TOOK_S)
    }
}

/// A model at an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Copy {
    /// The model.
    pub model: CompactString,
    /// Whether it is certainly there; a load or an unload may be under way.
    pub is_settled: bool,
    /// Whether it is being unloaded.
    pub is_leaving: bool,
    /// How long it has been there, as far as the leader knows.
    pub age: Millis,
    /// Requests that run there.
    pub open: u32,
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
    pub copies: Vec<Copy>,
    /// Models that load without the weight store.
    pub local_models: Vec<CompactString>,
    /// Its open requests from all gateways.
    pub open: u32,
    /// The model that a copy was told to make way for.
    pub awaits: Option<CompactString>,
}

impl Engine {
    /// Whether a copy of a model may be brought here now.
    fn takes(&self, model: &str) -> bool {
        self.is_free && self.is_open && self.awaits.is_none() && !self.holds(model)
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
pub struct Situation<'a> {
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
pub fn plan(situation: &Situation<'_>) -> Vec<Move> {
    let mut round = Round::new(situation);
    round.fill_cleared_places();
    while let Some(at) = round.neediest() {
        if !round.add_copy(at) && !round.relocate_for(at) {
            round.skipped[at] = true;
        }
    }
    round.moves
}

struct Round<'a> {
    spec: &'a EngineSpec,
    engines: Vec<Engine>,
    demand: &'a [Demand],
    store_loads: usize,
    /// Copies by model, those on their way included.
    copies: Vec<usize>,
    skipped: Vec<bool>,
    moves: Vec<Move>,
}

impl<'a> Round<'a> {
    fn new(situation: &Situation<'a>) -> Self {
        let models = &situation.spec.models;
        let copies = models.iter().map(|model| {
            let open = situation.engines.iter().filter(|e| e.is_open);
            let copies = open.flat_map(|e| &e.copies);
            let there = copies.filter(|c| c.model == model.name && !c.is_leaving);
            let awaiting = situation.engines.iter().filter(|e| e.is_open);
            let awaiting = awaiting.filter(|e| e.awaits.as_ref() == Some(&model.name));
            there.count() + awaiting.count()
        });
        Self {
            spec: situation.spec,
            engines: situation.engines.to_vec(),
            demand: situation.demand,
            store_loads: situation.store_loads,
            copies: copies.collect(),
            skipped: vec![false; models.len()],
            moves: Vec::new(),
        }
    }

    /// Loads the models that copies have made way for. Their places were counted
    /// when the copies were told to leave, which may be seconds ago.
    fn fill_cleared_places(&mut self) {
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            let awaited = engine
                .awaits
                .as_ref()
                .filter(|_| engine.is_free && engine.is_open);
            let Some(at) = awaited.and_then(|model| self.index_of(model)) else {
                continue;
            };
            let model = &self.spec.models[at];
            let is_from_store = !engine.local_models.contains(&model.name);
            let has_room = free_mb(self.spec, engine) >= model.weight_mb;
            if has_room && (self.store_loads > 0 || !is_from_store) {
                self.copies[at] -= 1;
                self.load(at, index);
            }
        }
    }

    fn weight(&self, at: usize) -> f64 {
        self.demand.get(at).map_or(0.0, Demand::weight)
    }

    /// Open requests for each copy, if a model had so many.
    fn pressure(&self, at: usize, copies: usize) -> f64 {
        match copies {
            0 => f64::INFINITY,
            copies => self.weight(at) / copies as f64,
        }
    }

    /// The model that needs a copy most: those without any first, by demand.
    fn neediest(&self) -> Option<usize> {
        let wanting = (0..self.copies.len()).filter(|at| {
            let copies = self.copies[*at];
            let can_grow = copies < self.engines.len();
            let grows = copies == 0 || self.pressure(*at, copies) > GROW_ABOVE;
            !self.skipped[*at] && can_grow && grows
        });
        wanting.max_by(|a, b| {
            let rank = |at: usize| {
                let pressure = self.pressure(at, self.copies[at]);
                (pressure, self.weight(at))
            };
            let (a, b) = (rank(*a), rank(*b));
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }

    /// Adds a copy where it costs least; false if there is no place.
    fn add_copy(&mut self, at: usize) -> bool {
        let spec = self.spec;
        let Some(model) = spec.models.get(at) else {
            return false;
        };
        let places = self.engines.iter().enumerate();
        let places = places.filter(|(_, e)| e.takes(&model.name));
        let places = places.filter_map(|(index, engine)| {
            let is_from_store = !engine.local_models.contains(&model.name);
            if is_from_store && self.store_loads == 0 {
                return None;
            }
            let (victim, running) = self.victim_for(at, model, engine)?;
            let mut cost = self.place_cost(model, engine, victim, is_from_store);
            // An unload waits for what runs there.
            cost += f64::from(running);
            Some((cost, index, victim))
        });
        let best = places.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, index, victim)) = best else {
            return false;
        };
        match victim {
            None => self.load(at, index),
            Some(victim) => self.unload(victim, at, index),
        }
        true
    }

    /// `Some(None)` if the model fits as it is, `Some(Some(_))` with the model
    /// that would make way, `None` if it cannot be placed there.
    fn victim_for(
        &self,
        at: usize,
        model: &ModelSpec,
        engine: &Engine,
    ) -> Option<(Option<usize>, u32)> {
        let free = free_mb(self.spec, engine);
        if free >= model.weight_mb {
            return Some((None, 0));
        }
        let newcomer = self.pressure(at, self.copies[at] + 1);
        let is_missing = self.copies[at] == 0;
        let mut best: Option<(f64, usize, u32)> = None;
        let settled = engine
            .copies
            .iter()
            .filter(|c| c.is_settled && !c.is_leaving);
        for copy in settled.filter(|c| is_missing || c.age >= MIN_STAY) {
            let Some(victim) = self.index_of(&copy.model) else {
                continue;
            };
            let copies = self.copies[victim];
            if copies < 2 {
                continue;
            }
            let left = self.pressure(victim, copies - 1);
            let fits = free + self.spec.models[victim].weight_mb >= model.weight_mb;
            let is_worth_it = is_missing || left * ADVANTAGE < newcomer;
            // One that does not make enough room alone is taken only if it is idle.
            let is_allowed = is_worth_it && (fits || self.weight(victim) < 1.0);
            let cost = left + f64::from(copy.open);
            if is_allowed && best.is_none_or(|(known, ..)| cost < known) {
                best = Some((cost, victim, copy.open));
            }
        }
        best.map(|(_, victim, running)| (Some(victim), running))
    }

    /// Brings a second copy of a model elsewhere, so that its only copy can make
    /// way for a model that needs the room more; false if that gains nothing.
    fn relocate_for(&mut self, at: usize) -> bool {
        let spec = self.spec;
        let Some(model) = spec.models.get(at) else {
            return false;
        };
        if self.store_loads == 0 {
            return false;
        }
        let newcomer = self.pressure(at, self.copies[at] + 1);
        let mut best: Option<(f64, usize, usize)> = None;
        for (from, engine) in self.engines.iter().enumerate() {
            if !engine.takes(&model.name) {
                continue;
            }
            let free = free_mb(spec, engine);
            let settled = engine
                .copies
                .iter()
                .filter(|c| c.is_settled && !c.is_leaving);
            for copy in settled {
                let Some(single) = self.index_of(&copy.model) else {
                    continue;
                };
                let fits = free + spec.models[single].weight_mb >= model.weight_mb;
                let is_worth_it = self.weight(single) * ADVANTAGE < newcomer;
                if self.copies[single] != 1 || !fits || !is_worth_it {
                    continue;
                }
                let Some(to) = self.tightest_place(single, from) else {
                    continue;
                };
                let cost = f64::from(copy.open) + self.weight(single);
                if best.is_none_or(|(known, ..)| cost < known) {
                    best = Some((cost, single, to));
                }
            }
        }
        let Some((_, single, to)) = best else {
            return false;
        };
        self.load(single, to);
        // The room is there in a later round.
        self.skipped[at] = true;
        true
    }

    /// The engine that has just enough room for a model.
    fn tightest_place(&self, at: usize, except: usize) -> Option<usize> {
        let model = &self.spec.models[at];
        let places = self.engines.iter().enumerate();
        let places = places.filter(|(index, e)| *index != except && e.takes(&model.name));
        let places = places.map(|(index, e)| (free_mb(self.spec, e), index));
        let places = places.filter(|(free, _)| *free >= model.weight_mb);
        let best = places.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, index)| index)
    }

    /// Begins to load a model at an engine.
    fn load(&mut self, at: usize, index: usize) {
        let model = &self.spec.models[at];
        let engine = &mut self.engines[index];
        let is_from_store = !engine.local_models.contains(&model.name);
        self.copies[at] += 1;
        self.store_loads -= usize::from(is_from_store).min(self.store_loads);
        engine.is_free = false;
        engine.copies.push(Copy {
            model: model.name.clone(),
            is_settled: false,
            is_leaving: false,
            age: Millis::ZERO,
            open: 0,
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
    fn unload(&mut self, victim: usize, for_model: usize, index: usize) {
        let engine = &mut self.engines[index];
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

    fn place_cost(
        &self,
        model: &ModelSpec,
        engine: &Engine,
        victim: Option<usize>,
        is_from_store: bool,
    ) -> f64 {
        // In open requests: what the move takes away or puts at risk.
        let mut cost = f64::from(engine.open) / 8.0;
        if let Some(victim) = victim {
            cost += 4.0 + self.pressure(victim, self.copies[victim].saturating_sub(1));
        }
        if is_from_store {
            cost += 3.0;
        }
        let holders = self.engines.iter().filter(|e| e.holds(&model.name));
        cost + holders.filter(|e| e.zone == engine.zone).count() as f64
    }

    fn index_of(&self, model: &str) -> Option<usize> {
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
    begun: Vec<Millis>,
}

/// Part of the operator's rate that is used: a load begins at the engine later
/// than it was ordered.
const USED_PART: f64 = 0.9;

impl LoadBudget {
    /// A budget of a leader that has just taken over: what the one before it
    /// ordered is not known, so that a whole window counts as used.
    pub fn used_up(now: Millis, spec: &EngineSpec, window: Millis) -> Self {
        let allowed = Self::allowed(spec, window);
        Self {
            begun: vec![now; allowed / 2],
        }
    }

    fn allowed(spec: &EngineSpec, window: Millis) -> usize {
        let window_s = window.as_duration().as_secs_f64();
        (spec.loads_per_s * window_s * USED_PART) as usize
    }

    /// Loads that may begin now, so many being under way.
    pub fn left(
        &mut self,
        now: Millis,
        spec: &EngineSpec,
        window: Millis,
        under_way: usize,
    ) -> usize {
        self.begun.retain(|at| now.since(*at) <= window);
        let by_rate = Self::allowed(spec, window).saturating_sub(self.begun.len());
        // Loads take longer the more are under way: no more at once than begin
        // within the time that one takes.
        let longest = spec
            .models
            .iter()
            .map(|m| m.load_time.0)
            .max()
            .unwrap_or(1_000);
        let at_once = (spec.loads_per_s * longest as f64 / 1_000.0).ceil() as usize;
        by_rate.min(at_once.max(1).saturating_sub(under_way))
    }

    /// Notes a load that begins.
    pub fn note(&mut self, now: Millis) {
        self.begun.push(now);
    }
}
