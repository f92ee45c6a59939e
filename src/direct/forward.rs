//! Sends a request to an endpoint, and retries at another one where that is safe.

mod choice;
mod exchange;
mod waiting;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use http::Response;
use tokio::time::{sleep, timeout};

use super::admission::draining::check_draining;
use super::admission::retry_delay::{RefusedShare, retry_delay};
use super::answer::UpstreamBody;
use super::buffers::BufferBudget;
use super::control::{Event, Need};
use super::crash_watch::{CrashWatch, Turn, Verdict};
use super::fleet::{EndpointKey, FleetCell};
use super::job::Job;
use super::refusal::Refusal;
use super::resume::ResumePoint;
use super::resume::numbering::UsualSteps;
use super::retry_budget::RetryBudget;
use super::shared::Shared;
use crate::clock::Millis;
use crate::code::{Code, Ran};

use choice::{Choice, Targets};
use exchange::Attempt;
use waiting::{Place, Waiting};

/// The most endpoints at which one request is attempted, whether they run it or not.
const MAX_ATTEMPTS: usize = 3;
/// How often an endpoint is chosen for one request that then takes none, before the request
/// is refused if its time for a turn is over.
const MAX_HELD_BACK: usize = 4;
/// The longest wait for a model to be loaded: the time of one load from the
/// weight store.
const MAX_MODEL_WAIT: Millis = Millis(1_300);
/// The longest wait for a model to be loaded at an endpoint of the software version at
/// which a stream goes on: two loads, as the engine may have to unload a model first.
const MAX_STREAM_WAIT: Millis = Millis(2_600);
/// The longest wait for an endpoint of a service without models to appear.
const MAX_ENDPOINT_WAIT: Millis = Millis(500);
/// `Retry-After` if no endpoint is known: an engine takes about this long to start
/// or to load a model.
const NO_ENDPOINT_RETRY_AFTER: Millis = Millis(1_000);
/// `Retry-After` if an endpoint refused a request, and the time by which callers that wait for
/// the end of a pause are spread: about the duration of one response.
const BUSY_RETRY_AFTER: Millis = Millis(1_000);

/// Sends requests to endpoints, within the retry budget of each service.
pub struct Forwarder {
    /// State shared by the control and traffic threads.
    pub shared: Arc<Shared>,
    /// The known endpoints.
    pub fleet: FleetCell,
    /// Bounds the bytes of responses that are held back.
    pub buffers: BufferBudget,
    /// How the numbers of services' streams rise.
    pub usual_steps: RefCell<UsualSteps>,
    /// Watches runs that break off.
    pub crash_watch: Rc<CrashWatch>,
    budgets: RefCell<Vec<(CompactString, RetryBudget)>>,
    targets: RefCell<Targets>,
    /// By service, sorted.
    refused: RefCell<Vec<(CompactString, RefusedShare)>>,
    waiting: Rc<Waiting>,
}

/// An endpoint's response whose body has not been read yet.
pub type UpstreamResponse = Response<UpstreamBody>;

/// The attempts made so far for one request.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Endpoints at which the request was attempted, including those that it could
    /// not be sent to.
    pub attempted: Vec<EndpointKey>,
    /// Number of endpoints that may have run the request.
    pub runs: u32,
    /// Whether the endpoint of the last run has ended, if that run broke off and a part
    /// of the prompt may be the cause.
    pub verdict: Option<Verdict>,
}

