//! Compares policies that split rate and burst over three gateways.
//!
//! Four workspaces send bursts that stay within their rate on average; one
//! sends five times its rate. The load balancer has unequal weights, rotates
//! them every 20 s and skips gateways that are not ready.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::clock::Millis;
use rattanstall::escrow::Limit;
use rattanstall_standins::limits::{FleetConfig, Policy, STEP, SimulatedFleet, Tally};

const GATEWAYS: usize = 3;
const FLEET_CONFIG: FleetConfig = FleetConfig {
    gateways: GATEWAYS,
    delay_ms: 2,
    loss_permille: 0,
};
/// Index of the workspace that sends five times its rate.
const NOISY_WORKSPACE: usize = 4;
/// Virtual time before the first request, in steps.
const WARM_UP_STEPS: u64 = 1_000;
/// Time between two rotations of the balancer's weights, in steps.
const ROTATION_STEPS: u64 = 2_000;
const BALANCER_WEIGHTS_PERCENT: [u64; GATEWAYS] = [80, 15, 5];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failures {
    None,
    /// Every minute, one gateway is killed and replaced and one is frozen.
    Gateways,
    /// The platform's service is down for five minutes.
    Service,
    /// Failures of gateways and of the service.
    Both,
}

struct Arrival {
    step: u64,
    balancer_draw: u64,
    workspace: usize,
    cost: u64,
}

/// Prints one line for each policy and kind of failure.
pub fn run(seed: u64, seconds: u64) {
    let steps = seconds * 1_000 / STEP.0;
    let arrivals = generate_arrivals(seed, steps);
    println!(
        "seed {seed}, {seconds} s, {} requests, 3 gateways",
        arrivals.len()
    );
    println!(
        "{:<13} {:<9} {:>10} {:>12} {:>12} {:>11} {:>11} {:>9}",
        "policy",
        "failures",
        "over-issue",
        "within-rate",
        "noisy tok/s",
        "messages/s",
        "calls/s",
        "admitted"
    );
    for failures in [
        Failures::None,
        Failures::Gateways,
        Failures::Service,
        Failures::Both,
    ] {
        for policy in [Policy::EqualSplit, Policy::SingleOwner, Policy::Escrow] {
            let mut fleet = SimulatedFleet::new(FLEET_CONFIG, policy, limits(), seed);
            simulate(&mut fleet, &arrivals, steps, failures);
            print_run(&fleet, policy, failures, seconds);
        }
    }
}

fn limits() -> Vec<Limit> {
    let limits = [
        ("web", 6_000, 30_000),
        ("packing", 500, 3_000),
        ("mill", 8_000, 40_000),
        ("tagging", 2_000, 10_000),
        ("noisy", 2_000, 10_000),
    ];
    let limit = |(name, rate, burst): (&str, u64, u64)| Limit {
        workspace: name.into(),
        rate,
        burst,
    };
    limits.map(limit).to_vec()
}

/// Generates the arrivals of all workspaces, in order of time.
///
/// The noisy workspace sends at an even rate. The others send bursts of two
/// seconds at three times their mean rate, with pauses of four seconds.
fn generate_arrivals(seed: u64, steps: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (workspace, limit) in limits().iter().enumerate() {
        let mean_cost = (limit.rate / 20).max(20);
        let is_noisy = workspace == NOISY_WORKSPACE;
        let load_percent = if is_noisy { 500 } else { 70 };
        // Hundredths of a token, because a step brings only a few tokens.
        let centitokens_per_step = limit.rate * load_percent * STEP.0 / 1_000;
        for step in 0..steps {
            let is_burst = is_noisy || (step + workspace as u64 * 170) % 600 < 200;
            let factor = match (is_noisy, is_burst) {
                (true, _) => 1,
                (false, true) => 3,
                (false, false) => 0,
            };
            let chance_permille = centitokens_per_step * factor * 10 / mean_cost;
            if rng.random_range(0..1_000) >= chance_permille {
                continue;
            }
            arrivals.push(Arrival {
                step,
                balancer_draw: rng.random_range(0..100),
                workspace,
                cost: rng.random_range(1..=mean_cost * 2),
            });
        }
    }
    arrivals.sort_by_key(|a| a.step);
    arrivals
}

fn simulate(fleet: &mut SimulatedFleet, arrivals: &[Arrival], steps: u64, failures: Failures) {
    for _ in 0..WARM_UP_STEPS {
        fleet.step();
    }
    let mut next = 0;
    for step in 0..steps {
        inject_failures(fleet, step, steps, failures);
        while next < arrivals.len() && arrivals[next].step == step {
            let arrival = &arrivals[next];
            let gateway = select_gateway(arrival.balancer_draw, step / ROTATION_STEPS, fleet);
            fleet.arrive(gateway, arrival.workspace, arrival.cost);
            next += 1;
        }
        fleet.step();
    }
}

fn inject_failures(fleet: &mut SimulatedFleet, step: u64, steps: u64, failures: Failures) {
    let steps_per_minute = 60_000 / STEP.0;
    if matches!(failures, Failures::Gateways | Failures::Both) {
        if step % steps_per_minute == steps_per_minute / 2 {
            let name = fleet.kill((step / steps_per_minute) as usize % fleet.len());
            fleet.add_gateway(name);
        }
        if step % steps_per_minute == steps_per_minute * 9 / 10 {
            fleet.freeze(0, Millis(8_000));
        }
    }
    let has_outage = matches!(failures, Failures::Service | Failures::Both);
    if has_outage && step == steps / 3 {
        fleet.take_platform_down(Millis(300_000));
    }
}

/// The gateway that the weights select, or the next one that is ready.
fn select_gateway(balancer_draw: u64, rotation: u64, fleet: &SimulatedFleet) -> usize {
    let mut remaining = balancer_draw;
    let mut index = 0;
    while index + 1 < GATEWAYS && remaining >= BALANCER_WEIGHTS_PERCENT[index] {
        remaining -= BALANCER_WEIGHTS_PERCENT[index];
        index += 1;
    }
    let rotated = |n: usize| (index + n + rotation as usize) % fleet.len();
    let ready = (0..fleet.len()).map(rotated).find(|i| fleet.is_ready(*i));
    ready.unwrap_or(rotated(0))
}

fn print_run(fleet: &SimulatedFleet, policy: Policy, failures: Failures, seconds: u64) {
    let tallies = fleet.tallies();
    let well_behaved = &tallies[..NOISY_WORKSPACE];
    let sum = |field: fn(&Tally) -> u64| well_behaved.iter().map(field).sum::<u64>();
    let request_count = sum(|t| t.admitted) + sum(|t| t.refused);
    let within_rate = percent(sum(|t| t.refused_within_rate), request_count);
    let noisy_tokens_per_s = tallies[NOISY_WORKSPACE].tokens / seconds;
    let counters = fleet.counters();
    println!(
        "{:<13} {:<9} {:>10} {:>11.3}% {:>12} {:>11.1} {:>11.1} {:>9}",
        format!("{policy:?}"),
        format!("{failures:?}"),
        fleet.tally().over_issued,
        within_rate,
        noisy_tokens_per_s,
        counters.messages as f64 / seconds as f64,
        counters.platform_calls as f64 / seconds as f64,
        fleet.tally().admitted,
    );
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}
