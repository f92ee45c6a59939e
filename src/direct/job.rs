//! An admitted request, with all that forwarding needs.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, Request, Response, Uri, Version};
use http_body_util::Full;

use super::admission::urgency::Urgency;
use super::document::{Document, RouteKind};
use super::intake::holders::RequestHold;
use super::refusal::{Refusal, refuse_blocked_part, refuse_untried_part};
use super::request::{ForwardMetadata, RequestMetadata};
use super::resume::joining::is_event_stream;
use super::shared::{CountedDemand, Shared};
use super::view::{Load, model_hash};
use crate::clock::Millis;
use crate::journal::{self, Value};

/// An admitted request.
pub struct Job {
    /// Its headers as parsed by the dialect.
    pub metadata: RequestMetadata,
    /// The configuration by which it was admitted.
    pub document: Arc<Document>,
    /// The route's name.
    pub route: CompactString,
    /// Whether it may be retried, and whether the response is a stream.
    pub kind: RouteKind,
    /// The service that it is sent to.
    pub service: CompactString,
    /// The workspace of the caller's key.
    pub workspace: Option<CompactString>,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// The most endpoints that may run it.
    pub max_endpoints: u32,
    /// When it arrived.
    pub arrived: Millis,
    /// Target time to the response or, for a stream, to its first event.
    pub target: Millis,
    /// Target for the longest gap between two events of a stream; zero if there is none.
    pub event_gap_target: Millis,
    /// When it times out, by the caller's timeout or the route's, whichever is
    /// shorter.
    pub deadline: Millis,
    /// The HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether its log lines are written.
    pub is_logged: bool,
    /// Keeps its memory in the account until it is dropped.
    pub _hold: RequestHold,
    /// Counts the request as demand for its model until it is dropped.
    pub _demand: Option<CountedDemand>,
}

/// The share of its target, and of its time, that a request may wait for its turn.
const TURN_WAIT_DIVISOR: u64 = 3;

impl Job {
    /// The time left until the deadline.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Until when it may wait for its turn at an endpoint: a refusal that comes later keeps
    /// its caller from being in time elsewhere.
    pub fn turn_wait_end(&self) -> Millis {
        let longest = self.target.min(self.time_left(self.arrived));
        self.arrived + Millis(longest.0 / TURN_WAIT_DIVISOR)
    }

    /// Its urgency, given the shortest target of its service's streams. Only requests to engines
    /// are deferrable.
    pub fn urgency(&self, shortest: Option<Millis>) -> Urgency {
        let shortest = shortest.filter(|_| self.metadata.model.is_some());
        Urgency::new(self.target, self.priority, shortest)
    }

    /// The latest time at which it is sent if engines have no room before.
    pub fn latest_start(&self, urgency: Urgency) -> Millis {
        let left = self.time_left(self.arrived);
        urgency.latest_start(self.arrived, self.target, left)
    }

    /// Refuses the request if a part of its prompt is blocked by now.
    pub fn check_parts(&self, shared: &Shared) -> Result<(), Refusal> {
        refuse_blocked_part(shared, &self.metadata, self.is_logged)
    }

    /// Does the same for a request that is sent next.
    pub fn check_parts_at_send(&self, shared: &Shared) -> Result<(), Refusal> {
        refuse_untried_part(shared, &self.metadata, self.is_logged)
    }

    /// Whether the caller goes on with a stream of which it has events.
    pub fn is_continuation(&self) -> bool {
        self.metadata.last_event_id.is_some() || self.metadata.resumes.is_some()
    }

    /// Whether a response is a stream of events: by its content type or, if it has none,
    /// by the route.
    pub fn is_event_stream<B>(&self, res: &Response<B>) -> bool {
        let by_route = self.kind.is_stream() && res.status().is_success();
        is_event_stream(res.headers()).unwrap_or(by_route)
    }

    /// The load that the request puts on an endpoint.
    pub fn load(&self) -> Load {
        let (prompt, output) = self.metadata.tokens.unwrap_or_default();
        let model = self.metadata.model.iter();
        Load {
            requests: 1,
            unread_tokens: prompt,
            tokens: prompt.saturating_add(output),
            models: model.map(|m| (model_hash(&m.model), 1)).collect(),
        }
    }

    /// Builds the request that is sent to an endpoint.
    pub fn request_for(
        &self,
        shared: &Shared,
        endpoint: &str,
        rank: u8,
        last_event_id: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let forwarding = ForwardMetadata {
            endpoint,
            workspace: self.workspace.as_deref(),
            time_left: self.time_left(shared.now()),
            priority: self.metadata.model.as_ref().map(|_| rank),
            last_event_id,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.version_mut() = Version::HTTP_11;
        *req.headers_mut() = shared.dialect.forward_headers(&self.headers, &forwarding);
        req
    }

    /// Writes a log line about this request, if its lines are written.
    pub fn log(&self, event: &str, fields: &[(&str, Value<'_>)]) {
        if !self.is_logged {
            return;
        }
        journal::count_request_line();
        let mut all = Vec::with_capacity(fields.len() + 1);
        all.push(("request", Value::from(&self.metadata.id)));
        all.extend_from_slice(fields);
        journal::write(event, &all);
    }
}
