//! Whether an endpoint deserves work, judged by what it does.
//!
//! An endpoint's own word about its health is not used: it may be wrong in
//! either direction. Failures and silence count against it, answers for it.

use crate::clock::Millis;

/// How long an endpoint gets no work after its first failure in a row.
const FIRST_PAUSE: Millis = Millis(200);
/// The longest pause; one probe request in this time finds a recovered endpoint.
const LONGEST_PAUSE: Millis = Millis(3_000);
/// Weight of the newest outcome in the share of failed requests.
const FAILURE_WEIGHT: f32 = 0.08;
/// Silence of an endpoint that owes answers, after which it is suspect: ten
/// times the longest regular pause between two events of one stream.
const SILENCE: Millis = Millis(700);

/// The judgement of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures_in_row: u32,
    paused_until: Millis,
    failed_share: f32,
    /// Since when answers are owed, while nothing was heard.
    owed_since: Option<Millis>,
}

impl Health {
    /// Notes a request that was sent.
    pub fn sent(&mut self, now: Millis) {
        self.owed_since.get_or_insert(now);
    }

    /// Notes bytes of an answer.
    pub fn heard(&mut self, now: Millis, owes_more: bool) {
        self.owed_since = owes_more.then_some(now);
    }

    /// Notes an answer that was good, or a refusal that was honest.
    pub fn succeeded(&mut self) {
        self.failures_in_row = 0;
        self.paused_until = Millis::ZERO;
        self.failed_share *= 1.0 - FAILURE_WEIGHT;
    }

    /// Notes an answer that says that the endpoint failed; it still answers.
    pub fn answered_error(&mut self) {
        self.failed_share += (1.0 - self.failed_share) * FAILURE_WEIGHT;
    }

    /// Notes a connection that failed, or an answer that broke off.
    pub fn failed(&mut self, now: Millis) {
        self.answered_error();
        let pause = FIRST_PAUSE.0 << self.failures_in_row.min(4);
        self.failures_in_row += 1;
        self.paused_until = now + Millis(pause.min(LONGEST_PAUSE.0));
    }

    /// Nothing is in flight any more, so no answer is owed.
    pub fn settled(&mut self) {
        self.owed_since = None;
    }

    /// Whether the endpoint is to get work only where no other can.
    pub fn is_suspect(&self, now: Millis) -> bool {
        let is_silent = self.owed_since.is_some_and(|at| now.since(at) > SILENCE);
        now < self.paused_until || is_silent
    }

    /// The recent share of failed requests, 0 to 1.
    pub fn failed_share(&self) -> f32 {
        self.failed_share
    }
}
