//! Gateways before engines that run a bounded number of requests at once, without network. Each
//! gateway knows the requests of the others by reports that are some hundred milliseconds old.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::clock::Millis;
use rattanstall::direct::balance::{candidates, choose};
use rattanstall::direct::dialect::Registration;
use rattanstall::direct::fleet::{EndpointKey, Fleet, FleetCell, InFlight};
use rattanstall::direct::request::ModelRef;
use rattanstall::direct::view::{Load, LoadTable, View, load_of, model_hash};

use crate::criteria;
use crate::open_endpoint::open;
use crate::registration::registration;

const DURATION_MS: u64 = 8_000;
/// Requests that arrive earlier are not counted.
const WARM_UP_MS: u64 = 3_000;
/// Interval at which gateways report their requests, and the age of a report that arrives.
const REPORT_MS: u64 = 100;
const REPORT_AGE_MS: u64 = 150;
/// Requests that an engine queues, for each that it runs.
const QUEUED_PER_SLOT: usize = 2;

/// A deployment and its load.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub gateways: usize,
    pub engines: usize,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Time from the first event of a response to its end.
    pub run_ms: u64,
    pub prompt_tokens: u32,
    /// Time in which an engine reads a prompt.
    pub read_ms: u64,
    /// Target for the time to the first event.
    pub target_ms: u64,
    /// Requests that arrive, as a multiple of what the engines can run.
    pub load: f64,
    /// Gateways that know nothing of the others, nor these of them.
    pub cut_off: usize,
    pub seed: u64,
}

/// What became of the requests that arrived after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub arrived: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

#[derive(Clone, Debug)]
struct Request {
    arrived: u64,
    number: usize,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    /// The number of requests that run.
    running: u32,
    queue: VecDeque<Request>,
    /// When the prompts that are read now have been read.
    reads_until: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Begins,
    Ends,
}

struct World {
    scenario: Scenario,
    engines: Vec<Engine>,
    steps: BTreeMap<u64, Vec<(Step, usize, Request)>>,
    outcome: Outcome,
}

