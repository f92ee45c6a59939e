//! An application engine fails part of its requests after it has run them.

use std::sync::atomic::Ordering;

use super::World;
use crate::Outcome;
use crate::consumer::{call, new_id};
use crate::engine::runs_of;

/// These say that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const REQUESTS: usize = 40;

pub fn play(world: &World<'_>, has_trouble: bool) -> Outcome {
    let engines = [
        world.engine("i-desk-a", "desk", "v1", None),
        world.engine("i-desk-b", "desk", "v1", None),
    ];
    let fronts = [world.front(0), world.front(1)];
    fronts.iter().for_each(|front| front.start());
    if !fronts.iter().all(|front| front.wait_until_ready()) {
        return Outcome::NotRun("the fronts are not ready".to_owned());
    }
    world.pause(3_500);
    if has_trouble {
        // One of the two engines is grey. It fails 2 of 5 requests that it has run.
        engines[0].grey.store(true, Ordering::Release);
    }
    let mut broken = 0;
    for n in 0..REQUESTS {
        let (front, id) = (&fronts[n % 2], new_id());
        let (status, is_whole) = call(front.callers, &front.name, "POST", "/puxa403/2f", &id);
        let runs = runs_of(&engines, &id);
        let is_broken = PROMISES.contains(&status) && runs > 0;
        broken += usize::from(is_broken);
        world.record.line(&format!(
            "order {id} at {}: answered {status}, whole {is_whole}, runs {runs}{}",
            front.name,
            if is_broken {
                ": promised as not run, and has run"
            } else {
                ""
            }
        ));
        world.pause(50);
    }
    world.record.result(&format!(
        "{REQUESTS} orders, {broken} answered as not run though an engine ran them"
    ));
    match broken {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
