//! Sending one request to an endpoint, and to another one where that is safe.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http::Response;
use tokio::time::timeout;

use super::answer::OpenAnswer;
use super::balance::{Need, candidates, choose};
use super::connection::{Connection, ExchangeError, says_close};
use super::control::Event;
use super::document::RouteKind;
use super::fleet::{EndpointKey, FleetCell, InFlight};
use super::job::Job;
use super::refusal::Refusal;
use super::request::adapter_hash;
use super::retry_budget::RetryBudget;
use super::shared::Shared;
use crate::clock::Millis;
use crate::code::{Code, Ran};

/// How long a connection to an endpoint may take: a few round trips between
/// zones; a lost opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// Endpoints that one request may be offered to without being run.
const MAX_OFFERS: usize = 3;
/// The longest wait for a model to be loaded: one load from the weight store.
const MODEL_WAIT: Millis = Millis(1_300);
/// The longest wait for an endpoint of a service without models.
const ENDPOINT_WAIT: Millis = Millis(500);
/// When to come back where no endpoint is known: it takes an engine about this
/// long to start or to load a model.
const NO_ENDPOINT_RETRY: Millis = Millis(1_000);
/// When to come back where endpoints were full, at the earliest: about the time
/// of one answer.
const BUSY_RETRY: Millis = Millis(1_000);

/// Sends requests to endpoints.
pub struct Forwarder {
    /// What control and traffic share.
    pub shared: Arc<Shared>,
    /// The endpoints.
    pub fleet: FleetCell,
    budgets: RefCell<Vec<(CompactString, RetryBudget)>>,
}

/// The head of an answer, and its body still to be read.
pub type Begun = Response<OpenAnswer>;

enum Choice {
    Endpoint(EndpointKey),
    /// Every endpoint that could serve it has as many as it can begin in time.
    AllFull,
    /// No endpoint can serve it.
    Nowhere,
}

enum Attempt {
    Answered(Box<Begun>),
    /// Certainly not run.
    NotRun(Code),
    /// It may have run.
    Failed(Code),
}

/// What was tried so far for one request.
#[derive(Debug, Default)]
pub struct Tried {
    /// Endpoints that it was offered to.
    pub offered: Vec<EndpointKey>,
    /// Endpoints that may have run it.
    pub runs: u32,
}

