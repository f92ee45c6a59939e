//! Calls to the platform's service for calls that may not be repeated.

use std::error::Error;
use std::time::{Duration, Instant};

use rattanstall_standins::caller::{Caller, RequestOptions};
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use serde_json::{Value, json};

/// Callers at once in each run.
const CALLERS: [usize; 3] = [1, 16, 128];
/// Calls of each run.
const CALLS: usize = 2_000;

/// Prints one line for each number of callers.
pub async fn measure() -> Result<(), Box<dyn Error>> {
    let services = vec![("orders".to_owned(), 5)];
    let builder = FleetBuilder::default().gateways(1).engines(0).models(0);
    let (fleet, key) = super::start_unlimited(builder.services(services).max_running(512)).await?;
    let idle = {
        let before = writes(&fleet).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        (writes(&fleet).await - before) as f64 / 5.0
    };
    for callers in CALLERS {
        let (before, start) = (writes(&fleet).await, Instant::now());
        let mut tasks = Vec::new();
        for caller in 0..callers {
            let (gateway, key) = (Caller::new(fleet.gateways[0].listen), key.clone());
            tasks.push(tokio::spawn(async move {
                let mut done = 0;
                for n in 0..CALLS / callers {
                    let idempotency_key = format!("{callers}-{caller}-{n}");
                    let ask = RequestOptions {
                        key: Some(&key),
                        idempotency_key: Some(&idempotency_key),
                        class: None,
                    };
                    let answer = gateway.post("/orders/new", &ask, &json!({ "n": n })).await;
                    done += usize::from(answer.is_ok_and(|a| a.status == 200));
                }
                done
            }));
        }
        let mut done = 0;
        for task in tasks {
            done += task.await?;
        }
        let wall = start.elapsed().as_secs_f64();
        let spent = (writes(&fleet).await - before) as f64 - idle * wall;
        println!(
            "{callers:>4} callers: {done} calls at {:.0}/s, {:.0} writes for 1,000 calls",
            done as f64 / wall,
            spent * 1_000.0 / done.max(1) as f64
        );
    }
    fleet.stop()?;
    Ok(())
}

async fn writes(fleet: &Fleet) -> u64 {
    let counts = Caller::new(fleet.platform.listen)
        .get("/control/counts")
        .await;
    let counts = counts.unwrap_or_default();
    counts
        .get("writes")
        .and_then(Value::as_u64)
        .unwrap_or_default()
}
