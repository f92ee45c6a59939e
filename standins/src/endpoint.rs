//! Stand-in for an endpoint that gateways call directly over HTTP. It writes to plain
//! sockets, so that a response can have any framing and break off anywhere.

mod answer;
mod connection;
mod life;
mod request;
mod script;

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use life::Life;
use rattanstall::clock::Millis;
use serde::{Deserialize, Serialize};

pub use answer::{Answer, Ending, Framing, Overflow, Piece, Place};
pub use life::{EndCause, LifeRecord, Lifecycle};
pub use script::{Script, Scripter};

/// The path that sets the answer to requests that name none (`PUT`).
pub const ANSWER_PATH: &str = "/control/answer";
/// The path that returns the [`History`] (`GET`).
pub const HISTORY_PATH: &str = "/control/history";
/// A request header with the [`Answer`] to this request, as JSON.
pub const ANSWER_HEADER: &str = "x-standin-answer";

/// What became of a request at the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was meant for another instance and did not run.
    Misdirected,
    /// It waits for a slot; what still waits when the process ends stays so.
    Waiting,
    /// Its answer has begun.
    Running,
    /// Its answer was sent as it was set.
    Sent,
    /// Its process ended, or the connection broke.
    Broken,
    /// Its process ended under one of its parts.
    Crashed,
}

/// One request that the endpoint received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedRequest {
    /// The request line and the headers.
    pub head: String,
    /// The number of its connection.
    pub connection: u64,
    /// When it arrived.
    pub at: Millis,
    /// Its identifier.
    pub id: String,
    /// The parts of its prompt.
    pub parts: Vec<u64>,
    /// What became of it.
    pub outcome: Outcome,
    /// When the head of its response was written, and the status.
    pub answered: Option<(Millis, u16)>,
    /// What the endpoint stated of itself at that time.
    pub statements: Vec<(String, String)>,
}

impl ReceivedRequest {
    /// Whether the endpoint began to answer it.
    pub fn has_run(&self) -> bool {
        !matches!(self.outcome, Outcome::Misdirected | Outcome::Waiting)
    }
}

/// What the endpoint received and sent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    /// All requests, in the order of their arrival.
    pub requests: Vec<ReceivedRequest>,
    /// Connections that the other side closed before the answer was complete.
    pub abandoned: u64,
    /// Bytes of answers that were written.
    pub sent_bytes: u64,
    /// The runs of its process.
    pub lives: Vec<LifeRecord>,
}

/// What the endpoint's responses carry.
#[derive(Clone, Debug, Default)]
pub struct EndpointSetup {
    /// Headers of all responses.
    pub headers: Vec<(String, String)>,
    /// Request headers that are copied to the response.
    pub echoed_headers: Vec<String>,
    /// The software version of the first run, which is part of every event.
    pub version: String,
    /// When its process ends, and how it comes back.
    pub lifecycle: Lifecycle,
    /// Identifiers of the requests that the service's endpoints were sent.
    pub sent_requests: Arc<Mutex<BTreeSet<String>>>,
}

/// A running endpoint. It serves until the process ends.
#[derive(Clone)]
pub struct EndpointStandIn {
    shared: Arc<Shared>,
    address: SocketAddr,
}

struct Shared {
    setup: EndpointSetup,
    answer: Mutex<Answer>,
    history: Mutex<History>,
    sent_bytes: AtomicU64,
    /// What the endpoint states of itself: headers of all its responses.
    statements: Mutex<Vec<(String, String)>>,
    /// JSON documents at fixed paths, with their statuses.
    pages: Mutex<Vec<(String, u16, serde_json::Value)>>,
    /// The answer to all requests, also to those that name one.
    forced_answer: Mutex<Option<Answer>>,
    /// Writes the answers to all requests.
    scripter: Mutex<Option<Scripter>>,
    crashing_parts: Mutex<Vec<u64>>,
    /// Events that an answer under which the process ends brings, and its framing.
    crash_shape: Mutex<Option<(usize, Framing)>>,
    life: Mutex<Option<Arc<Life>>>,
    lives: Mutex<Vec<LifeRecord>>,
    /// The software version of the runs that begin from now on.
    version: Mutex<String>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Shared {
    fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.history)
    }

    fn answer(&self) -> MutexGuard<'_, Answer> {
        lock(&self.answer)
    }

    /// The answer to a request that names this one.
    fn answer_to(&self, named: Option<Answer>) -> Answer {
        let forced = lock(&self.forced_answer).clone();
        forced.or(named).unwrap_or_else(|| self.answer().clone())
    }

    /// Records a request, and returns whether the service's endpoints were sent it before.
    fn is_repeated(&self, id: Option<&str>) -> bool {
        let Some(id) = id else {
            return false;
        };
        !lock(&self.setup.sent_requests).insert(id.to_owned())
    }

    fn current_life(&self) -> MutexGuard<'_, Option<Arc<Life>>> {
        lock(&self.life)
    }

    fn lives(&self) -> MutexGuard<'_, Vec<LifeRecord>> {
        lock(&self.lives)
    }

    fn version(&self) -> MutexGuard<'_, String> {
        lock(&self.version)
    }

    fn now(&self) -> Millis {
        self.setup.lifecycle.clock.now()
    }

    /// The first part under which the process ends; the last part never counts.
    fn crashing_part(&self, parts: &[u64]) -> Option<u64> {
        let (_, shared) = parts.split_last()?;
        let crashing = lock(&self.crashing_parts);
        shared.iter().copied().find(|part| crashing.contains(part))
    }

    fn snapshot(&self) -> History {
        History {
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            lives: self.lives().clone(),
            ..self.history().clone()
        }
    }
}

