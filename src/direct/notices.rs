//! What endpoints state of themselves in their responses, and whether a request may be
//! sent to one of them now.
//!
//! One table holds the statements of all endpoints. Whoever sends to an endpoint asks it
//! right before the request leaves, however the endpoint was chosen.

mod board;

use serde::{Deserialize, Serialize};

use super::dialect::Registration;
use crate::clock::Millis;

pub use board::NoticeBoard;

/// The longest pause that is kept.
const MAX_PAUSE: Millis = Millis(600_000);
/// The pause of an endpoint that wants one and states no usable time.
const DEFAULT_PAUSE: Millis = Millis(1_000);
/// After a pause, the number of requests that a gateway may have sent doubles in each of
/// these steps, from one on.
const RETURN_STEP: Millis = Millis(250);
/// Number of steps after which it is not bounded any more.
const RETURN_STEPS: u64 = 8;
/// The most endpoints of which statements are kept.
const MAX_RECORDS: usize = 4_096;

/// Identifies one run of an endpoint, which ends with its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunId(u64);

impl RunId {
    /// The run of an endpoint that began at `started_at`.
    pub fn new(endpoint: &str, started_at: u64) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(
            endpoint.as_bytes(),
            started_at,
        ))
    }

    /// The run of a registered endpoint.
    pub fn of(registration: &Registration) -> Self {
        Self::new(&registration.id, registration.started_at)
    }
}

/// A value in a response that may have no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stated<T> {
    /// A usable value.
    Value(T),
    /// Something that cannot be used.
    Invalid,
}

/// What one response states of its endpoint, beside its answer to the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the endpoint is shutting down.
    pub is_leaving: bool,
    /// For how long it wants no request from this gateway.
    pub pause: Option<Stated<Millis>>,
    /// The name of a field whose value has no meaning.
    pub invalid: Option<&'static str>,
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may be sent now.
    Now,
    /// Not before this time.
    At(Millis),
    /// Not in this run of the endpoint.
    Never,
}

/// What a response changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// The endpoint is leaving, which was not known.
    pub is_leaving: bool,
    /// It wants no request until then, which is later than it said before.
    pub pause_until: Option<Millis>,
    /// A field without meaning that is to be logged.
    pub invalid: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    run: RunId,
    heard_at: Millis,
    is_leaving: bool,
    pause: Option<Pause>,
    has_logged_invalid: bool,
}

/// A time without requests, and the first ones after it.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Millis,
    /// Requests that were sent after its end.
    sent: u64,
}

impl Pause {
    fn permit(&self, now: Millis) -> Permit {
        if now < self.until {
            return Permit::At(self.until);
        }
        let step = now.since(self.until).0 / RETURN_STEP.0;
        if step >= RETURN_STEPS || self.sent < 1 << step {
            return Permit::Now;
        }
        // The first step in which one more may have been sent.
        let next = u64::from(u64::BITS - self.sent.leading_zeros());
        Permit::At(self.until + Millis(next * RETURN_STEP.0))
    }
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statements {
    /// Whether it said that it leaves.
    pub is_leaving: bool,
    /// How much longer it wants no request from this gateway.
    pub pause_left: Option<Millis>,
}

/// The statements of all endpoints, sorted by run.
#[derive(Clone, Debug, Default)]
pub struct Notices(Vec<Record>);

impl Notices {
    /// Records what a response stated. A statement is bound to one run of its endpoint:
    /// what an earlier process at the same address stated says nothing of this one.
    pub fn hear(&mut self, now: Millis, run: RunId, notice: &Notice) -> News {
        if *notice == Notice::default() {
            return News::default();
        }
        let record = self.record_mut(now, run);
        let (was_leaving, was_logged) = (record.is_leaving, record.has_logged_invalid);
        record.is_leaving |= notice.is_leaving;
        record.has_logged_invalid |= notice.invalid.is_some();
        let pause = notice.pause.map(|stated| match stated {
            Stated::Value(pause) => pause.min(MAX_PAUSE),
            Stated::Invalid => DEFAULT_PAUSE,
        });
        let until = pause.filter(|p| *p > Millis::ZERO).map(|p| now + p);
        let pause_until = until.filter(|until| record.pause.is_none_or(|p| p.until < *until));
        if let Some(until) = pause_until {
            record.pause = Some(Pause { until, sent: 0 });
        }
        News {
            pause_until,
            is_leaving: notice.is_leaving && !was_leaving,
            invalid: notice.invalid.filter(|_| !was_logged),
        }
    }

    /// Whether a request may be sent to an endpoint.
    pub fn permit(&self, now: Millis, run: RunId) -> Permit {
        match self.record(run) {
            Some(record) if record.is_leaving => Permit::Never,
            Some(record) => record.pause.map_or(Permit::Now, |pause| pause.permit(now)),
            None => Permit::Now,
        }
    }

    /// Asks for the permit of a request that leaves now, if it is granted.
    pub fn begin(&mut self, now: Millis, run: RunId) -> Permit {
        let permit = self.permit(now, run);
        if permit == Permit::Now
            && let Ok(at) = self.find(run)
            && let Some(pause) = &mut self.0[at].pause
        {
            pause.sent += 1;
        }
        permit
    }

    /// Whether an endpoint said that it leaves.
    pub fn is_leaving(&self, run: RunId) -> bool {
        self.record(run).is_some_and(|record| record.is_leaving)
    }

    /// What is known of an endpoint.
    pub fn statements(&self, now: Millis, run: RunId) -> Statements {
        let Some(record) = self.record(run) else {
            return Statements::default();
        };
        let pause = record.pause.map(|pause| pause.until.since(now));
        Statements {
            is_leaving: record.is_leaving,
            pause_left: pause.filter(|left| *left > Millis::ZERO),
        }
    }

    /// The endpoints that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = RunId> {
        let leaving = self.0.iter().filter(|record| record.is_leaving);
        leaving.map(|record| record.run)
    }

    fn record(&self, run: RunId) -> Option<&Record> {
        self.find(run).ok().map(|at| &self.0[at])
    }

    fn find(&self, run: RunId) -> Result<usize, usize> {
        self.0.binary_search_by_key(&run, |record| record.run)
    }

    /// The record of a run, which replaces the oldest one if there are too many.
    fn record_mut(&mut self, now: Millis, run: RunId) -> &mut Record {
        if self.find(run).is_err() {
            if self.0.len() >= MAX_RECORDS {
                let oldest = self.0.iter().enumerate().min_by_key(|(_, r)| r.heard_at);
                let oldest = oldest.map(|(at, _)| at);
                oldest.map(|at| self.0.remove(at));
            }
            let at = self.0.partition_point(|record| record.run < run);
            let record = Record {
                run,
                heard_at: now,
                is_leaving: false,
                pause: None,
                has_logged_invalid: false,
            };
            self.0.insert(at, record);
        }
        let at = self.0.partition_point(|record| record.run < run);
        self.0[at].heard_at = now;
        &mut self.0[at]
    }
}
