//! Grants requests to endpoints that name the rate which they take from all gateways.
//!
//! For each such endpoint one gateway, selected by rendezvous hashing, grants the requests of
//! all gateways one by one. So the rate is kept whatever gateway has the callers, also if
//! it is less than one request for each gateway.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use super::notices::RunId;
use crate::clock::Millis;

/// Millionths of a request in one request.
pub const MICROS: u64 = 1_000_000;
/// The longest time that a message between gateways takes, unless one of them is in trouble.
pub const NEWS_DELAY: Millis = Millis(200);
/// The span over which an endpoint counts.
const COUNTED_SPAN: Millis = Millis(4_000);
/// Time by which the spacing of two requests may shrink between their grants and their
/// arrival.
const JITTER: Millis = Millis(150);
/// Length of the intervals by which grants are counted.
const BIN: Millis = Millis(50);
/// One more than fill the span, as the latest one has just begun.
const BINS: usize = ((COUNTED_SPAN.0 + JITTER.0) / BIN.0 + 1) as usize;
/// An endpoint gets one request in this time, however little it takes: its response tells
/// when the limit has ended.
const PROBE_INTERVAL: Millis = Millis(COUNTED_SPAN.0 + JITTER.0);
/// Time in which grants that nobody wanted are saved up, and the least number of them.
const SAVED_SPAN: Millis = Millis(500);
const MIN_SAVED: u64 = 2 * MICROS;
/// The least of a limit, in percent, that its requests in one span must amount to. It
/// decides how a number of requests that is not whole is rounded.
const MIN_USE_PERCENT: u64 = 85;
/// The span over which a cold endpoint counts: it ends soon after a second in which it got
/// too many requests.
const COLD_SPAN: Millis = Millis(1_000);
/// Intervals that fill it, as for `BINS`.
const COLD_BINS: usize = ((COLD_SPAN.0 + JITTER.0) / BIN.0 + 1) as usize;
/// Time in which grants to a cold endpoint are saved up.
const COLD_SAVED_SPAN: Millis = Millis(200);
/// The longest time for which the grants of an endpoint are kept that nobody asks for.
const RECORD_LIFETIME: Millis = Millis(60_000);

/// A rate of requests, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub u32);

/// A rate that an endpoint named in a response. Times of other gateways are worked out from
/// ages, and later than the real ones by the time that a message took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedRate {
    /// The rate.
    pub rate: RequestRate,
    /// When the request was sent; the response was written later.
    pub sent_at: Millis,
    /// When the response arrived; it was written before.
    pub heard_at: Millis,
}

impl NamedRate {
    /// A rate as another gateway knows it, with the times since the request was sent and the
    /// response arrived.
    pub fn aged(now: Millis, rate: RequestRate, sent_age: Millis, heard_age: Millis) -> Self {
        Self {
            rate,
            sent_at: Millis(now.0.saturating_sub(sent_age.0)),
            heard_at: Millis(now.0.saturating_sub(heard_age.0)),
        }
    }

    /// Whether this was certainly named after another one.
    fn is_newer_than(&self, other: &Self) -> bool {
        self.sent_at >= other.heard_at + NEWS_DELAY
    }

    /// The newer one of two, or the lower one if nobody knows which that is.
    fn merge(self, other: Self) -> Self {
        if self.is_newer_than(&other) || other.is_newer_than(&self) {
            return match self.is_newer_than(&other) {
                true => self,
                false => other,
            };
        }
        match self.rate.cmp(&other.rate) {
            Ordering::Less => self,
            Ordering::Greater => other,
            Ordering::Equal => Self {
                rate: self.rate,
                sent_at: self.sent_at.max(other.sent_at),
                heard_at: self.heard_at.max(other.heard_at),
            },
        }
    }
}

/// The answer to a gateway that wants to send requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Requests that it may send at once.
    pub requests: u32,
    /// When the next one can be granted.
    pub next_in: Millis,
}

#[derive(Clone, Debug)]
struct Endpoint {
    run: RunId,
    named: NamedRate,
    asked_at: Millis,
    /// What has accrued and was not granted, in millionths.
    level: u64,
    accrued_at: Millis,
    /// Grants by interval, in millionths; the interval with number `n` is at `n % BINS`.
    bins: [u64; BINS],
    /// The number of the latest interval.
    bin: u64,
    /// The rate that it takes while it is cold, if it is.
    cold: Option<RequestRate>,
}

impl Endpoint {
    /// Nobody knows what was granted before, by another gateway or by none. It counts as
    /// the whole rate, so that a new owner goes on where the last one stopped.
    fn new(now: Millis, run: RunId, named: NamedRate) -> Self {
        Self {
            run,
            named,
            asked_at: now,
            level: 0,
            accrued_at: now,
            bins: [micros_per_ms(named.rate) * BIN.0; BINS],
            bin: now.0 / BIN.0,
            cold: None,
        }
    }

    fn advance(&mut self, now: Millis) {
        let per_ms = micros_per_ms(self.named.rate);
        let accrued = now.since(self.accrued_at).0.saturating_mul(per_ms);
        let most = MIN_SAVED.max(SAVED_SPAN.0 * per_ms);
        self.level = self.level.saturating_add(accrued).min(most);
        self.accrued_at = self.accrued_at.max(now);
        let bin = now.0 / BIN.0;
        let passed = bin.saturating_sub(self.bin).min(BINS as u64);
        for n in 0..passed {
            self.bins[((bin - n) % BINS as u64) as usize] = 0;
        }
        self.bin = self.bin.max(bin);
    }

