//! Lets requests with a suspect part begin one after the other, so that what became of
//! one of them is known before the next one is sent.

use std::rc::Rc;

use tokio::time::timeout;

use super::{CrashWatch, Suspect};
use crate::clock::Millis;
use crate::direct::job::Job;
use crate::direct::part_table::PartTable;
use crate::direct::suspects::{CrashId, PartId};

/// The longest wait for a turn, and the share of the remaining time that it may take.
/// Sound requests are delayed by this much at most while one of their parts is suspect.
const MAX_TURN_WAIT: Millis = Millis(300);
const TURN_WAIT_DIVISOR: u64 = 6;
/// How long no request with its suspects is sent after a run broke off. It covers the time
/// until a crash counts in full, the next tick and the publication of what follows.
const BREAK_PAUSE: Millis = Millis(200);
/// How long the parts of a run that broke off are suspects here even if the control
/// thread has not published them.
const SUSPICION_LIFETIME: Millis = Millis(1_000);
/// The most parts of broken runs that are remembered.
const MAX_BROKEN: usize = 1_024;

/// A part of a run that broke off.
#[derive(Clone, Copy, Debug)]
struct Broken {
    part: PartId,
    endpoint: CrashId,
    at: Millis,
}

/// Runs with suspect parts whose answers have not got under way.
#[derive(Debug, Default)]
pub struct Turns {
    /// Their parts and how many of them have each, sorted by part.
    busy: Vec<(PartId, u32)>,
    /// The suspects of runs that broke off lately, sorted by part and endpoint.
    broken: Vec<Broken>,
}

impl Turns {
    /// The parts for which a prompt needs a turn: suspects that were not answered here
    /// lately.
    pub fn suspects(
        &self,
        table: &PartTable,
        now: Millis,
        shared_parts: impl Iterator<Item = PartId>,
    ) -> Vec<PartId> {
        if self.broken.is_empty() && !table.has_watched() {
            return Vec::new();
        }
        let is_broken = |part: PartId| {
            let mut broken = self.broken_with(part).iter();
            broken.any(|b| now.since(b.at) < SUSPICION_LIFETIME)
        };
        let suspects = shared_parts
            .filter(|part| is_broken(*part) || table.is_watched(*part))
            .filter(|part| !table.is_proven(now, *part));
        suspects.collect()
    }

    /// How long a request with these suspects has to wait before it is checked again, if
    /// nothing ends meanwhile; `None` if it is its turn.
    pub fn wait(&self, now: Millis, suspects: &[PartId]) -> Option<Millis> {
        let waits = suspects.iter().flat_map(|part| {
            let is_busy = self.find_busy(*part).is_ok();
            let pauses = self.broken_with(*part).iter().map(move |b| {
                let since = now.since(b.at);
                BREAK_PAUSE.since(since)
            });
            pauses.chain(is_busy.then_some(MAX_TURN_WAIT))
        });
        waits.max().filter(|wait| *wait > Millis::ZERO)
    }

    /// A request with these suspects is sent.
    pub fn begin(&mut self, suspects: &[PartId]) {
        for part in suspects {
            match self.find_busy(*part) {
                Ok(at) => self.busy[at].1 += 1,
                Err(at) => self.busy.insert(at, (*part, 1)),
            }
        }
    }

    /// An answer to a request with these suspects has got under way, or the run is over.
    pub fn end(&mut self, suspects: &[PartId]) {
        for part in suspects {
            let Ok(at) = self.find_busy(*part) else {
                continue;
            };
            self.busy[at].1 -= 1;
            if self.busy[at].1 == 0 {
                self.busy.remove(at);
            }
        }
    }

    /// A run with these suspects broke off.
    pub fn record_break(&mut self, now: Millis, endpoint: CrashId, suspects: &[Suspect]) {
        self.broken.retain(|b| now.since(b.at) < SUSPICION_LIFETIME);
        for suspect in suspects {
            let part = suspect.part;
            let key = (part, endpoint);
            let found = self
                .broken
                .binary_search_by_key(&key, |b| (b.part, b.endpoint));
            let broken = Broken {
                part,
                endpoint,
                at: now,
            };
            match found {
                Ok(at) => self.broken[at] = broken,
                Err(at) if self.broken.len() < MAX_BROKEN => self.broken.insert(at, broken),
                Err(_) => {}
            }
        }
    }

    /// The endpoint is alive: what broke off there says nothing about parts.
    pub fn acquit(&mut self, endpoint: CrashId) {
        self.broken.retain(|b| b.endpoint != endpoint);
    }

    fn find_busy(&self, part: PartId) -> Result<usize, usize> {
        self.busy.binary_search_by_key(&part, |(p, _)| *p)
    }

    fn broken_with(&self, part: PartId) -> &[Broken] {
        let from = self.broken.partition_point(|b| b.part < part);
        let rest = &self.broken[from..];
        &rest[..rest.partition_point(|b| b.part == part)]
    }
}

/// The turn of one request. Dropped, it lets others go on.
pub struct Turn {
    watch: Rc<CrashWatch>,
    suspects: Vec<PartId>,
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.watch.turns.borrow_mut().end(&self.suspects);
        self.watch.turn_ended.notify_waiters();
    }
}

impl CrashWatch {
    /// Takes a turn for a request that has suspect parts, without a wait.
    pub fn begin_turn(self: &Rc<Self>, job: &Job) -> Option<Turn> {
        self.begin(self.suspects(job))
    }

    /// Waits for the turn of a request that has suspect parts, for a short time at most.
    /// One turn is taken for all of its suspects, so that no request waits for another
    /// one while it holds up others.
    pub async fn wait_for_turn(self: &Rc<Self>, job: &Job) -> Option<Turn> {
        let arrived = self.shared.now();
        let max_wait = MAX_TURN_WAIT.min(Millis(job.time_left(arrived).0 / TURN_WAIT_DIVISOR));
        let mut waited_for = None;
        let suspects = loop {
            let now = self.shared.now();
            let suspects = self.suspects(job);
            let Some(wait) = self.turns.borrow().wait(now, &suspects) else {
                break suspects;
            };
            let left = max_wait.since(now.since(arrived));
            if left == Millis::ZERO {
                break suspects;
            }
            waited_for = waited_for.or(suspects.first().copied());
            // Created before anything else can run, so that no end is missed.
            let ended = self.turn_ended.notified();
            let _ = timeout(wait.min(left).as_duration(), ended).await;
        };
        if let Some(part) = waited_for {
            let waited = self.shared.now().since(arrived);
            job.log(
                "request.waited_for_part",
                &[
                    ("part", (&format!("{:016x}", part.0)).into()),
                    ("waited_ms", waited.into()),
                ],
            );
        }
        self.begin(suspects)
    }

    fn suspects(&self, job: &Job) -> Vec<PartId> {
        let parts = PartTable::shared_parts(&job.metadata.parts);
        let now = self.shared.now();
        self.turns.borrow().suspects(&self.shared.parts, now, parts)
    }

    fn begin(self: &Rc<Self>, suspects: Vec<PartId>) -> Option<Turn> {
        if suspects.is_empty() {
            return None;
        }
        self.turns.borrow_mut().begin(&suspects);
        Some(Turn {
            watch: self.clone(),
            suspects,
        })
    }
}
