//! CPU time of gateway and agent for each streamed token.

use std::error::Error;
use std::time::Instant;

use http::Method;
use rattanstall_standins::caller::{Caller, RequestOptions, chat};
use rattanstall_standins::fleet::FleetBuilder;
use rattanstall_standins::usage::cpu_ms;

/// Concurrent streams of each run.
const STREAM_COUNTS: [u64; 3] = [8, 32, 128];
/// Tokens in each stream.
const TOKENS_PER_STREAM: u64 = 2_000;

/// Prints one line for each number of streams.
pub async fn measure() -> Result<(), Box<dyn Error>> {
    let builder = FleetBuilder::default().gateways(1).engines(1).models(1);
    let builder = builder.services(Vec::new()).step_us(1_000).max_running(512);
    let (fleet, key) = super::start_unlimited(builder).await?;
    let caller = Caller::new(fleet.gateways[0].listen);
    let pids = [fleet.gateways[0].pid(), fleet.agents[0].pid()];
    let cpu_times_ms = || pids.map(|pid| pid.map_or(0, cpu_ms));
    for streams in STREAM_COUNTS {
        let (before, start) = (cpu_times_ms(), Instant::now());
        let tasks: Vec<_> = (0..streams)
            .map(|_| {
                let (caller, key) = (caller.clone(), key.clone());
                tokio::spawn(async move {
                    let options = RequestOptions {
                        key: Some(&key),
                        ..RequestOptions::default()
                    };
                    let body = chat("m0", "hello", TOKENS_PER_STREAM, true).to_string();
                    let response = caller
                        .request(Method::POST, "/v1/chat/completions", &options, body)
                        .await;
                    response.is_ok_and(|r| r.status == 200 && r.is_complete)
                })
            })
            .collect();
        let mut complete = 0;
        for task in tasks {
            complete += u64::from(task.await.unwrap_or_default());
        }
        let elapsed_s = start.elapsed().as_secs_f64();
        let after = cpu_times_ms();
        let tokens = (complete * TOKENS_PER_STREAM).max(1);
        let us_per_token = |i: usize| (after[i] - before[i]) as f64 * 1_000.0 / tokens as f64;
        println!(
            "{streams:>4} streams, {complete} whole: {:>7.0} tokens/s; gateway {:.2} us, agent {:.2} us of processor time a token",
            tokens as f64 / elapsed_s,
            us_per_token(0),
            us_per_token(1)
        );
    }
    fleet.stop()?;
    Ok(())
}
