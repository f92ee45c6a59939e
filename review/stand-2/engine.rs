//! A stand-in for an engine: a process of its own, which answers as the target of each request
//! says and prints what it runs. It ends when it is killed.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::http::{Reader, Received, respond};
use crate::json::Json;
use crate::unix_ms;

pub struct Engine {
    pub id: String,
    pub version: String,
    /// Unix time of its start, as in its registration.
    pub born: u64,
    /// By how much the identifiers of its events rise.
    pub step: u64,
    pub running: AtomicUsize,
    pub state: Mutex<State>,
}

/// The model that it holds, and the orders that it has accepted.
#[derive(Default)]
pub struct State {
    pub holds: bool,
    pub is_busy: bool,
    pub seq: u64,
    pub fence: u64,
}

/// `LoadS` of the model.
const LOAD_TIME: Duration = Duration::from_millis(1_200);

const SLOTS: usize = 48;
/// An engine cuts off a response that remains unread for some seconds.
const UNREAD_TIME: Duration = Duration::from_secs(5);

struct Slot<'a>(&'a AtomicUsize);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Engine {
    /// Serves until the process is killed.
    pub fn run(self: Arc<Self>, address: &str) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let engine = self;
        println!("{} {} listens", unix_ms(), engine.id);
        for stream in listener.incoming().flatten() {
            let engine = engine.clone();
            std::thread::spawn(move || engine.serve(stream));
        }
        Ok(())
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(UNREAD_TIME));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Some(req) = reader.request() {
            if !self.answer(&req, &mut writer) {
                return;
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn report(&self) -> String {
        let state = self.state();
        let models = match state.holds {
            true => "[{\"Name\":\"m0\",\"Version\":1,\"Adapters\":[]}]",
            false => "[]",
        };
        format!(
            "{{\"Stage\":\"both\",\"Models\":{models},\"Busy\":{},\"Seq\":{},\"Waiting\":0,\
             \"Running\":{},\"KvUsed\":0,\"KvTotal\":164235,\"Handles\":0,\"born\":{}}}",
            state.is_busy,
            state.seq,
            self.running.load(Ordering::Acquire),
            self.born
        )
    }

    /// Takes an order to load or unload the model. Returns the status.
    fn order(self: &Arc<Self>, req: &Received) -> u16 {
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let (operation, fence) = (body.get("Operation").text(), body.get("Fence").number());
        let expected = req.header("Rattanstall-Expect-Instance");
        let mut state = self.state();
        let status = if !expected.is_empty() && expected != self.id {
            421
        } else if fence < state.fence {
            412
        } else if state.is_busy || body.get("Expected").number() != state.seq {
            409
        } else if state.holds == (operation == "load") {
            200
        } else {
            202
        };
        state.fence = state.fence.max(fence);
        if status == 202 {
            state.is_busy = true;
            state.seq += 1;
            let (engine, holds) = (self.clone(), operation == "load");
            std::thread::spawn(move || {
                std::thread::sleep(LOAD_TIME);
                let mut state = engine.state();
                (state.is_busy, state.holds) = (false, holds);
                let what = if holds { "holds" } else { "dropped" };
                println!("{} {} {what} m0", unix_ms(), engine.id);
            });
        }
        println!("{} {} order {operation} -> {status}", unix_ms(), self.id);
        status
    }

    /// Takes one of the 48 slots of its registration until the guard is dropped.
    fn take_slot(&self) -> Option<Slot<'_>> {
        let before = self.running.fetch_add(1, Ordering::AcqRel);
        let slot = Slot(&self.running);
        (before < SLOTS).then_some(slot)
    }

    /// Answers a request. Returns whether the connection takes another one.
    fn answer(self: &Arc<Self>, req: &Received, out: &mut TcpStream) -> bool {
        match req.path() {
            "/healthz" => {
                let headers = format!("Rattanstall-Instance-Id: {}\r\n", self.id);
                return respond(out, 200, &headers, b"ok");
            }
            "/rattanstall/report" => return respond(out, 200, "", self.report().as_bytes()),
            "/rattanstall/order" => return respond(out, self.order(req), "", b"{}"),
            _ => {}
        }
        let id = req.header("Rattanstall-Request-Id").to_owned();
        let expected = req.header("Rattanstall-Expect-Instance");
        if !expected.is_empty() && expected != self.id {
            let headers = format!("Rattanstall-Instance-Id: {}\r\n", self.id);
            return respond(out, 421, &headers, b"");
        }
        let holds = self.state().holds;
        if !req.header("Rattanstall-Model").is_empty() && !holds {
            let headers = format!("Rattanstall-Request-Id: {id}\r\nRattanstall-Not-Run: 1\r\n");
            return respond(out, 421, &headers, b"");
        }
        let Some(_slot) = self.take_slot() else {
            return respond(out, 503, "Rattanstall-Not-Run: 1\r\n", b"");
        };
        let tenant = req.header("Rattanstall-Tenant");
        println!(
            "{} {} runs {id} {} {} after={} tenant={tenant}",
            unix_ms(),
            self.id,
            req.method,
            req.target,
            req.header("Last-Event-Id")
        );
        if has_crashing_part(req.header("Rattanstall-Prompt-Prefix")) {
            println!("{} {} crashes under {id}", unix_ms(), self.id);
            std::process::exit(1);
        }
        std::thread::sleep(Duration::from_millis(req.number("work", 0)));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRattanstall-Request-Id: {id}\r\n\
             Rattanstall-Server-Stamp: stamp-{}\r\n",
            self.id
        );
        let is_done = match req.number("events", 0) {
            0 => self.write_body(req, &head, out),
            events => self.write_events(req, &head, events, out),
        };
        let what = if is_done { "completes" } else { "breaks off" };
        println!("{} {} {what} {id}", unix_ms(), self.id);
        is_done && req.query("frame") != "close"
    }

    /// A body of a number of bytes, written in ten pieces with a pause between two.
    fn write_body(&self, req: &Received, head: &str, out: &mut TcpStream) -> bool {
        let bytes = req.number("bytes", 800) as usize;
        let pause = Duration::from_millis(req.number("pause", 0));
        let length = match req.query("frame").as_str() {
            "close" => String::new(),
            _ => format!("Content-Length: {bytes}\r\n"),
        };
        let head = format!("{head}Content-Type: application/octet-stream\r\n{length}\r\n");
        if out.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let body: Vec<u8> = (0..bytes).map(|n| b'a' + (n % 26) as u8).collect();
        for piece in body.chunks(bytes.div_ceil(10).max(1)) {
            if out.write_all(piece).is_err() {
                return false;
            }
            std::thread::sleep(pause);
        }
        true
    }

    /// A stream of events, after the one that the request names.
    fn write_events(&self, req: &Received, head: &str, events: u64, out: &mut TcpStream) -> bool {
        let gap = Duration::from_millis(req.number("gap", 0));
        let is_chunked = req.query("frame") != "close";
        let framing = match is_chunked {
            true => "Transfer-Encoding: chunked\r\n",
            false => "",
        };
        let head = format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n");
        if out.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let after: u64 = req.header("Last-Event-Id").parse().unwrap_or(0);
        for number in after / self.step + 1..=events {
            std::thread::sleep(gap);
            let event = format!(
                "id: {}\ndata: {}:{number}\n\n",
                number * self.step,
                self.version
            );
            let bytes = match is_chunked {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            if out.write_all(bytes.as_bytes()).is_err() {
                return false;
            }
        }
        !is_chunked || out.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// The part of a prompt that crashes each engine which begins to write an answer on it.
pub const CRASHING_PART: &str = "bad0c0de";

fn has_crashing_part(prefix: &str) -> bool {
    let parts: Vec<&str> = prefix.split(',').collect();
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared
        .iter()
        .any(|part| part.split(':').next() == Some(CRASHING_PART))
}
