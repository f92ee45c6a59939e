//! Seeded checks, without network, of what is joined to a stream: endpoints that break off, repeat
//! events, leave some out, or send what is no event.

use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng as _};
use rattanstall::direct::resume::joining::{NoContinuation, check_head};
use rattanstall::direct::resume::numbering::{Numbering, OutOfTurn, Step, UsualSteps};
use rattanstall::direct::resume::{EventFault, EventTracker};

const SEED: u64 = 54;
const CASES: usize = 10_000;
const EVENTS: u64 = 12;
const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// Draws a number below the limit.
fn draw(rng: &mut ChaCha8Rng, limit: u64) -> u64 {
    rng.next_u64() % limit
}

/// How an endpoint answers a request for the rest of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rest {
    Sound,
    /// From the first event of the stream.
    FromStart,
    /// From the last event that the caller has.
    Repeated,
    /// One event further on.
    Gap,
    /// After a text that is no event.
    BehindText,
}

impl Rest {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        match draw(rng, 8) {
            0 => Self::FromStart,
            1 => Self::Repeated,
            2 => Self::Gap,
            3 => Self::BehindText,
            _ => Self::Sound,
        }
    }

    /// The text after this event of a stream whose numbers rise by `step`.
    fn text(self, after: u64, step: u64, line_end: &str) -> String {
        let event = |number: u64| {
            let number = number * step;
            format!(": note{line_end}id: {number}{line_end}data: x{line_end}{line_end}")
        };
        let first = match self {
            Self::FromStart => 1,
            Self::Repeated => after,
            Self::Gap => after + 2,
            Self::Sound | Self::BehindText => after + 1,
        };
        let mut text = String::new();
        if self == Self::BehindText {
            text = format!("HTTP/1.1 500 E{line_end}Content-Length: 9{line_end}{line_end}");
        }
        text.extend((first..=EVENTS).map(event));
        text
    }
}

/// The numbers of the events in a text with any line ends.
fn numbers(text: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(text).replace('\r', "\n");
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

// Guards against events of a joined part that repeat others, leave some out, or are none.
#[test]
fn the_parts_of_a_stream_join_without_gaps_repetitions_and_other_text() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for case in 0..CASES {
        let line_end = LINE_ENDS[draw(&mut rng, 3) as usize];
        let step = 1 + draw(&mut rng, 3);
        let taken_up_after = draw(&mut rng, 4);
        let last_id = (taken_up_after > 0).then(|| (taken_up_after * step).to_string());
        let mut tracker = EventTracker::after(last_id.map(CompactString::from), Step::Even(step));
        let (mut passed, mut after) = (Vec::new(), taken_up_after);
        for part in 0..6 {
            tracker.begin_part();
            // Nothing can be told of a stream that has not begun.
            let rest = match after {
                0 => Rest::Sound,
                _ => Rest::draw(&mut rng),
            };
            let text = rest.text(after, step, line_end);
            let cut = draw(&mut rng, text.len() as u64 + 1) as usize;
            let mut fault = None;
            let chunk_bytes = 1 + draw(&mut rng, 40) as usize;
            for chunk in text.as_bytes()[..cut].chunks(chunk_bytes) {
                match tracker.push(chunk) {
                    Ok(events) => passed.extend_from_slice(&events),
                    Err(error) => fault = Some(error),
                }
                fault = fault.or_else(|| tracker.take_fault());
                if fault.is_some() {
                    break;
                }
            }
            tracker.drop_pending();
            let what = format!("case {case}, part {part}: {rest:?} {text:?}, {fault:?}");
            assert!(rest != Rest::Sound || fault.is_none(), "{what}");
            let found = numbers(&passed);
            let expected = (taken_up_after + 1..).map(|number| number * step);
            let expected: Vec<u64> = expected.take(found.len()).collect();
            assert_eq!(found, expected, "{what}");
            assert!(!String::from_utf8_lossy(&passed).contains("HTTP"), "{what}");
            after = taken_up_after + found.len() as u64;
        }
    }
}

fn advance(numbering: &mut Numbering, ids: &[&str]) -> Result<(), OutOfTurn> {
    ids.iter().try_for_each(|id| numbering.advance(Some(id)))
}

