//! The store comes back from a copy that is older than the entries of the engines of a new
//! software version, and the fronts are killed at the same moment.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::World;
use crate::Outcome;
use crate::consumer::{MODEL, Stream};

/// More than this many streams of two versions break the rule.
const MOST: usize = 2;
/// Consumers retry a few times within their time budget.
const MOST_TRIES: usize = 5;
/// Engines write their entries about every HeartbeatIntervalMs, so also after the return.
const AGAIN: Duration = Duration::from_millis(1_200);

pub fn play(world: &World<'_>, has_trouble: bool) -> Outcome {
    let old = [
        world.model_engine("i-v1a", "v1", &[MODEL]),
        world.model_engine("i-v1b", "v1", &[MODEL]),
    ];
    let fronts = [world.front(0), world.front(1)];
    fronts.iter().for_each(|front| front.start());
    if !fronts.iter().all(|front| front.wait_until_ready()) {
        return Outcome::NotRun("the fronts are not ready".to_owned());
    }
    let addresses: Vec<SocketAddr> = fronts.iter().map(|front| front.callers).collect();
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let active = Arc::new(AtomicUsize::new(0));
    let consumers = {
        let (streams, active, addresses) = (streams.clone(), active.clone(), addresses.clone());
        std::thread::spawn(move || {
            // Five streams a second for 15 s.
            for number in 0..75 {
                let (streams, active, addresses) =
                    (streams.clone(), active.clone(), addresses.clone());
                active.fetch_add(1, Ordering::AcqRel);
                std::thread::spawn(move || {
                    let mut stream = Stream::default();
                    let until = Instant::now() + Duration::from_secs(12);
                    let turned: Vec<SocketAddr> = match number % 2 {
                        0 => addresses.clone(),
                        _ => addresses.iter().rev().copied().collect(),
                    };
                    stream.finish(&turned, MOST_TRIES, until);
                    streams.lock().unwrap().push(stream);
                    active.fetch_sub(1, Ordering::AcqRel);
                });
                std::thread::sleep(Duration::from_millis(200));
            }
        })
    };
    world.pause(2_500);
    let copy = world.store.copy();
    world.record.line("store: a copy is made");
    world.pause(500);
    let new = [
        world.model_engine("i-v2a", "v2", &[]),
        world.model_engine("i-v2b", "v2", &[]),
    ];
    let until = Instant::now() + Duration::from_secs(10);
    while !new.iter().all(|engine| engine.holds(MODEL)) {
        if Instant::now() > until {
            return Outcome::NotRun("no model was loaded at the new engines".to_owned());
        }
        world.pause(20);
    }
    world.pause(1_500);
    if has_trouble {
        world.record.line("store: away");
        world.store.go_away();
        fronts.iter().for_each(|front| front.signal("KILL"));
        fronts.iter().for_each(|front| front.wait_for_end());
        world.pause(300);
        old.iter().for_each(|engine| engine.pause_beats());
        new.iter().for_each(|engine| engine.pause_beats());
        world.store.return_from(copy);
        world.record.line("store: back from the copy");
        let (old, new) = (old.clone(), new.clone());
        std::thread::spawn(move || {
            std::thread::sleep(AGAIN);
            old.iter().chain(&new).for_each(|engine| engine.register());
        });
        fronts.iter().for_each(|front| front.start());
        if !fronts.iter().all(|front| front.wait_until_ready()) {
            return Outcome::NotRun("the fronts are not ready again".to_owned());
        }
    }
    let _ = consumers.join();
    while active.load(Ordering::Acquire) > 0 {
        world.pause(50);
    }
    let streams = streams.lock().unwrap();
    let mixed: Vec<&Stream> = streams.iter().filter(|s| s.versions().len() > 1).collect();
    for stream in &mixed {
        let tries: Vec<String> = stream
            .tries
            .iter()
            .map(|(id, status, _)| format!("{id} {status}"))
            .collect();
        let events: Vec<String> = stream
            .events
            .iter()
            .map(|(n, v)| format!("{n}:{v}"))
            .collect();
        world.record.line(&format!(
            "mixed: tries {}; events {}",
            tries.join(", "),
            events.join(" ")
        ));
    }
    let by_v2 = streams
        .iter()
        .filter(|s| s.events.first().is_some_and(|(_, v)| v == "v2"))
        .count();
    let complete = streams.iter().filter(|s| s.is_complete).count();
    world.record.result(&format!(
        "{} streams, {by_v2} begun at v2, {complete} complete, {} with events of two versions (more than {MOST} break ORDER)",
        streams.len(),
        mixed.len()
    ));
    match (by_v2, mixed.len()) {
        (0, _) => Outcome::NotRun("no stream began at the new version".to_owned()),
        (_, mixed) if mixed > MOST => Outcome::Broken,
        _ => Outcome::Held,
    }
}
