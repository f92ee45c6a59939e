//! Calls to plain services, among them those that may not be repeated.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

use super::answer::{AnswerInfo, Refusal};
use super::call::{OpenAnswer, send};
use super::front::Caller;
use super::model::{charge, class_of};
use super::shared::Shared;
use crate::claim::{ClaimReply, Record, claim_key};
use crate::clock::Millis;
use crate::code::{Code, Ran};
use crate::config::{Route, sha256_hex};
use crate::http::{Response, set_header, whole};
use crate::wire::{Call, Hello, Outcome, Reply, RequestId, Target};

/// What a call to a plain service costs, in tokens.
const CALL_TOKENS: u64 = 1;
/// The largest answer that is passed on whole, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// When to come back while a claim cannot be recorded.
const CLAIM_RETRY: Millis = Millis(2_000);
/// When to ask again for an outcome that is not known yet.
const OUTCOME_RETRY: Millis = Millis(1_000);

/// One call to a plain service.
pub struct PlainCall<'a> {
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

/// A claim on an idempotency key that this request holds.
struct Claimed {
    key: CompactString,
    record: Record,
}

/// Serves one call to a plain service.
pub async fn serve_plain(shared: &Arc<Shared>, asked: PlainCall<'_>) -> Result<Response, Refusal> {
    let arrived = shared.now();
    check_key(asked.idempotency_key)?;
    let view = shared.view();
    let class = class_of(&view.document.classes, &asked.caller, asked.class)?;
    let charge = charge(shared, &asked.caller, CALL_TOKENS).await?;
    let claimed = match claim(shared, &asked).await {
        Ok(Claim::Repeat(res)) => return Ok(res),
        Ok(Claim::Held(claimed)) => claimed,
        Err(refusal) => {
            if refusal.ran == Ran::No {
                charge.cancel();
            }
            return Err(refusal);
        }
    };
    let due = arrived + Millis(class.first_token_ms);
    let call = Call {
        request: asked.request,
        workspace: asked.caller.workspace_name().into(),
        urgency: class.urgency,
        first_token_in_ms: class.first_token_ms,
        target: Target::Service(asked.route.service.clone()),
        method: asked.method.into(),
        path: asked.path.into(),
        content_type: asked.content_type.into(),
        idempotent: asked.route.idempotent,
        cost_tokens: CALL_TOKENS,
        body: asked.body.clone(),
    };
    let result = run(shared, &asked, call, due).await;
    if let Some(claimed) = claimed {
        settle(shared, claimed, &result).await;
    }
    let (answer, body) = result?;
    let info = AnswerInfo {
        request: asked.request,
        caller: asked.caller,
        class: class.name,
        arrived,
    };
    info.begin(shared, class.first_token_ms);
    info.finish(shared, 0);
    Ok(whole(answer.status, &answer.content_type, body))
}

async fn run(
    shared: &Arc<Shared>,
    asked: &PlainCall<'_>,
    call: Call,
    due: Millis,
) -> Result<(OpenAnswer, Bytes), Refusal> {
    let mut answer = send(shared, &asked.caller, call, due).await?;
    let body = read_answer(shared, asked.request, &asked.caller, &mut answer).await?;
    Ok((answer, body))
}

