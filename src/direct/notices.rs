//! What endpoints state of themselves in their responses, and whether a request may be
//! sent to one of them now.
//!
//! One table holds the statements of all endpoints. Whoever sends to an endpoint asks it
//! right before the request leaves, however the endpoint was chosen.

mod board;
mod limit;

use serde::{Deserialize, Serialize};

use super::dialect::Registration;
use super::rate_owner::{Grant, NamedRate, RequestRate};
use super::run_hash::run_hash;
use crate::clock::Millis;

use limit::Limit;

pub use board::{LimitNews, NoticeBoard, WaitingRequest, log_limit, log_limit_end};
pub use limit::{ANSWER_TIMEOUT, LimitChange};

/// The longest pause that is kept.
const MAX_PAUSE: Millis = Millis(600_000);
/// The pause of an endpoint that wants one and states no usable time.
const DEFAULT_PAUSE: Millis = Millis(1_000);
/// The limit of an endpoint that names one which can't be read.
const DEFAULT_LIMIT: RequestRate = RequestRate(10_000);
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
pub struct RunId(pub u64);

impl RunId {
    /// The run of an endpoint that began at `started_at`.
    pub fn new(endpoint: &str, started_at: u64) -> Self {
        Self(run_hash(endpoint, started_at))
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
    /// The rate of requests that it takes from all gateways together. It takes any if the
    /// response names none.
    pub limit: Option<Stated<RequestRate>>,
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
    /// Once a grant has been asked for and given.
    Ask,
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
    /// What has changed in the rate that it takes.
    pub limit: Option<LimitChange>,
    /// A field without meaning that is to be logged.
    pub invalid: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    run: RunId,
    heard_at: Millis,
    is_leaving: bool,
    pause: Option<Pause>,
    limit: Option<Limit>,
    has_logged_invalid: bool,
}

/// A time without requests, and the first ones after it.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Millis,
    /// Requests that were sent after its end.
    sent: u64,
}

impl Record {
    /// Records the rate that a response named, or that it named none.
    fn hear_limit(
        &mut self,
        now: Millis,
        stated: Option<Stated<RequestRate>>,
        sent_at: Millis,
    ) -> Option<LimitChange> {
        let known = self.limit.as_mut();
        let rate = match (stated, &known) {
            (Some(Stated::Value(rate)), _) => rate,
            (Some(Stated::Invalid), Some(known)) => known.named.rate,
            (Some(Stated::Invalid), None) => DEFAULT_LIMIT,
            (None, Some(known)) if known.has_ended(sent_at) => {
                self.limit = None;
                return Some(LimitChange::Ended);
            }
            (None, _) => return None,
        };
        match known {
            Some(known) => known
                .hear(now, rate, sent_at)
                .then_some(LimitChange::Named(rate)),
            None => {
                self.limit = Some(Limit::new(now, rate, sent_at));
                Some(LimitChange::Named(rate))
            }
        }
    }

    fn permit(&self, now: Millis) -> Permit {
        if self.is_leaving {
            return Permit::Never;
        }
        match self.pause.map_or(Permit::Now, |pause| pause.permit(now)) {
            Permit::Now => self.limit.map_or(Permit::Now, |limit| limit.permit(now)),
            later => later,
        }
    }
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
    /// The rate of requests that it takes from all gateways together.
    pub limit: Option<RequestRate>,
}

/// The statements of all endpoints, sorted by run.
#[derive(Clone, Debug, Default)]
pub struct Notices(Vec<Record>);

impl Notices {
    /// Records what a response stated. A statement is bound to one run of its endpoint:
    /// what an earlier process at the same address stated says nothing of this one. The
    /// request was sent at `sent_at`, so the response was written later.
    pub fn hear(&mut self, now: Millis, run: RunId, notice: &Notice, sent_at: Millis) -> News {
        if *notice == Notice::default() && self.find(run).is_err() {
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
            limit: record.hear_limit(now, notice.limit, sent_at),
            pause_until,
            is_leaving: notice.is_leaving && !was_leaving,
            invalid: notice.invalid.filter(|_| !was_logged),
        }
    }

