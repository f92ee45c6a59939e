//! Consumers that read slowly: each stops reading a stream for a few seconds, and goes on.

use std::io::{BufReader, Write};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::World;
use crate::Outcome;
use crate::consumer::{HOST, KEY, MODEL, new_id};
use crate::engine::EVENTS;
use crate::http::{read_chunk, read_head, read_sized};
use crate::socket::connect_with_window;

const CONSUMERS: usize = 8;
/// How long a consumer reads nothing. The stream's route has a target of 8 s, so that consumers
/// abandon it after a gap of 32 s.
const PAUSE: Duration = Duration::from_millis(3_000);
/// Its receive buffer: links have small windows.
const WINDOW_BYTES: i32 = 4_096;
/// An event holds 6 tokens in JSON, as such services write them.
const EVENT_BYTES: u64 = 600;
/// More than this many channels that close without an answer break the rule.
const MOST: usize = 3;

pub fn play(world: &World<'_>, has_trouble: bool) -> Outcome {
    let engines = [
        world.model_engine("i-a", "v1", &[MODEL]),
        world.model_engine("i-b", "v1", &[MODEL]),
    ];
    engines
        .iter()
        .for_each(|engine| engine.event_bytes.store(EVENT_BYTES, Ordering::Release));
    world.engine("i-desk", "desk", "v1", None);
    let front = world.front(0);
    front.start();
    if !front.wait_until_ready() {
        return Outcome::NotRun("the front is not ready".to_owned());
    }
    world.pause(5_000);
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|_| {
            let (callers, record) = (front.callers, world.record.clone());
            std::thread::spawn(move || {
                let stream = connect_with_window(callers, WINDOW_BYTES)?;
                stream.set_read_timeout(Some(Duration::from_secs(15))).ok()?;
                let mut out = stream.try_clone().ok()?;
                let mut reader = BufReader::with_capacity(1_024, stream);
                let fields = |id: &str| {
                    format!(
                        "Host: {HOST}\r\nRattanstall-Request-Id: {id}\r\nAuthorization: Bearer {KEY}\r\n\
                         Rattanstall-Deadline-Ms: 15000\r\nContent-Length: 0\r\n"
                    )
                };
                // The channel is a kept one from then on.
                let first = format!("GET /cufi504/fi50/2f HTTP/1.1\r\n{}\r\n", fields(&new_id()));
                out.write_all(first.as_bytes()).ok()?;
                let head = read_head(&mut reader)?;
                read_sized(&mut reader, &head)?;
                let id = new_id();
                let second = format!(
                    "POST /bepo271/2f HTTP/1.1\r\n{}Rattanstall-Model: {MODEL}\r\n\
                     Rattanstall-Token-Count: 826,294\r\nRattanstall-Prompt-Prefix: 5c1e07a2:198,{id}:628\r\n\r\n",
                    fields(&id)
                );
                let began = Instant::now();
                out.write_all(second.as_bytes()).ok()?;
                let head = read_head(&mut reader)?;
                let (mut events, mut is_complete) = (0, false);
                while let Some(chunk) = read_chunk(&mut reader) {
                    if chunk.is_empty() {
                        is_complete = events == EVENTS;
                        break;
                    }
                    events += 1;
                    if events == 5 && has_trouble {
                        std::thread::sleep(PAUSE);
                    }
                }
                let took = began.elapsed().as_millis();
                record.line(&format!(
                    "consumer: stream {id} answered {}, {events} of {EVENTS} events, {} after {took} ms",
                    head.status(),
                    if is_complete { "complete" } else { "closed before its end" }
                ));
                Some(is_complete)
            })
        })
        .collect();
    let ends: Vec<bool> = consumers
        .into_iter()
        .filter_map(|c| c.join().ok().flatten())
        .collect();
    let closed = ends.iter().filter(|is_complete| !**is_complete).count();
    world.record.result(&format!(
        "{} streams on kept channels, {closed} closed before their end (more than {MOST} break LOST)",
        ends.len()
    ));
    match closed {
        _ if ends.len() < CONSUMERS => Outcome::NotRun("a consumer got no answer".to_owned()),
        closed if closed > MOST => Outcome::Broken,
        _ => Outcome::Held,
    }
}
