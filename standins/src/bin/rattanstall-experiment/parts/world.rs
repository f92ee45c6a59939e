//! Gateways, endpoints and callers in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::clock::Millis;
use rattanstall::direct::part_table::PartTable;
use rattanstall::direct::suspects::PartId;

use super::gateway::{Gateway, News};
use super::{Design, Outcome, Scenario};

/// The part that ends endpoints.
pub(super) const CRASHING: PartId = PartId(u64::MAX);
const FIRST_PARTS: u64 = 3;
const SECOND_PARTS: u64 = 352;
const SECOND_SKEW: f64 = 0.3;
const SLOTS: u64 = 48;
const MEAN_RUN_MS: u64 = 2_150;
/// When requests with the crashing part begin to come.
const CRASHING_FROM: u64 = 5_000;
/// How long after the fifth crash no more than three requests may reach endpoints.
const STABLE_WINDOW: u64 = 3_000;
/// How long a request with a suspect part is held back: until the requests before it
/// have ended endpoints or were answered, and then not all at once.
const HOLD_MS: Range<u64> = 150..650;
const MAX_ATTEMPTS: u8 = 3;

/// One request of a caller.
#[derive(Clone, Debug)]
pub(super) struct Request {
    parts: [PartId; 2],
    gateway: usize,
    /// Attempts at endpoints so far, and of the caller.
    attempts: u8,
    tries: u8,
    was_held: bool,
    is_under_way: bool,
}

impl Request {
    fn is_crashing(&self) -> bool {
        self.parts[1] == CRASHING
    }
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    SoundArrives,
    CrashingArrives,
    /// A request reaches its gateway, again or after it was held back.
    Admit(Request),
    UnderWay(u64),
    Ends(u64),
    /// An endpoint ends under the crashing part of this run.
    CrashedBy(u64),
    /// An endpoint ends for another reason.
    Killed(usize),
    ConnectionsReset,
    Restarts(usize),
    /// A gateway has found out that an endpoint ended.
    Seen(usize, u64, u64, Vec<PartId>),
    Flush(usize),
    Received(usize, Arc<Vec<News>>),
    /// A gateway says that it has seen parts answered, unless others have.
    Answered(usize, Vec<PartId>),
    Decide(usize),
    Publish(usize),
}

struct Run {
    endpoint: usize,
    request: Request,
}

#[derive(Default)]
struct Endpoint {
    is_up: bool,
    runs: BTreeSet<u64>,
}

pub(super) struct World {
    pub(super) scenario: Scenario,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    numbers: u64,
    pub(super) gateways: Vec<Gateway>,
    endpoints: Vec<Endpoint>,
    runs: BTreeMap<u64, Run>,
    crashes: u64,
    fifth: Option<u64>,
    /// When the next sound and the next crashing request arrive, in milliseconds.
    arrived: [f64; 2],
    seconds_by_weight: Vec<f64>,
    pub(super) outcome: Outcome,
}

