//! Cold endpoints: ones that have just started, or have become cold again, and take few
//! requests from all gateways together until they are warm.

use super::limit::Limit;
use super::{Permit, RunId};
use crate::clock::Millis;
use crate::direct::rate_owner::{MICROS, RequestRate};

/// The longest cold time that is believed.
const MAX_COLD: Millis = Millis(600_000);
/// A cold time that grows by less than this is not news: heartbeats of one cold time reach
/// gateways with different delays.
const NEWS_STEP: Millis = Millis(400);

/// The cold time of one run of an endpoint, and the requests that were granted in it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cold {
    pub(super) until: Millis,
    pub(super) rate: RequestRate,
    pub(super) limit: Limit,
    has_logged: bool,
}

/// A change that is written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdChange {
    /// The endpoint takes this rate until then.
    Began(RequestRate, Millis),
    /// Its cold time is over.
    Ended,
}

impl Cold {
    pub(super) fn new(now: Millis, run: RunId, rate: RequestRate, seed: u64) -> Self {
        Self {
            until: now,
            rate,
            limit: Limit::cold(now, rate, phase(run, seed)),
            has_logged: false,
        }
    }

    /// Extends the cold time. It never becomes shorter: a statement may be older than the
    /// one that it follows. Returns whether it is news for other gateways.
    pub(super) fn extend(&mut self, now: Millis, rate: RequestRate, until: Millis) -> bool {
        let until = until.min(now + MAX_COLD);
        let is_news = until >= self.until + NEWS_STEP;
        self.until = self.until.max(until);
        self.rate = rate;
        is_news
    }

    pub(super) fn is_over(&self, now: Millis) -> bool {
        now >= self.until
    }

    /// A permit that does not outlast the cold time.
    pub(super) fn bound(&self, permit: Permit) -> Permit {
        match permit {
            Permit::At(at) => Permit::At(at.min(self.until)),
            permit => permit,
        }
    }

    /// The change that has not been logged yet.
    pub(super) fn take_change(&mut self, now: Millis) -> Option<ColdChange> {
        if self.is_over(now) {
            return self.has_logged.then_some(ColdChange::Ended);
        }
        let is_new = !std::mem::replace(&mut self.has_logged, true);
        is_new.then_some(ColdChange::Began(self.rate, self.until))
    }
}

/// What a gateway has saved up when it begins to send without grants, in millionths of a
/// request. It differs between gateways, so that those that lose an owner at the same
/// time do not all send their first request at the same time.
fn phase(run: RunId, seed: u64) -> u64 {
    let bytes = (run.0 ^ seed.rotate_left(32)).to_le_bytes();
    xxhash_rust::xxh3::xxh3_64(&bytes) % MICROS
}
