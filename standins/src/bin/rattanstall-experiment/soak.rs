//! The share ledgers under random failures with fresh seeds, until time is over.

use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::escrow::Limit;
use rattanstall_standins::limits::{Fleet, Policy, World, random_failure};

/// Steps of one run: a minute of virtual time.
const STEPS: u64 = 6_000;

/// Runs one seed after the other; the first over-issue ends it with its seed.
pub fn run(first_seed: u64, minutes: f64) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs_f64(minutes * 60.0);
    let (mut seed, mut events, mut admitted) = (first_seed, 0, 0);
    println!("first seed {first_seed}");
    while Instant::now() < until {
        let fleet = run_one(seed);
        let tally = fleet.tally();
        if tally.over_issued > 0 {
            return Err(format!("seed {seed}: {tally:?}"));
        }
        events += fleet.cost().events;
        admitted += tally.admitted;
        seed += 1;
    }
    let runs = seed - first_seed;
    println!("{runs} runs of 60 s, {events} events, {admitted} requests let through, 0 over");
    Ok(())
}

fn run_one(seed: u64) -> Fleet {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let world = World {
        gateways: rng.random_range(1..8),
        delay_ms: rng.random_range(0..400),
        loss_permille: [0, 10, 200][rng.random_range(0..3)],
    };
    // From rare failures, which let terms settle, to several at once.
    let failure_every = [40, 150, 600, 1_500][rng.random_range(0..4)];
    let limit = Limit {
        workspace: "a".into(),
        rate: 1_000,
        burst: 5_000,
    };
    let mut fleet = Fleet::new(world, Policy::Escrow, vec![limit], seed);
    for _ in 0..STEPS {
        if rng.random_range(0..failure_every) == 0 {
            random_failure(&mut fleet, &mut rng);
        }
        for _ in 0..rng.random_range(0..4) {
            if !fleet.is_empty() {
                let at = rng.random_range(0..fleet.len()) * rng.random_range(0..2);
                fleet.arrive(at, 0, rng.random_range(1..300));
            }
        }
        fleet.step();
    }
    fleet
}