impl EndpointStandIn {
    /// Starts an endpoint at an address, with a thread for each connection.
    pub fn start(listen: SocketAddr, setup: EndpointSetup) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            version: Mutex::new(setup.version.clone()),
            setup,
            answer: Mutex::default(),
            history: Mutex::default(),
            sent_bytes: AtomicU64::new(0),
            statements: Mutex::default(),
            pages: Mutex::default(),
            forced_answer: Mutex::default(),
            scripter: Mutex::default(),
            crashing_parts: Mutex::default(),
            crash_shape: Mutex::default(),
            life: Mutex::default(),
            lives: Mutex::default(),
        });
        shared.start(listener)?;
        Ok(Self { shared, address })
    }

    /// The address that it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its software version.
    pub fn version(&self) -> String {
        self.shared.version().clone()
    }

    /// Sets the answer to requests that name none.
    pub fn set_answer(&self, answer: Answer) {
        *self.shared.answer() = answer;
    }

    /// Sets the answer to all requests, also to those that name one.
    pub fn force_answer(&self, answer: Option<Answer>) {
        *lock(&self.shared.forced_answer) = answer;
    }

    /// Writes the answers to all requests from now on.
    pub fn set_scripter(&self, scripter: Scripter) {
        *lock(&self.shared.scripter) = Some(scripter);
    }

    /// Answers requests for a path as all others again.
    pub fn remove_page(&self, path: &str) {
        lock(&self.shared.pages).retain(|(known, ..)| known != path);
    }

    /// Sets the answer to requests for a path. They are not recorded.
    pub fn set_page(&self, path: &str, status: u16, document: serde_json::Value) {
        let mut pages = lock(&self.shared.pages);
        pages.retain(|(known, ..)| known != path);
        pages.push((path.to_owned(), status, document));
    }

    /// Sets what the endpoint states of itself from now on, as headers of all responses.
    pub fn set_statements(&self, headers: &[(&str, &str)]) {
        let headers = headers.iter();
        *lock(&self.shared.statements) = headers
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
    }

    /// Sets the parts under which its process ends.
    pub fn set_crashing_parts(&self, parts: &[u64]) {
        *lock(&self.shared.crashing_parts) = parts.to_vec();
    }

    /// Sets how many events an answer brings before the process ends under it, and its
    /// framing; otherwise it brings none and has the framing of other answers.
    pub fn set_crash_shape(&self, events: usize, framing: Framing) {
        *lock(&self.shared.crash_shape) = Some((events, framing));
    }

    /// Ends its process; connections are refused until it is back.
    pub fn crash(&self) {
        self.end(EndCause::Fault);
    }

    /// Ends its process, which comes back with another software version.
    pub fn crash_into(&self, version: &str) {
        *self.shared.version() = version.to_owned();
        self.crash();
    }

    /// Ends its process once no request runs.
    pub fn leave(&self) {
        let life = self.shared.current_life().clone();
        if let Some(life) = life {
            life.wait_while_running();
            self.shared.end_life(&life, EndCause::Left);
        }
    }

    fn end(&self, cause: EndCause) {
        let life = self.shared.current_life().clone();
        if let Some(life) = life {
            self.shared.end_life(&life, cause);
        }
    }

    /// Resets all connections; the process goes on.
    pub fn reset_connections(&self) {
        if let Some(life) = &*self.shared.current_life() {
            life.reset_connections();
        }
    }

    /// Whether it neither reads nor writes, with its connections left open.
    pub fn set_silent(&self, is_silent: bool) {
        if let Some(life) = &*self.shared.current_life() {
            life.set_silent(is_silent);
        }
    }

    /// The runs of its process so far.
    pub fn lives(&self) -> Vec<LifeRecord> {
        self.shared.lives().clone()
    }

    /// What the endpoint received and sent so far.
    pub fn history(&self) -> History {
        self.shared.snapshot()
    }
}
