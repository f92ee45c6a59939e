//! Gateways in virtual time that collect evidence of parts that end endpoints, and
//! what is checked of their decisions.

use std::collections::BTreeMap;

use compact_str::format_compact;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng as _};
use rattanstall::clock::Millis;
use rattanstall::direct::suspects::{Block, CrashId, CrashReport, Evidence, PartId, PartProgress};

/// Time between two decisions of a gateway.
const TICK: Millis = Millis(20);
/// Time between two exchanges of all evidence.
const EXCHANGE_INTERVAL: Millis = Millis(500);
/// A gateway does not name parts that it saw answered this shortly before.
const PROOF_LIFETIME: Millis = Millis(1_000);
/// How long a gateway remembers that it saw a part answered.
const ANSWER_MEMORY: Millis = Millis(60_000);
/// The longest time that a message takes.
const SLOWEST_MESSAGE: Millis = Millis(100);
/// Crashes closer to each other count as one at first.
const MOMENT: Millis = Millis(10);

/// Draws a number below the limit.
pub fn draw(rng: &mut ChaCha8Rng, limit: u64) -> u64 {
    rng.next_u64() % limit
}

/// A report of the end of an endpoint's run.
pub fn report(run: u64, age: Millis, parts: &[PartId]) -> CrashReport {
    CrashReport {
        id: CrashId(run),
        endpoint: format_compact!("e{run}"),
        version: "1".into(),
        age,
        parts: parts.to_vec(),
    }
}

/// An endpoint that ended.
#[derive(Clone, Debug)]
pub struct Ending {
    pub at: Millis,
    /// The part that ended it, if one did.
    pub by: Option<PartId>,
}

/// A part that became blocked or unblocked at a gateway.
#[derive(Clone, Debug)]
pub struct Change {
    pub at: Millis,
    pub gateway: usize,
    pub part: PartId,
    pub is_blocked: bool,
}

/// What happened, for the checks.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub gateways: usize,
    pub endings: Vec<Ending>,
    pub changes: Vec<Change>,
}

impl History {
    /// All gateways block a part in time after the third crash that counts, and for good.
    /// It counts once it comes too late to have the first one's cause.
    pub fn check_blocked_after_three(&self, part: PartId, bound: Millis) -> Result<(), String> {
        let times = self.endings.iter().filter(|e| e.by == Some(part));
        let mut times: Vec<Millis> = times.map(|e| e.at).collect();
        times.sort_unstable();
        let moments: Vec<&[Millis]> = times.chunk_by(|a, b| b.since(*a) <= MOMENT).collect();
        let mut counted = moments.iter().skip(2);
        let Some(third) =
            counted.find(|m| m[0].since(times[0]) > SLOWEST_MESSAGE + MOMENT + MOMENT + MOMENT)
        else {
            return Err(format!("{part:?} ended too few endpoints for a check"));
        };
        let due = third[0] + bound;
        for gateway in 0..self.gateways {
            let mut changes = self
                .changes
                .iter()
                .filter(|c| c.part == part && c.gateway == gateway);
            let Some(first) = changes.next() else {
                return Err(format!("gateway {gateway} never blocks {part:?}"));
            };
            if !first.is_blocked || first.at > due {
                return Err(format!("{first:?} is later than {due:?}"));
            }
            if let Some(change) = changes.next() {
                return Err(format!("{change:?}"));
            }
        }
        Ok(())
    }

