//! Requests to models: charging their cost and relaying them to an engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::answer::{Refusal, ResponseInfo, StreamedResponse};
use super::call::{UpstreamResponse, send};
use super::front::Caller;
use super::service::read_response_body;
use super::shared::{OpenRequestGuard, Shared};
use crate::bucket::BucketCell;
use crate::clock::Millis;
use crate::code::{Code, Ran};
use crate::config::{Class, Urgency, find};
use crate::http::{Response, buffered};
use crate::wire::{Call, RequestId, Target};

/// `max_tokens` if the request does not set it.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// How long a request waits for other gateways to transfer a larger share of its
/// workspace's rate.
const SHARE_WAIT: Millis = Millis(200);
/// Interval between attempts to charge the bucket while waiting.
const SHARE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// `Retry-After` while the gateway may not charge the workspace's bucket.
const CHARGE_PERMISSION_RETRY: Millis = Millis(1_000);

/// Tokens that were charged before a request ran.
///
/// When it is dropped, the tokens beyond the usage that the response reported are
/// refunded. Without a report the whole charge, an upper bound, is kept.
pub struct Charge {
    shared: Arc<Shared>,
    cell: Option<Arc<BucketCell>>,
    charged: u64,
    /// The total of the last usage report in the response.
    used: Option<u64>,
}

impl Charge {
    /// Creates a charge of no tokens.
    pub fn empty(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            cell: None,
            charged: 0,
            used: None,
        }
    }

    /// Records the tokens used if the chunk contains a usage report.
    pub fn record_usage(&mut self, chunk: &[u8]) {
        if let Some(used) = parse_usage(chunk) {
            self.used = Some(used);
        }
    }

    /// Refunds the whole charge, because the request certainly did not run.
    pub fn cancel(mut self) {
        self.used = Some(0);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let Some(cell) = &self.cell else {
            return;
        };
        let used = self.used.unwrap_or(self.charged).min(self.charged);
        let now = self.shared.now();
        cell.with(|b| b.refund(now, self.charged - used));
        let metrics = &self.shared.metrics;
        metrics.count_tokens(&cell.workspace, used);
    }
}

/// Charges a workspace's bucket, waiting up to `SHARE_WAIT` for a larger share.
pub async fn charge(shared: &Arc<Shared>, caller: &Caller, tokens: u64) -> Result<Charge, Refusal> {
    let Caller::Authenticated { workspace, .. } = caller else {
        return Ok(Charge::empty(shared.clone()));
    };
    if tokens > workspace.burst_tokens {
        return Err(Refusal::not_run(Code::LargerThanBurst));
    }
    let not_permitted = Refusal::not_run(Code::RateExceeded).retry_after(CHARGE_PERMISSION_RETRY);
    let cell = shared.bucket(&workspace.name).ok_or(not_permitted)?;
    let deadline = shared.now() + SHARE_WAIT;
    loop {
        let now = shared.now();
        let may_charge = now <= shared.charge_deadline();
        let refusal = match may_charge {
            true => match cell.with(|b| b.charge(now, tokens)) {
                Ok(()) => {
                    return Ok(Charge {
                        shared: shared.clone(),
                        cell: Some(cell),
                        charged: tokens,
                        used: None,
                    });
                }
                Err(wait) => Refusal::not_run(Code::RateExceeded).retry_after(wait),
            },
            false => not_permitted,
        };
        if now >= deadline {
            return Err(refusal);
        }
        sleep(SHARE_POLL_INTERVAL).await;
    }
}

/// A parsed chat completion request.
struct ModelRequest {
    model: CompactString,
    is_streamed: bool,
    cost: u64,
    body: Bytes,
}

