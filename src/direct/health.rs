//! Passive health checks: the state of an endpoint as observed by its responses.
//!
//! Failures and silence count against an endpoint, responses for it. What it
//! reports about its own health is not used, as it may be wrong in either direction.

use crate::clock::Millis;

/// How long an endpoint is suspect after the first of consecutive failures.
const INITIAL_BACKOFF: Millis = Millis(200);
/// The longest backoff. After it the endpoint gets requests again, by which a
/// recovery is detected.
const MAX_BACKOFF: Millis = Millis(3_000);
/// Weight of the latest outcome in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f32 = 0.08;
/// Silence after which an endpoint with requests in flight is suspect: ten times
/// the longest regular gap between two events of one stream.
const SILENCE_TIMEOUT: Millis = Millis(700);

/// The observed health of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    backoff_until: Millis,
    failure_rate: f32,
    /// When data last arrived or, if none did yet, when the first request in flight
    /// was sent; `None` while no data is expected.
    awaiting_since: Option<Millis>,
}

impl Health {
    /// Records a request that is about to be sent.
    pub fn record_sent(&mut self, now: Millis) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Records received data; `is_awaiting_more` tells whether more is expected.
    pub fn record_data(&mut self, now: Millis, is_awaiting_more: bool) {
        self.awaiting_since = is_awaiting_more.then_some(now);
    }

    /// Records a complete response.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = Millis::ZERO;
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
    }

    /// Records a server error. The endpoint still responds, so there is no backoff.
    pub fn record_error_response(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
    }

    /// Records a connection that failed or a response that broke off.
    pub fn record_failure(&mut self, now: Millis) {
        self.record_error_response();
        let backoff = INITIAL_BACKOFF.0 << self.consecutive_failures.min(4);
        self.consecutive_failures += 1;
        self.backoff_until = now + Millis(backoff.min(MAX_BACKOFF.0));
    }

    /// Records that no request is in flight, so that no data is expected.
    pub fn record_idle(&mut self) {
        self.awaiting_since = None;
    }

    /// Whether the endpoint should get requests only if no other one can serve them.
    pub fn is_suspect(&self, now: Millis) -> bool {
        let is_silent = self
            .awaiting_since
            .is_some_and(|at| now.since(at) > SILENCE_TIMEOUT);
        now < self.backoff_until || is_silent
    }

    /// Moving average of the share of failed requests, 0 to 1.
    pub fn failure_rate(&self) -> f32 {
        self.failure_rate
    }
}
