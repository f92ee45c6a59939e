//! One attempt: the exchange with one endpoint.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Response;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::{Forwarder, UpstreamResponse};
use crate::clock::Millis;
use crate::code::Code;
use crate::direct::answer::UpstreamBody;
use crate::direct::connection::{Connection, ENDPOINT_LIMITS, ExchangeError, has_connection_close};
use crate::direct::crash_watch::{Turn, Verdict, WatchedRun};
use crate::direct::dialect::Registration;
use crate::direct::document::RouteKind;
use crate::direct::fleet::{EndpointKey, InFlight};
use crate::direct::framing::{BodyProgress, Framing};
use crate::direct::job::Job;

/// Time limit for connecting to an endpoint: a few round trips between zones. A
/// lost SYN is retransmitted only after a second, so that trying another endpoint
/// is faster.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// How long a request waits for a grant, if its endpoint takes a limited rate.
const MAX_GRANT_WAIT: Millis = Millis(200);

/// How an attempt ended.
pub(super) enum Attempt {
    /// The endpoint responded, possibly with a server error.
    Answered(Box<UpstreamResponse>),
    /// Nothing was sent, as the endpoint takes no request now.
    HeldBack,
    /// The request certainly did not run.
    NotRun(Code),
    /// The request may have run. If a part of its prompt may be the cause, the verdict
    /// tells whether the endpoint has ended.
    Failed(Code, Option<Verdict>),
}

/// A request that was sent to an endpoint.
struct Sent {
    endpoint: Arc<Registration>,
    sent_at: Millis,
    in_flight: InFlight,
    connection: Connection,
    /// Whether the connection carried another request before.
    is_reused: bool,
    run: Option<WatchedRun>,
    /// Whether it asks for the rest of a stream.
    is_continuation: bool,
}

impl Forwarder {
    /// Sends the request to an endpoint within the time that is left.
    pub(super) async fn attempt(
        &self,
        job: &Job,
        key: EndpointKey,
        last_event_id: Option<&str>,
        turn: Option<Turn>,
    ) -> Attempt {
        let now = self.shared.now();
        let left = job.time_left(now);
        if left == Millis::ZERO {
            return Attempt::NotRun(Code::TargetMissed);
        }
        let in_flight = InFlight::start(&self.fleet, key, job.load(), now);
        let exchange = self.exchange(job, in_flight, last_event_id, turn);
        match timeout(left.as_duration(), exchange).await {
            Ok(attempt) => attempt,
            Err(_) => {
                self.record_failure(key);
                job.log("request.timed_out", &[]);
                Attempt::Failed(Code::TimedOut, None)
            }
        }
    }

    fn record_failure(&self, key: EndpointKey) {
        let now = self.shared.now();
        if let Some(endpoint) = self.fleet.borrow_mut().get_mut(key) {
            endpoint.record_failure(now);
            endpoint.close_idle();
        }
    }

    /// Sends the request to one endpoint and waits for the head of the response.
    async fn exchange(
        &self,
        job: &Job,
        in_flight: InFlight,
        last_event_id: Option<&str>,
        turn: Option<Turn>,
    ) -> Attempt {
        let key = in_flight.key();
        let Some(endpoint) = self.registration_of(key) else {
            return Attempt::NotRun(Code::NoEndpoint);
        };
        let mut connection = match self.connect(job, key, endpoint.address).await {
            Ok(connection) => connection,
            Err(error) => {
                self.record_failure(key);
                job.log(
                    "request.not_sent",
                    &[("error", (&error.to_string()).into())],
                );
                return Attempt::NotRun(Code::NoEndpoint);
            }
        };
        let max_wait = MAX_GRANT_WAIT.min(Millis(job.time_left(self.shared.now()).0 / 3));
        if !self.shared.take_permit(&endpoint, max_wait).await {
            job.log("request.held_back", &[("endpoint", (&endpoint.id).into())]);
            self.keep_connection(key, connection);
            return Attempt::HeldBack;
        }
        // Connecting took time.
        if let Err(refusal) = job.check_parts_at_send(&self.shared) {
            return Attempt::NotRun(refusal.code);
        }
        let sent_at = self.shared.now();
        let rank = self.urgency(job).rank;
        let req = job.request_for(&self.shared, &endpoint.id, rank, last_event_id);
        let run = self.crash_watch.watch(job, &endpoint, turn);
        let is_reused = connection.is_reused();
        match connection.send(req).await {
            Ok(res) => {
                let sent = Sent {
                    endpoint,
                    sent_at,
                    in_flight,
                    connection,
                    is_reused,
                    run,
                    is_continuation: last_event_id.is_some(),
                };
                self.classify_response(job, sent, res)
            }
            Err(error) => {
                self.record_failure(key);
                job.log(
                    "request.no_answer",
                    &[("error", (&error.to_string()).into())],
                );
                match error {
                    ExchangeError::NotSent(_) => Attempt::NotRun(Code::NoEndpoint),
                    ExchangeError::Unanswered(_) => {
                        let verdict = run.and_then(|run| run.record_break());
                        Attempt::Failed(Code::OutcomeUnknown, verdict)
                    }
                }
            }
        }
    }