// Guards against a stream that is cut because its endpoint leaves numbers out, and against a gap
// where parts join.
#[test]
fn only_where_parts_join_is_a_missing_number_a_gap() {
    let mut numbering = Numbering::after(None, Step::default());
    assert_eq!(advance(&mut numbering, &["1", "2", "3"]), Ok(()));
    numbering.begin_part();
    let gap = OutOfTurn::Gap { last: 3, number: 5 };
    assert_eq!(numbering.advance(Some("5")), Err(gap));
    assert_eq!(advance(&mut numbering, &["4", "9"]), Ok(()));
    assert_eq!(numbering.step(), Some(Step::Uneven));
    numbering.begin_part();
    assert_eq!(numbering.advance(Some("30")), Ok(()));
    let repeated = OutOfTurn::Repeated {
        last: 30,
        number: 30,
    };
    assert_eq!(numbering.advance(Some("30")), Err(repeated));
    numbering.begin_part();
    let unnumbered = OutOfTurn::Unnumbered { last: 30 };
    assert_eq!(numbering.advance(None), Err(unnumbered));
    assert_eq!(numbering.last_id().map(CompactString::as_str), Some("30"));
}

// Guards against a stream without identifiers that starts again from its first event.
#[test]
fn a_stream_whose_last_event_has_no_identifier_is_not_resumable() {
    let mut tracker = EventTracker::default();
    assert!(tracker.numbering().is_resumable());
    assert!(tracker.push(b": hello\n\n").is_ok());
    assert!(tracker.numbering().is_resumable());
    assert!(tracker.push(b"data: a\n\n").is_ok());
    assert!(!tracker.numbering().is_resumable());
    assert!(tracker.push(b"id: a\ndata: b\n\n").is_ok());
    assert!(tracker.numbering().is_resumable());
}

// Guards against events before a wrong one that are lost with it.
#[test]
fn events_before_one_out_of_turn_are_passed_on() {
    let mut tracker = EventTracker::after(Some("3".into()), Step::default());
    let events = tracker.push(b"id: 4\n\nid: 5\n\nid: 5\n\nid: 6\n\n");
    assert_eq!(events.as_deref(), Ok(&b"id: 4\n\nid: 5\n\n"[..]));
    let fault = OutOfTurn::Repeated { last: 5, number: 5 };
    assert_eq!(tracker.take_fault(), Some(EventFault::OutOfTurn(fault)));
    assert_eq!(tracker.take_fault(), None);
}

#[test]
fn the_usual_step_is_that_of_the_latest_complete_stream() {
    let mut usual = UsualSteps::default();
    let service = CompactString::from("s");
    assert_eq!(usual.get("s"), Step::Even(1));
    usual.record(&service, Step::Even(2));
    usual.record(&"a".into(), Step::Uneven);
    assert_eq!(usual.get("s"), Step::Even(2));
    usual.record(&service, Step::Even(1));
    assert_eq!(usual.get("s"), Step::Even(1));
}

const STREAM: (&str, &str) = ("content-type", "Text/Event-Stream ; charset=utf-8");

/// A status, headers, and whether they go on with a stream.
type Head = (
    u16,
    &'static [(&'static str, &'static str)],
    Result<(), NoContinuation>,
);

// Guards against an error text, or nothing at all, that is taken for the rest of a stream.
#[test]
fn only_a_stream_of_events_goes_on_with_a_stream() {
    let cases: [Head; 8] = [
        (200, &[STREAM], Ok(())),
        (200, &[STREAM, ("content-length", "0")], Ok(())),
        (200, &[], Err(NoContinuation::ContentType)),
        (200, &[STREAM, ("content-encoding", "identity")], Ok(())),
        (
            200,
            &[("content-type", "text/plain")],
            Err(NoContinuation::ContentType),
        ),
        (
            200,
            &[STREAM, ("content-encoding", "gzip")],
            Err(NoContinuation::Encoded),
        ),
        (
            204,
            &[],
            Err(NoContinuation::Status(StatusCode::NO_CONTENT)),
        ),
        (
            500,
            &[STREAM],
            Err(NoContinuation::Status(StatusCode::INTERNAL_SERVER_ERROR)),
        ),
    ];
    for (status, fields, expected) in cases {
        let mut headers = HeaderMap::new();
        for (name, value) in fields {
            headers.append(
                header::HeaderName::from_static(name),
                HeaderValue::from_static(value),
            );
        }
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(
            check_head(status, &headers),
            expected,
            "{status} {fields:?}"
        );
    }
}
