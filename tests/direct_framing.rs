//! Seeded checks, without network, of what the end of a response body means: any
//! framing, any place of the end, any split into chunks.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng as _};
use rattanstall::direct::framing::{
    BodyEnd, BodyProgress, EventBoundary, Framing, MAX_COUNTED_EVENTS,
};
use rattanstall::direct::resume::EventTracker;

const SEED: u64 = 24;
const CASES: usize = 20_000;
const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// Draws a number below the limit.
fn draw(rng: &mut ChaCha8Rng, limit: usize) -> usize {
    (rng.next_u64() % limit as u64) as usize
}

/// A stream of up to four events, and where each of them ends.
fn random_stream(rng: &mut ChaCha8Rng) -> (Vec<u8>, Vec<usize>) {
    let line_end = LINE_ENDS[draw(rng, LINE_ENDS.len())];
    let mut text = String::new();
    let mut ends = Vec::new();
    for number in 1..=draw(rng, 5) {
        let data = "x".repeat(draw(rng, 40));
        text += &format!("id: {number}{line_end}data: {data}{line_end}{line_end}");
        ends.push(text.len());
    }
    (text.into_bytes(), ends)
}

/// Splits bytes into chunks of random sizes.
fn random_chunks(rng: &mut ChaCha8Rng, mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut chunks = Vec::new();
    while !bytes.is_empty() {
        let (chunk, rest) = bytes.split_at(1 + draw(rng, bytes.len()));
        chunks.push(chunk.to_vec());
        bytes = rest;
    }
    chunks
}

fn random_framing(rng: &mut ChaCha8Rng, length: usize) -> Framing {
    match draw(rng, 3) {
        0 => Framing::Length(length as u64),
        1 => Framing::Chunked,
        _ => Framing::Close,
    }
}

// Guards against an end that counts as that of a complete answer without being known
// to be one, whatever the chunks in which the bytes arrive.
#[test]
fn an_end_means_no_more_than_framing_and_events_say() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for case in 0..CASES {
        let (bytes, ends) = random_stream(&mut rng);
        let cut = draw(&mut rng, bytes.len() + 1);
        let framing = random_framing(&mut rng, bytes.len());
        let is_event_stream = draw(&mut rng, 4) > 0;
        let is_continuation = draw(&mut rng, 2) > 0;
        let mut progress = BodyProgress::new(framing);
        if is_event_stream {
            progress = progress.event_stream(is_continuation);
        }
        for chunk in random_chunks(&mut rng, &bytes[..cut]) {
            progress.push(&chunk);
        }
        // CR LF CR ends an empty line, to which a following LF belongs.
        let is_between = cut == 0
            || ends.contains(&cut)
            || (bytes[cut - 1..].starts_with(b"\r\n") && ends.contains(&(cut + 1)));
        let what = format!("case {case}: {framing:?}, {cut} of {bytes:?}, {progress:?}");
        match progress.end() {
            BodyEnd::Complete => {
                assert_ne!(framing, Framing::Close, "{what}");
                assert!(!is_event_stream || is_between, "{what}");
            }
            BodyEnd::Unknown => {
                assert_eq!(framing, Framing::Close, "{what}");
                assert!(!is_event_stream || is_between, "{what}");
                assert!(!is_event_stream || cut > 0 || is_continuation, "{what}");
            }
            BodyEnd::Broken(_) => {
                let is_empty = cut == 0 && framing == Framing::Close && !is_continuation;
                assert!(is_event_stream && (!is_between || is_empty), "{what}");
            }
        }
    }
}

// Guards against an event that is passed on in part, twice or not at all when chunks
// split it, its line ends or the empty line behind it.
#[test]
fn complete_events_are_passed_on_once_whatever_the_chunks() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for case in 0..CASES {
        let (bytes, ends) = random_stream(&mut rng);
        let cut = draw(&mut rng, bytes.len() + 1);
        let mut tracker = EventTracker::default();
        let mut boundary = EventBoundary::default();
        let mut passed = Vec::new();
        for chunk in random_chunks(&mut rng, &bytes[..cut]) {
            boundary.push(&chunk);
            passed.extend(tracker.push(&chunk).expect("short events"));
        }
        let complete = ends.iter().rev().find(|end| **end <= cut).copied();
        let complete = complete.unwrap_or(0);
        let what = format!("case {case}: {cut} of {bytes:?}");
        assert!(bytes.starts_with(&passed), "{what}: {passed:?}");
        assert!(passed.len() >= complete, "{what}: {passed:?}");
        // At most the CR of an empty line that LF may follow is ahead of it.
        assert!(
            passed.len() <= complete || bytes[..passed.len()].ends_with(b"\r"),
            "{what}"
        );
        assert_eq!(boundary.open_bytes() > 0, tracker.has_pending(), "{what}");
    }
}

// Guards against a search whose cost grows with the square of an event that arrives
// byte by byte, and against one that misses the limit.
#[test]
fn an_event_that_arrives_byte_by_byte_is_refused_at_the_limit() {
    let mut tracker = EventTracker::default();
    let accepted = (0..1 << 20)
        .take_while(|_| tracker.push(b"x").is_ok())
        .count();
    assert_eq!(accepted, 64 << 10);
}

// Guards against an endpoint that counts as healthy because it sends bytes, though its
// event never ends.
#[test]
fn bytes_of_an_event_that_never_ends_do_not_advance_a_stream() {
    let mut progress = BodyProgress::new(Framing::Chunked).event_stream(false);
    progress.push(b"id: 1\ndata: 1\n\nid: 2");
    assert!(progress.has_advanced());
    progress.push(b"\ndata: ");
    assert!(!progress.has_advanced());
    for _ in 0..64 {
        progress.push(&[b'x'; 1_024]);
        assert!(!progress.has_advanced());
    }
    assert!(progress.is_event_too_large());
}

// Guards against an answer that counts as under way for fewer events than it brought, or
// because of comments that an endpoint sends before it begins.
#[test]
fn events_are_counted_up_to_the_limit_whatever_the_chunks() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for case in 0..CASES {
        let line_end = LINE_ENDS[draw(&mut rng, LINE_ENDS.len())];
        let mut text = String::new();
        let mut events = 0;
        for _ in 0..draw(&mut rng, 9) {
            match draw(&mut rng, 3) {
                0 => text += &format!(": data: is near{line_end}{line_end}"),
                1 => text += line_end,
                _ => {
                    let comment = [":", ""][draw(&mut rng, 2)];
                    text += &format!("{comment}{line_end}data: x{line_end}{line_end}");
                    events += 1;
                }
            }
        }
        text += ["", "data: open", "data: open\n"][draw(&mut rng, 3)];
        let mut progress = BodyProgress::new(Framing::Chunked).event_stream(false);
        for chunk in random_chunks(&mut rng, text.as_bytes()) {
            progress.push(&chunk);
        }
        let expected = events.min(MAX_COUNTED_EVENTS);
        assert_eq!(progress.events(), expected, "case {case}: {text:?}");
        assert_eq!(progress.is_empty(), events == 0, "case {case}: {text:?}");
    }
}
