//! Checks, without network, which calls of the store an outage has overtaken.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng as _};
use rattanstall::clock::Millis;
use rattanstall::direct::registry::staleness::{AgeChange, Staleness};
use rattanstall::direct::store::outages::Outages;

// Guards against a watch that waits for an answer that was lost while the store was silent.
#[test]
fn a_call_before_an_outage_is_overtaken_by_an_answer_after_it() {
    let mut outages = Outages::default();
    let watch = outages.call_sent();
    let renewal = outages.call_sent();
    assert!(!outages.call_answered(renewal));
    assert!(!outages.is_overtaken(watch));
    let lost = outages.call_sent();
    outages.call_lost(lost);
    assert!(!outages.is_overtaken(watch), "the store is still away");
    let answered = outages.call_sent();
    assert!(outages.call_answered(answered));
    assert!(outages.is_overtaken(watch));
    let next = outages.call_sent();
    assert!(!outages.is_overtaken(next));
}

// Guards against watches that are sent again for each call that fails late in one outage.
#[test]
fn a_loss_from_before_the_last_answer_shows_nothing_new() {
    let mut outages = Outages::default();
    let (first, second) = (outages.call_sent(), outages.call_sent());
    outages.call_lost(first);
    let answered = outages.call_sent();
    assert!(outages.call_answered(answered));
    let watch = outages.call_sent();
    outages.call_lost(second);
    let answered = outages.call_sent();
    assert!(!outages.call_answered(answered));
    assert!(!outages.is_overtaken(watch));
}

// Guards against the same for a call that was sent before the lost one and answered after it.
#[test]
fn an_answer_to_a_call_from_before_a_loss_ends_no_outage() {
    let mut outages = Outages::default();
    let (watch, slow, lost) = (
        outages.call_sent(),
        outages.call_sent(),
        outages.call_sent(),
    );
    outages.call_lost(lost);
    assert!(!outages.call_answered(slow));
    assert!(!outages.is_overtaken(watch));
}

// Guards against calls that are given up although no answer was lost, and kept although one was.
#[test]
fn calls_are_overtaken_by_outages_alone() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut outages = Outages::default();
        let mut open = Vec::new();
        let (mut is_silent, mut was_lost) = (false, false);
        for _ in 0..200 {
            if rng.next_u64() % 20 == 0 {
                is_silent = !is_silent;
            }
            // A watch is lost with the outage in which it was sent.
            let watch = outages.call_sent();
            open.push((watch, is_silent));
            let renewal = outages.call_sent();
            if is_silent {
                outages.call_lost(renewal);
                was_lost = true;
                continue;
            }
            let has_ended = outages.call_answered(renewal);
            assert_eq!(has_ended, std::mem::take(&mut was_lost), "seed {seed}");
            open.retain(|(call, _)| !outages.is_overtaken(*call));
            let lost = open.iter().filter(|(_, is_lost)| *is_lost).count();
            assert_eq!(lost, 0, "seed {seed}");
        }
    }
}

// Guards against a line for each tick, or none, while the registrations are stale.
#[test]
fn the_age_is_told_once_when_it_is_too_great_and_once_when_it_is_not() {
    let mut staleness = Staleness::default();
    let max = Millis(3_500);
    let ages = [0, 3_500, 3_501, 9_000, 3_500, 0, 4_000, 1];
    let changes = ages.map(|age| staleness.update(Millis(age), max));
    let expected = [
        None,
        None,
        Some(AgeChange::Stale),
        None,
        Some(AgeChange::Current(Millis(9_000))),
        None,
        Some(AgeChange::Stale),
        Some(AgeChange::Current(Millis(4_000))),
    ];
    assert_eq!(changes, expected);
}
