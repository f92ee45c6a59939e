//! Checks, without network, of what runs that break off say about the parts of their
//! prompts.

#[path = "support/registration.rs"]
mod registration;

use std::sync::Arc;

use futures_util::FutureExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng as _};
use rattanstall::clock::Millis;
use rattanstall::direct::crash_watch::{
    Cases, Ended, ProgressLog, Step, Suspect, Turns, is_dangerous, is_in_use, reported_parts,
    suspects_of,
};
use rattanstall::direct::dialect::{EndpointState, Registration};
use rattanstall::direct::part_table::{PartLists, PartTable};
use rattanstall::direct::request::PromptPart;
use rattanstall::direct::suspects::{CrashId, MAX_CRASH_PARTS, PartId};
use rattanstall::direct::view::{EndpointView, Usability, View};

use registration::registration;

const SEED: u64 = 27;
const NOW: Millis = Millis(50_000);
const ENDPOINT: CrashId = CrashId(1);

fn draw(rng: &mut ChaCha8Rng, limit: u64) -> u64 {
    rng.next_u64() % limit
}

fn parts(ids: impl IntoIterator<Item = u64>) -> Vec<PartId> {
    ids.into_iter().map(PartId).collect()
}

fn names(suspects: &[Suspect]) -> Vec<u64> {
    suspects.iter().map(|s| s.part.0).collect()
}

fn suspect(place: usize, part: u64) -> Suspect {
    let part = PartId(part);
    Suspect { place, part }
}

// Guards against a sound request that is blamed because it ran beside another one.
#[test]
fn only_unproven_shared_parts_of_answers_to_come_are_suspects() {
    let table = PartTable::default();
    table.record_progress(NOW - Millis(20_000), &parts([3]));
    table.record_progress(NOW - Millis(500), &parts([2]));
    let prompt = [1, 2, 3, 4].map(|id| PromptPart { id, tokens: 9 });
    let shared: Vec<PartId> = PartTable::shared_parts(&prompt).collect();
    let found = suspects_of(&table, NOW, &shared, false);
    assert_eq!(found, [suspect(0, 1), suspect(2, 3)]);
    assert_eq!(suspects_of(&table, NOW, &shared, true), []);
    let only_last: Vec<PartId> = PartTable::shared_parts(&prompt[..1]).collect();
    assert_eq!(suspects_of(&table, NOW, &only_last, false), []);
}

// Guards against a sound request that is not repeated after a crash because its parts come
// to one gateway seldom, and against a repeat of one that has a part never answered.
#[test]
fn a_request_is_repeated_if_its_parts_were_answered_within_a_minute() {
    let table = PartTable::default();
    table.record_progress(NOW, &parts([1, 2]));
    let later = NOW + Millis(59_999);
    let suspects = suspects_of(&table, later, &parts([1, 2]), false);
    assert_eq!(names(&suspects), [1, 2]);
    assert!(!is_dangerous(&table, later, &suspects));
    assert!(is_dangerous(&table, NOW + Millis(60_000), &suspects));
    let suspects = suspects_of(&table, later, &parts([1, 2, 3]), false);
    assert!(is_dangerous(&table, later, &suspects));
    assert!(!is_dangerous(&table, later, &[]));
}

// Guards against several probes of one endpoint at a time, and against runs that break
// off during the probe and are forgotten.
#[test]
fn one_probe_decides_for_all_runs_that_break_off_meanwhile() {
    let mut cases = Cases::default();
    assert!(!cases.is_open(NOW, ENDPOINT));
    let first = cases.record_break(NOW, ENDPOINT, &[suspect(0, 1)], true);
    assert_eq!(first, Step::Probe);
    assert!(cases.is_open(NOW, ENDPOINT));
    let other = cases.record_break(NOW + Millis(1), CrashId(2), &[suspect(0, 9)], true);
    assert_eq!(other, Step::Probe);
    for part in 2..5 {
        let step = cases.record_break(NOW + Millis(2), ENDPOINT, &[suspect(0, part)], true);
        assert_eq!(step, Step::Wait);
    }
    let ended = cases.conclude(ENDPOINT, true).expect("an end");
    assert_eq!(
        (ended.since, names(&ended.suspects)),
        (NOW, vec![1, 2, 3, 4])
    );
    // Whatever breaks off later is reported by itself, as part of the same crash.
    let late = cases.record_break(NOW + Millis(400), ENDPOINT, &[suspect(1, 7)], true);
    let expected = Ended {
        since: NOW,
        suspects: vec![suspect(1, 7)],
    };
    assert_eq!(late, Step::Report(expected));
}

