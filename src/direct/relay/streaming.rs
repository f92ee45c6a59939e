//! Relays a body as it arrives, and resumes a stream that broke off.

use std::rc::Rc;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::stream;
use http::{Response, StatusCode, header, response};

use super::watchdog::Watchdog;
use super::{log_response_end, reject_continuation, remove_hop_by_hop_headers};
use crate::clock::Millis;
use crate::code::Code;
use crate::direct::answer::{ResponseBody, TruncatedBody, UpstreamBody};
use crate::direct::buffers::Reservation;
use crate::direct::control::Event;
use crate::direct::document::RouteKind;
use crate::direct::fleet::StreamTargets;
use crate::direct::forward::{AttemptHistory, Forwarder, UpstreamResponse};
use crate::direct::framing::{BodyEnd, Framing};
use crate::direct::job::Job;
use crate::direct::origin::state_budget;
use crate::direct::resume::joining::check_head;
use crate::direct::resume::{EventFault, EventTracker, ResumePoint};
use crate::direct::shared::OpenRequest;
use crate::direct::streams::{StreamId, StreamRecord};

/// Whether the caller's copy may end where the endpoint's body ended.
enum EndOfCopy {
    Finished,
    /// The body may be complete, but the framing of the copy would say that it is.
    Unknown,
    Broken(&'static str),
}

/// Reason for which a copy with chunks does not end with a body of unknown end.
const UNKNOWN_END: &str = "its end is unknown";

/// Reason for which an unframed stream is not taken for complete.
const ENDED_WITH_ENDPOINT: &str = "its endpoint ended";

/// What an endpoint's part of a stream brings next.
enum PartProgress {
    /// Bytes for the caller; none while an event is not complete.
    Events(Bytes),
    /// The stream is complete.
    Finished,
    /// The request's time is over.
    TimedOut,
    /// The part is of no use from here on, for this reason.
    Failed(String),
}

struct StreamRelay {
    forwarder: Rc<Forwarder>,
    job: Job,
    history: AttemptHistory,
    upstream: Option<(UpstreamBody, Watchdog)>,
    /// Bytes that arrived before the relay began.
    beginning: Option<Bytes>,
    tracker: Option<EventTracker>,
    /// Counts the bytes of an event that is held back.
    held: Reservation,
    /// The software version that began the stream; `None` if nothing has been passed on
    /// or the endpoint states no version.
    version: Option<CompactString>,
    /// Whether the caller may have an event of the stream.
    has_events: bool,
    /// Whether the version has been recorded for the caller's next try.
    is_recorded: bool,
    /// Whether an endpoint had no rest of the stream after the event that its caller has named.
    is_position_doubtful: bool,
    has_started: bool,
    /// How the end of the caller's copy is marked.
    framing: Framing,
    status: u16,
    _open_request: OpenRequest,
}

/// Relays a stream, which is resumed if it breaks off and the route allows that.
pub(super) fn relay_stream(
    forwarder: Rc<Forwarder>,
    job: Job,
    upstream: UpstreamResponse,
    history: AttemptHistory,
    version: Option<CompactString>,
) -> Response<ResponseBody> {
    let (mut parts, upstream_body) = upstream.into_parts();
    parts.headers.remove(header::CONTENT_LENGTH);
    // A resumed stream has another length than its first part.
    let framing = match upstream_body.progress.framing() {
        Framing::Length(_) | Framing::Chunked => Framing::Chunked,
        Framing::Close => Framing::Close,
    };
    let is_resumable = job.kind == RouteKind::Stream { is_resumable: true };
    let is_tracked = is_resumable && upstream_body.progress.is_event_stream();
    let usual = forwarder.usual_steps.borrow().get(&job.service);
    let tracker =
        is_tracked.then(|| EventTracker::after(job.metadata.last_event_id.clone(), usual));
    let relay = StreamRelay {
        tracker,
        version,
        ..StreamRelay::new(forwarder, job, history, parts.status, framing)
    };
    relay.into_response(parts, upstream_body)
}

/// Relays a response that is too long to be held back.
pub(super) fn relay_rest(
    forwarder: Rc<Forwarder>,
    job: Job,
    beginning: Bytes,
    upstream: UpstreamResponse,
    history: AttemptHistory,
) -> Response<ResponseBody> {
    let (parts, upstream_body) = upstream.into_parts();
    let framing = upstream_body.progress.framing();
    let relay = StreamRelay {
        beginning: Some(beginning),
        has_started: true,
        ..StreamRelay::new(forwarder, job, history, parts.status, framing)
    };
    relay.into_response(parts, upstream_body)
}

impl StreamRelay {
    fn new(
        forwarder: Rc<Forwarder>,
        job: Job,
        history: AttemptHistory,
        status: StatusCode,
        framing: Framing,
    ) -> Self {
        Self {
            upstream: None,
            beginning: None,
            tracker: None,
            held: forwarder.buffers.reserve(),
            version: None,
            has_events: job.is_continuation(),
            is_recorded: false,
            is_position_doubtful: false,
            has_started: false,
            framing,
            status: status.as_u16(),
            _open_request: forwarder.shared.count_open_request(),
            forwarder,
            job,
            history,
        }
    }

