//! Finds out whether endpoints end under the runs that break off at them, and which
//! parts of prompts they were about to answer.
//!
//! When an endpoint ends, its runs break off at all gateways within milliseconds, and a
//! new connection is refused. A run may also break off because of its connection or a
//! faulty answer, so that the endpoint is probed once by connecting to it.

mod cases;
mod turns;

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use http::StatusCode;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

pub use cases::{
    Cases, Ended, ProgressLog, Step, Suspect, Verdict, is_dangerous, is_in_use, reported_parts,
    suspects_of,
};
pub use turns::{Turn, Turns};

use super::control::Event;
use super::dialect::Registration;
use super::framing::{BodyEnd, BodyProgress, MAX_COUNTED_EVENTS};
use super::job::Job;
use super::part_table::PartTable;
use super::shared::Shared;
use super::suspects::{CrashId, CrashReport, PartId, PartProgress};
use crate::clock::Millis;

/// Events after which an answer has got under way.
const EVENTS_UNDER_WAY: u32 = MAX_COUNTED_EVENTS;
/// Time from the first run that breaks off to the probe: a process closes its sockets
/// one after the other. Most of the other runs break off meanwhile, and one report
/// covers them.
const PROBE_DELAY: Millis = Millis(5);
/// Time after which an endpoint that accepted the probe is probed again: its listener may
/// have been closed last.
const SECOND_PROBE_DELAY: Millis = Millis(50);
/// Time limit for the probe's connection: a few round trips between zones.
const PROBE_TIMEOUT: Millis = Millis(300);

/// Watches the runs at all endpoints.
pub struct CrashWatch {
    shared: Arc<Shared>,
    cases: RefCell<Cases>,
    progress: RefCell<ProgressLog>,
    turns: RefCell<Turns>,
    /// Wakes the requests that wait for a turn.
    turn_ended: Notify,
}

impl CrashWatch {
    /// Creates a watch without runs.
    pub fn new(shared: Arc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            cases: RefCell::default(),
            progress: RefCell::default(),
            turns: RefCell::default(),
            turn_ended: Notify::new(),
        })
    }

    /// Watches a run that is about to be sent, with its turn if it needed one. Prompts
    /// without parts are not watched.
    pub fn watch(
        self: &Rc<Self>,
        job: &Job,
        endpoint: &Arc<Registration>,
        turn: Option<Turn>,
    ) -> Option<WatchedRun> {
        let parts = &job.metadata.parts;
        (!parts.is_empty()).then(|| WatchedRun {
            watch: self.clone(),
            endpoint: endpoint.clone(),
            parts: PartTable::shared_parts(parts).collect(),
            is_success: false,
            is_under_way: false,
            // A part may have become suspect while the request was about to be sent.
            turn: turn.or_else(|| self.begin_turn(job)),
        })
    }

    /// Whether the process of an endpoint that was in use, and did not leave, has just ended.
    pub async fn has_ended(&self, endpoint: &Registration) -> bool {
        let is_leaving = self.shared.notices.is_leaving(endpoint);
        if is_leaving || !is_in_use(&self.shared.view(), endpoint) {
            return false;
        }
        sleep(PROBE_DELAY.as_duration()).await;
        probe_once(endpoint.address).await == Probed::Ended
    }

    fn record_break(self: &Rc<Self>, run: &WatchedRun) -> Option<Verdict> {
        let now = self.shared.now();
        let id = CrashId::of_run(&run.endpoint.id, run.endpoint.started_at);
        let mut cases = self.cases.borrow_mut();
        // An endpoint that leaves ends anyway, but a request may have ended it before.
        let is_in_use = is_in_use(&self.shared.view(), &run.endpoint)
            && !self.shared.notices.is_leaving(&run.endpoint);
        let is_counted = cases.is_open(now, id) || is_in_use;
        let suspects = suspects_of(&self.shared.parts, now, &run.parts, run.is_under_way);
        self.turns.borrow_mut().record_break(now, id, &suspects);
        match cases.record_break(now, id, &suspects, is_counted) {
            Step::Probe => {
                spawn_local(self.clone().probe(id, run.endpoint.clone()));
            }
            Step::Wait => {}
            Step::Report(ended) if ended.suspects.is_empty() => {}
            Step::Report(ended) => self.report(id, &run.endpoint, &ended),
        }
        match is_dangerous(&self.shared.parts, now, &suspects) {
            true => cases.verdict(id),
            false => None,
        }
    }

    async fn probe(self: Rc<Self>, id: CrashId, endpoint: Arc<Registration>) {
        sleep(PROBE_DELAY.as_duration()).await;
        let mut found = probe_once(endpoint.address).await;
        if found == Probed::Alive && self.cases.borrow().has_suspects(id) {
            sleep(SECOND_PROBE_DELAY.as_duration()).await;
            found = probe_once(endpoint.address).await;
        }
        let has_ended = found == Probed::Ended;
        if !has_ended {
            self.turns.borrow_mut().acquit(id);
            self.turn_ended.notify_waiters();
        }
        let ended = self.cases.borrow_mut().conclude(id, has_ended);
        if let Some(ended) = ended {
            self.report(id, &endpoint, &ended);
        }
    }

    /// Reports a crash, also without suspects: it shows that endpoints end for another
    /// reason at that time.
    fn report(&self, id: CrashId, endpoint: &Registration, ended: &Ended) {
        let report = CrashReport {
            id,
            endpoint: endpoint.id.clone(),
            version: endpoint.version.clone(),
            age: self.shared.now().since(ended.since),
            parts: reported_parts(&self.shared.parts, &ended.suspects),
        };
        self.shared.send_event(Event::EndpointCrashed(report));
    }

    fn record_progress(&self, parts: &[PartId]) {
        let now = self.shared.now();
        let mut watched = self.shared.parts.record_progress(now, parts);
        if watched.is_empty() {
            return;
        }
        self.progress.borrow_mut().retain_due(now, &mut watched);
        if watched.is_empty() {
            return;
        }
        let progress = watched.into_iter().map(|part| PartProgress {
            part,
            age: Millis::ZERO,
        });
        let event = Event::PartsProgressed(progress.collect());
        self.shared.send_event(event);
    }
}

