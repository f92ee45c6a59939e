//! Seeded checks, without network, of streams whose identifiers rise by any number: the next event
//! of a stream is joined to it, and one behind a gap is not where that can be known.

use compact_str::{CompactString, format_compact};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng as _};
use rattanstall::direct::resume::numbering::{OutOfTurn, Step};
use rattanstall::direct::resume::{EventFault, EventTracker};

const SEED: u64 = 60;
const CASES: usize = 5_000;
const EVENTS: usize = 24;

fn draw(rng: &mut ChaCha8Rng, limit: u64) -> u64 {
    rng.next_u64() % limit
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: x\n\n")
}

fn ids(text: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(text).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

fn taken_up_after(last: u64) -> EventTracker {
    EventTracker::after(Some(format_compact!("{last}")), Step::default())
}

/// Passes on one event; none while it is not decided on.
fn push(tracker: &mut EventTracker, id: u64) -> Result<Vec<u64>, EventFault> {
    tracker.push(event(id).as_bytes()).map(|bytes| ids(&bytes))
}

// Guards against streams that are cut when their callers take them up, since a gateway that has
// relayed no stream of the service assumes that identifiers rise by one.
#[test]
fn a_stream_that_is_taken_up_goes_on_whatever_its_identifiers_rise_by() {
    let mut tracker = taken_up_after(84);
    assert_eq!(push(&mut tracker, 90), Ok(vec![]));
    assert_eq!(push(&mut tracker, 96), Ok(vec![90, 96]));
    assert_eq!(push(&mut tracker, 102), Ok(vec![102]));
    assert_eq!(tracker.numbering().step(), Some(Step::Even(6)));
}

// Guards against the last event of such a stream, after which none can tell by what they rise.
#[test]
fn the_last_event_of_a_stream_that_is_taken_up_arrives() {
    let mut tracker = taken_up_after(234);
    assert_eq!(push(&mut tracker, 240), Ok(vec![]));
    assert!(!tracker.has_events());
    let rest = tracker.end_part().map(|bytes| ids(&bytes));
    assert_eq!(rest, Ok(vec![240]));
    assert!(tracker.has_events());
    assert_eq!(tracker.end_part().map(|bytes| bytes.len()), Ok(0));
}

// Guards against an event that is missing where a stream is taken up.
#[test]
fn an_event_behind_a_gap_is_not_passed_on() {
    for (last, first, next, third) in [(1, 3, 4, 5), (84, 96, 102, 108), (10, 30, 40, 50)] {
        let mut tracker = taken_up_after(last);
        assert_eq!(push(&mut tracker, first), Ok(vec![]));
        assert_eq!(push(&mut tracker, next), Ok(vec![]));
        let gap = OutOfTurn::Gap {
            last,
            number: first,
        };
        assert_eq!(push(&mut tracker, third), Err(gap.into()));
        assert!(!tracker.has_events());
        assert_eq!(
            tracker.last_event_id(),
            Some(&CompactString::from(last.to_string()))
        );
    }
    let gap = OutOfTurn::Gap { last: 1, number: 3 };
    for rest in [&[3][..], &[3, 4]] {
        let mut tracker = taken_up_after(1);
        for id in rest {
            assert_eq!(push(&mut tracker, *id), Ok(vec![]));
        }
        assert_eq!(tracker.end_part(), Err(gap.into()));
    }
}

// Guards against events that were held back and are lost, or come twice, when their endpoint
// breaks off.
#[test]
fn an_event_that_is_held_back_comes_again_from_the_next_endpoint() {
    let mut tracker = taken_up_after(84);
    assert_eq!(push(&mut tracker, 90), Ok(vec![]));
    assert!(tracker.pending_bytes() > 0);
    tracker.drop_pending();
    tracker.begin_part();
    assert_eq!(tracker.pending_bytes(), 0);
    assert_eq!(tracker.last_event_id().map(|id| id.as_str()), Some("84"));
    assert_eq!(push(&mut tracker, 90), Ok(vec![]));
    assert_eq!(push(&mut tracker, 96), Ok(vec![90, 96]));
}

// Guards against a gap that is accepted after a stream has shown by what its identifiers rise.
#[test]
fn a_stream_that_rises_evenly_is_held_to_that() {
    let mut tracker = EventTracker::after(None, Step::default());
    for id in [6, 12, 18] {
        assert_eq!(push(&mut tracker, id), Ok(vec![id]));
    }
    for wrong in [19, 23, 25, 30] {
        tracker.drop_pending();
        tracker.begin_part();
        let gap = OutOfTurn::Gap {
            last: 18,
            number: wrong,
        };
        assert_eq!(push(&mut tracker, wrong), Err(gap.into()));
    }
    tracker.begin_part();
    assert_eq!(push(&mut tracker, 24), Ok(vec![24]));
}

// Guards against streams of the next version of a service, which numbers otherwise.
#[test]
fn a_stream_need_not_rise_as_others_of_its_service_do() {
    let mut tracker = EventTracker::after(Some("84".into()), Step::Even(2));
    assert_eq!(push(&mut tracker, 90), Ok(vec![]));
    assert_eq!(push(&mut tracker, 96), Ok(vec![90, 96]));
    let mut tracker = EventTracker::after(Some("84".into()), Step::Even(6));
    assert_eq!(push(&mut tracker, 90), Ok(vec![90]));
}

/// The identifiers of a whole stream.
fn stream(rng: &mut ChaCha8Rng, is_even: bool) -> Vec<u64> {
    let step = 1 + draw(rng, 8);
    let mut id = 0;
    let next = |_| {
        id += if is_even { step } else { 1 + draw(rng, 9) };
        id
    };
    (0..EVENTS).map(next).collect()
}

/// Passes on a part in pieces. Returns the identifiers that arrived.
fn relay(rng: &mut ChaCha8Rng, tracker: &mut EventTracker, part: &[u64]) -> Vec<u64> {
    let text: String = part.iter().map(|id| event(*id)).collect();
    let piece_bytes = 1 + draw(rng, 60) as usize;
    let mut passed = Vec::new();
    for piece in text.as_bytes().chunks(piece_bytes) {
        let Ok(events) = tracker.push(piece) else {
            return ids(&passed);
        };
        passed.extend_from_slice(&events);
        if tracker.take_fault().is_some() {
            return ids(&passed);
        }
    }
    if let Ok(events) = tracker.end_part() {
        passed.extend_from_slice(&events);
    }
    ids(&passed)
}

// Guards against even streams that don't go on where they were cut, within an answer or at another
// gateway, and against parts of them that are joined behind a gap.
#[test]
fn even_streams_go_on_with_their_next_event_only() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for case in 0..CASES {
        let all = stream(&mut rng, true);
        let cut = 1 + draw(&mut rng, EVENTS as u64 - 5) as usize;
        let mut tracker = match draw(&mut rng, 2) {
            0 => taken_up_after(all[cut - 1]),
            _ => {
                let mut tracker = EventTracker::after(None, Step::default());
                assert_eq!(relay(&mut rng, &mut tracker, &all[..cut]), all[..cut]);
                tracker
            }
        };
        tracker.drop_pending();
        tracker.begin_part();
        let missing = 1 + draw(&mut rng, 3) as usize;
        let passed = relay(&mut rng, &mut tracker, &all[cut + missing..]);
        assert!(
            passed.is_empty(),
            "case {case}: {all:?}, {missing} after {cut}"
        );
        tracker.drop_pending();
        tracker.begin_part();
        let passed = relay(&mut rng, &mut tracker, &all[cut..]);
        assert_eq!(passed, all[cut..], "case {case}: {all:?} after {cut}");
    }
}

// Guards against streams of uneven identifiers of which most are cut when they are taken up.
#[test]
fn most_uneven_streams_go_on() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut gone_on = 0;
    for _ in 0..CASES {
        let all = stream(&mut rng, false);
        let cut = 1 + draw(&mut rng, EVENTS as u64 - 1) as usize;
        let mut tracker = taken_up_after(all[cut - 1]);
        let passed = relay(&mut rng, &mut tracker, &all[cut..]);
        gone_on += usize::from(passed == all[cut..]);
    }
    assert!(gone_on * 2 >= CASES, "{gone_on} of {CASES}");
    eprintln!("{gone_on} of {CASES} uneven streams went on");
}