impl Forwarder {
    /// A forwarder over an empty fleet.
    pub fn new(shared: Arc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            fleet: FleetCell::default(),
            budgets: RefCell::default(),
        })
    }

    /// Sends a request until an endpoint answers or nothing more may be tried.
    pub async fn send(
        &self,
        job: &Job,
        tried: &mut Tried,
        last_event: Option<&str>,
    ) -> Result<Begun, Refusal> {
        let mut last = Refusal::new(Code::NoEndpoint).retry_after(NO_ENDPOINT_RETRY);
        // An endpoint's own failure is delivered if nothing better comes.
        let mut failure = None;
        while tried.offered.len() < MAX_OFFERS {
            let is_repeat = !tried.offered.is_empty();
            if is_repeat && !self.may_repeat(job) {
                break;
            }
            let key = match self.pick(job, tried).await {
                Ok(key) => key,
                Err(_) if is_repeat => break,
                Err(refusal) => return Err(refusal),
            };
            tried.offered.push(key);
            match self.attempt(job, key, last_event).await {
                Attempt::Answered(begun) => {
                    let is_failure = begun.status().is_server_error();
                    tried.runs += 1;
                    if is_failure && self.may_run_again(job, tried) {
                        let status = begun.status().as_u16();
                        job.log("request.endpoint_error", &[("status", status.into())]);
                        failure = Some(*begun);
                        continue;
                    }
                    return Ok(*begun);
                }
                Attempt::NotRun(code) => last = Refusal::new(code).retry_after(BUSY_RETRY),
                Attempt::Failed(code) => {
                    tried.runs += 1;
                    last = Refusal::new(code);
                    if !self.may_run_again(job, tried) {
                        break;
                    }
                }
            }
        }
        if let Some(failure) = failure {
            return Ok(failure);
        }
        if tried.runs > 0 && last.ran() == Ran::No {
            // A promise that it has not run would not be true any more.
            return Err(Refusal::new(Code::OutcomeUnknown));
        }
        Err(last)
    }

    /// Whether a request that may have run may run once more.
    pub fn may_run_again(&self, job: &Job, tried: &Tried) -> bool {
        job.kind.is_retryable()
            && tried.runs < job.max_endpoints
            && job.time_left(self.shared.now()) > Millis::ZERO
    }

    /// Takes a repeat from the budget of the request's service.
    fn may_repeat(&self, job: &Job) -> bool {
        let (now, gateways) = (self.shared.now(), self.shared.gateway_count());
        let is_allowed = self.with_budget(&job.service, |budget| budget.take(now, gateways));
        if !is_allowed {
            job.log(
                "request.repeat_refused",
                &[("service", (&job.service).into())],
            );
        }
        is_allowed
    }

    /// Notes a request to a service that is offered for the first time.
    pub fn note_first(&self, job: &Job) {
        let now = self.shared.now();
        self.with_budget(&job.service, |budget| budget.note_first(now));
    }

    fn with_budget<T>(&self, service: &str, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let at = budgets.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let at = at.unwrap_or_else(|at| {
            let budget = RetryBudget::new(self.shared.settings.bounds.retries);
            budgets.insert(at, (service.into(), budget));
            at
        });
        work(&mut budgets[at].1)
    }

    /// Finds an endpoint; waits a while for one that holds the model.
    async fn pick(&self, job: &Job, tried: &Tried) -> Result<EndpointKey, Refusal> {
        let mut changed = self.shared.subscribe();
        let longest = match job.ask.model {
            Some(_) => MODEL_WAIT,
            None => ENDPOINT_WAIT,
        };
        let now = self.shared.now();
        let until = now + longest.min(Millis(job.time_left(now).0 / 3));
        let mut has_waited = false;
        loop {
            changed.borrow_and_update();
            match self.choose_now(job, tried) {
                Choice::Endpoint(key) => return Ok(key),
                Choice::AllFull => {
                    let busy = Refusal::new(Code::Busy);
                    return Err(busy.retry_after(self.busy_retry()));
                }
                Choice::Nowhere => {}
            }
            if !tried.offered.is_empty() {
                return Err(Refusal::new(Code::NoEndpoint).retry_after(NO_ENDPOINT_RETRY));
            }
            if let Some(wanted) = &job.ask.model {
                let service = job.service.clone();
                let wanted = wanted.clone();
                self.shared.send_event(Event::Wanted { service, wanted });
            }
            if !has_waited {
                job.log("request.waits", &[("service", (&job.service).into())]);
                has_waited = true;
            }
            let left = until.since(self.shared.now());
            let has_changed = timeout(left.as_duration(), changed.changed()).await;
            if has_changed.is_err() {
                return Err(Refusal::new(Code::NoEndpoint).retry_after(NO_ENDPOINT_RETRY));
            }
        }
    }

    /// When to come back to full engines: about when as many requests have
    /// ended as are running, spread so that callers do not come back at once.
    fn busy_retry(&self) -> Millis {
        Millis(rand::random_range(BUSY_RETRY.0..=2 * BUSY_RETRY.0))
    }

    fn choose_now(&self, job: &Job, tried: &Tried) -> Choice {
        let now = self.shared.now();
        let others = self.shared.peer_loads();
        let mut fleet = self.fleet.borrow_mut();
        fleet.sync(&self.shared.view());
        let need = Need {
            service: &job.service,
            model: job.ask.model.as_ref(),
            zone: &self.shared.settings.zone,
            excluded: &tried.offered,
            affinity: job.ask.session(),
            patience: job.patience,
            gateways: self.shared.gateway_count(),
            draw: rand::random(),
        };
        let mut found = candidates(now, &fleet, &others, &need);
        if found.is_empty() {
            return Choice::Nowhere;
        }
        found.retain(|c| !need.is_full(c));
        let Some(chosen) = choose(&need, &found) else {
            return Choice::AllFull;
        };
        job.log(
            "request.sent",
            &[
                ("endpoint", (&chosen.view.registration.id).into()),
                ("candidates", found.len().into()),
                ("in_flight", chosen.load.requests.into()),
                ("unread_tokens", chosen.load.unread_tokens.into()),
                ("suspect", chosen.health.is_suspect(now).into()),
                ("waited_ms", now.since(job.arrived).into()),
            ],
        );
        if let Some(wanted) = job.ask.model.as_ref().filter(|m| m.adapter.is_some()) {
            self.shared.record_adapter_use(adapter_hash(wanted));
        }
        Choice::Endpoint(chosen.key)
    }

    async fn attempt(&self, job: &Job, key: EndpointKey, last_event: Option<&str>) -> Attempt {
        let now = self.shared.now();
        let left = job.time_left(now);
        if left == Millis::ZERO {
            return Attempt::NotRun(Code::TargetMissed);
        }
        let in_flight = InFlight::start(&self.fleet, key, job.load(), now);
        let exchange = self.exchange(job, in_flight, last_event);
        match timeout(left.as_duration(), exchange).await {
            Ok(attempt) => attempt,
            Err(_) => {
                self.note_failure(key);
                job.log("request.timed_out", &[]);
                Attempt::Failed(Code::TimedOut)
            }
        }
    }

    fn note_failure(&self, key: EndpointKey) {
        let now = self.shared.now();
        if let Some(endpoint) = self.fleet.borrow_mut().get_mut(key) {
            endpoint.health.failed(now);
            endpoint.close_idle();
        }
    }

    /// One exchange with one endpoint, up to the head of the answer.
    async fn exchange(&self, job: &Job, in_flight: InFlight, last_event: Option<&str>) -> Attempt {
        let key = in_flight.key();
        let Some((address, id)) = self.address_of(key) else {
            return Attempt::NotRun(Code::NoEndpoint);
        };
        let mut connection = match self.connect(job, key, address).await {
            Ok(connection) => connection,
            Err(error) => {
                self.note_failure(key);
                job.log(
                    "request.not_sent",
                    &[("error", (&error.to_string()).into())],
                );
                return Attempt::NotRun(Code::NoEndpoint);
            }
        };
        let req = job.request_for(&self.shared, &id, last_event);
        match connection.send(req).await {
            Ok(res) => self.judge(job, in_flight, connection, res),
            Err(error) => {
                self.note_failure(key);
                job.log(
                    "request.no_answer",
                    &[("error", (&error.to_string()).into())],
                );
                match error {
                    ExchangeError::NotSent(_) => Attempt::NotRun(Code::NoEndpoint),
                    ExchangeError::Unanswered(_) => Attempt::Failed(Code::OutcomeUnknown),
                }
            }
        }
    }

    fn address_of(&self, key: EndpointKey) -> Option<(std::net::SocketAddr, CompactString)> {
        let fleet = self.fleet.borrow();
        let registration = &fleet.get(key)?.view.registration;
        Some((registration.address, registration.id.clone()))
    }

    /// An idle connection, or a new one. A request that runs at most once gets
    /// a new one: a kept one may have been closed, or may still owe a second
    /// copy of an earlier answer.
    async fn connect(
        &self,
        job: &Job,
        key: EndpointKey,
        address: std::net::SocketAddr,
    ) -> Result<Connection, ExchangeError> {
        if job.kind != RouteKind::AtMostOnce {
            let now = self.shared.now();
            let mut fleet = self.fleet.borrow_mut();
            let idle = fleet.get_mut(key).and_then(|e| e.take_idle(now));
            if let Some(connection) = idle {
                return Ok(connection);
            }
        }
        Connection::open(address, CONNECT_TIMEOUT).await
    }

    fn judge(
        &self,
        job: &Job,
        in_flight: InFlight,
        connection: Connection,
        res: Response<hyper::body::Incoming>,
    ) -> Attempt {
        let now = self.shared.now();
        let mark = self
            .shared
            .dialect
            .read_response_head(res.status(), res.headers());
        if mark.is_misdirected || mark.not_run {
            in_flight.update_endpoint(|e| e.health.heard(now, e.load.requests > 1));
            job.log(
                "request.endpoint_refused",
                &[("status", res.status().as_u16().into())],
            );
            return Attempt::NotRun(Code::Busy);
        }
        if mark.request.as_ref().is_some_and(|id| *id != job.ask.id) {
            job.log("request.crossed_answer", &[]);
            return Attempt::Failed(Code::CrossedAnswer);
        }
        in_flight.update_endpoint(|e| {
            e.health.heard(now, true);
            if res.status().is_server_error() {
                e.health.answered_error();
            }
        });
        let may_stay = !says_close(res.headers());
        Attempt::Answered(Box::new(res.map(|body| OpenAnswer {
            body,
            connection,
            in_flight,
            may_stay,
        })))
    }
}

/// Reads a whole answer; the connection is kept if it may be.
pub async fn read_answer(mut open: OpenAnswer, now: impl Fn() -> Millis) -> Option<Bytes> {
    let mut buf = bytes::BytesMut::new();
    while let Some(part) = open.next_part().await {
        match part {
            Ok(part) => buf.extend_from_slice(&part),
            Err(error) => {
                open.in_flight.update_endpoint(|e| e.health.failed(now()));
                log::debug!("answer broke off: {error}");
                return None;
            }
        }
    }
    open.finish(now());
    Some(buf.freeze())
}
