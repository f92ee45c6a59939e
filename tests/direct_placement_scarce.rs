//! Placement where there are more models than places for them.

#[path = "support/placement_fleet.rs"]
mod placement_fleet;
#[path = "support/registration.rs"]
mod registration;

use placement_fleet::{PlacementFleet, SLOTS, Size};
use rattanstall::clock::Millis;

/// Twice as many models as places, with loads that take this long.
fn scarce(load_time: Millis) -> Size {
    Size {
        engines: 24,
        places: 2,
        models: 96,
        load_time,
    }
}

const LOAD_TIMES: [Millis; 3] = [Millis(500), Millis(4_200), Millis(9_000)];

fn times(load_time: Millis, count: u64) -> Millis {
    Millis(load_time.0 * count)
}

// Guards against a hot model that stays on one copy while idle models hold all memory.
#[test]
fn a_hot_model_gets_the_places_of_idle_ones() {
    for load_time in LOAD_TIMES {
        let mut fleet = PlacementFleet::new(scarce(load_time));
        // 50 requests of a second each are open at a time.
        fleet.ask([0], 50.0);
        // Three loads one after the other, beside the time in which idleness shows.
        let end = fleet.now() + times(load_time, 6) + Millis(3_000);
        fleet.run_until(end, |_| {});
        let slots = fleet.copies(0) * SLOTS as usize;
        assert!(slots >= 50, "{slots} slots for 50 requests");
    }
}

// Guards against models that are asked for all day and never get a copy.
#[test]
fn each_model_that_is_asked_for_gets_a_place() {
    for load_time in LOAD_TIMES {
        let mut fleet = PlacementFleet::new(scarce(load_time));
        // 32 models, half of which have no copy at the start.
        fleet.ask((32..64).collect::<Vec<_>>(), 0.5);
        let end = fleet.now() + times(load_time, 3) + Millis(8_000);
        fleet.run_until(end, |_| {});
        let without: Vec<usize> = (32..64).filter(|m| fleet.copies(*m) == 0).collect();
        assert!(without.is_empty(), "{without:?}, loads of {load_time:?}");
    }
}

#[test]
fn a_rare_model_comes_back_within_a_load_when_it_is_asked_for() {
    for load_time in LOAD_TIMES {
        let mut fleet = PlacementFleet::new(scarce(load_time));
        fleet.ask([0, 1], 50.0);
        let settled = fleet.now() + times(load_time, 8) + Millis(10_000);
        fleet.run_until(settled, |_| {});
        for rare in [70, 80, 90] {
            assert_eq!(fleet.copies(rare), 0, "not asked for yet");
            fleet.ask([0, 1], 50.0);
            fleet.ask_also([rare], 0.5);
            // The load itself, a load that an engine is still busy with, and the unload.
            let end = fleet.now() + times(load_time, 2) + Millis(1_000);
            fleet.run_until(end, |_| {});
            assert_eq!(fleet.copies(rare), 1, "m{rare}, loads of {load_time:?}");
        }
    }
}

#[test]
fn hot_models_keep_their_copies_while_models_that_nobody_wants_have_none() {
    let mut fleet = PlacementFleet::new(scarce(Millis(4_200)));
    fleet.ask([0, 1, 2, 3], 20.0);
    let start = fleet.now();
    fleet.run_until(start + Millis(40_000), |_| {});
    let settled: Vec<usize> = (0..4).map(|m| fleet.copies(m)).collect();
    let loads = fleet.loads;
    fleet.run_until(start + Millis(80_000), |fleet| {
        for (model, copies) in settled.iter().enumerate() {
            assert!(fleet.copies(model) >= *copies, "m{model} loses copies");
        }
    });
    assert!(fleet.loads <= loads + 4, "{} more", fleet.loads - loads);
}

