//! One part of prompts crashes each engine that begins to write an answer on it. The prompts
//! that hold it are long: it stands behind more than a hundred parts of their own.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::World;
use crate::Outcome;
use crate::consumer::{MODEL, Stream, new_id};
use crate::engine::Engine;

const ENGINES: usize = 6;
const PART: &str = "badc0de5badc0de5";
/// Parts before the one that crashes engines: turns of a long conversation.
const TURNS: usize = 140;
/// A crashed engine is back after some seconds, as a new boot with a new id.
const BACK_AFTER: Duration = Duration::from_secs(2);
/// The entry of a crashed engine goes after three liveness report intervals.
const LAPSE: Duration = Duration::from_millis(3_600);
const STABLE_WINDOW_S: f64 = 3.0;
/// More than this many requests break the rule.
const MOST: usize = 3;
const PLAYED: Duration = Duration::from_secs(45);
/// The time between two turns of a conversation.
const TURN_PAUSE: Duration = Duration::from_secs(3);

/// Crashes of engines and arrivals of requests with the part, in seconds.
#[derive(Default)]
struct Seen {
    crashes: Mutex<Vec<f64>>,
    arrivals: Mutex<Vec<f64>>,
}

pub fn play(world: &World<'_>, has_trouble: bool) -> Outcome {
    let turns = std::env::var("TURNS")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(TURNS);
    let seen = Arc::new(Seen::default());
    let start = |number: usize, models: &[&str]| -> Arc<Engine> {
        let engine = world.model_engine(&format!("i-{number}"), "v1", models);
        engine.crash_part.lock().unwrap().replace(PART.to_owned());
        engine
    };
    let mut engines: Vec<Arc<Engine>> = (0..ENGINES).map(|n| start(n, &[MODEL])).collect();
    let fronts = [world.front(0), world.front(1), world.front(2)];
    fronts.iter().for_each(|front| front.start());
    if !fronts.iter().all(|front| front.wait_until_ready()) {
        return Outcome::NotRun("the fronts are not ready".to_owned());
    }
    world.pause(3_500);
    let addresses: Vec<_> = fronts.iter().map(|front| front.callers).collect();
    let until = Instant::now() + PLAYED;
    // Sound consumers: five streams a second.
    let sound = {
        let addresses = addresses.clone();
        std::thread::spawn(move || {
            let mut consumers = Vec::new();
            for number in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let front = addresses[number % 3];
                consumers.push(std::thread::spawn(move || {
                    let mut stream = Stream::default();
                    stream.attempt(front, 12_000);
                    !stream.events.is_empty()
                }));
                std::thread::sleep(Duration::from_millis(200));
            }
            let begun = consumers.into_iter().filter_map(|c| c.join().ok());
            let begun: Vec<bool> = begun.collect();
            (begun.iter().filter(|b| **b).count(), begun.len())
        })
    };
    // Conversations: one each 600 ms, at any machine, no two alike. Their last turn brings the
    // part; the other parts are shared with the sound turn before.
    let poisoned = {
        let record = world.record.clone();
        std::thread::spawn(move || {
            let mut consumers = Vec::new();
            for number in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let (front, record) = (addresses[number % 3], record.clone());
                let other = addresses[(number + 1) % 3];
                consumers.push(std::thread::spawn(move || {
                    let mut parts = vec!["5c1e07a2:198".to_owned()];
                    parts.extend(
                        (0..turns).map(|turn| format!("{:x}{turn:03x}:4", 0x7000_0000 + number)),
                    );
                    // The turn before is sound, and comes at another machine.
                    let before = [parts.join(","), format!("{}:68", new_id())].join(",");
                    Stream {
                        parts: Some(before),
                        ..Stream::default()
                    }
                    .attempt(other, 12_000);
                    std::thread::sleep(TURN_PAUSE);
                    if has_trouble {
                        parts.push(format!("{PART}:20"));
                    }
                    let last_tokens = if has_trouble { 48 } else { 68 };
                    parts.push(format!("{}:{last_tokens}", new_id()));
                    let mut stream = Stream {
                        parts: Some(parts.join(",")),
                        ..Stream::default()
                    };
                    stream.attempt(front, 12_000);
                    let (id, status, _) = stream.tries.last().cloned().unwrap_or_default();
                    record.line(&format!(
                        "request {id} with the part: answered {status}, {} events",
                        stream.events.len()
                    ));
                }));
                std::thread::sleep(Duration::from_millis(600));
            }
            consumers.into_iter().for_each(|c| drop(c.join()));
        })
    };
    // Engines that have crashed come back.
    let mut back: Vec<Instant> = Vec::new();
    let mut number = ENGINES;
    while Instant::now() < until {
        engines.retain(|engine| {
            let is_over = engine.is_over.load(Ordering::Acquire);
            if is_over {
                seen.crashes.lock().unwrap().push(world.record.seconds());
                back.push(Instant::now() + BACK_AFTER);
                let (store, key) = (world.store.clone(), format!("servers/{}", engine.setup.id));
                std::thread::spawn(move || {
                    std::thread::sleep(LAPSE);
                    store.remove(&key);
                });
            }
            seen.arrivals
                .lock()
                .unwrap()
                .append(&mut engine.poisoned.lock().unwrap());
            !is_over
        });
        while back.first().is_some_and(|at| *at <= Instant::now()) {
            back.remove(0);
            engines.push(start(number, &[]));
            number += 1;
        }
        world.pause(2);
    }
    let (begun, sent): (usize, usize) = sound.join().unwrap_or_default();
    let _ = poisoned.join();
    let crashes = seen.crashes.lock().unwrap().clone();
    let arrivals = seen.arrivals.lock().unwrap().clone();
    world.record.result(&format!(
        "{} engines crashed, {} requests with the part reached engines; {begun} of {sent} sound streams began",
        crashes.len(),
        arrivals.len()
    ));
    let Some(fifth) = crashes.get(4) else {
        return Outcome::Held;
    };
    let late = arrivals
        .iter()
        .filter(|at| **at > fifth + STABLE_WINDOW_S)
        .count();
    world.record.result(&format!(
        "{late} of them later than {STABLE_WINDOW_S} s after the fifth crash (more than {MOST} break BUDGET)"
    ));
    match late > MOST {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
