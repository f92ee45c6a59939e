//! How fast the endpoints of a service answer, learned from their responses, and how many
//! requests arrive.
//!
//! Nothing here does I/O.

use crate::clock::Millis;

/// Share of the requests whose prompts are read faster than the learned rate. It is low, so
/// that waits in queues don't count as reading.
const FAST_SHARE: f64 = 0.1;
/// Relative step by which the reading time follows a faster or slower request.
const READ_STEP: f64 = 0.1;
/// Weight of the latest response in the average duration.
const RUN_WEIGHT: f64 = 0.05;
/// Weight of the latest gap between two events in the average gap. Gaps are many more than
/// responses.
const EVENT_WEIGHT: f64 = 0.005;
/// Duration that is assumed before the first response has ended.
const DEFAULT_RUN_MS: f64 = 1_000.0;
/// Time over which arrivals are averaged.
const ARRIVAL_SPAN_MS: f64 = 2_000.0;

/// The pace of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Time to read a prompt token, in milliseconds; `None` before the first response.
    read_ms: Option<f64>,
    /// Average time from the first event of a response to its end.
    run_ms: f64,
    /// Average time between two events of a stream, and of how many gaps.
    event_ms: f64,
    gaps: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            read_ms: None,
            run_ms: DEFAULT_RUN_MS,
            event_ms: 0.0,
            gaps: 0,
        }
    }
}

impl Pace {
    /// Records that a response began this long after its request was sent.
    pub fn record_start(&mut self, prompt_tokens: u32, took: Millis) {
        if prompt_tokens == 0 {
            return;
        }
        let newest = took.0.max(1) as f64 / f64::from(prompt_tokens);
        let read = self.read_ms.get_or_insert(newest);
        *read *= match newest < *read {
            true => 1.0 - READ_STEP * (1.0 - FAST_SHARE),
            false => 1.0 + READ_STEP * FAST_SHARE,
        };
    }

    /// Records that a response ended this long after it had begun.
    pub fn record_run(&mut self, took: Millis) {
        self.run_ms += (took.0 as f64 - self.run_ms) * RUN_WEIGHT;
    }

    /// Records the time between two events of a stream.
    pub fn record_gap(&mut self, gap: Millis) {
        self.gaps = self.gaps.saturating_add(1);
        let weight = EVENT_WEIGHT.max(1.0 / f64::from(self.gaps));
        self.event_ms += (gap.0 as f64 - self.event_ms) * weight;
    }

    /// Average time between two events of a stream, in milliseconds; `None` before the first.
    pub fn event_ms(&self) -> Option<f64> {
        (self.gaps > 0).then_some(self.event_ms)
    }

    /// The time in which an idle endpoint reads a prompt.
    pub fn read_time(&self, prompt_tokens: u32) -> Millis {
        Millis((self.read_ms.unwrap_or(0.0) * f64::from(prompt_tokens)) as u64)
    }

    /// Average duration of a response.
    pub fn run_time(&self) -> Millis {
        Millis((self.run_ms as u64).max(1))
    }
}

/// The rate at which requests arrive, as an exponential average over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrivals {
    per_s: f64,
    at: Millis,
}

impl Arrivals {
    /// Records that a request arrived. Returns the rate without it.
    pub fn record(&mut self, now: Millis) -> f64 {
        let before = self.rate(now);
        *self = Self {
            per_s: before + 1_000.0 / ARRIVAL_SPAN_MS,
            at: now,
        };
        before
    }

    /// The rate at this time.
    pub fn rate(&self, now: Millis) -> f64 {
        let age = now.since(self.at).0 as f64;
        self.per_s * (-age / ARRIVAL_SPAN_MS).exp()
    }

    /// Whether none has arrived for so long that the rate is no longer of use.
    pub fn is_over(&self, now: Millis) -> bool {
        now.since(self.at).0 as f64 > 5.0 * ARRIVAL_SPAN_MS
    }
}
