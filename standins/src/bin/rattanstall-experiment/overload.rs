//! Loads one endpoint at 1.5 times its capacity, with the agent's own queue or a
//! FIFO queue.
//!
//! Four workspaces send interactive requests within their fair share of the
//! capacity and one sends five times as much; batch requests make up the rest of
//! the load. A request runs for 0.5 to 1.5 s and returns its first token 0.1 s
//! after it starts.

use std::collections::VecDeque;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::agent::queue::{Queue, QueueRequest, Ticket};
use rattanstall::clock::Millis;
use rattanstall::config::Urgency;

const SLOTS: usize = 32;
const MAX_WAITING: usize = 256;
const MEAN_RUN_MS: u64 = 1_000;
const PREFILL_TIME: Millis = Millis(100);
const FIRST_TOKEN_TARGET: Millis = Millis(1_000);
const BATCH_FIRST_TOKEN_TARGET: Millis = Millis(60_000);
/// Request rate of each source: four well-behaved workspaces, the noisy one, batch.
const REQUESTS_PER_S: [f64; 6] = [3.2, 3.2, 3.2, 3.2, 16.0, 19.2];
const NOISY_SOURCE: usize = 4;
const BATCH_SOURCE: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// First come, first served, with a bounded queue.
    Fifo,
    /// The agent's queue.
    Fair,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    arrived_at: Millis,
    source: usize,
    run_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u64,
    met_target: u64,
    started: u64,
    refused: u64,
    busy_ms: u64,
}

/// Prints one line for each policy and source.
pub fn run(seed: u64, seconds: u64) {
    let arrivals = generate_arrivals(seed, seconds);
    println!(
        "seed {seed}, {seconds} s, {} requests, {SLOTS} slots",
        arrivals.len()
    );
    for policy in [Policy::Fifo, Policy::Fair] {
        let tallies = match policy {
            Policy::Fifo => run_fifo(&arrivals),
            Policy::Fair => run_fair(&arrivals),
        };
        print_tallies(policy, &tallies, seconds);
    }
}

fn generate_arrivals(seed: u64, seconds: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (source, rate) in REQUESTS_PER_S.iter().enumerate() {
        let mut arrived_ms = 0.0;
        while arrived_ms < seconds as f64 * 1_000.0 {
            let uniform: f64 = rng.random();
            arrived_ms += -(1.0 - uniform).ln() * 1_000.0 / rate;
            arrivals.push(Arrival {
                arrived_at: Millis(arrived_ms as u64),
                source,
                run_ms: rng.random_range(MEAN_RUN_MS / 2..MEAN_RUN_MS * 3 / 2),
            });
        }
    }
    arrivals.sort_by_key(|a| a.arrived_at);
    arrivals
}

fn first_token_target(source: usize) -> Millis {
    if source == BATCH_SOURCE {
        BATCH_FIRST_TOKEN_TARGET
    } else {
        FIRST_TOKEN_TARGET
    }
}

fn record_start(tally: &mut Tally, arrival: &Arrival, now: Millis) {
    let time_to_first_token = (now + PREFILL_TIME).since(arrival.arrived_at);
    tally.started += 1;
    tally.met_target += u64::from(time_to_first_token <= first_token_target(arrival.source));
    tally.busy_ms += arrival.run_ms;
}

fn run_fifo(arrivals: &[Arrival]) -> [Tally; 6] {
    let mut tallies = [Tally::default(); 6];
    let mut waiting: VecDeque<Arrival> = VecDeque::new();
    let mut running: Vec<Millis> = Vec::new();
    let mut next = 0;
    let mut now = Millis::ZERO;
    while next < arrivals.len() || !waiting.is_empty() {
        running.retain(|ends_at| *ends_at > now);
        while next < arrivals.len() && arrivals[next].arrived_at <= now {
            let arrival = arrivals[next];
            next += 1;
            tallies[arrival.source].sent += 1;
            match waiting.len() < MAX_WAITING {
                true => waiting.push_back(arrival),
                false => tallies[arrival.source].refused += 1,
            }
        }
        while running.len() < SLOTS
            && let Some(arrival) = waiting.pop_front()
        {
            record_start(&mut tallies[arrival.source], &arrival, now);
            running.push(now + Millis(arrival.run_ms));
        }
        now = now + Millis(1);
    }
    tallies
}

