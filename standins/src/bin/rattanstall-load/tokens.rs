//! Processor time of gateway and agent for each streamed token.

use std::error::Error;
use std::time::Instant;

use http::Method;
use rattanstall_standins::caller::{Caller, RequestOptions, chat};
use rattanstall_standins::fleet::FleetBuilder;
use rattanstall_standins::usage::cpu_ms;

/// Streams at once in each run.
const STREAMS: [u64; 3] = [8, 32, 128];
/// Tokens of one stream.
const TOKENS: u64 = 2_000;

/// Prints one line for each number of streams.
pub async fn measure() -> Result<(), Box<dyn Error>> {
    let builder = FleetBuilder::default().gateways(1).engines(1).models(1);
    let builder = builder.services(Vec::new()).step_us(1_000).max_running(512);
    let (fleet, key) = super::start_unlimited(builder).await?;
    let caller = Caller::new(fleet.gateways[0].listen);
    let pids = [fleet.gateways[0].pid(), fleet.agents[0].pid()];
    let cpu = || pids.map(|pid| pid.map_or(0, cpu_ms));
    for streams in STREAMS {
        let (before, start) = (cpu(), Instant::now());
        let tasks: Vec<_> = (0..streams)
            .map(|_| {
                let (caller, key) = (caller.clone(), key.clone());
                tokio::spawn(async move {
                    let ask = RequestOptions {
                        key: Some(&key),
                        ..RequestOptions::default()
                    };
                    let body = chat("m0", "hello", TOKENS, true).to_string();
                    let answer = caller
                        .request(Method::POST, "/v1/chat/completions", &ask, body)
                        .await;
                    answer.is_ok_and(|a| a.status == 200 && a.is_complete)
                })
            })
            .collect();
        let mut whole = 0;
        for task in tasks {
            whole += u64::from(task.await.unwrap_or_default());
        }
        let wall = start.elapsed().as_secs_f64();
        let after = cpu();
        let tokens = (whole * TOKENS).max(1);
        let us = |at: usize| (after[at] - before[at]) as f64 * 1_000.0 / tokens as f64;
        println!(
            "{streams:>4} streams, {whole} whole: {:>7.0} tokens/s; gateway {:.2} us, agent {:.2} us of processor time a token",
            tokens as f64 / wall,
            us(0),
            us(1)
        );
    }
    fleet.stop()?;
    Ok(())
}