    /// Whether no endpoint has stated anything.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a request may be sent to an endpoint.
    pub fn permit(&self, now: Millis, run: RunId) -> Permit {
        self.record(run).map_or(Permit::Now, |r| r.permit(now))
    }

    /// Asks for the permit of a request that leaves now, if it is granted. An endpoint's
    /// limit is shared by this many gateways.
    pub fn begin(&mut self, now: Millis, run: RunId, gateways: usize) -> Permit {
        let Ok(at) = self.find(run) else {
            return Permit::Now;
        };
        let record = &mut self.0[at];
        let mut permit = record.permit(now);
        if matches!(permit, Permit::Now | Permit::Ask)
            && let Some(limit) = &mut record.limit
        {
            permit = limit.begin(now, gateways);
        }
        if permit == Permit::Now
            && let Some(pause) = &mut record.pause
        {
            pause.sent += 1;
        }
        permit
    }

    /// Counts a request that begins to wait for a grant.
    pub fn begin_wait(&mut self, run: RunId) {
        if let Some(limit) = self.limit_mut(run) {
            limit.begin_wait();
        }
    }

    /// Counts a request that waits no more.
    pub fn end_wait(&mut self, run: RunId) {
        if let Some(limit) = self.limit_mut(run) {
            limit.end_wait();
        }
    }

    /// Returns the rate and the number of requests to ask for, unless the answer is on its
    /// way.
    pub fn ask(&mut self, now: Millis, run: RunId) -> Option<(NamedRate, u32)> {
        let limit = self.limit_mut(run)?;
        Some((limit.named, limit.ask(now)?))
    }

    /// Records the answer to a question for this many requests.
    pub fn granted(&mut self, now: Millis, run: RunId, grant: Grant, wanted: u32) {
        if let Some(limit) = self.limit_mut(run) {
            limit.answered(now, grant, wanted);
        }
    }

    /// Records that a request has waited for an answer in vain.
    pub fn unanswered(&mut self, now: Millis, run: RunId) {
        if let Some(limit) = self.limit_mut(run) {
            limit.unanswered(now);
        }
    }

    /// Records what another gateway heard of the rate that an endpoint takes, in a
    /// response to a request that was sent at `sent_at`. Returns whether it is news.
    pub fn learn_limit(
        &mut self,
        now: Millis,
        run: RunId,
        rate: Option<RequestRate>,
        sent_at: Millis,
    ) -> bool {
        match (rate, self.limit_mut(run)) {
            // A higher rate is believed only to the endpoint itself.
            (Some(rate), Some(known)) if rate >= known.named.rate => false,
            (Some(rate), _) => {
                self.record_mut(now, run).limit = Some(Limit::new(now, rate, sent_at));
                true
            }
            (None, Some(known)) if known.has_ended_elsewhere(sent_at) => {
                self.record_mut(now, run).limit = None;
                true
            }
            (None, _) => false,
        }
    }

    /// The rate that an endpoint takes, and when it last said so.
    pub fn limit(&self, run: RunId) -> Option<(RequestRate, Millis)> {
        let limit = self.record(run)?.limit?;
        Some((limit.named.rate, limit.named.heard_at))
    }

    /// All endpoints that name a rate.
    pub fn limits(&self) -> impl Iterator<Item = (RunId, RequestRate)> {
        let limited = self.0.iter();
        limited.filter_map(|record| Some((record.run, record.limit?.named.rate)))
    }

    fn limit_mut(&mut self, run: RunId) -> Option<&mut Limit> {
        let at = self.find(run).ok()?;
        self.0[at].limit.as_mut()
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
            limit: record.limit.map(|limit| limit.named.rate),
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
                limit: None,
                has_logged_invalid: false,
            };
            self.0.insert(at, record);
        }
        let at = self.0.partition_point(|record| record.run < run);
        self.0[at].heard_at = now;
        &mut self.0[at]
    }
}
