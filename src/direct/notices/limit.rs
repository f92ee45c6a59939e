//! The rate of requests that an endpoint takes from all gateways together, and what this
//! gateway may send of it.

use super::Permit;
use crate::clock::Millis;
use crate::direct::rate_owner::{Grant, MICROS, NEWS_DELAY, NamedRate, RequestRate};

/// How long a grant is valid. Its owner counts it as used when it is given.
const GRANT_LIFETIME: Millis = Millis(100);
/// How long a gateway waits for the owner's answer: many round trips between zones, and
/// its control thread under load.
pub const ANSWER_TIMEOUT: Millis = Millis(150);
/// Questions in a row without an answer after which the owner counts as silent. One
/// datagram may be lost.
const MAX_MISSED: u32 = 2;
/// For how long an owner that did not answer is not asked.
const SILENT_TIME: Millis = Millis(1_000);
/// A gateway that can't ask sends at an even share of the rate, divided by this. If some
/// gateways can ask and others can't, they all send at most half more than the rate.
const ALONE_DIVISOR: u64 = 2;
/// The longest time for which a gateway saves up for a cold endpoint before it is alone. If
/// each of many gateways saved up a whole request, they would send them all in the second
/// in which they lose the owner.
const MAX_ALONE_SPAN: Millis = Millis(1_000);

/// What has changed in the rate that an endpoint takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It names this rate, which is new or differs from the last one.
    Named(RequestRate),
    /// It does not name one any more.
    Ended,
}

/// The rate of one endpoint, and the requests that were granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    /// The last response that named it.
    pub(super) named: NamedRate,
    grants: u32,
    grants_until: Millis,
    denied_until: Millis,
    /// When the owner was asked, until it answers.
    asked_at: Option<Millis>,
    /// Requests that wait for a grant.
    waiting: u32,
    /// Questions in a row that got no answer.
    missed: u32,
    alone_until: Millis,
    /// What has been saved up since the last answer, in millionths of a request.
    alone_level: u64,
    alone_at: Millis,
    /// Whether this is the limit of a cold time.
    is_cold: bool,
}

impl Limit {
    pub(super) fn new(now: Millis, rate: RequestRate, sent_at: Millis) -> Self {
        Self {
            named: NamedRate {
                rate,
                sent_at,
                heard_at: now,
            },
            grants: 0,
            grants_until: Millis::ZERO,
            denied_until: Millis::ZERO,
            asked_at: None,
            waiting: 0,
            missed: 0,
            alone_until: Millis::ZERO,
            alone_level: 0,
            alone_at: now,
            is_cold: false,
        }
    }

    /// The limit of an endpoint that is cold from now on, with what this gateway has saved
    /// up for a time in which it can't ask.
    pub(super) fn cold(now: Millis, rate: RequestRate, alone_level: u64) -> Self {
        Self {
            alone_level,
            is_cold: true,
            ..Self::new(now, rate, now)
        }
    }

    /// Sets the rate, as of now.
    pub(super) fn set_rate(&mut self, now: Millis, rate: RequestRate) {
        self.named = NamedRate {
            rate,
            sent_at: now,
            heard_at: now,
        };
    }

    /// Records a rate in a response to a request that was sent at `sent_at`. A higher rate
    /// counts only if the response was written after the last one with a lower rate.
    pub(super) fn hear(&mut self, now: Millis, rate: RequestRate, sent_at: Millis) -> bool {
        let known = self.named;
        if rate > known.rate && sent_at < known.heard_at {
            return false;
        }
        self.named = NamedRate {
            rate,
            sent_at: sent_at.max(known.sent_at),
            heard_at: now,
        };
        rate != known.rate
    }

    /// Whether a response without a rate, to a request that was sent at `sent_at`, was
    /// certainly written after the last one with a rate.
    pub(super) fn has_ended(&self, sent_at: Millis) -> bool {
        sent_at >= self.named.heard_at
    }

    /// The same for a response that another gateway heard.
    pub(super) fn has_ended_elsewhere(&self, sent_at: Millis) -> bool {
        sent_at >= self.named.heard_at + NEWS_DELAY
    }

    pub(super) fn permit(&self, now: Millis) -> Permit {
        if self.grants > 0 && now < self.grants_until {
            return Permit::Now;
        }
        match now < self.denied_until {
            true => Permit::At(self.denied_until),
            false => Permit::Ask,
        }
    }

    /// Takes a grant, or an own share while the owner can't be asked.
    pub(super) fn begin(&mut self, now: Millis, gateways: usize) -> Permit {
        let permit = self.permit(now);
        match permit {
            Permit::Now => self.grants -= 1,
            Permit::Ask if now < self.alone_until => return self.begin_alone(now, gateways),
            _ => {}
        }
        permit
    }

    fn begin_alone(&mut self, now: Millis, gateways: usize) -> Permit {
        // Thousandths of a request in a second are millionths in a millisecond.
        let per_ms = u64::from(self.named.rate.0);
        let divisor = gateways as u64 * ALONE_DIVISOR;
        let mut span = now.since(self.alone_at);
        if self.is_cold {
            span = span.min(MAX_ALONE_SPAN);
        }
        let accrued = per_ms.saturating_mul(span.0) / divisor;
        if accrued > 0 {
            self.alone_level = (self.alone_level + accrued).min(MICROS);
            self.alone_at = now;
        }
        if self.alone_level >= MICROS {
            self.alone_level -= MICROS;
            return Permit::Now;
        }
        let missing = (MICROS - self.alone_level).saturating_mul(divisor);
        let accrued_at = now + Millis(missing.div_ceil(per_ms.max(1)));
        self.denied_until = accrued_at.min(self.alone_until).max(now + Millis(1));
        Permit::At(self.denied_until)
    }

    /// Counts a request that begins to wait for a grant.
    pub(super) fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that waits no more.
    pub(super) fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns for how many requests to ask the owner, unless it is being asked.
    pub(super) fn ask(&mut self, now: Millis) -> Option<u32> {
        if self.asked_at.is_some() {
            return None;
        }
        self.asked_at = Some(now);
        Some(self.waiting.max(1))
    }

    /// Records the owner's answer.
    pub(super) fn answered(&mut self, now: Millis, grant: Grant, wanted: u32) {
        let asked_at = self.asked_at.take();
        if self.is_cold && asked_at.is_none_or(|at| now.since(at) > ANSWER_TIMEOUT) {
            // The owner granted long ago what would be sent now.
            return;
        }
        self.missed = 0;
        self.alone_at = now;
        if now >= self.grants_until {
            self.grants = 0;
        }
        self.grants += grant.requests;
        if grant.requests > 0 {
            self.grants_until = now + GRANT_LIFETIME;
        }
        if grant.requests < wanted {
            self.denied_until = now + grant.next_in;
        }
    }

    /// Records that the owner has not answered for as long as a request waited.
    pub(super) fn unanswered(&mut self, now: Millis) {
        let is_overdue = self
            .asked_at
            .is_some_and(|at| now.since(at) >= ANSWER_TIMEOUT);
        if is_overdue {
            self.asked_at = None;
            self.missed += 1;
            if self.missed >= MAX_MISSED {
                self.alone_until = now + SILENT_TIME;
            }
        }
    }
}
