//! Open-loop load: requests leave at their times, whether or not earlier ones
//! were answered, and latency counts from the time a request was due.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Method;
use http_body_util::BodyExt as _;

use crate::caller::{Ask, Caller};

/// The longest latency that is told apart, in microseconds.
const MAX_US: u64 = 60_000_000;

/// One stream of requests.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The key.
    pub key: Option<String>,
    /// The class.
    pub class: Option<String>,
    /// The body.
    pub body: String,
    /// Requests a second.
    pub rate: f64,
    /// How long requests leave, in seconds.
    pub seconds: f64,
    /// The target for the first byte, in milliseconds.
    pub target_ms: u64,
}

/// What became of a stream's requests.
#[derive(Debug)]
pub struct Report {
    /// Time to the first byte of answers, in microseconds.
    pub first: Histogram<u64>,
    /// Time to the end of answers, in microseconds.
    pub whole: Histogram<u64>,
    /// Requests answered whole with status 200.
    pub answered: u64,
    /// Answered requests whose first byte met the target.
    pub met: u64,
    /// Refusals by result code, sorted by code.
    pub refused: Vec<(u64, u64)>,
    /// Requests whose connection broke.
    pub broken: u64,
}

enum Ended {
    Answered { first: Duration, whole: Duration },
    Refused(u64),
    Broken,
}

/// Sends a stream and waits for its last answer.
pub async fn send(caller: &Caller, stream: &Stream) -> Report {
    let start = Instant::now();
    let count = (stream.rate * stream.seconds) as u64;
    let mut tasks = Vec::with_capacity(count as usize);
    for n in 0..count {
        let due = start + Duration::from_secs_f64(n as f64 / stream.rate);
        tokio::time::sleep_until(due.into()).await;
        let (caller, stream) = (caller.clone(), stream.clone());
        tasks.push(tokio::spawn(
            async move { one(&caller, &stream, due).await },
        ));
    }
    let mut report = Report::new();
    for task in tasks {
        report.add(task.await.unwrap_or(Ended::Broken), stream.target_ms);
    }
    report
}

/// Sends requests of a stream one after the other, each as soon as the one
/// before was answered; the rate is passed over.
pub async fn send_in_turn(caller: &Caller, stream: &Stream) -> Report {
    let start = Instant::now();
    let mut report = Report::new();
    while start.elapsed().as_secs_f64() < stream.seconds {
        let ended = one(caller, stream, Instant::now()).await;
        report.add(ended, stream.target_ms);
    }
    report
}

async fn one(caller: &Caller, stream: &Stream, due: Instant) -> Ended {
    let ask = Ask {
        key: stream.key.as_deref(),
        class: stream.class.as_deref(),
        idempotency_key: None,
    };
    let body = stream.body.clone();
    let opened = caller
        .open(stream.method.clone(), &stream.path, &ask, body)
        .await;
    let Ok(res) = opened else {
        return Ended::Broken;
    };
    let code = res.headers().get("x-result-code");
    if let Some(code) = code.and_then(|c| c.to_str().ok()?.parse().ok()) {
        return Ended::Refused(code);
    }
    let first = due.elapsed();
    match res.into_body().collect().await {
        Ok(_) => Ended::Answered {
            first,
            whole: due.elapsed(),
        },
        Err(_) => Ended::Broken,
    }
}

impl Report {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(MAX_US, 3).expect("valid bounds");
        Self {
            first: histogram(),
            whole: histogram(),
            answered: 0,
            met: 0,
            refused: Vec::new(),
            broken: 0,
        }
    }

    fn add(&mut self, ended: Ended, target_ms: u64) {
        match ended {
            Ended::Answered { first, whole } => {
                self.answered += 1;
                self.met += u64::from(first.as_millis() as u64 <= target_ms);
                self.first.saturating_record(first.as_micros() as u64);
                self.whole.saturating_record(whole.as_micros() as u64);
            }
            Ended::Refused(code) => match self.refused.binary_search_by_key(&code, |r| r.0) {
                Ok(at) => self.refused[at].1 += 1,
                Err(at) => self.refused.insert(at, (code, 1)),
            },
            Ended::Broken => self.broken += 1,
        }
    }

    /// One line for people.
    pub fn line(&self, name: &str) -> String {
        let ms = |us: u64| us as f64 / 1_000.0;
        let sent = self.answered + self.broken + self.refused.iter().map(|r| r.1).sum::<u64>();
        format!(
            "{name:<18} sent {sent:>6}  answered {:>6}  met {:>6}  first p50 {:>8.3} ms p99 {:>8.3} ms  whole p50 {:>8.3} ms p99 {:>8.3} ms  refused {:?}  broken {}",
            self.answered,
            self.met,
            ms(self.first.value_at_quantile(0.5)),
            ms(self.first.value_at_quantile(0.99)),
            ms(self.whole.value_at_quantile(0.5)),
            ms(self.whole.value_at_quantile(0.99)),
            self.refused,
            self.broken,
        )
    }
}
