//! Callers' HTTP requests: authentication and dispatch by path.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::timeout;

use super::answer::Refusal;
use super::model::serve_model;
use super::service::{ServiceCall, serve_outcome, serve_service_call};
use super::shared::{OpenRequestGuard, Shared};
use crate::clock::Millis;
use crate::code::Code;
use crate::config::{Access, Route, Workspace, find, sha256_hex};
use crate::http::{BodyError, Request, Respond, Response, json as json_response, set_header};
use crate::wire::RequestId;

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 2 << 20;
/// Time limit for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// `Retry-After` if the gateway cannot confirm its configuration.
const STALE_RETRY: Millis = Millis(1_000);
/// How long running requests continue after the configuration stops being confirmed.
const STALE_GRACE: Millis = Millis(1_000);
/// Interval at which running requests check that the configuration is confirmed.
const STALE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The path of requests to models.
const CHAT_PATH: &str = "/v1/chat/completions";
/// The path prefix of queries for a request's outcome.
const OUTCOME_PREFIX: &str = "/v1/requests/";

/// The sender of a request.
#[derive(Clone, Debug)]
pub enum Caller {
    /// An unauthenticated caller, on a route that needs no API key.
    Anonymous,
    /// A caller with a valid API key.
    Authenticated {
        /// The key's digest.
        digest: CompactString,
        /// The key's workspace.
        workspace: Arc<Workspace>,
    },
}

impl Caller {
    /// The workspace's name; empty for an anonymous caller.
    pub fn workspace_name(&self) -> &str {
        match self {
            Self::Anonymous => "",
            Self::Authenticated { workspace, .. } => &workspace.name,
        }
    }

    /// Why the caller's key is no longer accepted; `None` while it is. A gateway that
    /// cannot confirm its configuration cannot know whether a key was withdrawn, so it
    /// rejects all keys.
    pub fn rejection(&self, shared: &Shared) -> Option<Code> {
        let Self::Authenticated { digest, workspace } = self else {
            return None;
        };
        if shared.now() > shared.keyed_routes_until() + STALE_GRACE {
            return Some(Code::ConfigurationStale);
        }
        let view = shared.view();
        let key = find(&view.document.keys, digest);
        let is_known = key.is_some_and(|key| key.workspace == workspace.name);
        (!is_known).then_some(Code::KeyWithdrawn)
    }

    /// Waits until the caller's key is no longer accepted.
    pub async fn wait_for_rejection(&self, shared: &Shared) -> Code {
        let mut revision_changes = shared.subscribe();
        loop {
            if let Some(code) = self.rejection(shared) {
                return code;
            }
            let _ = timeout(STALE_POLL_INTERVAL, revision_changes.changed()).await;
        }
    }
}

/// The HTTP handler for callers.
pub struct Front {
    shared: Arc<Shared>,
}

impl Front {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn serve(&self, request: RequestId, req: &mut Request) -> Result<Response, Refusal> {
        let open_guard = self.shared.count_open_request();
        let path = req.uri.path().to_owned();
        if path == "/healthz" {
            return Ok(self.health());
        }
        if path == CHAT_PATH {
            return self.serve_chat(request, req, open_guard).await;
        }
        if path == "/v1/models" {
            self.authenticate(req)?;
            return Ok(self.list_models());
        }
        if let Some(id) = path.strip_prefix(OUTCOME_PREFIX) {
            let caller = self.authenticate(req)?;
            let id = id.parse().map_err(|_| Refusal::not_run(Code::NoOutcome))?;
            return serve_outcome(&self.shared, caller.workspace_name(), id).await;
        }
        let view = self.shared.view();
        let route = view.document.route_of(&path);
        let route = route.ok_or(Refusal::not_run(Code::NoRoute))?;
        let caller = self.authorize(route, req)?;
        let body = read_body(req).await?;
        let path_and_query = req.uri.path_and_query().map_or("/", |p| p.as_str());
        let call = ServiceCall {
            request,
            caller,
            class: req.header("x-class"),
            route,
            method: req.method.as_str(),
            path: path_and_query,
            content_type: req.header("content-type").unwrap_or("application/json"),
            idempotency_key: req.header("idempotency-key"),
            body,
        };
        serve_service_call(&self.shared, call).await
    }

