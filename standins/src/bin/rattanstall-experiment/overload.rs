//! One endpoint at one and a half times its capacity, on the agent's own queue.
//!
//! Four workspaces send interactive requests within their part; one sends five
//! times its part; batch work fills the rest. A request runs for 0.5 to 1.5 s
//! and shows its first token 0.1 s after it starts.

use std::collections::VecDeque;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::agent::queue::{Queue, QueueRequest, Ticket};
use rattanstall::clock::Millis;
use rattanstall::config::Urgency;

const SLOTS: usize = 32;
const WAITING: usize = 256;
const MEAN_RUN_MS: u64 = 1_000;
const PREFILL: Millis = Millis(100);
const TARGET: Millis = Millis(1_000);
const BATCH_TARGET: Millis = Millis(60_000);
/// Requests a second of each stream: four tame workspaces, the noisy one, batch.
const RATES: [f64; 6] = [3.2, 3.2, 3.2, 3.2, 16.0, 19.2];
const NOISY: usize = 4;
const BATCH: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// First come, first served, until the waiting room is full.
    Fifo,
    /// The agent's queue.
    Fair,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Millis,
    stream: usize,
    run_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u64,
    met: u64,
    answered: u64,
    refused: u64,
    busy_ms: u64,
}

/// Prints one line for each policy and stream.
pub fn run(seed: u64, seconds: u64) {
    let arrivals = record(seed, seconds);
    println!(
        "seed {seed}, {seconds} s, {} requests, {SLOTS} slots",
        arrivals.len()
    );
    for policy in [Policy::Fifo, Policy::Fair] {
        let tallies = match policy {
            Policy::Fifo => run_fifo(&arrivals),
            Policy::Fair => run_fair(&arrivals),
        };
        print(policy, &tallies, seconds);
    }
}

fn record(seed: u64, seconds: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (stream, rate) in RATES.iter().enumerate() {
        let mut at = 0.0;
        while at < seconds as f64 * 1_000.0 {
            let uniform: f64 = rng.random();
            at += -(1.0 - uniform).ln() * 1_000.0 / rate;
            arrivals.push(Arrival {
                at: Millis(at as u64),
                stream,
                run_ms: rng.random_range(MEAN_RUN_MS / 2..MEAN_RUN_MS * 3 / 2),
            });
        }
    }
    arrivals.sort_by_key(|a| a.at);
    arrivals
}

fn target_of(stream: usize) -> Millis {
    if stream == BATCH {
        BATCH_TARGET
    } else {
        TARGET
    }
}

fn note_start(tally: &mut Tally, arrival: &Arrival, now: Millis) {
    let first = (now + PREFILL).since(arrival.at);
    tally.answered += 1;
    tally.met += u64::from(first <= target_of(arrival.stream));
    tally.busy_ms += arrival.run_ms;
}

fn run_fifo(arrivals: &[Arrival]) -> [Tally; 6] {
    let mut tallies = [Tally::default(); 6];
    let mut waiting: VecDeque<Arrival> = VecDeque::new();
    let mut running: Vec<Millis> = Vec::new();
    let mut next = 0;
    let mut now = Millis::ZERO;
    while next < arrivals.len() || !waiting.is_empty() {
        running.retain(|ends| *ends > now);
        while next < arrivals.len() && arrivals[next].at <= now {
            let arrival = arrivals[next];
            next += 1;
            tallies[arrival.stream].sent += 1;
            match waiting.len() < WAITING {
                true => waiting.push_back(arrival),
                false => tallies[arrival.stream].refused += 1,
            }
        }
        while running.len() < SLOTS
            && let Some(arrival) = waiting.pop_front()
        {
            note_start(&mut tallies[arrival.stream], &arrival, now);
            running.push(now + Millis(arrival.run_ms));
        }
        now = now + Millis(1);
    }
    tallies
}

fn run_fair(arrivals: &[Arrival]) -> [Tally; 6] {
    let mut tallies = [Tally::default(); 6];
    let mut queue = Queue::new(SLOTS, WAITING);
    let mut held: Vec<(Ticket, Arrival)> = Vec::new();
    let mut running: Vec<(Ticket, Millis, u64)> = Vec::new();
    let mut next = 0;
    let mut now = Millis::ZERO;
    while next < arrivals.len() || !held.is_empty() {
        for (ticket, _, run_ms) in running.extract_if(.., |r| r.1 <= now) {
            queue.finish(ticket, Some(Millis(run_ms)));
        }
        while next < arrivals.len() && arrivals[next].at <= now {
            let arrival = arrivals[next];
            next += 1;
            tallies[arrival.stream].sent += 1;
            match queue.push(now, wish(&arrival)) {
                Ok(ticket) => held.push((ticket, arrival)),
                Err(_) => tallies[arrival.stream].refused += 1,
            }
            for (evicted, _) in queue.take_evicted() {
                for (_, arrival) in held.extract_if(.., |h| h.0 == evicted) {
                    tallies[arrival.stream].refused += 1;
                }
            }
        }
        // As the agent does, a request whose time is over is refused.
        for (ticket, arrival) in held.extract_if(.., |h| now >= due(&h.1)) {
            queue.finish(ticket, None);
            tallies[arrival.stream].refused += 1;
        }
        while let Some(ticket) = queue.start_next() {
            let Some(at) = held.iter().position(|h| h.0 == ticket) else {
                continue;
            };
            let (_, arrival) = held.swap_remove(at);
            note_start(&mut tallies[arrival.stream], &arrival, now);
            running.push((ticket, now + Millis(arrival.run_ms), arrival.run_ms));
        }
        now = now + Millis(1);
    }
    tallies
}

fn due(arrival: &Arrival) -> Millis {
    arrival.at + target_of(arrival.stream) - PREFILL
}

fn wish(arrival: &Arrival) -> QueueRequest {
    QueueRequest {
        workspace: compact_str::format_compact!("w{}", arrival.stream),
        urgency: match arrival.stream {
            BATCH => Urgency::Batch,
            _ => Urgency::Interactive,
        },
        deadline: due(arrival),
        cost: arrival.run_ms,
    }
}

fn print(policy: Policy, tallies: &[Tally; 6], seconds: u64) {
    let met = |t: &Tally| 100.0 * t.met as f64 / t.sent.max(1) as f64;
    let worst = tallies[..NOISY].iter().map(met).fold(100.0, f64::min);
    let useful: u64 = tallies
        .iter()
        .map(|t| t.busy_ms * t.met / t.answered.max(1))
        .sum();
    let goodput = useful as f64 / 10.0 / (SLOTS as u64 * seconds) as f64;
    println!(
        "{:<5} worst tame workspace {worst:>6.2} % met; noisy {:>6.2} %; batch {:>6.2} %; goodput {goodput:>6.2} % of capacity; refused tame {} noisy {} batch {}",
        format!("{policy:?}"),
        met(&tallies[NOISY]),
        met(&tallies[BATCH]),
        tallies[..NOISY].iter().map(|t| t.refused).sum::<u64>(),
        tallies[NOISY].refused,
        tallies[BATCH].refused,
    );
}