    fn into_response(
        mut self,
        mut parts: response::Parts,
        upstream_body: UpstreamBody,
    ) -> Response<ResponseBody> {
        remove_hop_by_hop_headers(&mut parts.headers);
        let framing = self.framing;
        self.attach(upstream_body);
        let body_stream = stream::unfold(self, |mut relay| async move {
            let chunk = relay.next_chunk().await?;
            Some((chunk, relay))
        });
        let body = ResponseBody::stream(Box::pin(body_stream), framing);
        Response::from_parts(parts, body)
    }

    fn attach(&mut self, upstream_body: UpstreamBody) {
        let left = self.job.time_left(self.forwarder.shared.now());
        let watchdog = Watchdog::start(left, &upstream_body);
        if let Some(tracker) = &mut self.tracker {
            tracker.begin_part();
        }
        self.upstream = Some((upstream_body, watchdog));
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        if let Some(beginning) = self.beginning.take() {
            return Some(Ok(beginning));
        }
        loop {
            let why = match self.read_part().await? {
                PartProgress::Events(events) if events.is_empty() => continue,
                PartProgress::Events(events) => return Some(Ok(events)),
                PartProgress::Finished => {
                    self.finish();
                    return None;
                }
                PartProgress::TimedOut => return self.truncate("timed out"),
                PartProgress::Failed(why) => why,
            };
            if !self.resume().await {
                return self.truncate(&why);
            }
        }
    }

    /// Reads on in what the present endpoint sends.
    async fn read_part(&mut self) -> Option<PartProgress> {
        let fault = self.tracker.as_mut().and_then(EventTracker::take_fault);
        if let Some(fault) = fault {
            return Some(PartProgress::Failed(self.reject_events(fault)));
        }
        let (upstream_body, watchdog) = self.upstream.as_mut()?;
        let chunk = upstream_body.next_chunk().await;
        // The body of a connection that was closed here has no error.
        if watchdog.has_fired() {
            return Some(PartProgress::TimedOut);
        }
        Some(match chunk {
            Some(Ok(chunk)) => match self.forward_chunk(chunk) {
                Ok(events) => PartProgress::Events(events),
                Err(fault) => PartProgress::Failed(self.reject_events(fault)),
            },
            Some(Err(error)) => PartProgress::Failed(self.upstream_broke(&error.to_string())),
            None if self.has_broken_in_order().await => {
                PartProgress::Failed(self.upstream_broke(ENDED_WITH_ENDPOINT))
            }
            None => match self.end_of_body() {
                EndOfCopy::Finished => self.finish_part(),
                EndOfCopy::Unknown => PartProgress::Failed(self.upstream_ended()),
                EndOfCopy::Broken(why) => PartProgress::Failed(self.upstream_broke(why)),
            },
        })
    }

    /// Passes on the events that waited for the end of the part, before the end itself.
    fn finish_part(&mut self) -> PartProgress {
        match self.tracker.as_mut().map(EventTracker::end_part) {
            Some(Ok(events)) if !events.is_empty() => {
                self.record_version(self.forwarder.shared.now());
                PartProgress::Events(events)
            }
            Some(Err(fault)) => PartProgress::Failed(self.reject_events(fault)),
            Some(Ok(_)) | None => PartProgress::Finished,
        }
    }

