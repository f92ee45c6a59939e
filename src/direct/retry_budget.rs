//! How many requests may be sent a second time.
//!
//! Repeats multiply the load exactly when endpoints fail, so that all gateways
//! together keep within a share of the requests of a window, plus a slack. Each
//! gateway keeps to its own requests and an equal part of the slack.

use std::collections::VecDeque;

use crate::clock::Millis;

/// The operator's bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each first request, at most.
    pub ratio: f64,
    /// Repeats on top, over all gateways.
    pub slack: f64,
    /// The span over which both are counted.
    pub window: Millis,
}

/// Part of the allowance that is used: gateways are not told of each other's
/// requests, and a repeat counts when it arrives, not when it was allowed.
const ALLOWANCE_FACTOR: f64 = 0.7;

/// One gateway's count for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    first_attempts: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// An empty count.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Notes a request that is sent for the first time.
    pub fn record_first_attempt(&mut self, now: Millis) {
        self.remove_expired(now);
        self.first_attempts.push_back(now);
    }

    /// Takes one repeat, if one is left for a fleet of so many gateways.
    pub fn try_take(&mut self, now: Millis, gateways: usize) -> bool {
        self.remove_expired(now);
        let by_ratio = self.first_attempts.len() as f64 * self.limit.ratio;
        let by_slack = self.limit.slack / gateways.max(1) as f64;
        let allowed = (by_ratio + by_slack) * ALLOWANCE_FACTOR;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn remove_expired(&mut self, now: Millis) {
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.since(*at) > self.limit.window)
            {
                times.pop_front();
            }
        }
    }
}