/// What a connection to an endpoint shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probed {
    Alive,
    Ended,
    /// There was no answer; the network may be at fault.
    Unknown,
}

async fn probe_once(address: SocketAddr) -> Probed {
    let connecting = TcpStream::connect(address);
    match timeout(PROBE_TIMEOUT.as_duration(), connecting).await {
        Ok(Ok(_)) => Probed::Alive,
        Ok(Err(error)) => match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Probed::Ended,
            _ => Probed::Unknown,
        },
        Err(_) => Probed::Unknown,
    }
}

/// A run of one request at one endpoint. Dropped, it is over without any evidence.
pub struct WatchedRun {
    watch: Rc<CrashWatch>,
    endpoint: Arc<Registration>,
    /// The parts of the prompt that other prompts may share.
    parts: Vec<PartId>,
    is_success: bool,
    /// Whether the answer has got under way, which is recorded once.
    is_under_way: bool,
    /// Held until the answer has got under way.
    turn: Option<Turn>,
}

impl WatchedRun {
    /// Records the status of the response. Only a success counts as an answer to the
    /// prompt.
    pub fn record_status(&mut self, status: StatusCode) {
        self.is_success = status.is_success();
        if !self.is_success {
            self.turn = None;
        }
    }

    /// Records that a part of the body arrived.
    pub fn record_body(&mut self, body: &BodyProgress) {
        if !self.is_under_way && body.events() >= EVENTS_UNDER_WAY {
            self.record_progress();
        }
    }

    /// Records that the body ended without an error. Returns a verdict as
    /// [`Self::record_break`] does if it may have broken off before its first event.
    pub fn record_end(&mut self, body: &BodyProgress) -> Option<Verdict> {
        match body.end() {
            BodyEnd::Complete => self.record_progress(),
            // A process that ends closes its connections in order as well.
            BodyEnd::Unknown if body.is_empty() => return self.record_break(),
            BodyEnd::Unknown if body.events() > 0 && self.has_suspects() => {
                return self.record_break();
            }
            BodyEnd::Unknown | BodyEnd::Broken(_) => {}
        }
        None
    }

    /// Records that the endpoint gave no response, or that its body broke off. If a part
    /// of the prompt is a suspect, returns whether the endpoint has ended.
    pub fn record_break(&self) -> Option<Verdict> {
        self.watch.record_break(self)
    }

    fn has_suspects(&self) -> bool {
        let shared = &self.watch.shared;
        !suspects_of(&shared.parts, shared.now(), &self.parts, self.is_under_way).is_empty()
    }

    fn record_progress(&mut self) {
        if self.is_success && !std::mem::replace(&mut self.is_under_way, true) {
            self.watch.record_progress(&self.parts);
            self.turn = None;
        }
    }
}
