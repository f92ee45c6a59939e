//! Runs the share ledgers under random failures, each run with a new seed.

use std::time::{Duration, Instant};

use rattanstall_standins::limits::soak_run;

/// Runs consecutive seeds for the given time; fails with the seed of the first over-issue.
pub fn run(first_seed: u64, minutes: f64) -> Result<(), String> {
    let deadline = Instant::now() + Duration::from_secs_f64(minutes * 60.0);
    let (mut seed, mut events, mut admitted) = (first_seed, 0, 0);
    println!("first seed {first_seed}");
    while Instant::now() < deadline {
        let fleet = soak_run(seed);
        let tally = fleet.tally();
        if tally.over_issued > 0 {
            return Err(format!("seed {seed}: {tally:?}"));
        }
        events += fleet.counters().events;
        admitted += tally.admitted;
        seed += 1;
    }
    let runs = seed - first_seed;
    println!("{runs} runs of 60 s, {events} events, {admitted} requests let through, 0 over");
    Ok(())
}
