//! How urgent a request is, by the operator's statements.

use crate::clock::Millis;

/// A deferrable request's target, as a multiple of the shortest one of the service.
const MIN_TARGET_RATIO: u64 = 4;
/// The lowest priority that is told apart: engines know ranks from 0 to 9, two for each priority.
const LOWEST_PRIORITY: u8 = 4;
/// The lowest priority that engines accept.
const LOWEST_RANK: u8 = 9;
/// Share of its target that a deferrable request may wait, in percent. The rest is left for a
/// queue at the engine and for reading the prompt.
const DEFERRABLE_WAIT_PERCENT: u64 = 60;
/// Share of its time that it may wait, in percent: one that is refused in the end can still be
/// served when its caller comes back.
const MAX_TIME_PERCENT: u64 = 20;
/// The same for other requests: a refusal that comes later keeps their callers from being in
/// time elsewhere.
const LIVE_WAIT_PERCENT: u64 = 12;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Whether it may wait much longer than other requests to the service.
    pub is_deferrable: bool,
    /// The priority that is sent to engines, from 0 to 9; 0 is the highest.
    pub rank: u8,
}

impl Urgency {
    /// The urgency of a request with a target and a priority; 0 is the highest. `shortest` is
    /// the shortest target of the service's streams.
    pub fn new(target: Millis, priority: u8, shortest: Option<Millis>) -> Self {
        let is_deferrable = shortest
            .is_some_and(|shortest| target.0 >= shortest.0.saturating_mul(MIN_TARGET_RATIO));
        let rank = priority.min(LOWEST_PRIORITY) * 2 + u8::from(is_deferrable);
        Self {
            is_deferrable,
            rank,
        }
    }

    /// The urgency where all requests are live and only priorities are told apart.
    pub fn by_priority(priority: u8) -> Self {
        Self {
            is_deferrable: false,
            rank: priority.min(LOWEST_RANK),
        }
    }

    /// The latest time at which a request is sent to be in time. `time_left` is the time from
    /// its arrival to its timeout.
    pub fn latest_start(self, arrived: Millis, target: Millis, time_left: Millis) -> Millis {
        let by_target = |percent| target.min(time_left).0 * percent / 100;
        let wait = match self.is_deferrable {
            true => by_target(DEFERRABLE_WAIT_PERCENT).min(time_left.0 * MAX_TIME_PERCENT / 100),
            false => by_target(LIVE_WAIT_PERCENT),
        };
        arrived + Millis(wait)
    }
}
