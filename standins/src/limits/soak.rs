//! Random failures and soak runs of the simulation.

use compact_str::format_compact;
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::clock::Millis;
use rattanstall::escrow::Limit;

use super::{FleetConfig, Policy, SimulatedFleet};

/// Steps of one soak run: a minute of virtual time.
const STEPS_PER_RUN: u64 = 6_000;

/// Injects one random failure or starts a gateway. The possible durations include
/// some below and some above the TTL of a lease.
pub fn random_failure(fleet: &mut SimulatedFleet, rng: &mut impl Rng) {
    if fleet.is_empty() {
        fleet.add_gateway("gw-new".into());
        return;
    }
    let gateway = rng.random_range(0..fleet.len());
    let span = Millis([300, 2_500, 8_000, 40_000][rng.random_range(0..4)]);
    match rng.random_range(0..7) {
        0 => {
            let name = fleet.kill(gateway);
            fleet.add_gateway(name);
        }
        1 => drop(fleet.kill(gateway)),
        2 => fleet.freeze(gateway, span),
        3 => fleet.disconnect_platform(gateway, span),
        4 => fleet.disconnect_peers(gateway, span),
        5 => fleet.take_platform_down(span),
        _ => {
            let name = format_compact!("gw-{}", rng.random_range(0..1_000_000));
            fleet.add_gateway(name);
        }
    }
}

/// Simulates a minute of requests above the rate with random failures.
pub fn soak_run(seed: u64) -> SimulatedFleet {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let cfg = FleetConfig {
        gateways: rng.random_range(1..8),
        delay_ms: rng.random_range(0..400),
        loss_permille: [0, 10, 200][rng.random_range(0..3)],
    };
    // Ranges from several failures at once to failures so rare that terms settle in between.
    let mean_steps_between_failures = [40, 150, 600, 1_500][rng.random_range(0..4)];
    let limit = Limit {
        workspace: "a".into(),
        rate: 1_000,
        burst: 5_000,
    };
    let mut fleet = SimulatedFleet::new(cfg, Policy::Escrow, vec![limit], seed);
    for _ in 0..STEPS_PER_RUN {
        if rng.random_range(0..mean_steps_between_failures) == 0 {
            random_failure(&mut fleet, &mut rng);
        }
        for _ in 0..rng.random_range(0..4) {
            if !fleet.is_empty() {
                // Most requests go to the first gateway.
                let gateway = rng.random_range(0..fleet.len()) * rng.random_range(0..2);
                fleet.arrive(gateway, 0, rng.random_range(1..300));
            }
        }
        fleet.step();
    }
    fleet
}
