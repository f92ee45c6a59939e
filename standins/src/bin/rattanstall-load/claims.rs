//! Writes to the platform's service for calls that may not be retried.

use std::error::Error;
use std::time::{Duration, Instant};

use rattanstall_standins::caller::{Caller, RequestOptions};
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use serde_json::{Value, json};

/// Concurrent callers of each run.
const CALLER_COUNTS: [usize; 3] = [1, 16, 128];
/// Calls in each run, divided among the callers.
const CALLS_PER_RUN: usize = 2_000;

/// Prints one line for each number of callers.
pub async fn measure() -> Result<(), Box<dyn Error>> {
    let services = vec![("orders".to_owned(), 5)];
    let builder = FleetBuilder::default().gateways(1).engines(0).models(0);
    let (fleet, key) = super::start_unlimited(builder.services(services).max_running(512)).await?;
    let idle_writes_per_s = {
        let before = platform_writes(&fleet).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        (platform_writes(&fleet).await - before) as f64 / 5.0
    };
    for callers in CALLER_COUNTS {
        let (before, start) = (platform_writes(&fleet).await, Instant::now());
        let mut tasks = Vec::new();
        for caller in 0..callers {
            let (gateway, key) = (Caller::new(fleet.gateways[0].listen), key.clone());
            tasks.push(tokio::spawn(async move {
                let mut completed = 0;
                for n in 0..CALLS_PER_RUN / callers {
                    let idempotency_key = format!("{callers}-{caller}-{n}");
                    let options = RequestOptions {
                        key: Some(&key),
                        idempotency_key: Some(&idempotency_key),
                        class: None,
                    };
                    let response = gateway
                        .post("/orders/new", &options, &json!({ "n": n }))
                        .await;
                    completed += usize::from(response.is_ok_and(|r| r.status == 200));
                }
                completed
            }));
        }
        let mut completed = 0;
        for task in tasks {
            completed += task.await?;
        }
        let elapsed_s = start.elapsed().as_secs_f64();
        let call_writes =
            (platform_writes(&fleet).await - before) as f64 - idle_writes_per_s * elapsed_s;
        println!(
            "{callers:>4} callers: {completed} calls at {:.0}/s, {:.0} writes for 1,000 calls",
            completed as f64 / elapsed_s,
            call_writes * 1_000.0 / completed.max(1) as f64
        );
    }
    fleet.stop()?;
    Ok(())
}

async fn platform_writes(fleet: &Fleet) -> u64 {
    let counts = Caller::new(fleet.platform.listen)
        .get("/control/counts")
        .await;
    let counts = counts.unwrap_or_default();
    counts
        .get("writes")
        .and_then(Value::as_u64)
        .unwrap_or_default()
}
