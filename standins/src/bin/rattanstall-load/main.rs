//! Sends load through a system and measures the latency and cost that it adds.

mod claims;
mod idle;
mod tokens;

use std::error::Error;
use std::time::{Duration, Instant};

use http::Method;
use rattanstall::config::Document;
use rattanstall_standins::caller::{Caller, RequestOptions, chat};
use rattanstall_standins::fleet::{Fleet, FleetBuilder};
use rattanstall_standins::load::{Workload, send_closed_loop, send_open_loop};
use rattanstall_standins::options::{parse, required, value};

const CONFIGURATION_FILE: &str = "examples/ostekaelderen.toml";

fn main() -> Result<(), Box<dyn Error>> {
    let options = [
        (
            "mode",
            "overhead: direct calls compared with calls through the system; idle: cost of control without requests; tokens: what a streamed token costs; claims: writes for calls that may not be repeated; target: a running gateway",
        ),
        ("rate", "requests a second (default 200)"),
        ("seconds", "time of each run (default 5)"),
        ("target", "address of a gateway, with --mode target"),
        ("key", "the caller's key, with --mode target"),
        ("model", "the model, with --mode target (default m0)"),
    ];
    let args = parse("Sends load and reports latency.", &options);
    let rate = value(&args, "rate", 200.0);
    let seconds = value(&args, "seconds", 5.0);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    match value(&args, "mode", "overhead".to_owned()).as_str() {
        "overhead" => runtime.block_on(measure_overhead(rate, seconds)),
        "target" => {
            let caller = Caller::new(required(&args, "target"));
            let model = value(&args, "model", "m0".to_owned());
            let workload = Workload {
                method: Method::POST,
                path: "/v1/chat/completions".to_owned(),
                key: args.opt_str("key"),
                class: None,
                body: chat(&model, "hello", 16, true).to_string(),
                rate,
                seconds,
                target_ms: 1_000,
            };
            let report = runtime.block_on(send_open_loop(&caller, &workload));
            println!("{}", report.line(&model));
            Ok(())
        }
        "idle" => runtime.block_on(idle::measure(seconds)),
        "claims" => runtime.block_on(claims::measure()),
        "tokens" => runtime.block_on(tokens::measure()),
        other => Err(format!(
            "--mode: \"{other}\" is unknown; allowed: overhead, idle, tokens, claims, target"
        )
        .into()),
    }
}

/// Starts a fleet whose limits are too high to be reached; returns it with an API key.
async fn start_unlimited(builder: FleetBuilder) -> Result<(Fleet, String), Box<dyn Error>> {
    const UNLIMITED_TOKENS: u64 = 10_000_000;
    let fleet = builder.start()?;
    let mut document = Document::read(CONFIGURATION_FILE.as_ref())?;
    for workspace in &mut document.workspaces {
        (workspace.rate_tokens_per_s, workspace.burst_tokens) =
            (UNLIMITED_TOKENS, UNLIMITED_TOKENS);
    }
    fleet.apply(document).await;
    let key = fleet.create_key("aarhus-web").await.secret;
    fleet.wait_ready().await;
    // Buckets start empty and fill in this second.
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok((fleet, key))
}

/// Compares direct calls to the endpoint with the same calls through gateway and agent.
async fn measure_overhead(rate: f64, seconds: f64) -> Result<(), Box<dyn Error>> {
    let services = vec![("orders".to_owned(), 0)];
    let builder = FleetBuilder::default()
        .engines(0)
        .models(0)
        .max_running(512);
    let (fleet, key) = start_unlimited(builder.services(services)).await?;
    let workload = Workload {
        method: Method::GET,
        path: "/stock/brie".to_owned(),
        key: Some(key),
        class: None,
        body: String::new(),
        rate,
        seconds,
        target_ms: 1_000,
    };
    let direct = Caller::new(fleet.endpoints[0].listen);
    let through = Caller::new(fleet.gateways[0].listen);
    for caller in [&direct, &through] {
        let warm_up = Workload {
            seconds: 1.0,
            ..workload.clone()
        };
        send_open_loop(caller, &warm_up).await;
    }
    for (name, caller) in [("direct", &direct), ("through", &through)] {
        let report = send_closed_loop(caller, &workload).await;
        println!("{}", report.line(&format!("{name}, in turn")));
        let report = send_open_loop(caller, &workload).await;
        println!("{}", report.line(&format!("{name}, {rate}/s")));
    }
    measure_throughput(&fleet, &workload).await;
    fleet.stop()?;
    Ok(())
}

/// Measures throughput and CPU time of gateway and agent in a closed loop.
async fn measure_throughput(fleet: &Fleet, workload: &Workload) {
    const CALLERS: usize = 32;
    const RUN_TIME: Duration = Duration::from_secs(4);
    let gateway = &fleet.gateways[0];
    let gateway_before = cpu_ms(gateway.pid());
    let agent_before = cpu_ms(fleet.agents[0].pid());
    let start = Instant::now();
    let caller = Caller::new(gateway.listen);
    let tasks: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (caller, workload) = (caller.clone(), workload.clone());
            tokio::spawn(async move {
                let mut completed = 0u64;
                let options = RequestOptions {
                    key: workload.key.as_deref(),
                    ..RequestOptions::default()
                };
                while start.elapsed() < RUN_TIME {
                    let response = caller
                        .request(Method::GET, &workload.path, &options, "")
                        .await;
                    completed += u64::from(response.is_ok_and(|r| r.status == 200));
                }
                completed
            })
        })
        .collect();
    let mut completed = 0;
    for task in tasks {
        completed += task.await.unwrap_or_default();
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    let gateway_us = (cpu_ms(gateway.pid()) - gateway_before) * 1_000 / completed.max(1);
    let agent_us = (cpu_ms(fleet.agents[0].pid()) - agent_before) * 1_000 / completed.max(1);
    println!(
        "closed loop, {CALLERS} callers: {:.0} requests/s; gateway {gateway_us} us of processor time a request ({:.0} requests/s a core), agent {agent_us} us",
        completed as f64 / elapsed_s,
        1e6 / gateway_us.max(1) as f64
    );
}

/// CPU time of a process since its start, in milliseconds; zero if it does not run.
fn cpu_ms(pid: Option<u32>) -> u64 {
    pid.map_or(0, rattanstall_standins::usage::cpu_ms)
}
