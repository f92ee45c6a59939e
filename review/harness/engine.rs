//! A model engine and an application engine, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_head, read_sized, respond};
use crate::json::parse;
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// A load takes this long; a load of weights from the store.
const LOAD: Duration = Duration::from_millis(1_200);
pub const EVENTS: usize = 49;
/// An event holds 6 tokens; 49 events take a bit over two seconds.
pub const EVENT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    /// The models that it holds at its start; `None` for an application engine.
    pub models: Option<Vec<String>>,
}

#[derive(Default)]
struct Held {
    models: Vec<String>,
    orders: u64,
    fence: u64,
    busy_until: Option<Instant>,
}

pub struct Engine {
    pub setup: Setup,
    pub address: SocketAddr,
    /// Arrivals, with the machine that sent each, where the consumer named it.
    pub arrivals: Mutex<Vec<(f64, String)>>,
    /// The requests a second that it names in its answers; 0 for none.
    pub limit: AtomicU64,
    /// How long it works on a request that isn't a stream, in ms.
    pub work_ms: AtomicU64,
    /// The size of an event of a stream, if it is padded.
    pub event_bytes: AtomicU64,
    /// The size of the answer to a request that isn't a stream.
    pub answer_bytes: AtomicU64,
    /// The part of prompts under which it crashes.
    pub crash_part: Mutex<Option<String>>,
    /// When requests with that part reached it.
    pub poisoned: Mutex<Vec<f64>>,
    pub is_over: AtomicBool,
    is_registered: AtomicBool,
    born: u64,
    held: Mutex<Held>,
    open: Mutex<BTreeMap<u64, TcpStream>>,
    next_channel: AtomicU64,
    beats: AtomicU64,
    store: Arc<Store>,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, setup: Setup) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let models = setup.models.clone().unwrap_or_default();
        let engine = Arc::new(Self {
            setup,
            address,
            arrivals: Mutex::default(),
            limit: AtomicU64::new(0),
            work_ms: AtomicU64::new(20),
            event_bytes: AtomicU64::new(0),
            answer_bytes: AtomicU64::new(800),
            crash_part: Mutex::default(),
            poisoned: Mutex::default(),
            is_over: AtomicBool::new(false),
            is_registered: AtomicBool::new(true),
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(1, |d| d.as_millis() as u64),
            held: Mutex::new(Held {
                models,
                ..Held::default()
            }),
            open: Mutex::default(),
            next_channel: AtomicU64::new(0),
            beats: AtomicU64::new(0),
            store: store.clone(),
            record: record.clone(),
        });
        let accepting = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_over.load(Ordering::Acquire) {
                    return;
                }
                let engine = accepting.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
        let beating = engine.clone();
        std::thread::spawn(move || {
            while !beating.is_over.load(Ordering::Acquire) {
                if beating.is_registered.load(Ordering::Acquire) {
                    beating.register();
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    /// Writes its entry now.
    pub fn register(&self) {
        self.is_registered.store(true, Ordering::Release);
        let setup = &self.setup;
        let beat = self.beats.fetch_add(1, Ordering::AcqRel) + 1;
        let models = match setup.models {
            Some(_) => format!("\"Stage\":\"both\",\"Models\":{},", self.models_json()),
            None => String::new(),
        };
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"{}\",\"Slots\":48,\
             \"State\":\"ready\",\"ColdLeftMs\":0,{models}\"Seq\":{beat},\"born\":{}}}",
            setup.service, self.address, setup.zone, setup.version, self.born
        );
        self.store.put(&format!("servers/{}", setup.id), &entry);
    }

    /// Writes its entry from then on only when told to.
    pub fn pause_beats(&self) {
        self.is_registered.store(false, Ordering::Release);
    }

    fn models_json(&self) -> String {
        let held = self.held.lock().unwrap();
        let models = held.models.iter();
        let models: Vec<String> = models
            .map(|m| format!("{{\"Name\":\"{m}\",\"Version\":1,\"Adapters\":[]}}"))
            .collect();
        format!("[{}]", models.join(","))
    }

    pub fn holds(&self, model: &str) -> bool {
        self.held.lock().unwrap().models.iter().any(|m| m == model)
    }

    /// Its process ends: its port is closed, its channels break.
    pub fn crash(&self) {
        self.is_over.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address);
        for stream in std::mem::take(&mut *self.open.lock().unwrap()).into_values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record
            .line(&format!("engine {}: crashed", self.setup.id));
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(handle) = stream.try_clone() else {
            return;
        };
        let number = self.next_channel.fetch_add(1, Ordering::AcqRel);
        self.open.lock().unwrap().insert(number, handle);
        self.serve_channel(stream);
        self.open.lock().unwrap().remove(&number);
    }

    fn serve_channel(self: &Arc<Self>, stream: TcpStream) {
        let mut out = stream.try_clone().expect("a handle");
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_sized(&mut reader, &head) else {
                return;
            };
            if self.is_over.load(Ordering::Acquire) {
                return;
            }
            let answered = match (head.word(0), head.word(1)) {
                ("GET", "/rattanstall/report") => {
                    let text = self.report();
                    respond(
                        &mut out,
                        200,
                        "Content-Type: application/json\r\n",
                        text.as_bytes(),
                    )
                }
                ("POST", "/rattanstall/order") => {
                    let status = self.order(&head, &body);
                    respond(&mut out, status, "", b"")
                }
                ("GET", "/healthz") => {
                    let id = format!("Rattanstall-Instance-Id: {}\r\n", self.setup.id);
                    respond(&mut out, 200, &id, b"")
                }
                _ => self.run(&head, &mut out),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let models = self.models_json();
        let held = self.held.lock().unwrap();
        let is_busy = held.busy_until.is_some_and(|until| Instant::now() < until);
        format!(
            "{{\"Stage\":\"both\",\"Models\":{models},\"Busy\":{is_busy},\"Seq\":{},\"Waiting\":0,\
             \"Running\":0,\"KvUsed\":0,\"KvTotal\":164235,\"Handles\":0,\"born\":{}}}",
            held.orders, self.born
        )
    }

    fn order(self: &Arc<Self>, head: &Head, body: &[u8]) -> u16 {
        if self.is_other(head) {
            return 421;
        }
        let order = parse(body);
        let (model, operation) = (
            order.get("Model").text().to_owned(),
            order.get("Operation").text(),
        );
        let Some(fence) = order.get("Fence").number() else {
            return 400;
        };
        let mut held = self.held.lock().unwrap();
        if fence < held.fence {
            return 412;
        }
        held.fence = fence;
        let is_busy = held.busy_until.is_some_and(|until| Instant::now() < until);
        if is_busy
            || order
                .get("Expected")
                .number()
                .is_some_and(|n| n != held.orders)
        {
            return 409;
        }
        let is_held = held.models.contains(&model);
        if is_held == (operation == "load") {
            return 200;
        }
        held.orders += 1;
        held.busy_until = Some(Instant::now() + LOAD);
        drop(held);
        self.record
            .line(&format!("engine {}: {operation} {model}", self.setup.id));
        if operation == "load" {
            self.finish_later(model);
        } else {
            self.held.lock().unwrap().models.retain(|m| *m != model);
        }
        202
    }

    /// The load ends later, and the engine says so.
    fn finish_later(self: &Arc<Self>, model: String) {
        let engine = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LOAD);
            engine.held.lock().unwrap().models.push(model.clone());
            engine
                .record
                .line(&format!("engine {}: holds {model}", engine.setup.id));
            engine.register();
        });
    }

    fn is_other(&self, head: &Head) -> bool {
        head.field("rattanstall-expect-instance")
            .is_some_and(|id| id != self.setup.id)
    }

    fn run(&self, head: &Head, out: &mut TcpStream) -> std::io::Result<()> {
        let id = head
            .field("rattanstall-request-id")
            .unwrap_or("")
            .to_owned();
        let sender = head.field("x-sent-to").unwrap_or("").to_owned();
        let common = format!(
            "Rattanstall-Request-Id: {id}\r\nRattanstall-Server-Stamp: {}.{id}\r\n",
            self.setup.id
        );
        self.arrivals
            .lock()
            .unwrap()
            .push((self.record.seconds(), sender));
        let model = head.field("rattanstall-model");
        if self.is_other(head) || model.is_some_and(|m| !self.holds(m)) {
            let instance = format!("Rattanstall-Instance-Id: {}\r\n", self.setup.id);
            return respond(out, 421, &instance, b"");
        }
        let parts: Vec<&str> = head
            .field("rattanstall-prompt-prefix")
            .unwrap_or("")
            .split(',')
            .collect();
        let shared = &parts[..parts.len() - 1];
        let is_poisoned = self
            .crash_part
            .lock()
            .unwrap()
            .as_ref()
            .is_some_and(|poison| {
                shared
                    .iter()
                    .any(|part| part.split(':').next() == Some(poison.as_str()))
            });
        if is_poisoned {
            self.poisoned.lock().unwrap().push(self.record.seconds());
            self.record.line(&format!(
                "engine {}: begins to write on the part, {id}",
                self.setup.id
            ));
            self.crash();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let limit = match self.limit.load(Ordering::Acquire) {
            0 => String::new(),
            limit => format!("Server-Limit: {limit}\r\n"),
        };
        let after = head.field("last-event-id");
        let from: usize = after.and_then(|v| v.parse().ok()).unwrap_or(0);
        self.record.line(&format!(
            "engine {} ({}): runs {id}{}",
            self.setup.id,
            self.setup.version,
            after.map_or(String::new(), |after| format!(
                ", goes on after event {after}"
            ))
        ));
        if model.is_none() {
            std::thread::sleep(Duration::from_millis(self.work_ms.load(Ordering::Acquire)));
            let body = vec![b'x'; self.answer_bytes.load(Ordering::Acquire) as usize];
            return respond(out, 200, &format!("{common}{limit}"), &body);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{common}{limit}\
             Rattanstall-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        for number in from + 1..=EVENTS {
            if self.is_over.load(Ordering::Acquire) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let text = format!(
                "id: {number}\ndata: {} {}",
                self.setup.version, self.setup.id
            );
            let padding =
                (self.event_bytes.load(Ordering::Acquire) as usize).saturating_sub(text.len());
            let event = format!("{text}{}\n\n", " x".repeat(padding / 2));
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(EVENT_PAUSE);
        }
        out.write_all(b"0\r\n\r\n")
    }
}
