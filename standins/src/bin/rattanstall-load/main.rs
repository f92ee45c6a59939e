//! Load on a running system, and the latency that the system adds.

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

const CONFIGURATION: &str = "examples/ostekaelderen.toml";

fn main() -> Result<(), Box<dyn Error>> {
    let options = [
        (
            "mode",
            "overhead: direct against through the system; idle: what control costs; tokens: what a streamed token costs; claims: writes for calls that may not be repeated; target: a running gateway",
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
            let stream = Workload {
                method: Method::POST,
                path: "/v1/chat/completions".to_owned(),
                key: args.opt_str("key"),
                class: None,
                body: chat(&model, "hello", 16, true).to_string(),
                rate,
                seconds,
                target_ms: 1_000,
            };
            let report = runtime.block_on(send_open_loop(&caller, &stream));
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

/// A ready fleet whose workspaces are practically without limits, and a key.
async fn start_unlimited(builder: FleetBuilder) -> Result<(Fleet, String), Box<dyn Error>> {
    const UNLIMITED: u64 = 10_000_000;
    let fleet = builder.start()?;
    let mut document = Document::read(CONFIGURATION.as_ref())?;
    for workspace in &mut document.workspaces {
        (workspace.rate_tokens_per_s, workspace.burst_tokens) = (UNLIMITED, UNLIMITED);
    }
    fleet.apply(document).await;
    let key = fleet.create_key("aarhus-web").await.secret;
    fleet.wait_ready().await;
    // Buckets start empty.
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok((fleet, key))
}

/// The same call straight to the endpoint and through gateway and agent.
async fn measure_overhead(rate: f64, seconds: f64) -> Result<(), Box<dyn Error>> {
    let services = vec![("orders".to_owned(), 0)];
    let builder = FleetBuilder::default()
        .engines(0)
        .models(0)
        .max_running(512);
    let (fleet, key) = start_unlimited(builder.services(services)).await?;
    let stream = Workload {
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
            ..stream.clone()
        };
        send_open_loop(caller, &warm_up).await;
    }
    for (name, caller) in [("direct", &direct), ("through", &through)] {
        let report = send_closed_loop(caller, &stream).await;
        println!("{}", report.line(&format!("{name}, in turn")));
        let report = send_open_loop(caller, &stream).await;
        println!("{}", report.line(&format!("{name}, {rate}/s")));
    }
    measure_throughput(&fleet, &stream).await;
    fleet.stop()?;
    Ok(())
}

/// Closed loop: the gateway's processor time for each request.
async fn measure_throughput(fleet: &Fleet, stream: &Workload) {
    const CALLERS: usize = 32;
    const SPAN: Duration = Duration::from_secs(4);
    let gateway = &fleet.gateways[0];
    let before = cpu_ms(gateway.pid());
    let agent_before = cpu_ms(fleet.agents[0].pid());
    let start = Instant::now();
    let caller = Caller::new(gateway.listen);
    let tasks: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (caller, stream) = (caller.clone(), stream.clone());
            tokio::spawn(async move {
                let mut done = 0u64;
                let ask = RequestOptions {
                    key: stream.key.as_deref(),
                    ..RequestOptions::default()
                };
                while start.elapsed() < SPAN {
                    let answer = caller.request(Method::GET, &stream.path, &ask, "").await;
                    done += u64::from(answer.is_ok_and(|a| a.status == 200));
                }
                done
            })
        })
        .collect();
    let mut done = 0;
    for task in tasks {
        done += task.await.unwrap_or_default();
    }
    let wall = start.elapsed().as_secs_f64();
    let gateway_us = (cpu_ms(gateway.pid()) - before) * 1_000 / done.max(1);
    let agent_us = (cpu_ms(fleet.agents[0].pid()) - agent_before) * 1_000 / done.max(1);
    println!(
        "closed loop, {CALLERS} callers: {:.0} requests/s; gateway {gateway_us} us of processor time a request ({:.0} requests/s a core), agent {agent_us} us",
        done as f64 / wall,
        1e6 / gateway_us.max(1) as f64
    );
}

/// Processor time of a process so far, in milliseconds.
fn cpu_ms(pid: Option<u32>) -> u64 {
    pid.map_or(0, rattanstall_standins::usage::cpu_ms)
}