/// Reads an answer to its end.
pub async fn read_answer(
    shared: &Arc<Shared>,
    request: RequestId,
    caller: &Caller,
    answer: &mut OpenAnswer,
) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    loop {
        let reply = tokio::select! {
            biased;
            code = caller.rejected(shared) => return Err(Refusal::failed(code, Ran::Yes)),
            reply = answer.frames.next::<Reply>() => reply,
        };
        match reply {
            Ok(Some(Reply::Chunk(chunk))) if body.len() + chunk.len() <= MAX_ANSWER => {
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

enum Claim {
    /// Go on, with a claim if the call has an idempotency key.
    Held(Option<Claimed>),
    /// The call ran before; this was its answer.
    Repeat(Response),
}

fn check_key(key: Option<&str>) -> Result<(), Refusal> {
    let Some(key) = key else {
        return Ok(());
    };
    let is_printable = key.bytes().all(|b| b.is_ascii_graphic() || b == b' ');
    if is_printable && (1..=MAX_KEY_BYTES).contains(&key.len()) {
        return Ok(());
    }
    Err(Refusal::not_run(Code::BadIdempotencyKey))
}

async fn claim(shared: &Arc<Shared>, asked: &PlainCall<'_>) -> Result<Claim, Refusal> {
    let (false, Some(idempotency_key)) = (asked.route.idempotent, asked.idempotency_key) else {
        return Ok(Claim::Held(None));
    };
    let key = claim_key(asked.caller.workspace_name(), idempotency_key);
    let record = Record {
        request: asked.request,
        digest: digest_call(asked),
        outcome: Outcome::Running,
        body_omitted: false,
    };
    match shared.claims.claim(key.clone(), record.clone()).await {
        ClaimReply::Granted => Ok(Claim::Held(Some(Claimed { key, record }))),
        ClaimReply::Existing(existing) => repeat(existing, &record),
        ClaimReply::Unavailable => {
            Err(Refusal::not_run(Code::ClaimUnavailable).retry_after(CLAIM_RETRY))
        }
    }
}

/// Answers a call whose idempotency key was claimed before.
fn repeat(existing: Record, record: &Record) -> Result<Claim, Refusal> {
    if existing.digest != record.digest {
        return Err(Refusal::not_run(Code::IdempotencyKeyReused));
    }
    let about = |refusal: Refusal| Refusal {
        about: Some(existing.request),
        ..refusal
    };
    match existing.outcome {
        Outcome::Done { .. } if existing.body_omitted => {
            Err(about(Refusal::failed(Code::AnswerCut, Ran::Yes)))
        }
        Outcome::Done {
            status,
            content_type,
            body,
        } => Ok(Claim::Repeat(replay(status, &content_type, body))),
        Outcome::Running => {
            let refusal = Refusal::failed(Code::InProgress, Ran::Unknown);
            Err(about(refusal.retry_after(OUTCOME_RETRY)))
        }
        Outcome::Unknown | Outcome::NotRun => {
            Err(about(Refusal::failed(Code::OutcomeUnknown, Ran::Unknown)))
        }
    }
}

fn replay(status: u16, content_type: &str, body: Bytes) -> Response {
    let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
    let mut res = whole(status, content_type, body);
    set_header(&mut res, "idempotency-replayed", "true");
    res
}

async fn settle(
    shared: &Arc<Shared>,
    claimed: Claimed,
    result: &Result<(OpenAnswer, Bytes), Refusal>,
) {
    let mut record = claimed.record;
    record.outcome = match result {
        Ok((answer, body)) => Outcome::Done {
            status: answer.status.as_u16(),
            content_type: answer.content_type.clone(),
            body: body.clone(),
        },
        Err(refusal) if refusal.ran == Ran::No => Outcome::NotRun,
        Err(_) => Outcome::Unknown,
    };
    shared.claims.record_outcome(claimed.key, record).await;
}

/// Asks the agents what became of a call.
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
        let about = |refusal: Refusal| Refusal {
            about: Some(request),
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
                Err(about(refusal.retry_after(OUTCOME_RETRY)))
            }
            Outcome::Unknown => Err(about(Refusal::failed(Code::OutcomeUnknown, Ran::Unknown))),
            Outcome::NotRun => Err(about(Refusal::not_run(Code::NoEndpoint))),
        };
    }
    Err(Refusal::failed(Code::NoOutcome, Ran::Unknown))
}

fn digest_call(asked: &PlainCall<'_>) -> CompactString {
    let mut text = Vec::new();
    text.extend_from_slice(asked.method.as_bytes());
    text.push(0);
    text.extend_from_slice(asked.path.as_bytes());
    text.push(0);
    text.extend_from_slice(&asked.body);
    sha256_hex(&text)
}
