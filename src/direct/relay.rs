//! Bringing an endpoint's answer to the caller, unchanged.

use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderName, Response, header};
use tokio::time::{Sleep, sleep};

use super::answer::{AnswerBody, Cut, OpenAnswer};
use super::document::RouteKind;
use super::forward::{Begun, Forwarder, Tried, read_answer};
use super::job::Job;
use super::quota::Charge;
use super::refusal::Refusal;
use super::resume::EventTracker;
use super::shared::OpenRequest;
use crate::clock::Millis;
use crate::code::{Code, Ran};

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Sends a request and returns the answer for its caller.
pub async fn answer(
    forwarder: Rc<Forwarder>,
    job: Job,
    charge: Charge,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut tried = Tried::default();
    loop {
        let last_event = job.ask.last_event.clone();
        let begun = match forwarder
            .send(&job, &mut tried, last_event.as_deref())
            .await
        {
            Ok(begun) => begun,
            Err(refusal) => {
                if refusal.ran() == Ran::No {
                    charge.refund();
                }
                return Err(refusal);
            }
        };
        if job.kind.is_stream() && begun.status().is_success() {
            return Ok(relay_stream(forwarder, job, begun, tried));
        }
        match whole_answer(&forwarder, &job, begun).await {
            Some(res) => return Ok(res),
            None if forwarder.may_run_again(&job, &tried) => {
                job.log("request.answer_broken", &[]);
            }
            None => return Err(Refusal::new(Code::AnswerCut)),
        }
    }
}

/// Reads an answer to its end before the caller gets its head, so that one that
/// breaks off can be replaced.
async fn whole_answer(
    forwarder: &Forwarder,
    job: &Job,
    begun: Begun,
) -> Option<Response<AnswerBody>> {
    let shared = &forwarder.shared;
    let (mut parts, open) = begun.into_parts();
    let left = job.time_left(shared.now()).as_duration();
    let reading = read_answer(open, || shared.now());
    let body = tokio::time::timeout(left, reading).await.ok().flatten()?;
    remove_hop_headers(&mut parts.headers);
    let status = parts.status.as_u16();
    log_end(forwarder, job, status, 0);
    Some(Response::from_parts(parts, AnswerBody::whole(body)))
}

fn log_end(forwarder: &Forwarder, job: &Job, status: u16, code: u16) {
    let shared = &forwarder.shared;
    let took = shared.now().since(job.arrived);
    let workspace = job.workspace.as_deref().unwrap_or("");
    shared.metrics.count_request(workspace, &job.route, code);
    shared.metrics.record_duration(&job.route, took);
    job.log(
        "request.ended",
        &[
            ("status", status.into()),
            ("code", code.into()),
            ("after_ms", took.into()),
        ],
    );
}

fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

struct Relay {
    forwarder: Rc<Forwarder>,
    job: Job,
    tried: Tried,
    open: Option<OpenAnswer>,
    tracker: Option<EventTracker>,
    deadline: Pin<Box<Sleep>>,
    has_begun: bool,
    status: u16,
    _counted: OpenRequest,
}

fn relay_stream(
    forwarder: Rc<Forwarder>,
    job: Job,
    begun: Begun,
    tried: Tried,
) -> Response<AnswerBody> {
    let (mut parts, open) = begun.into_parts();
    remove_hop_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    let now = forwarder.shared.now();
    let is_resumable = job.kind == RouteKind::Stream { is_resumable: true };
    let relay = Relay {
        deadline: Box::pin(sleep(job.time_left(now).as_duration())),
        tracker: is_resumable.then(|| EventTracker::after(job.ask.last_event.clone())),
        _counted: forwarder.shared.open_request(),
        open: Some(open),
        has_begun: false,
        status: parts.status.as_u16(),
        forwarder,
        job,
        tried,
    };
    let parts_of_body = stream::unfold(relay, |mut relay| async move {
        let part = relay.next_part().await?;
        Some((part, relay))
    });
    let body = AnswerBody::Parts {
        parts: Box::pin(parts_of_body),
        left: None,
    };
    Response::from_parts(parts, body)
}

