//! Responses to callers: refusals, streamed responses, and their metrics.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::stream;
use http::StatusCode;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::sleep;

use super::call::UpstreamResponse;
use super::front::Caller;
use super::model::Charge;
use super::shared::{OpenRequestGuard, Shared};
use crate::clock::Millis;
use crate::code::{Code, Ran};
use crate::error::Result;
use crate::http::{Response, json as json_response, set_header, streamed};
use crate::wire::{Reply, RequestId};

/// Interval between keep-alive comments in an idle stream. Writing a comment also
/// detects that the caller has disconnected.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
const KEEP_ALIVE_COMMENT: &[u8] = b": keep-alive\n\n";

/// Why the caller gets an error in place of an endpoint's response, or after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Millis>,
    /// The earlier request with the same idempotency key, or the request asked
    /// about. Reported as `request_id` in place of this request's own.
    pub original_request: Option<RequestId>,
}

impl Refusal {
    /// Creates a refusal of a request that certainly did not run.
    pub fn not_run(code: Code) -> Self {
        Self {
            code,
            ran: Ran::No,
            retry_after: None,
            original_request: None,
        }
    }

    /// Sets how long the caller should wait before it retries.
    pub fn retry_after(self, retry_after: Millis) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// Creates a refusal of a request that ran or may have run.
    pub fn failed(code: Code, ran: Ran) -> Self {
        Self {
            ran,
            ..Self::not_run(code)
        }
    }

    /// Builds the response in the error format that OpenAI clients expect.
    pub fn into_response(self, request: RequestId) -> Response {
        let body = json!({ "error": self.body(request) });
        let mut res = json_response(self.code.status(), &body);
        set_header(&mut res, "x-ran", self.ran.as_str());
        set_header(&mut res, "x-result-code", &self.code.number().to_string());
        if let Some(retry_after) = self.retry_after {
            let secs = retry_after.as_secs_ceil().max(1).to_string();
            set_header(&mut res, "retry-after", &secs);
            set_header(&mut res, "retry-after-ms", &retry_after.0.to_string());
        }
        res
    }

    fn body(self, request: RequestId) -> serde_json::Value {
        json!({
            "message": self.code.message(),
            "type": self.code.error_type(),
            "code": self.code.number(),
            "ran": self.ran,
            "request_id": self.original_request.unwrap_or(request).to_string(),
        })
    }

    /// Builds the error event for a stream that has started.
    fn into_event(self, request: RequestId) -> Bytes {
        let body = json!({ "error": self.body(request) });
        Bytes::from(format!("data: {body}\n\n"))
    }
}

/// The request that a response belongs to.
pub struct ResponseInfo {
    /// The request.
    pub request: RequestId,
    /// The caller.
    pub caller: Caller,
    /// The name of its class.
    pub class: CompactString,
    /// When the request arrived.
    pub arrived: Millis,
}

/// A response that is streamed to the caller as it arrives from the agent.
pub struct StreamedResponse {
    shared: Arc<Shared>,
    info: ResponseInfo,
    upstream: UpstreamResponse,
    charge: Charge,
    _open_guard: OpenRequestGuard,
    revision_changes: watch::Receiver<u64>,
    state: StreamState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamState {
    Open,
    /// The error event was sent; the connection is closed next.
    Failed,
    Ended,
}

enum StreamItem {
    Chunk(Bytes),
    End,
    Fail(Refusal),
}

impl StreamedResponse {
    /// Creates a stream that has sent nothing yet.
    pub fn new(
        shared: Arc<Shared>,
        info: ResponseInfo,
        upstream: UpstreamResponse,
        charge: Charge,
        open_guard: OpenRequestGuard,
    ) -> Self {
        let revision_changes = shared.subscribe();
        Self {
            shared,
            info,
            upstream,
            charge,
            _open_guard: open_guard,
            revision_changes,
            state: StreamState::Open,
        }
    }

    /// Builds the response that sends each chunk as it arrives. A truncated response
    /// ends with an error event and an aborted connection, so that the caller cannot
    /// mistake it for a complete one.
    pub fn into_response(self, status: StatusCode, content_type: &str) -> Response {
        let chunks = stream::unfold(self, |mut response| async move {
            let chunk = response.next_chunk().await?;
            Some((chunk, response))
        });
        streamed(status, content_type, chunks)
    }

    async fn next_chunk(&mut self) -> Option<std::result::Result<Bytes, std::io::Error>> {
        match self.state {
            StreamState::Ended => return None,
            StreamState::Failed => {
                self.state = StreamState::Ended;
                return Some(Err(std::io::Error::other("the response was truncated")));
            }
            StreamState::Open => {}
        }
        match self.next_item().await {
            StreamItem::Chunk(chunk) => {
                self.charge.record_usage(&chunk);
                Some(Ok(chunk))
            }
            StreamItem::End => {
                self.state = StreamState::Ended;
                self.record_end(0);
                None
            }
            StreamItem::Fail(refusal) => {
                self.state = StreamState::Failed;
                self.record_end(refusal.code.number());
                Some(Ok(refusal.into_event(self.info.request)))
            }
        }
    }

    async fn next_item(&mut self) -> StreamItem {
        loop {
            if let Some(code) = self.info.caller.rejection(&self.shared) {
                return StreamItem::Fail(Refusal::failed(code, Ran::Yes));
            }
            tokio::select! {
                reply = self.upstream.frames.next::<Reply>() => return self.to_item(reply),
                _ = self.revision_changes.changed() => {}
                _ = sleep(KEEP_ALIVE_INTERVAL) => {
                    return StreamItem::Chunk(Bytes::from_static(KEEP_ALIVE_COMMENT));
                }
            }
        }
    }

    fn to_item(&self, reply: Result<Option<Reply>>) -> StreamItem {
        match reply {
            Ok(Some(Reply::Chunk(chunk))) => StreamItem::Chunk(chunk),
            Ok(Some(Reply::End { request })) if request == self.info.request => StreamItem::End,
            Ok(Some(Reply::Failed { code, ran, .. })) => {
                StreamItem::Fail(Refusal::failed(code, ran))
            }
            Ok(Some(_)) => StreamItem::Fail(Refusal::failed(Code::CrossedAnswer, Ran::Yes)),
            Ok(None) | Err(_) => StreamItem::Fail(Refusal::failed(Code::AnswerCut, Ran::Yes)),
        }
    }

    fn record_end(&self, code: u16) {
        self.info.record_end(&self.shared, code);
    }
}

impl ResponseInfo {
    /// Counts and logs the end of a response; code 0 means that it is complete.
    pub fn record_end(&self, shared: &Shared, code: u16) {
        let workspace = self.caller.workspace_name();
        let took = shared.now().since(self.arrived);
        let metrics = &shared.metrics;
        metrics.count_request(workspace, &self.class, code);
        metrics.record_duration(&self.class, took);
        log::info!(
            "request {} workspace {workspace} class {} code {code} in {} ms",
            self.request,
            self.class,
            took.0
        );
    }

    /// Records the time to the first byte against the class's target.
    pub fn record_start(&self, shared: &Shared, target_ms: u64) {
        let after = shared.now().since(self.arrived);
        let workspace = self.caller.workspace_name();
        let metrics = &shared.metrics;
        metrics.record_first_byte(workspace, &self.class, after, Millis(target_ms));
    }
}