impl Forwarder {
    /// Creates a forwarder with an empty fleet.
    pub fn new(shared: Arc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            crash_watch: CrashWatch::new(shared.clone()),
            waiting: Waiting::new(shared.clone()),
            shared,
            fleet: FleetCell::default(),
            buffers: BufferBudget::default(),
            usual_steps: RefCell::default(),
            budgets: RefCell::default(),
            targets: RefCell::default(),
            refused: RefCell::default(),
        })
    }

    /// Sends a request until an endpoint responds or no further attempt is allowed.
    pub async fn send(
        &self,
        job: &Job,
        history: &mut AttemptHistory,
        resume: &ResumePoint,
    ) -> Result<UpstreamResponse, Refusal> {
        let mut last = no_endpoint();
        // A server error is passed to the caller if no later attempt succeeds.
        let mut failure = None;
        let mut held_back = 0;
        while history.attempted.len() < MAX_ATTEMPTS {
            let is_retry = !history.attempted.is_empty();
            if is_retry && !self.try_take_retry(job) {
                break;
            }
            let key = match self.wait_for_endpoint(job, history, resume).await {
                Ok(key) => key,
                Err(refusal) if is_retry => {
                    if refusal.code == Code::Busy && last.ran() == Ran::No {
                        last = refusal;
                    }
                    break;
                }
                Err(refusal) => return Err(refusal),
            };
            // After the wait: all that waited would be sent together.
            let turn = match self.wait_for_turn(job).await {
                Ok(turn) => turn,
                Err(refusal) => {
                    last = refusal;
                    break;
                }
            };
            if history.runs == 0 {
                check_draining(self.shared.draining_for())?;
            }
            history.attempted.push(key);
            let last_event_id = resume.last_event_id.as_deref();
            match self.attempt(job, key, last_event_id, turn).await {
                Attempt::Answered(upstream) => {
                    let is_failure = upstream.status().is_server_error();
                    history.runs += 1;
                    if is_failure && self.may_retry(job, history).await {
                        let status = upstream.status().as_u16();
                        job.log("request.endpoint_error", &[("status", status.into())]);
                        failure = Some(*upstream);
                        continue;
                    }
                    return Ok(*upstream);
                }
                Attempt::NotRun(Code::PartBlocked) => {
                    last = Refusal::new(Code::PartBlocked);
                    break;
                }
                Attempt::HeldBack => {
                    history.attempted.pop();
                    held_back += 1;
                    let is_late = self.shared.now() >= job.turn_wait_end();
                    if held_back >= MAX_HELD_BACK && is_late {
                        last = Refusal::new(Code::Busy).retry_after(self.busy_retry_delay(job));
                        break;
                    }
                }
                Attempt::NotRun(code) => last = Refusal::new(code).retry_after(BUSY_RETRY_AFTER),
                Attempt::Failed(code, verdict) => {
                    history.runs += 1;
                    history.verdict = verdict;
                    last = Refusal::new(code);
                    if !self.may_retry(job, history).await {
                        break;
                    }
                }
            }
        }
        if let Some(failure) = failure {
            return Ok(failure);
        }
        if history.runs > 0 && last.ran() == Ran::No {
            // An earlier attempt may have run, so the caller must not be told that
            // the request did not run.
            return Err(Refusal::new(Code::OutcomeUnknown));
        }
        Err(last)
    }

    /// Waits until a request with a suspect part may be sent, if it has one, and refuses it
    /// if a part is blocked by then.
    async fn wait_for_turn(&self, job: &Job) -> Result<Option<Turn>, Refusal> {
        job.check_parts(&self.shared)?;
        let turn = self.crash_watch.wait_for_turn(job).await;
        job.check_parts(&self.shared)?;
        Ok(turn)
    }

    /// Whether a request that may have run may be sent again. If a part of its prompt
    /// may have ended the endpoint, it waits until that is known.
    pub async fn may_retry(&self, job: &Job, history: &mut AttemptHistory) -> bool {
        let verdict = history.verdict.take();
        let left = job.time_left(self.shared.now());
        let is_allowed =
            job.kind.is_retryable() && history.runs < job.max_endpoints && left > Millis::ZERO;
        let Some(verdict) = verdict.filter(|_| is_allowed) else {
            return is_allowed;
        };
        let has_ended = timeout(left.as_duration(), verdict.has_ended()).await;
        if has_ended == Ok(true) {
            job.log("request.repeat_withheld", &[]);
        }
        has_ended == Ok(false)
    }

    /// Takes a retry from the budget of the request's service, if one is left.
    fn try_take_retry(&self, job: &Job) -> bool {
        let (now, gateways) = (self.shared.now(), self.shared.gateway_count());
        let is_allowed = self.with_budget(&job.service, |budget| budget.try_take(now, gateways));
        if !is_allowed {
            job.log(
                "request.repeat_refused",
                &[("service", (&job.service).into())],
            );
        }
        is_allowed
    }

    /// Adds a request to its service's retry budget, before its first attempt.
    pub fn record_first_attempt(&self, job: &Job) {
        let now = self.shared.now();
        self.with_budget(&job.service, |budget| budget.record_first_attempt(now));
        self.with_refused(&job.service, |share| share.record_arrival(now));
    }

    fn with_budget<T>(&self, service: &str, work: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let limit = self.shared.bounds().retries;
        let at = budgets.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let at = at.unwrap_or_else(|at| {
            let budget = RetryBudget::new(limit);
            budgets.insert(at, (service.into(), budget));
            at
        });
        budgets[at].1.set_limit(limit);
        work(&mut budgets[at].1)
    }

    /// Chooses an endpoint, as [`Self::find_endpoint`], and logs the wait for room.
    async fn wait_for_endpoint(
        &self,
        job: &Job,
        history: &AttemptHistory,
        resume: &ResumePoint,
    ) -> Result<EndpointKey, Refusal> {
        let mut place = self.join_behind(job, history, resume);
        let found = self.find_endpoint(job, history, resume, &mut place).await;
        if let Some(place) = place {
            job.log(
                "request.deferred",
                &[
                    ("waited_ms", place.waited().into()),
                    ("has_room", found.is_ok().into()),
                ],
            );
        }
        found
    }

    /// Chooses an endpoint. Before its first attempt, a request waits for an endpoint
    /// that can serve it: up to `MAX_MODEL_WAIT` or `MAX_ENDPOINT_WAIT`, and at most
    /// a third of its remaining time. The control thread is told which model is
    /// missing. While all engines are full, it waits in its place among those for the model.
    async fn find_endpoint(
        &self,
        job: &Job,
        history: &AttemptHistory,
        resume: &ResumePoint,
        place: &mut Option<Place>,
    ) -> Result<EndpointKey, Refusal> {
        let mut changed = self.shared.subscribe();
        let max_wait = match (&job.metadata.model, &resume.version) {
            (Some(_), Some(_)) => MAX_STREAM_WAIT,
            (Some(_), None) => MAX_MODEL_WAIT,
            (None, _) => MAX_ENDPOINT_WAIT,
        };
        let now = self.shared.now();
        let until = now + max_wait.min(Millis(job.time_left(now).0 / 3));
        let mut has_waited = false;
        let mut admission = self.admission(job, history);
        if let Some(place) = place {
            place.wait_for_turn().await;
        }
        loop {
            changed.borrow_and_update();
            match self.choose_endpoint(job, history, resume, admission) {
                Choice::Endpoint(key) => return Ok(key),
                Choice::AllFull => {
                    if place.is_none() {
                        *place = self.join_waiting(job, history, resume);
                    }
                    if let Some(place) = place
                        && place.wait_for_retry().await
                    {
                        admission = self.readmission(job);
                        continue;
                    }
                    let busy = Refusal::new(Code::Busy);
                    return Err(busy.retry_after(self.busy_retry_delay(job)));
                }
                // The adapter is soon at another endpoint, as below.
                Choice::AllPaused { is_movable, .. }
                    if is_movable && history.attempted.is_empty() && self.shared.now() < until => {}
                Choice::AllPaused { until: at, .. } if at <= job.turn_wait_end() => {
                    let wait = at.since(self.shared.now()).max(Millis(1));
                    sleep(wait.as_duration()).await;
                    continue;
                }
                Choice::AllPaused { until: at, .. } => {
                    let wait = at.since(self.shared.now()) + self.return_spread();
                    return Err(Refusal::new(Code::Busy).retry_after(wait));
                }
                Choice::AllLeaving => return Err(no_endpoint()),
                Choice::NoCandidate => {}
            }
            let is_first = history.attempted.is_empty();
            // Where a stream cannot go on, its caller's next try may.
            if let Some(wanted) = &job.metadata.model
                && (is_first || resume.version.is_some())
            {
                let need = Need::new(job.service.clone(), wanted.clone());
                let version = resume.version.clone();
                let event = Event::ModelWanted(Need { version, ..need });
                self.shared.send_event(event);
            }
            if !is_first {
                return Err(no_endpoint());
            }
            if !has_waited {
                job.log("request.waits", &[("service", (&job.service).into())]);
                has_waited = true;
            }
            let left = until.since(self.shared.now());
            let has_changed = timeout(left.as_duration(), changed.changed()).await;
            if has_changed.is_err() {
                return Err(no_endpoint());
            }
            job.check_parts(&self.shared)?;
        }
    }

    /// `Retry-After` if all endpoints are full, see [`retry_delay`]. Counts the refusal.
    fn busy_retry_delay(&self, job: &Job) -> Millis {
        let now = self.shared.now();
        let share = self.with_refused(&job.service, |share| {
            share.record_refusal(now);
            share.get(now)
        });
        if !self.keeps_room() {
            let spread = Millis(rand::random_range(0..=BUSY_RETRY_AFTER.0));
            return BUSY_RETRY_AFTER + spread;
        }
        retry_delay(job.time_left(now), share, rand::random())
    }

    fn with_refused<T>(&self, service: &str, work: impl FnOnce(&mut RefusedShare) -> T) -> T {
        let mut shares = self.refused.borrow_mut();
        let at = shares.binary_search_by(|(name, _)| name.as_str().cmp(service));
        let at = at.unwrap_or_else(|at| {
            shares.insert(at, (service.into(), RefusedShare::default()));
            at
        });
        work(&mut shares[at].1)
    }

    /// Time by which callers are spread that wait for the end of a pause.
    fn return_spread(&self) -> Millis {
        Millis(rand::random_range(0..=BUSY_RETRY_AFTER.0))
    }
}

fn no_endpoint() -> Refusal {
    Refusal::new(Code::NoEndpoint).retry_after(NO_ENDPOINT_RETRY_AFTER)
}
