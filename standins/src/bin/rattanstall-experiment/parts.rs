//! Compares designs that find the part of prompts that ends endpoints, in virtual time
//! and without network.
//!
//! The gateways run the real evidence and decision. Sound requests share their first
//! part with many and their second one with few; requests with the crashing part come
//! at random gateways, and each ends the endpoint that begins to answer it.

mod gateway;
mod world;

use std::thread;

use rattanstall::direct::suspects::PartId;

use world::{CRASHING, World};

/// Simulations that run at a time.
const THREADS: u64 = 3;

/// Who collects evidence and who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Design {
    /// Nobody; requests are sent again at once.
    Nothing,
    /// Each gateway for itself.
    Alone,
    /// Three gateways for each part.
    Keepers,
    /// All gateways, each with the evidence of all.
    All,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    design: Design,
    gateways: usize,
    endpoints: usize,
    /// Requests with the crashing part each second.
    crashing_per_s: u64,
    /// Whether requests with a suspect part wait for news.
    holds: bool,
    has_other_causes: bool,
    seconds: u64,
    seed: u64,
}

/// What one simulation counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    ended_by_part: u64,
    ended: u64,
    crashes_until_blocked: Option<u64>,
    late_requests: u64,
    sound: u64,
    began: u64,
    refused: u64,
    cut: u64,
    held: u64,
    wrong_blocks: u64,
    longest_wrong_block: u64,
    peak_messages: u64,
    peak_bytes: u64,
}

impl Outcome {
    fn refuse(&mut self, parts: &[PartId]) {
        self.refused += u64::from(!parts.contains(&CRASHING));
    }

    fn note_unblocked(&mut self, part: PartId, after: u64) {
        if part != CRASHING {
            self.wrong_blocks += 1;
            self.longest_wrong_block = self.longest_wrong_block.max(after);
        }
    }
}

/// Prints a table for each size, with min, median, p95 and max over the seeds.
pub fn run(seed: u64, seconds: u64) {
    println!("{seconds} s from seed {seed}; min/median/p95/max");
    for (gateways, endpoints, seeds) in [(3, 10, 40), (22, 75, 40), (490, 1_600, 5)] {
        for (crashing_per_s, has_other_causes) in
            [(2, false), (9, false), (30, false), (9, true), (0, true)]
        {
            for (design, holds) in [
                (Design::Nothing, false),
                (Design::Alone, false),
                (Design::Keepers, false),
                (Design::All, false),
                (Design::All, true),
            ] {
                let scenario = Scenario {
                    design,
                    gateways,
                    endpoints,
                    crashing_per_s,
                    holds,
                    has_other_causes,
                    seconds,
                    seed,
                };
                print(&scenario, &simulate(scenario, seeds));
            }
        }
    }
}

fn simulate(scenario: Scenario, seeds: u64) -> Vec<Outcome> {
    let threads = (0..THREADS).map(|first| {
        thread::spawn(move || {
            let own = (first..seeds).step_by(THREADS as usize);
            own.map(|offset| {
                let seed = scenario.seed + offset;
                World::new(Scenario { seed, ..scenario }).run()
            })
            .collect::<Vec<Outcome>>()
        })
    });
    let threads: Vec<_> = threads.collect();
    let outcomes = threads.into_iter().filter_map(|t| t.join().ok());
    outcomes.flatten().collect()
}

fn print(scenario: &Scenario, outcomes: &[Outcome]) {
    println!(
        "{} gateways, {} endpoints, {}/s{}, {:?}{}: {} seeds",
        scenario.gateways,
        scenario.endpoints,
        scenario.crashing_per_s,
        if scenario.has_other_causes {
            ", other causes"
        } else {
            ""
        },
        scenario.design,
        if scenario.holds { " + hold" } else { "" },
        outcomes.len()
    );
    let show = |name: &str, value: &dyn Fn(&Outcome) -> u64| {
        let mut values: Vec<u64> = outcomes.iter().map(value).collect();
        values.sort_unstable();
        let at = |share: usize| values[(values.len() - 1) * share / 100];
        println!("  {name}: {}/{}/{}/{}", at(0), at(50), at(95), at(100));
    };
    show("ended by the part", &|o| o.ended_by_part);
    show("crashes until blocked", &|o| {
        o.crashes_until_blocked.unwrap_or(0)
    });
    show("requests 3 s after the fifth", &|o| o.late_requests);
    show("ended in all", &|o| o.ended);
    show("sound begun at the first try, per mille", &|o| {
        o.began * 1_000 / o.sound.max(1)
    });
    show("sound refused", &|o| o.refused);
    show("held", &|o| o.held);
    show("wrong blocks (gateways x parts)", &|o| o.wrong_blocks);
    show("longest wrong block, ms", &|o| o.longest_wrong_block);
    show("peak datagrams/s at one gateway", &|o| o.peak_messages);
    show("peak bytes/s at one gateway", &|o| o.peak_bytes);
}
