//! Cost of fleets of several sizes that receive no requests.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::time::Duration;

use rattanstall::config::Document;
use rattanstall_standins::caller::Caller;
use rattanstall_standins::fleet::{Fleet, FleetBuilder, Process};
use rattanstall_standins::usage::{cpu_ms, resident_memory_kb};
use serde_json::Value;

/// Number of gateways and engines of each run.
const FLEET_SIZES: [(usize, usize); 4] = [(3, 4), (6, 4), (12, 4), (3, 16)];

/// Cumulative counters of a fleet.
struct Sample {
    gateway_cpu_ms: u64,
    agent_cpu_ms: u64,
    loopback_bytes: u64,
    reads: u64,
    writes: u64,
}

/// Prints one line for each fleet size.
pub async fn measure(seconds: f64) -> Result<(), Box<dyn Error>> {
    println!(
        "gateways agents | a gateway: core % MB | an agent: core % MB | fleet: KB/s loopback, reads/s, writes/s"
    );
    for (gateways, engines) in FLEET_SIZES {
        let builder = FleetBuilder::default().gateways(gateways).engines(engines);
        let fleet = builder.models(16).services(Vec::new()).start()?;
        let document = Document::read(Path::new(super::CONFIGURATION_FILE))?;
        fleet.apply(document).await;
        fleet.wait_ready().await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = sample(&fleet).await;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        let after = sample(&fleet).await;
        print_line(&fleet, &before, &after, seconds);
        fleet.stop()?;
    }
    Ok(())
}

fn print_line(fleet: &Fleet, before: &Sample, after: &Sample, seconds: f64) {
    let (gateways, agents) = (fleet.gateways.len(), fleet.agents.len());
    let per_s = |after: u64, before: u64| (after - before) as f64 / seconds;
    let core_percent = |after, before, count: usize| per_s(after, before) / 10.0 / count as f64;
    println!(
        "{gateways:>8} {agents:>6} | {:>6.2} {:>6.1} | {:>6.2} {:>6.1} | {:>8.1} {:>6.1} {:>6.1}",
        core_percent(after.gateway_cpu_ms, before.gateway_cpu_ms, gateways),
        mean_memory_mb(&fleet.gateways),
        core_percent(after.agent_cpu_ms, before.agent_cpu_ms, agents),
        mean_memory_mb(&fleet.agents),
        per_s(after.loopback_bytes, before.loopback_bytes) / 1_000.0,
        per_s(after.reads, before.reads),
        per_s(after.writes, before.writes),
    );
}

async fn sample(fleet: &Fleet) -> Sample {
    let counts = Caller::new(fleet.platform.listen)
        .get("/control/counts")
        .await;
    let counts = counts.unwrap_or_default();
    let count = |field: &str| {
        counts
            .get(field)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    };
    let total_cpu_ms =
        |processes: &[Process]| processes.iter().filter_map(Process::pid).map(cpu_ms).sum();
    Sample {
        gateway_cpu_ms: total_cpu_ms(&fleet.gateways),
        agent_cpu_ms: total_cpu_ms(&fleet.agents),
        loopback_bytes: loopback_bytes(),
        reads: count("reads"),
        writes: count("writes"),
    }
}

/// Mean resident memory of the processes, in megabytes.
fn mean_memory_mb(processes: &[Process]) -> f64 {
    let pids = processes.iter().filter_map(Process::pid);
    let sum: u64 = pids.map(resident_memory_kb).sum();
    sum as f64 / 1_000.0 / processes.len().max(1) as f64
}

/// Bytes received on the loopback interface since the machine started.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:"));
    let field = line.and_then(|l| l.split_whitespace().next());
    field.and_then(|f| f.parse().ok()).unwrap_or_default()
}
