//! Calls to services without models, including calls that must run at most once.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

use super::answer::{Refusal, ResponseInfo};
use super::call::{UpstreamResponse, send};
use super::front::Caller;
use super::model::{charge, class_of};
use super::shared::Shared;
use crate::claim::{ClaimReply, Record, claim_key};
use crate::clock::Millis;
use crate::code::{Code, Ran};
use crate::config::{Route, sha256_hex};
use crate::http::{Response, buffered, set_header};
use crate::wire::{Call, Hello, Outcome, Reply, RequestId, Target};

/// The cost of a call to a service, in tokens.
const CALL_COST_TOKENS: u64 = 1;
/// The largest response body, in bytes. A larger one is reported as truncated.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// `Retry-After` while claims cannot be recorded.
const CLAIM_RETRY: Millis = Millis(2_000);
/// `Retry-After` while a request is still running.
const OUTCOME_RETRY: Millis = Millis(1_000);

/// One call to a service.
pub struct ServiceCall<'a> {
    pub request: RequestId,
    pub caller: Caller,
    pub class: Option<&'a str>,
    pub route: &'a Route,
    pub method: &'a str,
    pub path: &'a str,
    pub content_type: &'a str,
    pub idempotency_key: Option<&'a str>,
    pub body: Bytes,
}

/// A recorded claim of this request on its idempotency key.
struct HeldClaim {
    key: CompactString,
    record: Record,
}

/// Serves one call to a service.
pub async fn serve_service_call(
    shared: &Arc<Shared>,
    req: ServiceCall<'_>,
) -> Result<Response, Refusal> {
    let arrived = shared.now();
    check_idempotency_key(req.idempotency_key)?;
    let view = shared.view();
    let class = class_of(&view.document.classes, &req.caller, req.class)?;
    let charge = charge(shared, &req.caller, CALL_COST_TOKENS).await?;
    let held = match claim(shared, &req).await {
        Ok(ClaimResult::Replay(res)) => return Ok(res),
        Ok(ClaimResult::Proceed(held)) => held,
        Err(refusal) => {
            if refusal.ran == Ran::No {
                charge.cancel();
            }
            return Err(refusal);
        }
    };
    let deadline = arrived + Millis(class.first_token_ms);
    let call = Call {
        request: req.request,
        workspace: req.caller.workspace_name().into(),
        urgency: class.urgency,
        first_token_in_ms: class.first_token_ms,
        target: Target::Service(req.route.service.clone()),
        method: req.method.into(),
        path: req.path.into(),
        content_type: req.content_type.into(),
        idempotent: req.route.idempotent,
        cost_tokens: CALL_COST_TOKENS,
        body: req.body.clone(),
    };
    let result = fetch_response(shared, &req, call, deadline).await;
    if let Some(held) = held {
        record_outcome(shared, held, &result).await;
    }
    let (upstream, body) = result?;
    let info = ResponseInfo {
        request: req.request,
        caller: req.caller,
        class: class.name,
        arrived,
    };
    info.record_start(shared, class.first_token_ms);
    info.record_end(shared, 0);
    Ok(buffered(upstream.status, &upstream.content_type, body))
}

async fn fetch_response(
    shared: &Arc<Shared>,
    req: &ServiceCall<'_>,
    call: Call,
    deadline: Millis,
) -> Result<(UpstreamResponse, Bytes), Refusal> {
    let mut upstream = send(shared, &req.caller, call, deadline).await?;
    let body = read_response_body(shared, req.request, &req.caller, &mut upstream).await?;
    Ok((upstream, body))
}

/// Reads a response body to its end.
pub async fn read_response_body(
    shared: &Arc<Shared>,
    request: RequestId,
    caller: &Caller,
    upstream: &mut UpstreamResponse,
) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    loop {
        let reply = tokio::select! {
            biased;
            code = caller.wait_for_rejection(shared) => return Err(Refusal::failed(code, Ran::Yes)),
            reply = upstream.frames.next::<Reply>() => reply,
        };
        match reply {
            Ok(Some(Reply::Chunk(chunk))) if body.len() + chunk.len() <= MAX_RESPONSE_BYTES => {
                body.extend_from_slice(&chunk);
            }
            Ok(Some(Reply::End { request: ended })) if ended == request => {
                return Ok(body.freeze());
            }
            Ok(Some(Reply::Failed { code, ran, .. })) => {
                return Err(Refusal::failed(code, ran));
            }
            _ => return Err(Refusal::failed(Code::AnswerCut, Ran::Yes)),
        }
    }
}

enum ClaimResult {
    /// Run the call. The claim is `None` if the route is idempotent or the call has no
    /// idempotency key.
    Proceed(Option<HeldClaim>),
    /// The call ran before; this is its recorded response.
    Replay(Response),
}