    /// No other parts than these were blocked at any time.
    pub fn check_only(&self, guilty: &[PartId]) -> Result<(), String> {
        let wrong = self
            .changes
            .iter()
            .find(|c| c.is_blocked && !guilty.contains(&c.part));
        wrong.map_or(Ok(()), |change| Err(format!("{change:?}")))
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// Requests end with an endpoint.
    Ending {
        run: u64,
        parts: Vec<PartId>,
    },
    Crash(CrashReport),
    Progress(PartProgress),
    Block(Block),
    Answer(PartId),
    Tick,
    Exchange,
}

struct Gateway {
    evidence: Evidence,
    /// When it last saw a part answered.
    answered: BTreeMap<PartId, Millis>,
    watched: Vec<PartId>,
    blocked: Vec<PartId>,
}

/// The gateways, with messages that are late, doubled, reordered or lost.
pub struct SuspectFleet {
    pub rng: ChaCha8Rng,
    now: Millis,
    queue: BTreeMap<(Millis, u64), (usize, Event)>,
    gateways: Vec<Gateway>,
    /// One message in this many is lost.
    lost_one_in: u64,
    pub history: History,
    runs: u64,
    numbers: u64,
}

impl SuspectFleet {
    pub fn new(seed: u64, gateways: usize, lost_one_in: u64) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis::ZERO,
            queue: BTreeMap::new(),
            gateways: Vec::new(),
            lost_one_in,
            history: History {
                gateways,
                ..History::default()
            },
            runs: 0,
            numbers: 0,
        };
        for gateway in 0..gateways {
            fleet.gateways.push(Gateway {
                evidence: Evidence::default(),
                answered: BTreeMap::new(),
                watched: Vec::new(),
                blocked: Vec::new(),
            });
            fleet.schedule(Millis(gateway as u64), gateway, Event::Tick);
            fleet.schedule(Millis(gateway as u64 * 7), gateway, Event::Exchange);
        }
        fleet
    }

    fn schedule(&mut self, at: Millis, gateway: usize, event: Event) {
        self.numbers += 1;
        self.queue.insert((at, self.numbers), (gateway, event));
    }

    /// An answer with a part gets under way at some gateway.
    pub fn answer(&mut self, at: Millis, part: PartId) {
        let gateway = draw(&mut self.rng, self.gateways.len() as u64) as usize;
        self.schedule(at, gateway, Event::Answer(part));
    }

    /// A part is answered throughout a time, at any gateway.
    pub fn answer_often(&mut self, from: Millis, to: Millis, mean: u64, part: PartId) {
        let mut at = from + Millis(draw(&mut self.rng, 2 * mean));
        while at < to {
            self.answer(at, part);
            at = at + Millis(1 + draw(&mut self.rng, 2 * mean));
        }
    }

    /// An endpoint ends under requests, given by their parts, of any gateways.
    pub fn end(&mut self, at: Millis, by: Option<PartId>, requests: &[Vec<PartId>]) {
        self.runs += 1;
        self.history.endings.push(Ending { at, by });
        for parts in requests {
            let gateway = draw(&mut self.rng, self.gateways.len() as u64) as usize;
            let seen = at + Millis(draw(&mut self.rng, 4));
            let (run, parts) = (self.runs, parts.clone());
            self.schedule(seen, gateway, Event::Ending { run, parts });
        }
    }

    /// Lets all happen up to a time.
    pub fn run_until(&mut self, end: Millis) -> &History {
        while let Some(next) = self.queue.first_entry() {
            if next.key().0 > end {
                break;
            }
            let ((at, _), (gateway, event)) = next.remove_entry();
            self.now = at;
            self.handle(gateway, event);
        }
        &self.history
    }

    fn handle(&mut self, gateway: usize, event: Event) {
        let now = self.now;
        let this = &mut self.gateways[gateway];
        match event {
            Event::Answer(part) => {
                this.answered.insert(part, now);
                if this.watched.binary_search(&part).is_err() {
                    return;
                }
                self.progress(gateway, part, Millis::ZERO);
            }
            Event::Ending { run, parts } => {
                let mut report = report(run, Millis::ZERO, &parts);
                let is_proven =
                    |at: Option<&Millis>| at.is_some_and(|at| now.since(*at) < PROOF_LIFETIME);
                report
                    .parts
                    .retain(|part| !is_proven(this.answered.get(part)));
                if this.evidence.record_crash(now, &report) {
                    self.send_all(gateway, Event::Crash(report));
                }
            }
            Event::Crash(report) => {
                let is_news = this.evidence.record_crash(now, &report);
                for part in report.parts {
                    let answered = self.gateways[gateway].answered.get(&part);
                    if let Some(age) = answered.map(|at| now.since(*at))
                        && age < ANSWER_MEMORY
                    {
                        self.progress(gateway, part, age);
                    }
                }
                if !is_news {
                    return;
                }
            }
            Event::Progress(progress) => {
                if !this.evidence.record_progress(now, progress) {
                    return;
                }
            }
            Event::Block(block) => {
                if !this.evidence.merge_block(now, &block) {
                    return;
                }
            }
            Event::Tick => {
                self.schedule(now + TICK, gateway, Event::Tick);
                let this = &mut self.gateways[gateway];
                if this.evidence.is_empty() {
                    return;
                }
                for block in this.evidence.decide(now) {
                    self.send_all(gateway, Event::Block(block));
                }
                self.gateways[gateway].evidence.expire(now);
            }
            Event::Exchange => self.exchange(gateway),
        }
        self.note_changes(gateway);
    }

    fn progress(&mut self, gateway: usize, part: PartId, age: Millis) {
        let progress = PartProgress { part, age };
        if self.gateways[gateway]
            .evidence
            .record_progress(self.now, progress)
        {
            self.send_all(gateway, Event::Progress(progress));
        }
    }

    fn exchange(&mut self, gateway: usize) {
        let snapshot = self.gateways[gateway].evidence.snapshot(self.now);
        let to = draw(&mut self.rng, self.gateways.len() as u64) as usize;
        for crash in snapshot.crashes {
            self.send(to, Event::Crash(crash));
        }
        for progress in snapshot.progress {
            self.send(to, Event::Progress(progress));
        }
        for block in snapshot.blocks {
            self.send(to, Event::Block(block));
        }
        self.schedule(self.now + EXCHANGE_INTERVAL, gateway, Event::Exchange);
    }

    fn send_all(&mut self, from: usize, event: Event) {
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            self.send(to, event.clone());
        }
    }

    fn send(&mut self, to: usize, event: Event) {
        // Most messages are fast; some are late and overtaken, some arrive twice.
        let copies = 1 + u64::from(draw(&mut self.rng, 50) == 0);
        for _ in 0..copies {
            let delay = match draw(&mut self.rng, 20) {
                0 => draw(&mut self.rng, SLOWEST_MESSAGE.0),
                _ => 1 + draw(&mut self.rng, 3),
            };
            if draw(&mut self.rng, self.lost_one_in) > 0 {
                self.schedule(self.now + Millis(delay), to, event.clone());
            }
        }
    }

    fn note_changes(&mut self, gateway: usize) {
        let this = &mut self.gateways[gateway];
        this.watched = this.evidence.watched();
        let blocked = this.evidence.blocked();
        if blocked == this.blocked {
            return;
        }
        let before = std::mem::replace(&mut this.blocked, blocked.clone());
        let set = blocked.iter().filter(|p| !before.contains(p));
        let lifted = before.iter().filter(|p| !blocked.contains(p));
        let changes = set.map(|p| (*p, true)).chain(lifted.map(|p| (*p, false)));
        for (part, is_blocked) in changes {
            self.history.changes.push(Change {
                at: self.now,
                gateway,
                part,
                is_blocked,
            });
        }
    }
}
