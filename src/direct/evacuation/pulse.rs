//! Whether the control thread has run lately.
//!
//! A process that was suspended wakes with old knowledge, while news waits in its sockets.

use crate::clock::Millis;

/// A pause between two ticks of this length is a suspension. Ticks are 50 ms apart.
const SUSPENSION: Millis = Millis(500);
/// How long after a suspension news may still have waited in a socket.
const CATCH_UP: Millis = Millis(1_000);
/// Number of ticks after a suspension until what waited in the sockets has been processed, or
/// a list read in place of a watch whose connection ended meanwhile.
const CATCH_UP_TICKS: u8 = 6;
/// The longest time for which requests are held back after a suspension. The control thread
/// may be starved rather than suspended, and holding back everything does not help it.
const MAX_HOLD: Millis = Millis(1_000);

/// The ticks of the control thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pulse {
    ticked_at: Option<Millis>,
    /// The start and the end of the last suspension.
    suspended: Option<(Millis, Millis)>,
    /// Ticks until requests may be sent again.
    ticks_left: u8,
    held_since: Option<Millis>,
}

impl Pulse {
    /// Records a tick. After a suspension of at least `limit`, news is awaited.
    pub fn tick(&mut self, now: Millis, limit: Millis) {
        let last = self.ticked_at.replace(now).unwrap_or(now);
        let pause = now.since(last);
        if pause >= SUSPENSION {
            self.suspended = Some((last, now));
        }
        if pause >= SUSPENSION.max(limit) {
            self.ticks_left = CATCH_UP_TICKS;
        } else {
            self.ticks_left = self.ticks_left.saturating_sub(1);
        }
        if self.ticks_left == 0 {
            self.held_since = None;
        }
    }

    /// The earliest time at which news that is processed now may have arrived.
    pub fn earliest_arrival(&self, now: Millis) -> Millis {
        let last = self.ticked_at.unwrap_or(now);
        if now.since(last) >= SUSPENSION {
            return last;
        }
        match self.suspended {
            Some((began, ended)) if now.since(ended) < CATCH_UP => began,
            _ => now,
        }
    }

    /// Whether a request has to wait until news that arrived during a suspension of at least
    /// `limit` has been processed.
    pub fn must_wait(&mut self, now: Millis, limit: Millis) -> bool {
        let pause = self.ticked_at.map_or(Millis::ZERO, |at| now.since(at));
        if self.ticks_left == 0 && pause < SUSPENSION.max(limit) {
            return false;
        }
        now.since(*self.held_since.get_or_insert(now)) < MAX_HOLD
    }
}
