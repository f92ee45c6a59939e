//! Compares the ways to keep the rate that an endpoint takes from all gateways.

use std::thread;

use rattanstall_standins::rates::{Callers, Design, Outcome, Scenario, play};

/// Runs at a time.
const THREADS: u64 = 3;

/// Prints a line for each size, limit, place of the callers and design.
pub fn run(seed: u64, seconds: u64) {
    println!("{seconds} s from seed {seed}; callers want twice the limit; median/max or min");
    for (gateways, seeds) in [(3, 40), (22, 20), (490, 5)] {
        for per_s in [0.5, 2.0, 10.0, 100.0] {
            for callers in [Callers::Everywhere, Callers::AtOne] {
                for design in [Design::Split, Design::Shares, Design::Owner] {
                    for has_freeze in [false, true] {
                        let scenario = Scenario {
                            design,
                            gateways,
                            per_s,
                            callers,
                            has_freeze,
                            seconds,
                            seed,
                        };
                        print(&scenario, play_seeds(scenario, seeds));
                    }
                }
            }
        }
    }
}

fn play_seeds(scenario: Scenario, seeds: u64) -> Vec<Outcome> {
    let threads = (0..THREADS).map(|first| {
        thread::spawn(move || {
            let own = (first..seeds).step_by(THREADS as usize);
            let own = own.map(|n| {
                play(Scenario {
                    seed: scenario.seed + n,
                    ..scenario
                })
            });
            own.collect::<Vec<Outcome>>()
        })
    });
    let threads: Vec<_> = threads.collect();
    let outcomes = threads.into_iter().filter_map(|t| t.join().ok());
    outcomes.flatten().collect()
}

fn sorted(outcomes: &[Outcome], value: impl Fn(&Outcome) -> f64) -> Vec<f64> {
    let mut values: Vec<f64> = outcomes.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    values
}

fn print(scenario: &Scenario, outcomes: Vec<Outcome>) {
    let Some(last) = outcomes.len().checked_sub(1) else {
        return;
    };
    let worst = sorted(&outcomes, |o| o.worst_span as f64);
    let used = sorted(&outcomes, |o| o.used_percent);
    let datagrams = sorted(&outcomes, |o| o.datagrams_per_s);
    let bytes = sorted(&outcomes, |o| o.bytes_per_s);
    println!(
        "{:>3} {:>5}/s {:<10} {:<6} {:<6} worst 4 s {:>4.0}/{:<4.0} of {:<5} used % {:>5.1}/{:<5.1} \
         datagrams/s {:>6.1}/{:<6.1} bytes/s {:>7.0}/{:<7.0}",
        scenario.gateways,
        scenario.per_s,
        format!("{:?}", scenario.callers),
        format!("{:?}", scenario.design),
        if scenario.has_freeze { "freeze" } else { "" },
        worst[last / 2],
        worst[last],
        scenario.per_s * 4.0,
        used[last / 2],
        used[0],
        datagrams[last / 2],
        datagrams[last],
        bytes[last / 2],
        bytes[last],
    );
}