fn run_fair(arrivals: &[Arrival]) -> [Tally; 6] {
    let mut tallies = [Tally::default(); 6];
    let mut queue = Queue::new(SLOTS, MAX_WAITING);
    let mut queued: Vec<(Ticket, Arrival)> = Vec::new();
    let mut running: Vec<(Ticket, Millis, u64)> = Vec::new();
    let mut next = 0;
    let mut now = Millis::ZERO;
    while next < arrivals.len() || !queued.is_empty() {
        for (ticket, _, run_ms) in running.extract_if(.., |r| r.1 <= now) {
            queue.finish(ticket, Some(Millis(run_ms)));
        }
        while next < arrivals.len() && arrivals[next].arrived_at <= now {
            let arrival = arrivals[next];
            next += 1;
            tallies[arrival.source].sent += 1;
            match queue.push(now, queue_request(&arrival)) {
                Ok(ticket) => queued.push((ticket, arrival)),
                Err(_) => tallies[arrival.source].refused += 1,
            }
            for (evicted, _) in queue.take_evicted() {
                for (_, arrival) in queued.extract_if(.., |q| q.0 == evicted) {
                    tallies[arrival.source].refused += 1;
                }
            }
        }
        // Like the agent, refuses a request whose deadline has passed.
        for (ticket, arrival) in queued.extract_if(.., |q| now >= deadline(&q.1)) {
            queue.finish(ticket, None);
            tallies[arrival.source].refused += 1;
        }
        while let Some(ticket) = queue.start_next() {
            let Some(index) = queued.iter().position(|q| q.0 == ticket) else {
                continue;
            };
            let (_, arrival) = queued.swap_remove(index);
            record_start(&mut tallies[arrival.source], &arrival, now);
            running.push((ticket, now + Millis(arrival.run_ms), arrival.run_ms));
        }
        now = now + Millis(1);
    }
    tallies
}

fn deadline(arrival: &Arrival) -> Millis {
    arrival.arrived_at + first_token_target(arrival.source) - PREFILL_TIME
}

fn queue_request(arrival: &Arrival) -> QueueRequest {
    QueueRequest {
        workspace: compact_str::format_compact!("w{}", arrival.source),
        urgency: match arrival.source {
            BATCH_SOURCE => Urgency::Batch,
            _ => Urgency::Interactive,
        },
        deadline: deadline(arrival),
        cost: arrival.run_ms,
    }
}

fn print_tallies(policy: Policy, tallies: &[Tally; 6], seconds: u64) {
    let met_percent = |t: &Tally| 100.0 * t.met_target as f64 / t.sent.max(1) as f64;
    let worst = tallies[..NOISY_SOURCE]
        .iter()
        .map(met_percent)
        .fold(100.0, f64::min);
    // Run time of the requests that met their target, estimated from the mean run time.
    let useful_ms: u64 = tallies
        .iter()
        .map(|t| t.busy_ms * t.met_target / t.started.max(1))
        .sum();
    let goodput = useful_ms as f64 / 10.0 / (SLOTS as u64 * seconds) as f64;
    println!(
        "{:<5} worst tame workspace {worst:>6.2} % met; noisy {:>6.2} %; batch {:>6.2} %; goodput {goodput:>6.2} % of capacity; refused tame {} noisy {} batch {}",
        format!("{policy:?}"),
        met_percent(&tallies[NOISY_SOURCE]),
        met_percent(&tallies[BATCH_SOURCE]),
        tallies[..NOISY_SOURCE]
            .iter()
            .map(|t| t.refused)
            .sum::<u64>(),
        tallies[NOISY_SOURCE].refused,
        tallies[BATCH_SOURCE].refused,
    );
}
