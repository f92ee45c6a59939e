//! Consumers: they send requests, read streams and take them up again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::{open, read_chunk, read_head, read_sized};
use crate::record::note;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const MODEL: &str = "daka510000";

static NEXT: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000 + NEXT.fetch_add(1, Ordering::AcqRel)
    )
}

/// A stream as its consumer has it, over all tries.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// The try that brought the first event.
    pub first: Option<String>,
    /// Number and software version of each event.
    pub events: Vec<(usize, String)>,
    pub is_complete: bool,
    /// The parts of its prompt, if they are not the usual ones.
    pub parts: Option<String>,
    /// The status of each try, and whether it brought an event.
    pub tries: Vec<(String, u16, bool)>,
}

impl Stream {
    pub fn versions(&self) -> BTreeSet<&str> {
        self.events
            .iter()
            .map(|(_, version)| version.as_str())
            .collect()
    }

    /// One try. Returns the time after which the consumer may come back, if it was told one.
    pub fn attempt(&mut self, front: SocketAddr, deadline_ms: u64) -> Option<Duration> {
        let before = self.events.len();
        let after = self.send(front, deadline_ms);
        if let Some((id, status, _)) = self.tries.last() {
            let (events, end) = (
                &self.events[before..],
                if self.is_complete {
                    "complete"
                } else {
                    "not complete"
                },
            );
            let from = events
                .first()
                .map_or(String::new(), |(n, v)| format!(" from {n} of {v}"));
            note(&format!(
                "consumer: stream {id} sent to {front}: answered {status}, {} events{from}, {end}",
                events.len()
            ));
        }
        after
    }

    fn send(&mut self, front: SocketAddr, deadline_ms: u64) -> Option<Duration> {
        let id = new_id();
        let resume = match (&self.first, self.events.last()) {
            (Some(first), Some((number, _))) => {
                format!("Last-Event-Id: {number}\r\nResumes: {first}\r\n")
            }
            _ => String::new(),
        };
        let parts = self
            .parts
            .clone()
            .unwrap_or(format!("5c1e07a2:198,{id}:628"));
        let text = format!(
            "POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nRattanstall-Request-Id: {id}\r\n\
             Rattanstall-Model: {MODEL}\r\nRattanstall-Token-Count: 826,294\r\n\
             Rattanstall-Prompt-Prefix: {parts}\r\nRattanstall-Deadline-Ms: {deadline_ms}\r\n\
             Authorization: Bearer {KEY}\r\n{resume}Content-Length: 2\r\n\r\n{{}}"
        );
        let Some(mut reader) = open(front, &text).ok() else {
            self.tries.push((id, 0, false));
            return None;
        };
        let Some(head) = read_head(&mut reader) else {
            self.tries.push((id, 0, false));
            return None;
        };
        let status = head.status();
        self.tries.push((id.clone(), status, false));
        if status != 200 {
            let _ = read_sized(&mut reader, &head);
            let after = head.field("retry-after").and_then(|v| v.parse().ok());
            return after.map(Duration::from_secs_f64);
        }
        let mut pending = String::new();
        while let Some(chunk) = read_chunk(&mut reader) {
            if chunk.is_empty() {
                self.is_complete = self.events.len() >= crate::engine::EVENTS;
                return None;
            }
            pending.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(end) = pending.find("\n\n") {
                let event: String = pending.drain(..end + 2).collect();
                let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
                let number = field("id: ").and_then(|v| v.parse().ok()).unwrap_or(0);
                let version = field("data: ")
                    .and_then(|v| v.split(' ').next())
                    .unwrap_or("");
                self.events.push((number, version.to_owned()));
                self.first.get_or_insert_with(|| id.clone());
                if let Some(last) = self.tries.last_mut() {
                    last.2 = true;
                }
            }
        }
        None
    }

    /// Takes the stream up again at these fronts in turn, as long as there is time.
    pub fn finish(&mut self, fronts: &[SocketAddr], max_tries: usize, until: Instant) {
        for turn in 0..max_tries {
            let left = until.saturating_duration_since(Instant::now());
            if self.is_complete || left.is_zero() {
                return;
            }
            let after = self.attempt(fronts[turn % fronts.len()], left.as_millis() as u64);
            let pause = after.unwrap_or(Duration::from_millis(250)).min(left / 3);
            std::thread::sleep(pause);
        }
    }
}

/// A request that isn't a stream: its status, and whether the whole answer came.
pub fn call(front: SocketAddr, name: &str, method: &str, path: &str, id: &str) -> (u16, bool) {
    let answer = send(front, name, method, path, id);
    note(&format!(
        "consumer: {method} {id} sent to {name}: answered {}, whole {}",
        answer.0, answer.1
    ));
    answer
}

fn send(front: SocketAddr, name: &str, method: &str, path: &str, id: &str) -> (u16, bool) {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRattanstall-Request-Id: {id}\r\nX-Sent-To: {name}\r\n\
         Rattanstall-Deadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    let Some(mut reader) = open(front, &text).ok() else {
        return (0, false);
    };
    match read_head(&mut reader) {
        Some(head) => (head.status(), read_sized(&mut reader, &head).is_some()),
        None => (0, false),
    }
}