impl World {
    fn new(scenario: Scenario) -> Self {
        Self {
            scenario,
            engines: vec![Engine::default(); scenario.engines],
            steps: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// When a request that arrives at an engine now would begin, by what the engine knows.
    fn start_at(&self, now: u64, engine: usize) -> u64 {
        let s = &self.scenario;
        let state = &self.engines[engine];
        let ahead = (state.running + state.queue.len() as u32 + 1).saturating_sub(s.slots);
        let wait = u64::from(ahead) * (s.run_ms + s.read_ms) / u64::from(s.slots);
        (now + wait).max(state.reads_until) + s.read_ms
    }

    /// A request arrives at an engine. Returns whether the engine takes it.
    fn send(&mut self, now: u64, engine: usize, req: Request) -> bool {
        if self.engines[engine].running < self.scenario.slots {
            self.run(now, engine, req);
            return true;
        }
        let queue = &mut self.engines[engine].queue;
        let is_taken = queue.len() < self.scenario.slots as usize * QUEUED_PER_SLOT;
        if is_taken {
            queue.push_back(req);
        }
        is_taken
    }

    fn run(&mut self, now: u64, engine: usize, req: Request) {
        let state = &mut self.engines[engine];
        state.running += 1;
        state.reads_until = state.reads_until.max(now) + self.scenario.read_ms;
        let steps = self.steps.entry(state.reads_until).or_default();
        steps.push((Step::Begins, engine, req));
    }

    /// Carries out what happens now. Returns the requests that began and those that ended.
    fn advance(&mut self, now: u64) -> Vec<(Step, Request)> {
        let mut done = Vec::new();
        for (step, engine, req) in self.steps.remove(&now).unwrap_or_default() {
            match step {
                Step::Begins => {
                    let ends = self.steps.entry(now + self.scenario.run_ms).or_default();
                    ends.push((Step::Ends, engine, req.clone()));
                    self.count(req.arrived, |outcome, target| {
                        match now - req.arrived <= target {
                            true => outcome.in_time += 1,
                            false => outcome.late += 1,
                        }
                    });
                }
                Step::Ends => {
                    self.engines[engine].running -= 1;
                    if let Some(next) = self.engines[engine].queue.pop_front() {
                        self.run(now, engine, next);
                    }
                }
            }
            done.push((step, req));
        }
        done
    }

    fn count(&mut self, arrived: u64, work: impl FnOnce(&mut Outcome, u64)) {
        if (WARM_UP_MS..DURATION_MS).contains(&arrived) {
            work(&mut self.outcome, self.scenario.target_ms);
        }
    }

    /// The number of requests that arrive in a millisecond.
    fn arrivals(&self, rng: &mut ChaCha8Rng) -> usize {
        let s = &self.scenario;
        let per_engine = f64::from(s.slots) / (s.run_ms + s.read_ms) as f64;
        let capacity = per_engine.min(1.0 / s.read_ms as f64) * s.engines as f64;
        let expected = capacity * s.load;
        let draws = 16;
        let mut drawn = (0..draws).map(|_| rng.random_bool((expected / f64::from(draws)).min(1.0)));
        drawn.by_ref().filter(|is_one| *is_one).count()
    }
}

/// Plays a scenario with a scheduler that knows everything: it sends each request where it
/// begins first, or nowhere if it would be late.
pub fn play_omniscient(scenario: Scenario) -> Outcome {
    let mut world = World::new(scenario);
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    for now in 0..DURATION_MS + 2 * scenario.target_ms {
        world.advance(now);
        if now >= DURATION_MS {
            continue;
        }
        for _ in 0..world.arrivals(&mut rng) {
            world.count(now, |outcome, _| outcome.arrived += 1);
            let engines = 0..scenario.engines;
            let best = engines.min_by_key(|engine| world.start_at(now, *engine));
            let best = best.expect("an engine");
            let is_late = world.start_at(now, best) > now + scenario.target_ms;
            let req = Request {
                arrived: now,
                number: 0,
            };
            if is_late || !world.send(now, best, req) {
                world.count(now, |outcome, _| outcome.refused += 1);
            }
        }
    }
    world.outcome
}

fn engine_id(number: usize) -> CompactString {
    format_compact!("e{number:04}")
}

fn fleet(scenario: &Scenario) -> FleetCell {
    let engine = |n: usize| {
        open(Registration {
            slots: scenario.slots,
            ..registration(&engine_id(n), 1, &["m"])
        })
    };
    let fleet = FleetCell::default();
    fleet.borrow_mut().sync(&View {
        generation: 1,
        endpoints: (0..scenario.engines).map(engine).collect(),
        ..View::default()
    });
    fleet
}

fn key_of(fleet: &Fleet, id: &str) -> EndpointKey {
    let mut found = fleet.iter().filter(|(_, e)| e.view.registration.id == id);
    found.next().expect("the engine").0
}

/// Plays a scenario with the gateways' choice of engines.
pub fn play(scenario: Scenario) -> Outcome {
    let mut world = World::new(scenario);
    let mut arriving = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed + 1);
    let fleets: Vec<FleetCell> = (0..scenario.gateways).map(|_| fleet(&scenario)).collect();
    let known: Rc<RefCell<Vec<LoadTable>>> =
        Rc::new(RefCell::new(vec![LoadTable::new(); scenario.gateways]));
    let mut reports: VecDeque<(u64, Vec<LoadTable>)> = VecDeque::new();
    let mut open_requests: BTreeMap<usize, InFlight> = BTreeMap::new();
    let model = ModelRef {
        model: "m".into(),
        adapter: None,
    };
    let mut number = 0;
    for now in 0..DURATION_MS + 2 * scenario.target_ms {
        for (step, req) in world.advance(now) {
            match step {
                Step::Begins => {
                    if let Some(in_flight) = open_requests.get_mut(&req.number) {
                        crate::begin(in_flight, Millis(now));
                    }
                }
                Step::Ends => {
                    if let Some(in_flight) = open_requests.remove(&req.number) {
                        crate::end(in_flight, Millis(now));
                    }
                }
            }
        }
        if now % REPORT_MS == 0 {
            let own = fleets
                .iter()
                .map(|f| crate::loads(&f.borrow(), Millis(now)));
            reports.push_back((now + REPORT_AGE_MS, own.collect()));
        }
        while reports.front().is_some_and(|(at, _)| *at <= now) {
            let (_, own) = reports.pop_front().expect("a report");
            *known.borrow_mut() = others(&scenario, &own);
        }
        if now >= DURATION_MS {
            continue;
        }
        for _ in 0..world.arrivals(&mut arriving) {
            world.count(now, |outcome, _| outcome.arrived += 1);
            number += 1;
            let gateway = rng.random_range(0..scenario.gateways);
            let fleet = &fleets[gateway];
            let load = Load {
                requests: 1,
                unread_tokens: scenario.prompt_tokens,
                tokens: scenario.prompt_tokens,
                ..Load::default()
            };
            let seed = rng.random_range(0..u64::MAX);
            let per_s = fleet
                .borrow_mut()
                .record_arrival(Millis(now), model_hash(&model.model));
            let id = {
                let fleet = fleet.borrow();
                let criteria = criteria(&model, &scenario, &fleet, per_s, seed);
                let known = known.borrow();
                let mut found = candidates(Millis(now), &fleet, &known[gateway], &criteria);
                found.retain(|c| !criteria.is_full(c));
                let is_admitted = criteria.admits(&found, rng.random_range(0.0..1.0));
                let chosen = choose(&criteria, &found).filter(|_| is_admitted);
                chosen.map(|c| c.view.registration.id.clone())
            };
            let req = Request {
                arrived: now,
                number,
            };
            let is_sent = id.is_some_and(|id| {
                let key = key_of(&fleet.borrow(), &id);
                let in_flight = InFlight::start(fleet, key, load, Millis(now));
                let engine = id[1..].parse().expect("its number");
                let is_taken = world.send(now, engine, req);
                if is_taken {
                    open_requests.insert(number, in_flight);
                }
                is_taken
            });
            if !is_sent {
                world.count(now, |outcome, _| outcome.refused += 1);
            }
        }
    }
    world.outcome
}

/// What each gateway knows of the others, by their reports.
fn others(scenario: &Scenario, own: &[LoadTable]) -> Vec<LoadTable> {
    let knowing = own.len() - scenario.cut_off;
    let tables = (0..own.len()).map(|gateway| {
        if gateway >= knowing {
            return LoadTable::new();
        }
        let engines = (0..scenario.engines).map(|engine| {
            let id = engine_id(engine);
            let mut sum = Load::default();
            for (other, table) in own[..knowing].iter().enumerate() {
                if other != gateway {
                    sum.add(&load_of(table, &id));
                }
            }
            (id, sum)
        });
        engines.collect()
    });
    tables.collect()
}