fn check_idempotency_key(key: Option<&str>) -> Result<(), Refusal> {
    let Some(key) = key else {
        return Ok(());
    };
    let is_printable = key.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    if is_printable && (1..=MAX_KEY_BYTES).contains(&key.len()) {
        return Ok(());
    }
    Err(Refusal::not_run(Code::BadIdempotencyKey))
}

async fn claim(shared: &Arc<Shared>, req: &ServiceCall<'_>) -> Result<ClaimResult, Refusal> {
    let (false, Some(idempotency_key)) = (req.route.idempotent, req.idempotency_key) else {
        return Ok(ClaimResult::Proceed(None));
    };
    let key = claim_key(req.caller.workspace_name(), idempotency_key);
    let record = Record {
        request: req.request,
        digest: digest_call(req),
        outcome: Outcome::Running,
        body_omitted: false,
    };
    match shared.claims.claim(key.clone(), record.clone()).await {
        ClaimReply::Granted => Ok(ClaimResult::Proceed(Some(HeldClaim { key, record }))),
        ClaimReply::Existing(existing) => resolve_existing_claim(existing, &record),
        ClaimReply::Unavailable => {
            Err(Refusal::not_run(Code::ClaimUnavailable).retry_after(CLAIM_RETRY))
        }
    }
}

/// Resolves a call whose idempotency key was claimed by an earlier request.
fn resolve_existing_claim(existing: Record, record: &Record) -> Result<ClaimResult, Refusal> {
    if existing.digest != record.digest {
        return Err(Refusal::not_run(Code::IdempotencyKeyReused));
    }
    let with_original = |refusal: Refusal| Refusal {
        original_request: Some(existing.request),
        ..refusal
    };
    match existing.outcome {
        Outcome::Done { .. } if existing.body_omitted => {
            Err(with_original(Refusal::failed(Code::AnswerCut, Ran::Yes)))
        }
        Outcome::Done {
            status,
            content_type,
            body,
        } => Ok(ClaimResult::Replay(replay(status, &content_type, body))),
        Outcome::Running => {
            let refusal = Refusal::failed(Code::InProgress, Ran::Unknown);
            Err(with_original(refusal.retry_after(OUTCOME_RETRY)))
        }
        Outcome::Unknown | Outcome::NotRun => Err(with_original(Refusal::failed(
            Code::OutcomeUnknown,
            Ran::Unknown,
        ))),
    }
}

fn replay(status: u16, content_type: &str, body: Bytes) -> Response {
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let mut res = buffered(status, content_type, body);
    set_header(&mut res, "idempotency-replayed", "true");
    res
}

async fn record_outcome(
    shared: &Arc<Shared>,
    held: HeldClaim,
    result: &Result<(UpstreamResponse, Bytes), Refusal>,
) {
    let mut record = held.record;
    record.outcome = match result {
        Ok((upstream, body)) => Outcome::Done {
            status: upstream.status.as_u16(),
            content_type: upstream.content_type.clone(),
            body: body.clone(),
        },
        Err(refusal) if refusal.ran == Ran::No => Outcome::NotRun,
        Err(_) => Outcome::Unknown,
    };
    shared.claims.record_outcome(held.key, record).await;
}

/// Responds with the outcome of a call, which one of the agents may know.
pub async fn serve_outcome(
    shared: &Arc<Shared>,
    workspace: &str,
    request: RequestId,
) -> Result<Response, Refusal> {
    let hello = Hello::Outcome {
        request,
        workspace: workspace.into(),
    };
    for link in shared.links().iter() {
        let Ok((_tx, mut rx)) = link.open(&hello).await else {
            continue;
        };
        let Ok(Some(Some(outcome))) = rx.next::<Option<Outcome>>().await else {
            continue;
        };
        let with_original = |refusal: Refusal| Refusal {
            original_request: Some(request),
            ..refusal
        };
        return match outcome {
            Outcome::Done {
                status,
                content_type,
                body,
            } => Ok(replay(status, &content_type, body)),
            Outcome::Running => {
                let refusal = Refusal::failed(Code::InProgress, Ran::Unknown);
                Err(with_original(refusal.retry_after(OUTCOME_RETRY)))
            }
            Outcome::Unknown => Err(with_original(Refusal::failed(
                Code::OutcomeUnknown,
                Ran::Unknown,
            ))),
            Outcome::NotRun => Err(with_original(Refusal::not_run(Code::NoEndpoint))),
        };
    }
    Err(Refusal::failed(Code::NoOutcome, Ran::Unknown))
}

fn digest_call(req: &ServiceCall<'_>) -> CompactString {
    let mut text = Vec::new();
    text.extend_from_slice(req.method.as_bytes());
    text.push(0);
    text.extend_from_slice(req.path.as_bytes());
    text.push(0);
    text.extend_from_slice(&req.body);
    sha256_hex(&text)
}