// Guards against a reset connection or a faulty answer that counts as a crash, and
// against a crash that is missed because the endpoint was alive before.
#[test]
fn an_endpoint_that_is_alive_is_probed_anew_at_the_next_break() {
    let mut cases = Cases::default();
    for round in 0..3 {
        let now = NOW + Millis(round);
        let step = cases.record_break(now, ENDPOINT, &[suspect(0, round)], true);
        assert_eq!(step, Step::Probe);
        assert_eq!(cases.conclude(ENDPOINT, false), None);
        assert!(!cases.is_open(now, ENDPOINT));
    }
    cases.record_break(NOW, ENDPOINT, &[suspect(0, 8)], true);
    let ended = cases.conclude(ENDPOINT, true).expect("an end");
    assert_eq!(names(&ended.suspects), [8]);
}

// Guards against a crash that goes unreported because its runs leave no suspects: it
// shows that endpoints end for another reason.
#[test]
fn a_crash_without_suspects_is_reported() {
    let mut cases = Cases::default();
    assert_eq!(cases.record_break(NOW, ENDPOINT, &[], true), Step::Probe);
    let ended = cases.conclude(ENDPOINT, true).expect("an end");
    assert_eq!(ended.suspects, []);
}

// Guards against cases that are kept for good.
#[test]
fn old_cases_are_dropped() {
    let mut cases = Cases::default();
    cases.record_break(NOW, ENDPOINT, &[suspect(0, 1)], true);
    assert!(cases.is_open(NOW + Millis(9_999), ENDPOINT));
    let later = NOW + Millis(10_000);
    assert!(!cases.is_open(later, ENDPOINT));
    cases.record_break(later, CrashId(2), &[], true);
    assert_eq!(cases.conclude(ENDPOINT, true), None);
}

// Guards against a part that ends endpoints and is crowded out of the reports by the
// parts of the other runs.
#[test]
fn a_report_is_bounded_and_names_watched_parts_first() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for _ in 0..200 {
        let table = PartTable::default();
        let watched = parts((0..40).map(|n| 1_000_000 + 2 * n));
        table.publish(PartLists {
            blocked: Vec::new(),
            watched: watched.clone(),
            ..PartLists::default()
        });
        let runs = 1 + draw(&mut rng, 60);
        let mut suspects = Vec::new();
        for run in 0..runs {
            let length = draw(&mut rng, 60) as usize;
            suspects.extend((0..length).map(|place| suspect(place, 100 * run + place as u64)));
        }
        let first_places: Vec<PartId> = suspects
            .iter()
            .filter(|s| s.place == 0)
            .map(|s| s.part)
            .collect();
        let chosen: Vec<PartId> = watched[..draw(&mut rng, 40) as usize].to_vec();
        suspects.extend(chosen.iter().map(|part| suspect(500, part.0)));
        suspects.extend_from_within(..);
        let mut all: Vec<PartId> = suspects.iter().map(|s| s.part).collect();
        all.sort_unstable();
        all.dedup();
        let reported = reported_parts(&table, &suspects);
        assert!(reported.is_sorted_by(|a, b| a < b));
        assert_eq!(reported.len(), all.len().min(MAX_CRASH_PARTS));
        assert!(reported.iter().all(|part| all.binary_search(part).is_ok()));
        let mut wanted = chosen.iter().chain(&first_places);
        assert!(wanted.all(|part| reported.binary_search(part).is_ok()));
    }
}

