//! A front restarts as planned while the store loses the answer to one write and carries it
//! out late. Long after that the front is killed, and its streams are taken up elsewhere.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::World;
use crate::Outcome;
use crate::consumer::{MODEL, Stream};

const STREAMS: usize = 20;
/// The write is carried out that much later: the page allows seconds, the bench 1 to 6.
const LATE_MS: u64 = 2_000;

pub fn play(world: &World<'_>, has_trouble: bool) -> Outcome {
    for (id, version) in [
        ("i-v1a", "v1"),
        ("i-v1b", "v1"),
        ("i-v2a", "v2"),
        ("i-v2b", "v2"),
    ] {
        world.model_engine(id, version, &[MODEL]);
    }
    let fronts = [world.front(0), world.front(1), world.front(2)];
    fronts.iter().for_each(|front| front.start());
    if !fronts.iter().all(|front| front.wait_until_ready()) {
        return Outcome::NotRun("the fronts are not ready".to_owned());
    }
    world.pause(4_000);
    let restarted = &fronts[0];
    restarted.signal("TERM");
    restarted.wait_for_end();
    world.pause(300);
    if has_trouble {
        restarted
            .way
            .lose_and_delay_ms
            .store(LATE_MS, Ordering::Release);
    }
    restarted.start();
    if !restarted.wait_until_ready() {
        return Outcome::NotRun("the front is not ready again".to_owned());
    }
    // The store has been calm and the machines in touch for much longer than StableWindowMs.
    world.pause(12_000);
    let states: Vec<String> = fronts
        .iter()
        .map(|f| format!("{} ready: {}", f.name, f.is_ready()))
        .collect();
    world.record.result(&states.join(", "));
    let streams: Vec<Arc<Mutex<Stream>>> = (0..STREAMS).map(|_| Arc::default()).collect();
    let began = Instant::now();
    let until = began + Duration::from_secs(12);
    let callers = restarted.callers;
    let begun: Vec<_> = streams
        .iter()
        .cloned()
        .map(|stream| {
            std::thread::spawn(move || {
                let mut copy = Stream::default();
                copy.attempt(callers, 12_000);
                *stream.lock().unwrap() = copy;
            })
        })
        .collect();
    world.pause(1_000);
    restarted.signal("KILL");
    restarted.wait_for_end();
    begun.into_iter().for_each(|consumer| drop(consumer.join()));
    let has_begun = streams
        .iter()
        .filter(|s| !s.lock().unwrap().events.is_empty())
        .count();
    // The others are in touch. Consumers take their streams up again there, and new ones begin.
    world.pause(300);
    let others = [fronts[1].callers, fronts[2].callers];
    let new: Vec<_> = (0..STREAMS)
        .map(|n| {
            std::thread::spawn(move || {
                let mut stream = Stream::default();
                stream.attempt(others[n % 2], 12_000);
                stream
            })
        })
        .collect();
    let resumed: Vec<_> = streams
        .iter()
        .cloned()
        .enumerate()
        .map(|(n, stream)| {
            std::thread::spawn(move || {
                let mut stream = stream.lock().unwrap();
                let before = stream.events.len();
                stream.finish(&[others[n % 2], others[(n + 1) % 2]], 4, until);
                stream.events.len() > before
            })
        })
        .collect();
    let new: Vec<Stream> = new.into_iter().filter_map(|s| s.join().ok()).collect();
    let new_begun = new.iter().filter(|s| !s.events.is_empty()).count();
    let gone_on = resumed
        .into_iter()
        .filter_map(|s| s.join().ok())
        .filter(|goes_on| *goes_on)
        .count();
    for stream in &streams {
        let stream = stream.lock().unwrap();
        let tries: Vec<String> = stream
            .tries
            .iter()
            .map(|(id, status, _)| format!("{id} {status}"))
            .collect();
        world.record.line(&format!(
            "stream: {} events, tries {}",
            stream.events.len(),
            tries.join(", ")
        ));
    }
    world.record.result(&format!(
        "{has_begun} streams taken up again, {gone_on} went on; {new_begun} of {STREAMS} new streams began"
    ));
    if has_begun < 12 || new_begun == 0 {
        return Outcome::NotRun("too few streams began".to_owned());
    }
    let (share, share_of_new) = (
        gone_on as f64 / has_begun as f64,
        new_begun as f64 / STREAMS as f64,
    );
    match share < share_of_new / 2.0 {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
