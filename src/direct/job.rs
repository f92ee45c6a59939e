//! One request on its way through the gateway.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, Request, Uri, Version};
use http_body_util::Full;

use super::document::{Document, RouteKind};
use super::request::{Ask, Forwarding};
use super::shared::{CountedDemand, Shared};
use super::view::{Load, model_hash};
use crate::clock::Millis;
use crate::journal::{self, Value};

/// A request that was admitted.
pub struct Job {
    /// What its headers say.
    pub ask: Ask,
    /// The configuration that it was admitted under.
    pub document: Arc<Document>,
    /// The route's name.
    pub route: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Where it goes.
    pub service: CompactString,
    /// The workspace of the caller's key.
    pub workspace: Option<CompactString>,
    /// Its rank, where 0 goes first.
    pub priority: u8,
    /// The most endpoints that may run it.
    pub max_endpoints: u32,
    /// When it arrived.
    pub arrived: Millis,
    /// Within which time an answer is on time.
    pub target: Millis,
    /// How long the caller waits for an answer to begin.
    pub patience: Millis,
    /// When its time is over: the caller's patience or the route's time.
    pub due: Millis,
    /// The method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether its lines are logged.
    pub is_logged: bool,
    /// Counts it as demand for its model as long as it is here.
    pub _demand: Option<CountedDemand>,
}

/// The lowest rank that an endpoint knows.
const LOWEST_RANK: u8 = 9;

impl Job {
    /// The time that is left.
    pub fn time_left(&self, now: Millis) -> Millis {
        self.due.since(now)
    }

    /// What the request takes at an endpoint.
    pub fn load(&self) -> Load {
        let (prompt, output) = self.ask.tokens.unwrap_or_default();
        let model = self.ask.model.iter();
        Load {
            requests: 1,
            unread_tokens: prompt,
            tokens: prompt.saturating_add(output),
            models: model.map(|m| (model_hash(&m.model), 1)).collect(),
        }
    }

    /// The request as it goes to an endpoint.
    pub fn request_for(
        &self,
        shared: &Shared,
        endpoint: &str,
        last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let forwarding = Forwarding {
            endpoint,
            workspace: self.workspace.as_deref(),
            time_left: self.time_left(shared.now()),
            priority: self
                .ask
                .model
                .as_ref()
                .map(|_| self.priority.min(LOWEST_RANK)),
            last_event,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.version_mut() = Version::HTTP_11;
        *req.headers_mut() = shared.dialect.forward_headers(&self.headers, &forwarding);
        req
    }

    /// Writes a line about this request, unless it is not logged.
    pub fn log(&self, event: &str, fields: &[(&str, Value<'_>)]) {
        if !self.is_logged {
            return;
        }
        journal::count_request_line();
        let mut all = Vec::with_capacity(fields.len() + 1);
        all.push(("request", Value::from(&self.ask.id)));
        all.extend_from_slice(fields);
        journal::write(event, &all);
    }
}
