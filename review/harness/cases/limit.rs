//! After the same restart, an engine in need names the rate that it takes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::World;
use crate::Outcome;
use crate::consumer::{call, new_id};

const LATE_MS: u64 = 2_000;
/// Requests a second that the engine takes from all machines together.
const LIMIT: u64 = 20;
const WINDOW_S: f64 = 4.0;

pub fn play(world: &World<'_>, has_trouble: bool) -> Outcome {
    let engine = world.engine("i-desk", "desk", "v1", None);
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
    world.pause(12_000);
    engine.limit.store(LIMIT, Ordering::Release);
    let named_at = world.record.seconds();
    let is_over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = (0..90)
        .map(|n| {
            let (is_over, front) = (is_over.clone(), fronts[n % 3].clone());
            std::thread::spawn(move || {
                let mut statuses = Vec::new();
                while !is_over.load(Ordering::Acquire) {
                    statuses.push(
                        call(
                            front.callers,
                            &front.name,
                            "GET",
                            "/cufi504/fi50/2f",
                            &new_id(),
                        )
                        .0,
                    );
                    std::thread::sleep(Duration::from_millis(500));
                }
                statuses
            })
        })
        .collect();
    world.pause(16_000);
    is_over.store(true, Ordering::Release);
    let statuses: Vec<u16> = consumers
        .into_iter()
        .flat_map(|c| c.join().unwrap_or_default())
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    // From StableWindowMs after the engine first named its limit.
    let arrivals: Vec<(f64, String)> = engine.arrivals.lock().unwrap().clone();
    let counted: Vec<f64> = arrivals
        .iter()
        .map(|(at, _)| *at)
        .filter(|at| *at > named_at + 3.0)
        .collect();
    let in_window = |from: &f64| {
        counted
            .iter()
            .filter(|at| **at >= *from && **at < from + WINDOW_S)
            .count()
    };
    let most = counted
        .iter()
        .map(|from| in_window(from))
        .max()
        .unwrap_or(0);
    for front in &fronts {
        let from_it = arrivals
            .iter()
            .filter(|(at, name)| *at > named_at + 3.0 && *name == front.name)
            .count();
        world.record.result(&format!(
            "{}: ready {}, {from_it} requests reached the engine",
            front.name,
            front.is_ready()
        ));
    }
    let allowed = 1.5 * LIMIT as f64 * WINDOW_S + 5.0;
    world.record.result(&format!(
        "{} requests, {served} served; at most {most} reached the engine in 4 s (more than {allowed} break LIMIT)",
        statuses.len()
    ));
    match most as f64 > allowed {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