// Guards against an event for each answer with a watched part.
#[test]
fn progress_with_a_part_is_reported_once_a_second() {
    let mut log = ProgressLog::default();
    let mut due = |now: u64, ids: &[u64]| {
        let mut due = parts(ids.iter().copied());
        log.retain_due(Millis(now), &mut due);
        due.iter().map(|part| part.0).collect::<Vec<u64>>()
    };
    assert_eq!(due(5_000, &[1, 2]), [1, 2]);
    assert_eq!(due(5_400, &[2, 3]), [3]);
    assert_eq!(due(5_999, &[1, 2, 3]), [0; 0]);
    assert_eq!(due(6_000, &[1, 2, 3]), [1, 2]);
    assert_eq!(due(6_400, &[3, 3]), [3]);
}

// Guards against a request that goes to the next endpoint before it is known whether it
// ended the last one, and against one that waits for a probe that is over.
#[test]
fn a_verdict_is_known_as_soon_as_the_probe_is_over() {
    for has_ended in [true, false] {
        let mut cases = Cases::default();
        assert!(cases.verdict(ENDPOINT).is_none());
        cases.record_break(NOW, ENDPOINT, &[suspect(0, 1)], true);
        let verdict = cases.verdict(ENDPOINT).expect("a probe");
        assert_eq!(verdict.clone().has_ended().now_or_never(), None);
        cases.conclude(ENDPOINT, has_ended);
        assert_eq!(verdict.has_ended().now_or_never(), Some(has_ended));
        let late = cases.verdict(ENDPOINT);
        let late = late.and_then(|verdict| verdict.has_ended().now_or_never());
        assert_eq!(late, has_ended.then_some(true));
    }
}

fn watching(ids: &[u64]) -> PartTable {
    let table = PartTable::default();
    table.publish(PartLists {
        blocked: Vec::new(),
        watched: parts(ids.iter().copied()),
        ..PartLists::default()
    });
    table
}

fn turn_suspects(turns: &Turns, table: &PartTable, now: Millis, ids: &[u64]) -> Vec<u64> {
    let shared = parts(ids.iter().copied());
    let suspects = turns.suspects(table, now, shared.into_iter());
    suspects.iter().map(|part| part.0).collect()
}

// Guards against requests that take turns although their parts are known to be sound, and
// against a suspect part that needs none.
#[test]
fn only_suspects_that_were_not_answered_here_lately_need_a_turn() {
    let mut turns = Turns::default();
    let table = PartTable::default();
    assert_eq!(turn_suspects(&turns, &table, NOW, &[1, 2, 3]), [0; 0]);
    let table = watching(&[2, 3]);
    table.record_progress(NOW, &parts([3]));
    assert_eq!(turn_suspects(&turns, &table, NOW, &[1, 2, 3]), [2]);
    let later = NOW + Millis(10_000);
    assert_eq!(turn_suspects(&turns, &table, later, &[1, 2, 3]), [2, 3]);
    // What broke off counts before the control thread has published it.
    turns.record_break(NOW, ENDPOINT, &[suspect(0, 1), suspect(1, 3)]);
    assert_eq!(turn_suspects(&turns, &table, NOW, &[1, 2, 3]), [1, 2]);
    let unpublished = PartTable::default();
    let last = NOW + Millis(999);
    assert_eq!(
        turn_suspects(&turns, &unpublished, last, &[1, 2, 3]),
        [1, 3]
    );
    let over = NOW + Millis(1_000);
    assert_eq!(
        turn_suspects(&turns, &unpublished, over, &[1, 2, 3]),
        [0; 0]
    );
}

// Guards against several requests that each end an endpoint before the first end is known.
#[test]
fn requests_with_a_suspect_part_begin_one_after_the_other() {
    let mut turns = Turns::default();
    let (first, second) = (parts([1, 5]), parts([5, 7]));
    assert_eq!(turns.wait(NOW, &first), None);
    turns.begin(&first);
    assert!(turns.wait(NOW, &second).is_some());
    assert_eq!(turns.wait(NOW, &parts([7])), None);
    // A request that has waited for long goes on beside the other one.
    turns.begin(&second);
    turns.end(&first);
    assert_eq!(turns.wait(NOW, &parts([1])), None);
    assert!(turns.wait(NOW, &parts([5])).is_some());
    turns.end(&second);
    assert_eq!(turns.wait(NOW, &parts([1, 5, 7])), None);
}

