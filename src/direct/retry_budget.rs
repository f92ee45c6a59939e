//! Limits the number of retries.
//!
//! Retries multiply the load just when endpoints fail. All gateways together
//! therefore retry at most a given share of the requests in a time window, plus a
//! constant number (the slack). Each gateway counts only its own requests and uses
//! an equal part of the slack.

use std::collections::VecDeque;

use crate::clock::Millis;

/// The operator's limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// The most retries per first attempt.
    pub ratio: f64,
    /// Retries allowed on top of that, over all gateways.
    pub slack: f64,
    /// The time window over which both are counted.
    pub window: Millis,
}

/// Share of the allowed retries that is used. It leaves a margin, as gateways do not
/// know each other's requests, and a retry counts towards the limit when it arrives,
/// not when it was allowed.
const ALLOWANCE_FACTOR: f64 = 0.7;

/// One gateway's attempts and retries for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    first_attempts: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Creates a budget without attempts.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Replaces the limit; attempts and retries stay counted.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Millis) {
        self.remove_expired(now);
        self.first_attempts.push_back(now);
    }

    /// Takes one retry, if one is left when this many gateways share the slack.
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