    /// Whether the end of an unframed stream is that of its endpoint's process, whose
    /// connections are closed in order.
    async fn has_broken_in_order(&self) -> bool {
        let Some((upstream_body, _)) = &self.upstream else {
            return false;
        };
        let progress = &upstream_body.progress;
        if !progress.is_event_stream() || progress.end() != BodyEnd::Unknown {
            return false;
        }
        let watch = &self.forwarder.crash_watch;
        watch.has_ended(&upstream_body.endpoint).await
    }

    /// Records that what the endpoint sends is not passed on, and returns the reason.
    fn reject_events(&mut self, fault: EventFault) -> String {
        let metrics = &self.forwarder.shared.metrics;
        metrics.count_continuation(fault.as_str());
        let why = fault.to_string();
        let has_events = self.tracker.as_ref().is_some_and(EventTracker::has_events);
        if has_events || fault == EventFault::TooLarge {
            return self.upstream_failed(&why);
        }
        // Only the caller has named the position: other endpoints may have no rest either.
        self.is_position_doubtful = true;
        if let Some((upstream_body, _)) = &self.upstream {
            upstream_body.log_end(&self.job, self.tracker.as_ref(), &why);
        }
        why
    }

    /// What it means for the caller's copy that the endpoint's body ended without an
    /// error. The copy must not claim more than is known.
    fn end_of_body(&self) -> EndOfCopy {
        let end = self.upstream.as_ref().map(|(body, _)| body.progress.end());
        match end {
            Some(BodyEnd::Complete) => EndOfCopy::Finished,
            Some(BodyEnd::Unknown) if self.framing == Framing::Close => EndOfCopy::Finished,
            Some(BodyEnd::Unknown) | None => EndOfCopy::Unknown,
            Some(BodyEnd::Broken(why)) => EndOfCopy::Broken(why),
        }
    }

    /// Records that the endpoint's body broke off there, and returns the reason.
    fn upstream_broke(&mut self, why: &str) -> String {
        if let Some((upstream_body, _)) = &self.upstream {
            self.history.verdict = upstream_body.record_break();
        }
        self.upstream_failed(why)
    }

    /// Records that the endpoint's body ended without an error, and returns the reason
    /// for which the caller's copy cannot end there.
    fn upstream_ended(&mut self) -> String {
        if let Some((upstream_body, _)) = &mut self.upstream {
            upstream_body.log_end(&self.job, self.tracker.as_ref(), UNKNOWN_END);
            self.history.verdict = upstream_body.record_end();
        }
        UNKNOWN_END.to_owned()
    }

    /// Records that the endpoint's body is of no use, and returns the reason.
    fn upstream_failed(&mut self, why: &str) -> String {
        if let Some((upstream_body, _)) = &self.upstream {
            upstream_body.log_end(&self.job, self.tracker.as_ref(), why);
        }
        self.record_failure();
        why.to_owned()
    }

    /// Returns what is passed to the caller when a chunk has arrived. A resumable
    /// stream holds back an incomplete event.
    fn forward_chunk(&mut self, chunk: Bytes) -> Result<Bytes, EventFault> {
        let now = self.forwarder.shared.now();
        if let Some((upstream_body, _)) = &mut self.upstream {
            if upstream_body.progress.has_advanced() {
                upstream_body
                    .in_flight
                    .update_endpoint(|e| e.health.record_data(now, true));
            }
            if !self.has_started {
                upstream_body.in_flight.first_event_received(now);
            }
            if self.job.kind.is_stream() {
                upstream_body.in_flight.event_received(now);
            }
            if upstream_body.progress.is_event_too_large() {
                return Err(EventFault::TooLarge);
            }
        }
        if !self.has_started {
            self.has_started = true;
            self.record_first_event(now);
        }
        let Some(tracker) = &mut self.tracker else {
            return Ok(chunk);
        };
        let events = tracker.push(&chunk)?;
        if !self.held.resize(tracker.pending_bytes()) {
            // The events that are complete go to the caller first.
            tracker.set_fault(EventFault::TooLarge);
        }
        if !events.is_empty() {
            self.record_version(now);
        }
        Ok(events)
    }