// Guards against a request that is sent when a run broke off, before the gateways know
// whether its parts are to be blocked.
#[test]
fn no_request_with_its_suspects_is_sent_right_after_a_run_broke_off() {
    let mut turns = Turns::default();
    turns.record_break(NOW, ENDPOINT, &[suspect(0, 5)]);
    assert_eq!(turns.wait(NOW, &parts([1, 5])), Some(Millis(200)));
    assert_eq!(turns.wait(NOW, &parts([1])), None);
    turns.record_break(NOW + Millis(50), CrashId(2), &[suspect(0, 5)]);
    let wait = turns.wait(NOW + Millis(100), &parts([5]));
    assert_eq!(wait, Some(Millis(150)));
    assert!(turns.wait(NOW + Millis(249), &parts([5])).is_some());
    assert_eq!(turns.wait(NOW + Millis(250), &parts([5])), None);
}

// Guards against requests that wait because of an endpoint that turned out to be alive.
#[test]
fn an_endpoint_that_is_alive_holds_up_no_request() {
    let mut turns = Turns::default();
    turns.record_break(NOW, ENDPOINT, &[suspect(0, 5), suspect(1, 6)]);
    turns.record_break(NOW, CrashId(2), &[suspect(1, 6)]);
    turns.acquit(ENDPOINT);
    assert_eq!(turns.wait(NOW, &parts([5])), None);
    assert!(turns.wait(NOW, &parts([6])).is_some());
    let table = PartTable::default();
    assert_eq!(turn_suspects(&turns, &table, NOW, &[5, 6]), [6]);
}

// Guards against a wait that never ends as the number of runs with a part is wrong.
#[test]
fn all_turns_end() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut turns = Turns::default();
    let mut running: Vec<Vec<PartId>> = Vec::new();
    for _ in 0..10_000 {
        if draw(&mut rng, 2) == 0 {
            let suspects = parts((0..1 + draw(&mut rng, 4)).map(|n| 8 * n + draw(&mut rng, 8)));
            turns.begin(&suspects);
            running.push(suspects);
        } else if !running.is_empty() {
            let at = draw(&mut rng, running.len() as u64) as usize;
            turns.end(&running.swap_remove(at));
        }
        for part in parts(0..32) {
            let is_busy = running.iter().any(|suspects| suspects.contains(&part));
            assert_eq!(turns.wait(NOW, &[part]).is_some(), is_busy);
        }
    }
}

// Guards against a crash that counts as an orderly end, so that its requests are repeated,
// because the endpoint's registration was removed before its runs broke off.
#[test]
fn an_endpoint_leaves_only_if_it_announced_that() {
    let endpoint = registration("e1", 1, &[]);
    let view_of = |state, usability| View {
        endpoints: vec![EndpointView {
            registration: Arc::new(Registration {
                state,
                ..endpoint.clone()
            }),
            usability,
            holdings: Arc::default(),
        }],
        ..View::default()
    };
    let lapsed = view_of(EndpointState::Ready, Usability::Leaving);
    let draining = view_of(EndpointState::Draining, Usability::Leaving);
    assert!(is_in_use(
        &view_of(EndpointState::Ready, Usability::Open),
        &endpoint
    ));
    assert!(is_in_use(&lapsed, &endpoint));
    assert!(!is_in_use(&draining, &endpoint));
    assert!(!is_in_use(&View::default(), &endpoint));
    let earlier_run = registration("e1", 0, &[]);
    assert!(!is_in_use(&lapsed, &earlier_run));
}

// Guards against a request that is sent to the next endpoint at once because the one that
// it ended was about to leave, and against the end of one that leaves as evidence.
#[tokio::test]
async fn the_end_of_an_endpoint_that_leaves_is_known_but_not_reported() {
    let mut cases = Cases::default();
    let step = cases.record_break(NOW, ENDPOINT, &[suspect(0, 1)], false);
    assert_eq!(step, Step::Probe);
    let verdict = cases.verdict(ENDPOINT).expect("a case");
    assert_eq!(cases.conclude(ENDPOINT, true), None);
    assert!(verdict.has_ended().await);
    let later = cases.record_break(NOW + Millis(5), ENDPOINT, &[suspect(0, 2)], true);
    assert_eq!(later, Step::Wait);
    assert!(cases.verdict(ENDPOINT).expect("a case").has_ended().await);
}
