//! Load generator. In an open loop, each request is sent at its scheduled time,
//! whether or not earlier ones have completed, and latency counts from that time.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Method;
use http_body_util::BodyExt as _;

use crate::caller::{Caller, RequestOptions};

/// Longest latency that the histograms record, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// A series of identical requests.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The API key.
    pub key: Option<String>,
    /// The class.
    pub class: Option<String>,
    /// The body.
    pub body: String,
    /// Requests per second.
    pub rate: f64,
    /// How long requests are sent, in seconds.
    pub seconds: f64,
    /// Target for the time to first byte, in milliseconds.
    pub target_ms: u64,
}

/// Results of a workload.
#[derive(Debug)]
pub struct Report {
    /// Time to first byte of complete responses, in microseconds.
    pub first_byte: Histogram<u64>,
    /// Time to the last byte of complete responses, in microseconds.
    pub total: Histogram<u64>,
    /// Requests whose response was complete and carried no result code.
    pub answered: u64,
    /// Answered requests whose time to first byte met the target.
    pub met_target: u64,
    /// Number of refusals by result code, sorted by code.
    pub refused: Vec<(u64, u64)>,
    /// Requests whose connection failed before the response was complete.
    pub broken: u64,
}

enum Outcome {
    Answered {
        first_byte: Duration,
        total: Duration,
    },
    Refused(u64),
    Broken,
}

/// Sends a workload at its rate and waits for all responses.
pub async fn send_open_loop(caller: &Caller, workload: &Workload) -> Report {
    let start = Instant::now();
    let count = (workload.rate * workload.seconds) as u64;
    let mut tasks = Vec::with_capacity(count as usize);
    for n in 0..count {
        let scheduled_at = start + Duration::from_secs_f64(n as f64 / workload.rate);
        tokio::time::sleep_until(scheduled_at.into()).await;
        let (caller, workload) = (caller.clone(), workload.clone());
        tasks.push(tokio::spawn(async move {
            send_one(&caller, &workload, scheduled_at).await
        }));
    }
    let mut report = Report::new();
    for task in tasks {
        report.add(task.await.unwrap_or(Outcome::Broken), workload.target_ms);
    }
    report
}

/// Sends the requests of a workload one at a time, each as soon as the previous
/// one has ended; the workload's rate is ignored.
pub async fn send_closed_loop(caller: &Caller, workload: &Workload) -> Report {
    let start = Instant::now();
    let mut report = Report::new();
    while start.elapsed().as_secs_f64() < workload.seconds {
        let outcome = send_one(caller, workload, Instant::now()).await;
        report.add(outcome, workload.target_ms);
    }
    report
}

async fn send_one(caller: &Caller, workload: &Workload, scheduled_at: Instant) -> Outcome {
    let options = RequestOptions {
        key: workload.key.as_deref(),
        class: workload.class.as_deref(),
        idempotency_key: None,
    };
    let body = workload.body.clone();
    let result = caller
        .send(workload.method.clone(), &workload.path, &options, body)
        .await;
    let Ok(res) = result else {
        return Outcome::Broken;
    };
    let code = res.headers().get("x-result-code");
    if let Some(code) = code.and_then(|c| c.to_str().ok()?.parse().ok()) {
        return Outcome::Refused(code);
    }
    let first_byte = scheduled_at.elapsed();
    match res.into_body().collect().await {
        Ok(_) => Outcome::Answered {
            first_byte,
            total: scheduled_at.elapsed(),
        },
        Err(_) => Outcome::Broken,
    }
}

impl Report {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(MAX_LATENCY_US, 3).expect("valid bounds");
        Self {
            first_byte: histogram(),
            total: histogram(),
            answered: 0,
            met_target: 0,
            refused: Vec::new(),
            broken: 0,
        }
    }

    fn add(&mut self, outcome: Outcome, target_ms: u64) {
        match outcome {
            Outcome::Answered { first_byte, total } => {
                self.answered += 1;
                self.met_target += u64::from(first_byte.as_millis() as u64 <= target_ms);
                self.first_byte
                    .saturating_record(first_byte.as_micros() as u64);
                self.total.saturating_record(total.as_micros() as u64);
            }
            Outcome::Refused(code) => match self.refused.binary_search_by_key(&code, |r| r.0) {
                Ok(index) => self.refused[index].1 += 1,
                Err(index) => self.refused.insert(index, (code, 1)),
            },
            Outcome::Broken => self.broken += 1,
        }
    }

    /// Formats the report as one line of text.
    pub fn line(&self, name: &str) -> String {
        let ms = |us: u64| us as f64 / 1_000.0;
        let sent = self.answered + self.broken + self.refused.iter().map(|r| r.1).sum::<u64>();
        format!(
            "{name:<18} sent {sent:>6}  answered {:>6}  met {:>6}  first p50 {:>8.3} ms p99 {:>8.3} ms  whole p50 {:>8.3} ms p99 {:>8.3} ms  refused {:?}  broken {}",
            self.answered,
            self.met_target,
            ms(self.first_byte.value_at_quantile(0.5)),
            ms(self.first_byte.value_at_quantile(0.99)),
            ms(self.total.value_at_quantile(0.5)),
            ms(self.total.value_at_quantile(0.99)),
            self.refused,
            self.broken,
        )
    }
}