impl World {
    pub(super) fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let gateways = (0..scenario.gateways).map(|_| Gateway::new(rng.random()));
        let mut total = 0.0;
        let weights = (1..=SECOND_PARTS).map(|rank| {
            total += (rank as f64).powf(-SECOND_SKEW);
            total
        });
        Self {
            scenario,
            gateways: gateways.collect(),
            rng,
            now: 0,
            queue: BTreeMap::new(),
            numbers: 0,
            endpoints: (0..scenario.endpoints)
                .map(|_| Endpoint {
                    is_up: true,
                    runs: BTreeSet::new(),
                })
                .collect(),
            runs: BTreeMap::new(),
            crashes: 0,
            fifth: None,
            arrived: [0.0; 2],
            seconds_by_weight: weights.collect(),
            outcome: Outcome::default(),
        }
    }

    pub(super) fn schedule(&mut self, delay: u64, event: Event) {
        self.numbers += 1;
        self.queue.insert((self.now + delay, self.numbers), event);
    }

    pub(super) fn run(mut self) -> Outcome {
        self.schedule(0, Event::SoundArrives);
        if self.scenario.crashing_per_s > 0 {
            self.schedule(CRASHING_FROM, Event::CrashingArrives);
        }
        if self.scenario.has_other_causes {
            self.plan_other_causes();
        }
        let end = self.scenario.seconds * 1_000;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.close()
    }

    /// Several times a part of all endpoints at once, some alone, all connections once.
    fn plan_other_causes(&mut self) {
        let end = self.scenario.seconds * 1_000;
        for _ in 0..3 {
            let at = self.rng.random_range(1_000..end);
            let share = self.rng.random_range(5..=20);
            let all = self.endpoints.len();
            let count = (all * share / 100).max(2);
            let first = self.rng.random_range(0..all);
            for index in 0..count {
                self.schedule(at, Event::Killed((first + index) % all));
            }
        }
        for _ in 0..8 {
            let at = self.rng.random_range(1_000..end);
            let endpoint = self.rng.random_range(0..self.endpoints.len());
            self.schedule(at, Event::Killed(endpoint));
        }
        let at = self.rng.random_range(1_000..end);
        self.schedule(at, Event::ConnectionsReset);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SoundArrives => self.sound_arrives(),
            Event::CrashingArrives => self.crashing_arrives(),
            Event::Admit(request) => self.admit(request),
            Event::UnderWay(run) => self.under_way(run),
            Event::Ends(run) => {
                if let Some(run_) = self.runs.remove(&run) {
                    self.endpoints[run_.endpoint].runs.remove(&run);
                }
            }
            Event::CrashedBy(run) => {
                if let Some(endpoint) = self.runs.get(&run).map(|r| r.endpoint) {
                    self.outcome.ended_by_part += 1;
                    if self.outcome.ended_by_part == 5 {
                        self.fifth = Some(self.now);
                    }
                    self.end(endpoint);
                }
            }
            Event::Killed(endpoint) => self.end(endpoint),
            Event::ConnectionsReset => {
                let all: Vec<u64> = self.runs.keys().copied().collect();
                for run in all {
                    self.break_off(run, false);
                }
            }
            Event::Restarts(endpoint) => self.endpoints[endpoint].is_up = true,
            Event::Seen(gateway, crash, at, parts) => self.seen(gateway, crash, at, &parts),
            Event::Flush(gateway) => self.flush(gateway),
            Event::Received(gateway, news) => self.receive(gateway, &news),
            Event::Answered(gateway, parts) => self.answered(gateway, &parts),
            Event::Decide(gateway) => self.decide(gateway),
            Event::Publish(gateway) => self.publish(gateway),
        }
    }

    /// The time from now to the next arrival of a source; fractions of a millisecond
    /// are carried over.
    fn pause(&mut self, source: usize, per_s: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        let next =
            self.arrived[source].max(self.now as f64) - (1.0 - uniform).ln() * 1_000.0 / per_s;
        self.arrived[source] = next;
        (next as u64).saturating_sub(self.now)
    }

    fn sound_arrives(&mut self) {
        let all = self.endpoints.len() as f64;
        let per_s = all * SLOTS as f64 / 3.0 * 1_000.0 / MEAN_RUN_MS as f64;
        let pause = self.pause(0, per_s);
        self.schedule(pause, Event::SoundArrives);
        let heaviest = self.seconds_by_weight[SECOND_PARTS as usize - 1];
        let drawn = self.rng.random::<f64>() * heaviest;
        let rank = self.seconds_by_weight.partition_point(|sum| *sum < drawn) as u64;
        let first = PartId(1 + self.rng.random_range(0..FIRST_PARTS));
        self.outcome.sound += 1;
        self.arrive([first, PartId(1_000 + rank)]);
    }

    fn crashing_arrives(&mut self) {
        let pause = self.pause(1, self.scenario.crashing_per_s as f64);
        self.schedule(pause, Event::CrashingArrives);
        self.arrive([PartId(1), CRASHING]);
    }

    fn arrive(&mut self, parts: [PartId; 2]) {
        let request = Request {
            parts,
            gateway: self.rng.random_range(0..self.gateways.len()),
            attempts: 0,
            tries: 1,
            was_held: false,
            is_under_way: false,
        };
        self.admit(request);
    }

    fn admit(&mut self, mut request: Request) {
        let now = Millis(self.now);
        let gateway = &self.gateways[request.gateway];
        if self.scenario.design != Design::Nothing {
            let is_blocked = |p: &PartId| gateway.lists.blocked.binary_search(p).is_ok();
            if request.parts.iter().any(is_blocked) {
                // Callers do not come again.
                self.outcome.refuse(&request.parts);
                return;
            }
            let is_suspect = |p: &PartId| {
                gateway.lists.watched.binary_search(p).is_ok()
                    && !gateway.table.is_repeatable(now, *p)
            };
            let holds = self.scenario.holds && !request.was_held;
            if holds && request.parts.iter().any(is_suspect) {
                request.was_held = true;
                self.outcome.held += 1;
                let delay = self.rng.random_range(HOLD_MS);
                return self.schedule(delay, Event::Admit(request));
            }
        }
        let Some(endpoint) = self.choose() else {
            return self.send_back(request);
        };
        self.start(request, endpoint);
    }

    /// The less busy of two endpoints that are up.
    fn choose(&mut self) -> Option<usize> {
        let up = |w: &mut Self| {
            (0..20)
                .map(|_| w.rng.random_range(0..w.endpoints.len()))
                .find(|at| w.endpoints[*at].is_up)
        };
        let (one, other) = (up(self)?, up(self)?);
        let busy = |at: usize| self.endpoints[at].runs.len();
        let chosen = [one, other].into_iter().min_by_key(|at| busy(*at))?;
        (busy(chosen) < SLOTS as usize).then_some(chosen)
    }

    fn start(&mut self, mut request: Request, endpoint: usize) {
        request.attempts += 1;
        self.numbers += 1;
        let run = self.numbers;
        let begins = self.rng.random_range(10..60);
        if request.is_crashing() {
            if self.fifth.is_some_and(|at| self.now > at + STABLE_WINDOW) {
                self.outcome.late_requests += 1;
            }
            self.schedule(begins + 50, Event::CrashedBy(run));
        } else {
            let takes = self.rng.random_range(300..4_000);
            let events = self.rng.random_range(60..160).min(takes);
            self.schedule(begins + events, Event::UnderWay(run));
            self.schedule(begins + takes, Event::Ends(run));
        }
        self.endpoints[endpoint].runs.insert(run);
        self.runs.insert(run, Run { endpoint, request });
    }

    fn under_way(&mut self, run: u64) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        run.request.is_under_way = true;
        let (gateway, parts) = (run.request.gateway, run.request.parts);
        self.outcome.began += u64::from(run.request.tries == 1);
        self.progressed(gateway, &parts);
    }

    /// An endpoint ends with all its runs.
    fn end(&mut self, endpoint: usize) {
        if !std::mem::replace(&mut self.endpoints[endpoint].is_up, false) {
            return;
        }
        self.crashes += 1;
        self.outcome.ended += 1;
        let back = self.rng.random_range(2_000..4_000);
        self.schedule(back, Event::Restarts(endpoint));
        let broken: Vec<u64> = self.endpoints[endpoint].runs.iter().copied().collect();
        let mut seen: BTreeMap<usize, Vec<PartId>> = BTreeMap::new();
        for run in broken {
            let request = &self.runs[&run].request;
            let parts = seen.entry(request.gateway).or_default();
            if !request.is_under_way {
                parts.extend(request.parts);
            }
            self.break_off(run, true);
        }
        let (crash, at) = (self.crashes, self.now);
        for (gateway, parts) in seen {
            // The run breaks off, then the endpoint's address refuses connections.
            let delay = self.rng.random_range(6..10);
            self.schedule(delay, Event::Seen(gateway, crash, at, parts));
        }
    }

    /// A run breaks off at its gateway.
    fn break_off(&mut self, run: u64, has_ended: bool) {
        let Some(broken) = self.runs.remove(&run) else {
            return;
        };
        self.endpoints[broken.endpoint].runs.remove(&run);
        let request = broken.request;
        if request.is_under_way {
            self.outcome.cut += 1;
            return;
        }
        let table: &PartTable = &self.gateways[request.gateway].table;
        let is_known = |p: &PartId| table.is_repeatable(Millis(self.now), *p);
        let is_repeated = self.scenario.design == Design::Nothing
            || !has_ended
            || request.parts.iter().all(is_known);
        if is_repeated && request.attempts < MAX_ATTEMPTS {
            return self.schedule(10, Event::Admit(request));
        }
        self.send_back(request);
    }

    /// A caller comes again once.
    fn send_back(&mut self, mut request: Request) {
        self.outcome.refuse(&request.parts);
        if request.tries > 1 {
            return;
        }
        request.tries += 1;
        request.attempts = 0;
        request.was_held = false;
        request.gateway = self.rng.random_range(0..self.gateways.len());
        let delay = self.rng.random_range(100..1_000);
        self.schedule(delay, Event::Admit(request));
    }
}