    /// Records the version of a stream of which an event is passed on, so that it goes on
    /// at that version, here or at another gateway.
    fn record_version(&mut self, now: Millis) {
        let Some((upstream_body, _)) = &self.upstream else {
            return;
        };
        self.has_events = true;
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let version = upstream_body.in_flight.version();
        if version.is_empty() {
            return;
        }
        self.version = Some(version.clone());
        let metadata = &self.job.metadata;
        let attempts = [Some(&metadata.id), metadata.resumes.as_ref()];
        for attempt in attempts.into_iter().flatten() {
            let record = StreamRecord {
                id: StreamId::of_attempt(attempt),
                version: version.clone(),
            };
            self.forwarder.shared.streams.record(now, record);
        }
        self.forwarder.shared.send_event(Event::StreamBegan);
        state_budget(&self.forwarder.shared, &self.job);
    }

    fn record_first_event(&self, now: Millis) {
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

    fn record_failure(&mut self) {
        let now = self.forwarder.shared.now();
        if let Some((upstream_body, _)) = &self.upstream {
            upstream_body
                .in_flight
                .update_endpoint(|e| e.record_failure(now));
        }
    }

    /// Resumes the stream after the last event that was passed on, at another endpoint
    /// of the software version that wrote it. Returns whether it succeeded.
    async fn resume(&mut self) -> bool {
        // Closing the connection makes the endpoint stop before another one starts.
        self.upstream = None;
        let Some(resume) = self.resume_point() else {
            return false;
        };
        while self.may_retry().await {
            self.job.log(
                "request.resumed",
                &[
                    (
                        "after_event",
                        resume.last_event_id.as_deref().unwrap_or("").into(),
                    ),
                    ("software", resume.version.as_deref().unwrap_or("").into()),
                ],
            );
            let sent = self.forwarder.send(&self.job, &mut self.history, &resume);
            let Ok(upstream) = sent.await else {
                return false;
            };
            let is_failure = !upstream.status().is_success();
            let Err(mismatch) = check_head(upstream.status(), upstream.headers()) else {
                let metrics = &self.forwarder.shared.metrics;
                metrics.count_continuation("joined");
                self.attach(upstream.into_body());
                return true;
            };
            reject_continuation(&self.forwarder, &self.job, &upstream, mismatch);
            if is_failure {
                return false;
            }
            let now = self.forwarder.shared.now();
            let in_flight = &upstream.body().in_flight;
            in_flight.update_endpoint(|endpoint| endpoint.record_failure(now));
        }
        false
    }

    /// Where the stream goes on; `None` if no other endpoint can be asked for the rest.
    fn resume_point(&mut self) -> Option<ResumePoint> {
        let tracker = self.tracker.as_mut()?;
        tracker.drop_pending();
        let is_version_unknown = self.has_events && self.version.is_none();
        let is_resumable = tracker.numbering().is_resumable();
        if is_version_unknown || self.is_position_doubtful || !is_resumable {
            return None;
        }
        Some(ResumePoint {
            last_event_id: tracker.last_event_id().cloned(),
            version: self.version.clone(),
        })
    }

    async fn may_retry(&mut self) -> bool {
        let Self {
            forwarder,
            job,
            history,
            ..
        } = self;
        forwarder.may_retry(job, history).await
    }

    fn finish(&mut self) {
        let now = self.forwarder.shared.now();
        let step = self.tracker.as_ref().and_then(|t| t.numbering().step());
        if let Some(step) = step {
            let mut usual = self.forwarder.usual_steps.borrow_mut();
            usual.record(&self.job.service, step);
        }
        if let Some((upstream_body, _)) = self.upstream.take() {
            upstream_body.log_end(&self.job, self.tracker.as_ref(), "");
            let targets = StreamTargets {
                first_event: self.job.target,
                gap: self.job.event_gap_target,
            };
            let gateways = self.forwarder.shared.gateway_count();
            upstream_body.in_flight.stream_ended(now, targets, gateways);
            upstream_body.finish(now);
        }
        log_response_end(&self.forwarder, &self.job, self.status, 0);
    }

    /// Ends the response with an error, so that it does not look complete.
    fn truncate(&mut self, reason: &str) -> Option<Result<Bytes, TruncatedBody>> {
        if let Some((upstream_body, _)) = self.upstream.take() {
            upstream_body.log_end(&self.job, self.tracker.as_ref(), reason);
        }
        self.job.log("request.cut", &[("why", reason.into())]);
        log_response_end(
            &self.forwarder,
            &self.job,
            self.status,
            Code::AnswerCut.number(),
        );
        Some(Err(TruncatedBody))
    }
}