    fn grant(&mut self, now: Millis, wanted: u32) -> Grant {
        if let Some(rate) = self.cold {
            let most = MICROS.max(COLD_SAVED_SPAN.0 * micros_per_ms(rate));
            self.level = self.level.min(most);
        }
        let room = self.spans().map(|span| span.room(self)).min().unwrap_or(0);
        let requests = (self.level / MICROS)
            .min(room / MICROS)
            .min(u64::from(wanted));
        self.level -= requests * MICROS;
        self.bins[(self.bin % BINS as u64) as usize] += requests * MICROS;
        Grant {
            requests: requests as u32,
            next_in: self.next_in(now),
        }
    }

    /// The spans in which grants are bounded.
    fn spans(&self) -> impl Iterator<Item = Span> + use<> {
        let usual = Span {
            bins: BINS as u64,
            capacity: span_capacity(self.named.rate),
        };
        let cold = self.cold.map(|rate| Span {
            bins: COLD_BINS as u64,
            capacity: MICROS.max(micros_per_ms(rate) * COLD_SPAN.0 / MICROS * MICROS),
        });
        std::iter::once(usual).chain(cold)
    }

    /// The time until one more request can be granted.
    fn next_in(&self, now: Millis) -> Millis {
        let missing = MICROS.saturating_sub(self.level);
        let accrued_in = Millis(missing.div_ceil(micros_per_ms(self.named.rate)));
        let freed_in = self.spans().map(|span| span.freed_in(now, self));
        freed_in.fold(accrued_in, Millis::max)
    }
}

/// A number of the latest intervals, and the most that is granted in them, in millionths.
struct Span {
    bins: u64,
    capacity: u64,
}

impl Span {
    /// The grants in an interval.
    fn at(endpoint: &Endpoint, bin: u64) -> u64 {
        endpoint.bins[(bin % BINS as u64) as usize]
    }

    fn granted(&self, endpoint: &Endpoint) -> u64 {
        // The numbers of intervals before the start of the clock wrap round like the others.
        let latest = endpoint.bin + BINS as u64;
        let bins = (0..self.bins).map(|n| Self::at(endpoint, latest - n));
        bins.sum()
    }

    fn room(&self, endpoint: &Endpoint) -> u64 {
        self.capacity.saturating_sub(self.granted(endpoint))
    }

    /// The time until there is room for one more request.
    fn freed_in(&self, now: Millis, endpoint: &Endpoint) -> Millis {
        let mut granted = self.granted(endpoint);
        let mut passed = 0;
        while granted + MICROS > self.capacity && passed < self.bins {
            // With the intervals that are dropped first.
            let oldest = endpoint.bin + BINS as u64 + 1 + passed - self.bins;
            granted -= Self::at(endpoint, oldest);
            passed += 1;
        }
        match passed {
            0 => Millis::ZERO,
            // An interval is dropped when a later one begins.
            _ => Millis(((endpoint.bin + passed) * BIN.0).saturating_sub(now.0)),
        }
    }
}

/// Millionths of a request that accrue in a millisecond.
fn micros_per_ms(rate: RequestRate) -> u64 {
    u64::from(rate.0).max(MICROS.div_ceil(PROBE_INTERVAL.0))
}

/// The most that is granted in a span, in millionths.
fn span_capacity(rate: RequestRate) -> u64 {
    let exact = micros_per_ms(rate) * COUNTED_SPAN.0;
    let whole = exact / MICROS * MICROS;
    let is_enough = whole * 100 >= exact * MIN_USE_PERCENT;
    match is_enough {
        true => whole,
        false => exact.div_ceil(MICROS) * MICROS,
    }
}

/// The endpoints for which this gateway grants requests, sorted by run.
#[derive(Clone, Debug, Default)]
pub struct RateOwner {
    endpoints: Vec<Endpoint>,
    /// The set of gateways among which the owners were chosen.
    membership: u64,
}

impl RateOwner {
    /// Notes the set of gateways. If it has changed, another gateway may have granted
    /// requests meanwhile.
    pub fn set_membership(&mut self, membership: u64) {
        if std::mem::replace(&mut self.membership, membership) != membership {
            self.endpoints.clear();
        }
    }

    /// Grants requests to a gateway that knows this rate.
    pub fn grant(&mut self, now: Millis, run: RunId, named: NamedRate, wanted: u32) -> Grant {
        self.grant_at(now, run, named, None, wanted)
    }

    /// Grants requests to an endpoint that is cold and takes this rate meanwhile, or the one
    /// that it names if that is lower. They are bounded in each second.
    pub fn grant_cold(
        &mut self,
        now: Millis,
        run: RunId,
        named: NamedRate,
        rate: RequestRate,
        wanted: u32,
    ) -> Grant {
        let named = NamedRate {
            rate: named.rate.min(rate),
            ..named
        };
        self.grant_at(now, run, named, Some(rate), wanted)
    }

    fn grant_at(
        &mut self,
        now: Millis,
        run: RunId,
        named: NamedRate,
        cold: Option<RequestRate>,
        wanted: u32,
    ) -> Grant {
        self.endpoints
            .retain(|e| e.run == run || now.since(e.asked_at) < RECORD_LIFETIME);
        let at = self.endpoints.partition_point(|e| e.run < run);
        if self.endpoints.get(at).is_none_or(|e| e.run != run) {
            self.endpoints.insert(at, Endpoint::new(now, run, named));
        }
        let endpoint = &mut self.endpoints[at];
        endpoint.asked_at = now;
        // What accrued until now did so at the last rate.
        endpoint.advance(now);
        endpoint.named = endpoint.named.merge(named);
        endpoint.cold = cold;
        endpoint.grant(now, wanted)
    }
}
