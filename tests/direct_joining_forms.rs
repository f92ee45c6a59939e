//! Events of sound endpoints in forms that differ from a number and its data.

use compact_str::CompactString;
use rattanstall::direct::resume::EventTracker;
use rattanstall::direct::resume::numbering::{Step, UsualSteps};

fn passed_on(tracker: &mut EventTracker, text: &str) -> String {
    let events = tracker.push(text.as_bytes()).unwrap_or_default();
    String::from_utf8_lossy(&events).into_owned()
}

// Guards against a continuation that is refused since it begins with a reconnection time.
#[test]
fn a_part_may_begin_with_a_reconnection_time() {
    let mut tracker = EventTracker::after(Some("1".into()), Step::Even(1));
    let text = "retry: 3000\n\nid: 2\ndata: x\n\n";
    assert_eq!(passed_on(&mut tracker, text), text);
}

// Guards against a continuation that is refused since it begins with a byte order mark, which
// may begin any stream of events.
#[test]
fn a_part_may_begin_with_a_byte_order_mark() {
    let mut tracker = EventTracker::after(Some("1".into()), Step::Even(1));
    let text = "\u{feff}id: 2\ndata: x\n\n";
    assert!(passed_on(&mut tracker, text).ends_with("id: 2\ndata: x\n\n"));
}

// Guards against a stream that one endpoint writes and that is cut at an event without an
// identifier, though no part is joined to it.
#[test]
fn a_single_part_goes_on_after_an_event_without_an_identifier() {
    let mut tracker = EventTracker::after(None, Step::default());
    let text = "id: 1\ndata: x\n\ndata: ping\n\nid: 2\ndata: x\n\n";
    assert_eq!(passed_on(&mut tracker, text), text);
}

// Guards against the next event that is refused as one behind a gap, since another stream of the
// service had a larger step: no number lies between it and the last one.
#[test]
fn no_event_is_missing_before_the_next_number() {
    let service = CompactString::from("s");
    let mut usual = UsualSteps::default();
    usual.record(&service, Step::Even(2));
    let mut tracker = EventTracker::after(Some("1".into()), usual.get(&service));
    let text = "id: 2\ndata: x\n\nid: 3\ndata: x\n\n";
    assert_eq!(passed_on(&mut tracker, text), text);
}