// Guards against copies that replace each other when more models are asked for than fit.
#[test]
fn demand_for_more_models_than_fit_moves_few_copies() {
    for load_time in LOAD_TIMES {
        let mut fleet = PlacementFleet::new(scarce(load_time));
        fleet.ask(0..96, 1.0);
        let start = fleet.now();
        let mut placed = 0.0;
        let mut steps = 0.0;
        let end = start + Millis(60_000);
        fleet.run_until(end, |fleet| {
            let with_copy = (0..96).filter(|m| fleet.copies(*m) > 0).count();
            placed += with_copy as f64;
            steps += 1.0;
        });
        // All places serve nearly all the time.
        let mean = placed / steps;
        assert!(
            mean >= 0.9 * 48.0,
            "{mean:.1} of 48, loads of {load_time:?}"
        );
        assert!(fleet.loads <= 48, "{} loads", fleet.loads);
    }
}

// Guards against a copy that is unloaded because another one is on its way, and against
// rare models that take the places of hot ones while idle ones hold theirs.
#[test]
fn hot_models_are_served_all_the_time_while_rare_ones_come_and_go() {
    for load_time in LOAD_TIMES {
        let mut fleet = PlacementFleet::new(scarce(load_time));
        let hot = [0, 1, 2];
        fleet.ask(hot, 30.0);
        let settled = fleet.now() + times(load_time, 6) + Millis(6_000);
        fleet.run_until(settled, |_| {});
        let copies: Vec<usize> = hot.iter().map(|m| fleet.copies(*m)).collect();
        // Every second, other rare models are asked for.
        for round in 0..40 {
            fleet.ask(hot, 30.0);
            fleet.ask_also((0..4).map(|n| 40 + (round * 4 + n) % 50), 0.8);
            let end = fleet.now() + Millis(1_000);
            fleet.run_until(end, |fleet| {
                for (model, copies) in hot.iter().zip(&copies) {
                    let now = fleet.copies(*model);
                    assert!(now + 1 >= *copies, "m{model}: {now} of {copies}");
                }
            });
        }
    }
}

// Demand that moves on within seconds, as that of a shift does.
#[test]
fn demand_that_moves_on_has_its_copies_within_two_loads() {
    for load_time in LOAD_TIMES {
        let mut fleet = PlacementFleet::new(scarce(load_time));
        for round in 0..4 {
            let hot = [round * 7, round * 7 + 50];
            fleet.ask(hot, 30.0);
            fleet.ask_also((30..40).map(|n| n + round), 0.3);
            let began = fleet.now();
            // Six loads at the store's rate take 2 s; idleness shows after 1 s.
            let end = began + times(load_time, 2) + Millis(3_500);
            fleet.run_until(end, |_| {});
            for model in hot {
                let slots = fleet.copies(model) * SLOTS as usize;
                assert!(slots >= 30, "m{model}: {slots} slots, {load_time:?}");
            }
            fleet.run_until(end + times(load_time, 2) + Millis(4_000), |_| {});
        }
    }
}

#[test]
fn where_all_models_fit_each_keeps_a_copy() {
    for load_time in LOAD_TIMES {
        let mut fleet = PlacementFleet::new(Size {
            models: 30,
            ..scarce(load_time)
        });
        fleet.ask([0, 1], 60.0);
        let end = fleet.now() + Millis(60_000);
        fleet.run_until(end, |fleet| {
            assert!((0..30).all(|m| fleet.copies(m) > 0), "a last copy is gone");
        });
        assert!(fleet.copies(0) >= 6, "{}", fleet.copies(0));
    }
}

#[test]
fn models_whose_only_copy_was_lost_come_back_before_they_are_asked_for() {
    let load_time = Millis(4_200);
    let mut fleet = PlacementFleet::new(Size {
        models: 40,
        ..scarce(load_time)
    });
    fleet.ask([0, 1], 4.0);
    let settled = fleet.now() + Millis(20_000);
    fleet.run_until(settled, |_| {});
    for at in [10, 11, 12, 13] {
        fleet.restart(at);
    }
    let end = fleet.now() + times(load_time, 3) + Millis(5_000);
    fleet.run_until(end, |_| {});
    let without: Vec<usize> = (0..40).filter(|m| fleet.copies(*m) == 0).collect();
    assert!(without.is_empty(), "{without:?}");
}
