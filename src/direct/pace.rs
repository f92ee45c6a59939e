//! How fast the endpoints of a service answer, and how long requests wait at one of them,
//! learned from their responses.
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
/// Duration that is assumed before the first response has ended.
const DEFAULT_RUN_MS: f64 = 1_000.0;

/// The pace of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Time to read a prompt token, in milliseconds; `None` before the first response.
    read_ms: Option<f64>,
    /// Average time from the first event of a response to its end.
    run_ms: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            read_ms: None,
            run_ms: DEFAULT_RUN_MS,
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

    /// The time in which an idle endpoint reads a prompt.
    pub fn read_time(&self, prompt_tokens: u32) -> Millis {
        Millis((self.read_ms.unwrap_or(0.0) * f64::from(prompt_tokens)) as u64)
    }

    /// Average duration of a response.
    pub fn run_time(&self) -> Millis {
        Millis((self.run_ms as u64).max(1))
    }

    /// How long a request waits at an endpoint that has these requests and no room for it.
    pub fn queue_wait(&self, requests: u32, slots: u32) -> Millis {
        let ahead = (requests + 1).saturating_sub(slots);
        Millis((self.run_ms * f64::from(ahead) / f64::from(slots.max(1))) as u64)
    }
}

/// The starts of one gateway's requests at an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Starts {
    /// When the responses of the requests that have not begun would begin if none of them
    /// waited, sorted.
    due: Vec<Millis>,
    /// How long the last request to begin had waited, and when it began.
    last: Option<(Millis, Millis)>,
}

impl Starts {
    /// A request was sent whose response begins at `due` unless it has to wait.
    pub fn sent(&mut self, due: Millis) {
        let at = self.due.partition_point(|known| *known <= due);
        self.due.insert(at, due);
    }

    /// The response to a request began.
    pub fn began(&mut self, now: Millis, due: Millis) {
        self.ended(due);
        self.last = Some((now.since(due), now));
    }

    /// A request is over without a response.
    pub fn ended(&mut self, due: Millis) {
        if let Ok(at) = self.due.binary_search(&due) {
            self.due.remove(at);
        }
    }

    /// How long a request that is sent now waits at least. What waited when the last response
    /// began has begun after the same time, unless more was sent meanwhile.
    pub fn wait(&self, now: Millis) -> Millis {
        let oldest = self.due.first().map_or(Millis::ZERO, |due| now.since(*due));
        let last = self
            .last
            .map_or(Millis::ZERO, |(wait, at)| wait.since(now.since(at)));
        oldest.max(last)
    }
}
