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

/// What one response states of its endpoint, beside its answer to the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the endpoint is shutting down.
    pub is_leaving: bool,
    /// The name of a field whose value has no meaning.
    pub invalid: Option<&'static str>,
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may be sent now.
    Now,
    /// Not in this run of the endpoint.
    Never,
}

/// What a response changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// The endpoint is leaving, which was not known.
    pub is_leaving: bool,
    /// A field without meaning that is to be logged.
    pub invalid: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    run: RunId,
    heard_at: Millis,
    is_leaving: bool,
    has_logged_invalid: bool,
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
        News {
            is_leaving: notice.is_leaving && !was_leaving,
            invalid: notice.invalid.filter(|_| !was_logged),
        }
    }

    /// Whether a request may be sent to an endpoint.
    pub fn permit(&self, run: RunId) -> Permit {
        match self.record(run) {
            Some(record) if record.is_leaving => Permit::Never,
            _ => Permit::Now,
        }
    }

    /// The endpoints that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = RunId> {
        let leaving = self.0.iter().filter(|record| record.is_leaving);
        leaving.map(|record| record.run)
    }

    fn record(&self, run: RunId) -> Option<&Record> {
        let at = self.0.binary_search_by_key(&run, |record| record.run);
        at.ok().map(|at| &self.0[at])
    }

    /// The record of a run, which replaces the oldest one if there are too many.
    fn record_mut(&mut self, now: Millis, run: RunId) -> &mut Record {
        let key = |record: &Record| record.run;
        if self.0.binary_search_by_key(&run, key).is_err() {
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
                has_logged_invalid: false,
            };
            self.0.insert(at, record);
        }
        let at = self.0.partition_point(|record| record.run < run);
        self.0[at].heard_at = now;
        &mut self.0[at]
    }
}