impl Relay {
    async fn next_part(&mut self) -> Option<Result<Bytes, Cut>> {
        loop {
            let open = self.open.as_mut()?;
            let part = tokio::select! {
                biased;
                part = open.next_part() => part,
                () = &mut self.deadline => {
                    return self.cut("timed out");
                }
            };
            match part {
                Some(Ok(part)) => {
                    if let Some(part) = self.pass_on(part) {
                        return Some(part);
                    }
                }
                None if self.tracker.as_ref().is_some_and(EventTracker::has_pending) => {
                    if !self.resume().await {
                        return self.cut("ended within an event");
                    }
                }
                None => {
                    self.end();
                    return None;
                }
                Some(Err(error)) => {
                    self.note_broken();
                    if !self.resume().await {
                        return self.cut(&error.to_string());
                    }
                }
            }
        }
    }

    /// Hands a part to the caller, or keeps it until its event is complete.
    fn pass_on(&mut self, part: Bytes) -> Option<Result<Bytes, Cut>> {
        let now = self.forwarder.shared.now();
        if let Some(open) = &mut self.open {
            open.in_flight
                .update_endpoint(|e| e.health.heard(now, true));
            if !self.has_begun {
                open.in_flight.first_event_received();
            }
        }
        if !self.has_begun {
            self.has_begun = true;
            self.note_first_event(now);
        }
        let Some(tracker) = &mut self.tracker else {
            return Some(Ok(part));
        };
        match tracker.push(&part) {
            Ok(events) if events.is_empty() => None,
            Ok(events) => Some(Ok(events)),
            Err(error) => self.cut(&error.to_string()),
        }
    }

    fn note_first_event(&self, now: Millis) {
        let job = &self.job;
        let after = now.since(job.arrived);
        let workspace = job.workspace.as_deref().unwrap_or("");
        let metrics = &self.forwarder.shared.metrics;
        metrics.record_first_byte(workspace, &job.route, after, job.target);
        job.log(
            "request.first_event",
            &[("after_ms", after.into()), ("target_ms", job.target.into())],
        );
    }

    fn note_broken(&mut self) {
        let now = self.forwarder.shared.now();
        if let Some(open) = &self.open {
            open.in_flight.update_endpoint(|e| e.health.failed(now));
        }
    }

    /// Goes on at another endpoint after the last event that was passed on.
    async fn resume(&mut self) -> bool {
        // Closing the connection stops the endpoint before another one starts.
        self.open = None;
        let Some(tracker) = &mut self.tracker else {
            return false;
        };
        tracker.drop_pending();
        if !self.forwarder.may_run_again(&self.job, &self.tried) {
            return false;
        }
        let last_event = tracker.last_event().cloned();
        self.job.log(
            "request.resumed",
            &[("after_event", last_event.as_deref().unwrap_or("").into())],
        );
        let sent = self
            .forwarder
            .send(&self.job, &mut self.tried, last_event.as_deref())
            .await;
        match sent {
            Ok(begun) if begun.status().is_success() => {
                self.open = Some(begun.into_body());
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    fn end(&mut self) {
        let now = self.forwarder.shared.now();
        if let Some(open) = self.open.take() {
            open.finish(now);
        }
        log_end(&self.forwarder, &self.job, self.status, 0);
    }

    /// Ends the answer so that it does not look complete.
    fn cut(&mut self, why: &str) -> Option<Result<Bytes, Cut>> {
        self.open = None;
        self.job.log("request.cut", &[("why", why.into())]);
        log_end(
            &self.forwarder,
            &self.job,
            self.status,
            Code::AnswerCut.number(),
        );
        Some(Err(Cut))
    }
}
