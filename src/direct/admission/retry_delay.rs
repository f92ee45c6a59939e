//! When callers that are refused for lack of room should try again.

use crate::clock::Millis;
use crate::direct::pace::Arrivals;

/// The shortest `Retry-After` of a caller that has time: about the duration of a response.
const SHORTEST: Millis = Millis(1_000);
/// The longest `Retry-After`: bursts end within a few seconds.
const LONGEST: Millis = Millis(4_000);
/// Callers wait for at most this part of the time that they have left.
const MAX_TIME_DIVISOR: u64 = 3;
/// Share of refused requests from which the whole time is used. If half of them are refused,
/// twice the capacity arrives, and callers that return soon would be refused again.
const FULL_SPREAD_SHARE: f64 = 0.5;
/// Part of the time that is used however few are refused, so that callers don't all return at
/// once.
const MIN_SPREAD: f64 = 0.25;

/// `Retry-After` for a caller with this time left, given the share of recent requests that were
/// refused and a random number from 0 to 1.
pub fn retry_delay(time_left: Millis, refused_share: f64, draw: f64) -> Millis {
    let longest = Millis(time_left.0 / MAX_TIME_DIVISOR).min(LONGEST);
    // A caller whose time is short still gets a delay that it honours.
    let shortest = SHORTEST.min(Millis(longest.0 / 2));
    let spread = (refused_share / FULL_SPREAD_SHARE).clamp(MIN_SPREAD, 1.0);
    let span = longest.since(shortest).0 as f64 * spread;
    shortest + Millis((span * draw) as u64)
}

/// How many of the recent requests to a service were refused for lack of room.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusedShare {
    arrived: Arrivals,
    refused: Arrivals,
}

impl RefusedShare {
    /// Records that a request arrived.
    pub fn record_arrival(&mut self, now: Millis) {
        self.arrived.record(now);
    }

    /// Records that one was refused for lack of room.
    pub fn record_refusal(&mut self, now: Millis) {
        self.refused.record(now);
    }

    /// The share, from 0 to 1.
    pub fn get(&self, now: Millis) -> f64 {
        let arrived = self.arrived.rate(now).max(f64::MIN_POSITIVE);
        (self.refused.rate(now) / arrived).min(1.0)
    }
}