/// Serves one chat completion request.
pub async fn serve_model(
    shared: &Arc<Shared>,
    request: RequestId,
    caller: Caller,
    class_name: Option<&str>,
    body: &[u8],
    open_guard: OpenRequestGuard,
) -> Result<Response, Refusal> {
    let arrived = shared.now();
    let parsed = parse_request(body).ok_or(Refusal::not_run(Code::BadBody))?;
    let view = shared.view();
    if !view.catalogue.has(&parsed.model) {
        return Err(Refusal::not_run(Code::UnknownModel));
    }
    let class = class_of(&view.document.classes, &caller, class_name)?;
    let charge = charge(shared, &caller, parsed.cost).await?;
    let deadline = arrived + Millis(class.first_token_ms);
    let call = Call {
        request,
        workspace: caller.workspace_name().into(),
        urgency: class.urgency,
        first_token_in_ms: class.first_token_ms,
        target: Target::Model(parsed.model),
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: "application/json".into(),
        idempotent: true,
        cost_tokens: parsed.cost,
        body: parsed.body,
    };
    let upstream = match send(shared, &caller, call, deadline).await {
        Ok(upstream) => upstream,
        Err(refusal) => {
            if refusal.ran == Ran::No {
                charge.cancel();
            }
            return Err(refusal);
        }
    };
    let info = ResponseInfo {
        request,
        caller,
        class: class.name,
        arrived,
    };
    info.record_start(shared, class.first_token_ms);
    if parsed.is_streamed && upstream.status == StatusCode::OK {
        let (status, content_type) = (upstream.status, upstream.content_type.clone());
        let response = StreamedResponse::new(shared.clone(), info, upstream, charge, open_guard);
        return Ok(response.into_response(status, &content_type));
    }
    serve_buffered(shared, info, upstream, charge).await
}

async fn serve_buffered(
    shared: &Arc<Shared>,
    info: ResponseInfo,
    mut upstream: UpstreamResponse,
    mut charge: Charge,
) -> Result<Response, Refusal> {
    let body = read_response_body(shared, info.request, &info.caller, &mut upstream).await?;
    charge.record_usage(&body);
    info.record_end(shared, 0);
    Ok(buffered(upstream.status, &upstream.content_type, body))
}

/// The class that the request names, or the default class of its workspace.
pub fn class_of(classes: &[Class], caller: &Caller, name: Option<&str>) -> Result<Class, Refusal> {
    let name = match (name, caller) {
        (Some(name), _) => name,
        (None, Caller::Authenticated { workspace, .. }) => &workspace.default_class,
        (None, Caller::Anonymous) => return Ok(anonymous_class()),
    };
    let class = find(classes, name).cloned();
    class.ok_or(Refusal::not_run(Code::UnknownClass))
}

/// The class of calls on routes that need no API key.
fn anonymous_class() -> Class {
    Class {
        name: "open".into(),
        urgency: Urgency::Interactive,
        first_token_ms: 10_000,
        between_tokens_ms: 1_000,
    }
}

/// Parses a request body and computes an upper bound of its cost: the prompt's length
/// in bytes, since no token is shorter than a byte, plus `max_tokens`. Sets
/// `max_tokens`, and asks for a usage report if the response is streamed.
fn parse_request(body: &[u8]) -> Option<ModelRequest> {
    let mut value: Value = serde_json::from_slice(body).ok()?;
    let fields = value.as_object_mut()?;
    let model = CompactString::from(fields.get("model")?.as_str()?);
    let messages = fields.get("messages")?.as_array()?;
    if messages.is_empty() {
        return None;
    }
    let prompt_bytes = serde_json::to_string(messages).ok()?.len() as u64;
    let is_streamed = fields.get("stream").and_then(Value::as_bool);
    let is_streamed = is_streamed.unwrap_or_default();
    let max_tokens = match fields.get("max_tokens") {
        Some(tokens) => tokens.as_u64()?,
        None => DEFAULT_MAX_TOKENS,
    };
    fields.insert("max_tokens".to_owned(), json!(max_tokens));
    if is_streamed {
        let options = json!({ "include_usage": true });
        fields.insert("stream_options".to_owned(), options);
    }
    Some(ModelRequest {
        model,
        is_streamed,
        cost: prompt_bytes.saturating_add(max_tokens),
        body: serde_json::to_vec(&value).ok()?.into(),
    })
}

/// Finds the last `"total_tokens":N`, the total of a usage report.
fn parse_usage(chunk: &[u8]) -> Option<u64> {
    const FIELD: &[u8] = b"\"total_tokens\":";
    let at = chunk.windows(FIELD.len()).rposition(|w| w == FIELD)?;
    let rest = chunk[at + FIELD.len()..].trim_ascii_start();
    let digits = rest.iter().take_while(|b| b.is_ascii_digit()).count();
    std::str::from_utf8(&rest[..digits]).ok()?.parse().ok()
}