    async fn serve_chat(
        &self,
        request: RequestId,
        req: &mut Request,
        open_guard: OpenRequestGuard,
    ) -> Result<Response, Refusal> {
        if req.method != Method::POST {
            return Err(Refusal::not_run(Code::BadMethod));
        }
        let caller = self.authenticate(req)?;
        let body = read_body(req).await?;
        let class = req.header("x-class");
        serve_model(&self.shared, request, caller, class, &body, open_guard).await
    }

    /// Authenticates the caller by its API key and finds the key's workspace.
    fn authenticate(&self, req: &Request) -> Result<Caller, Refusal> {
        if self.shared.now() > self.shared.keyed_routes_until() {
            return Err(Refusal::not_run(Code::ConfigurationStale).retry_after(STALE_RETRY));
        }
        let bad_key = Refusal::not_run(Code::BadKey);
        let bearer = req.header("authorization").ok_or(bad_key)?;
        let key = bearer.strip_prefix("Bearer ").ok_or(bad_key)?;
        let digest = sha256_hex(key.as_bytes());
        let view = self.shared.view();
        let workspace = view.document.workspace_of(&digest).ok_or(bad_key)?;
        Ok(Caller::Authenticated {
            workspace: Arc::new(workspace.clone()),
            digest,
        })
    }

    fn authorize(&self, route: &Route, req: &Request) -> Result<Caller, Refusal> {
        if route.access == Access::Open {
            return Ok(Caller::Anonymous);
        }
        let caller = self.authenticate(req)?;
        let name = caller.workspace_name();
        if route.workspaces.is_empty() || route.workspaces.iter().any(|w| w == name) {
            return Ok(caller);
        }
        Err(Refusal::not_run(Code::RouteDenied))
    }

    /// Health check for load balancers: 200 while the gateway can serve requests.
    fn health(&self) -> Response {
        let now = self.shared.now();
        let is_draining = self.shared.is_draining();
        let is_current = now <= self.shared.keyed_routes_until();
        let may_charge = now <= self.shared.charge_deadline();
        let status = match !is_draining && is_current && may_charge {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let body = json!({
            "draining": is_draining,
            "configuration_current": is_current,
            "may_charge": may_charge,
        });
        json_response(status, &body)
    }

    fn list_models(&self) -> Response {
        let view = self.shared.view();
        let models: Vec<Value> = view
            .catalogue
            .models
            .iter()
            .map(|m| json!({ "id": m.name, "object": "model" }))
            .collect();
        json_response(StatusCode::OK, &json!({ "object": "list", "data": models }))
    }
}

impl Respond for Front {
    async fn respond(self: Arc<Self>, mut req: Request) -> Response {
        let request = RequestId::random();
        let mut res = match self.serve(request, &mut req).await {
            Ok(res) => res,
            Err(refusal) => {
                let (code, ran) = (refusal.code.number(), refusal.ran.as_str());
                log::info!("request {request} refused with code {code}, ran {ran}");
                self.shared.metrics.count_request("", "", code);
                refusal.into_response(request)
            }
        };
        set_header(&mut res, "x-request-id", &request.to_string());
        if self.shared.is_draining() || !req.is_fully_read() {
            set_header(&mut res, "connection", "close");
        }
        res
    }
}

async fn read_body(req: &mut Request) -> Result<Bytes, Refusal> {
    let body = req.read_body(MAX_BODY_BYTES, BODY_TIMEOUT).await;
    body.map_err(|error| {
        Refusal::not_run(match error {
            BodyError::TooLarge => Code::BodyTooLarge,
            BodyError::Timeout => Code::BodyTimeout,
            BodyError::Broken => Code::BadBody,
        })
    })
}
