//! What endpoints state of themselves in their responses, and whether a request may be
//! sent to one of them now.
//!
//! One table holds the statements of all endpoints. Whoever sends to an endpoint asks it
//! right before the request leaves, however the endpoint was chosen.

mod board;
mod cold;
mod limit;

use serde::{Deserialize, Serialize};

use super::dialect::Registration;
use super::rate_owner::{Grant, NamedRate, RequestRate};
use super::run_hash::run_hash;
use crate::clock::Millis;

use cold::Cold;
use limit::Limit;

pub use board::{ColdNews, LimitNews, NoticeBoard, WaitingRequest, log_limit, log_limit_end};
pub use cold::ColdChange;
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
    /// How much longer it is cold.
    pub cold_left: Option<Stated<Millis>>,
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
    cold: Option<Cold>,
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
            Permit::Now => match (self.cold_at(now), self.limit) {
                (Some(cold), _) => cold.bound(cold.limit.permit(now)),
                (None, limit) => limit.map_or(Permit::Now, |limit| limit.permit(now)),
            },
            later => later,
        }
    }

    fn cold_at(&self, now: Millis) -> Option<&Cold> {
        self.cold.as_ref().filter(|cold| !cold.is_over(now))
    }

    /// The limit in force. While the endpoint is cold, it is that of the cold time, at the
    /// lower one of both rates.
    fn limit_at(&mut self, now: Millis) -> Option<&mut Limit> {
        let stated = self.limit.map(|limit| limit.named.rate);
        match self.cold.as_mut().filter(|cold| !cold.is_over(now)) {
            Some(cold) => {
                let rate = stated.map_or(cold.rate, |rate| rate.min(cold.rate));
                cold.limit.set_rate(now, rate);
                Some(&mut cold.limit)
            }
            None => self.limit.as_mut(),
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
    /// How much longer it is cold.
    pub cold_left: Option<Millis>,
}

/// The statements of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    /// Sorted by run.
    records: Vec<Record>,
    /// Distinguishes this gateway from others.
    seed: u64,
}

impl Notices {
    /// An empty table of the gateway with this seed.
    pub fn seeded(seed: u64) -> Self {
        Self {
            records: Vec::new(),
            seed,
        }
    }

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
        self.records.is_empty()
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
        let record = &mut self.records[at];
        let mut permit = record.permit(now);
        if matches!(permit, Permit::Now | Permit::Ask)
            && let Some(limit) = record.limit_at(now)
        {
            permit = limit.begin(now, gateways);
            permit = record.cold_at(now).map_or(permit, |c| c.bound(permit));
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
        for limit in self.limits_mut(run) {
            limit.begin_wait();
        }
    }

    /// Counts a request that waits no more.
    pub fn end_wait(&mut self, run: RunId) {
        for limit in self.limits_mut(run) {
            limit.end_wait();
        }
    }

    /// Returns the rate and the number of requests to ask for, unless the answer is on its
    /// way.
    pub fn ask(&mut self, now: Millis, run: RunId) -> Option<(NamedRate, u32)> {
        let limit = self.limit_at(now, run)?;
        Some((limit.named, limit.ask(now)?))
    }

    /// Records the answer to a question for this many requests.
    pub fn granted(&mut self, now: Millis, run: RunId, grant: Grant, wanted: u32) {
        if let Some(limit) = self.limit_at(now, run) {
            limit.answered(now, grant, wanted);
        }
    }

    /// Records that a request has waited for an answer in vain.
    pub fn unanswered(&mut self, now: Millis, run: RunId) {
        if let Some(limit) = self.limit_at(now, run) {
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
        let limited = self.records.iter();
        limited.filter_map(|record| Some((record.run, record.limit?.named.rate)))
    }

    fn limit_mut(&mut self, run: RunId) -> Option<&mut Limit> {
        let at = self.find(run).ok()?;
        self.records[at].limit.as_mut()
    }

    /// The limit in force.
    fn limit_at(&mut self, now: Millis, run: RunId) -> Option<&mut Limit> {
        let at = self.find(run).ok()?;
        self.records[at].limit_at(now)
    }

    /// The limits that are in force now or later. A request may wait while one follows the
    /// other.
    fn limits_mut(&mut self, run: RunId) -> impl Iterator<Item = &mut Limit> {
        let record = self.find(run).ok().map(|at| &mut self.records[at]);
        record.into_iter().flat_map(|record| {
            let cold = record.cold.as_mut().map(|cold| &mut cold.limit);
            cold.into_iter().chain(record.limit.as_mut())
        })
    }

    /// Records that an endpoint is cold until a time, and takes this rate of requests from
    /// all gateways together. An earlier cold time is extended, never shortened. Returns
    /// whether this is news.
    pub fn set_cold(&mut self, now: Millis, run: RunId, rate: RequestRate, until: Millis) -> bool {
        if until <= now {
            return false;
        }
        let seed = self.seed;
        let record = self.record_mut(now, run);
        let cold = record.cold.take().filter(|cold| !cold.is_over(now));
        let cold = record
            .cold
            .insert(cold.unwrap_or_else(|| Cold::new(now, run, rate, seed)));
        cold.extend(now, rate, until)
    }

    /// The rate that an endpoint takes while it is cold, and until when; `None` if it is
    /// warm.
    pub fn cold(&self, now: Millis, run: RunId) -> Option<(RequestRate, Millis)> {
        let cold = self.record(run)?.cold_at(now)?;
        Some((cold.rate, cold.until))
    }

    /// Endpoints that have become cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now: Millis) -> Vec<(RunId, ColdChange)> {
        let mut changes = Vec::new();
        for record in &mut self.records {
            let Some(cold) = &mut record.cold else {
                continue;
            };
            let change = cold.take_change(now).map(|change| (record.run, change));
            changes.extend(change);
            if cold.is_over(now) {
                record.cold = None;
            }
        }
        changes
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
            cold_left: record.cold_at(now).map(|cold| cold.until.since(now)),
        }
    }

    /// The endpoints that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = RunId> {
        let leaving = self.records.iter().filter(|record| record.is_leaving);
        leaving.map(|record| record.run)
    }

    fn record(&self, run: RunId) -> Option<&Record> {
        self.find(run).ok().map(|at| &self.records[at])
    }

    fn find(&self, run: RunId) -> Result<usize, usize> {
        self.records.binary_search_by_key(&run, |record| record.run)
    }

    /// The record of a run, which replaces the oldest one if there are too many.
    fn record_mut(&mut self, now: Millis, run: RunId) -> &mut Record {
        if self.find(run).is_err() {
            if self.records.len() >= MAX_RECORDS {
                let oldest = self
                    .records
                    .iter()
                    .enumerate()
                    .min_by_key(|(_, r)| r.heard_at);
                let oldest = oldest.map(|(at, _)| at);
                oldest.map(|at| self.records.remove(at));
            }
            let at = self.records.partition_point(|record| record.run < run);
            let record = Record {
                run,
                heard_at: now,
                is_leaving: false,
                pause: None,
                limit: None,
                cold: None,
                has_logged_invalid: false,
            };
            self.records.insert(at, record);
        }
        let at = self.records.partition_point(|record| record.run < run);
        self.records[at].heard_at = now;
        &mut self.records[at]
    }
}