    fn keep_connection(&self, key: EndpointKey, connection: Connection) {
        let now = self.shared.now();
        if let Some(endpoint) = self.fleet.borrow_mut().get_mut(key) {
            endpoint.put_idle(now, connection);
        }
    }

    fn registration_of(&self, key: EndpointKey) -> Option<Arc<Registration>> {
        let fleet = self.fleet.borrow();
        Some(fleet.get(key)?.view.registration.clone())
    }

    /// Takes an idle connection or opens a new one, which then takes a request at once. A
    /// request that runs at most once always gets a new one: an idle connection may already
    /// be closed by the endpoint, or may still deliver a duplicate of an earlier response.
    async fn connect(
        &self,
        job: &Job,
        key: EndpointKey,
        address: SocketAddr,
    ) -> Result<Connection, ExchangeError> {
        let mut idle = None;
        if job.kind != RouteKind::AtMostOnce {
            let now = self.shared.now();
            let mut fleet = self.fleet.borrow_mut();
            idle = fleet.get_mut(key).and_then(|e| e.take_idle(now));
        }
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT, ENDPOINT_LIMITS).await?,
        };
        connection.ready().await?;
        Ok(connection)
    }

    fn classify_response(&self, job: &Job, sent: Sent, res: Response<Incoming>) -> Attempt {
        let Sent {
            endpoint,
            sent_at,
            in_flight,
            connection,
            is_reused,
            mut run,
            is_continuation,
        } = sent;
        let now = self.shared.now();
        let head = self
            .shared
            .dialect
            .read_response_head(res.status(), res.headers());
        // Before all else: neither a refusal nor a statement of another response counts.
        if !head.is_response_to(&job.metadata.id, is_reused) {
            job.log(
                "request.crossed_answer",
                &[("status", res.status().as_u16().into())],
            );
            return Attempt::Failed(Code::CrossedAnswer, None);
        }
        self.shared.hear_endpoint(&endpoint, &head, sent_at);
        if head.is_misdirected || head.not_run {
            // The endpoint's load still counts this request.
            in_flight.update_endpoint(|e| e.health.record_data(now, e.load.requests > 1));
            job.log(
                "request.endpoint_refused",
                &[("status", res.status().as_u16().into())],
            );
            return Attempt::NotRun(Code::Busy);
        }
        in_flight.update_endpoint(|e| {
            e.health.record_data(now, true);
            if res.status().is_server_error() {
                e.health.record_error_response();
            }
        });
        if let Some(run) = &mut run {
            run.record_status(res.status());
        }
        let Some(framing) = Framing::of(res.headers(), res.body()) else {
            self.record_failure(in_flight.key());
            let error = "another transfer coding than chunks";
            job.log("request.no_answer", &[("error", error.into())]);
            return Attempt::Failed(Code::AnswerCut, None);
        };
        let is_reusable = !has_connection_close(res.headers()) && framing != Framing::Close;
        let mut progress = BodyProgress::new(framing);
        if job.is_event_stream(&res) {
            progress = progress.event_stream(is_continuation);
        }
        Attempt::Answered(Box::new(res.map(|body| UpstreamBody {
            body,
            connection,
            endpoint,
            in_flight,
            is_reusable,
            progress,
            run,
        })))
    }
}
