//! Whether an endpoint deserves work, judged by what it does.
//!
//! An endpoint's own word about its health is not used: it may be wrong in
//! either direction. Failures and silence count against it, answers for it.

use crate::clock::Millis;

/// How long an endpoint gets no work after its first failure in a row.
const INITIAL_BACKOFF: Millis = Millis(200);
/// The longest pause; one probe request in this time finds a recovered endpoint.
const MAX_BACKOFF: Millis = Millis(3_000);
/// Weight of the newest outcome in the share of failed requests.
const FAILURE_RATE_WEIGHT: f32 = 0.08;
/// Silence of an endpoint that owes answers, after which it is suspect: ten
/// times the longest regular pause between two events of one stream.
const SILENCE_TIMEOUT: Millis = Millis(700);

/// The judgement of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    backoff_until: Millis,
    failure_rate: f32,
    /// Since when answers are owed, while nothing was heard.
    awaiting_since: Option<Millis>,
}

impl Health {
    /// Notes a request that was sent.
    pub fn record_sent(&mut self, now: Millis) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Notes bytes of an answer.
    pub fn record_data(&mut self, now: Millis, is_awaiting_more: bool) {
        self.awaiting_since = is_awaiting_more.then_some(now);
    }

    /// Notes an answer that was good, or a refusal that was honest.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.backoff_until = Millis::ZERO;
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
    }

    /// Notes an answer that says that the endpoint failed; it still answers.
    pub fn record_error_response(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
    }

    /// Notes a connection that failed, or an answer that broke off.
    pub fn record_failure(&mut self, now: Millis) {
        self.record_error_response();
        let backoff = INITIAL_BACKOFF.0 << self.consecutive_failures.min(4);
        self.consecutive_failures += 1;
        self.backoff_until = now + Millis(backoff.min(MAX_BACKOFF.0));
    }

    /// Nothing is in flight any more, so no answer is owed.
    pub fn record_idle(&mut self) {
        self.awaiting_since = None;
    }

    /// Whether the endpoint is to get work only where no other can.
    pub fn is_suspect(&self, now: Millis) -> bool {
        let is_silent = self
            .awaiting_since
            .is_some_and(|at| now.since(at) > SILENCE_TIMEOUT);
        now < self.backoff_until || is_silent
    }

    /// The recent share of failed requests, 0 to 1.
    pub fn failure_rate(&self) -> f32 {
        self.failure_rate
    }
}
