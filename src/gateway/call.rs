//! Sends a call to an agent, and retries with another agent where that is safe.

use std::sync::Arc;

use compact_str::CompactString;
use http::StatusCode;

use super::answer::Refusal;
use super::front::Caller;
use super::links::{InFlightGuard, Link};
use super::shared::Shared;
use crate::clock::Millis;
use crate::code::{Code, Ran};
use crate::route::{Candidate, can_serve, choose, prefer_not_draining};
use crate::transport::FrameReader;
use crate::wire::{Call, Hello, Reply};

/// The most agents that one request is sent to.
const MAX_ATTEMPTS: usize = 4;
/// `Retry-After` if no endpoint is available or the deadline has passed.
const UNAVAILABLE_RETRY: Millis = Millis(1_000);

/// An endpoint's response whose head has arrived.
pub struct UpstreamResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The media type.
    pub content_type: CompactString,
    /// The rest of the response. Dropping it stops the stream, which tells the agent to
    /// stop.
    pub frames: FrameReader,
    /// The sending half of the stream, kept open until the response ends.
    _tx: quinn::SendStream,
    /// Counts the call as in flight at its agent.
    _in_flight: InFlightGuard,
}

enum Attempt {
    Responded(UpstreamResponse),
    /// The call certainly did not run, so another agent may be tried.
    NotRun(Refusal),
    /// The call may have run.
    Failed(Refusal),
}

/// Sends a call to an agent and, if the attempt fails, to others within the retry
/// budget. A call that may have run is retried only if it is idempotent.
pub async fn send(
    shared: &Arc<Shared>,
    caller: &Caller,
    mut call: Call,
    deadline: Millis,
) -> Result<UpstreamResponse, Refusal> {
    let mut tried: Vec<CompactString> = Vec::new();
    let mut last_refusal = no_endpoint();
    while tried.len() < MAX_ATTEMPTS {
        let Some(link) = choose_agent(shared, &call, &tried) else {
            break;
        };
        if !tried.is_empty() && !shared.try_take_retry() {
            break;
        }
        if let Some(code) = caller.rejection(shared) {
            return Err(Refusal::not_run(code));
        }
        tried.push(link.name.clone());
        let remaining = deadline.since(shared.now());
        if remaining == Millis::ZERO {
            return Err(Refusal::not_run(Code::TargetMissed).retry_after(UNAVAILABLE_RETRY));
        }
        call.first_token_in_ms = remaining.0;
        // Dropping an attempt stops its stream, and the agent removes the call from its
        // queue.
        let attempted = tokio::select! {
            attempted = attempt(&link, &call) => attempted,
            code = caller.wait_for_rejection(shared) => {
                return Err(Refusal::failed(code, Ran::Unknown));
            }
        };
        match attempted {
            Attempt::Responded(upstream) => return Ok(upstream),
            Attempt::NotRun(refusal) => last_refusal = refusal,
            Attempt::Failed(refusal) if call.idempotent => last_refusal = refusal,
            Attempt::Failed(refusal) => return Err(refusal),
        }
        log::info!(
            "request {}: attempt at agent {} failed with code {}",
            call.request,
            link.name,
            last_refusal.code.number()
        );
    }
    Err(last_refusal)
}

fn choose_agent(shared: &Shared, call: &Call, tried: &[CompactString]) -> Option<Arc<Link>> {
    let view = shared.view();
    let links = shared.links();
    let link_of = |name: &str| {
        let index = links.binary_search_by(|l| l.name.as_str().cmp(name));
        index.ok().map(|index| &links[index])
    };
    let candidates: Vec<Candidate> = view
        .agents
        .iter()
        .filter(|status| can_serve(status, &call.target))
        .filter_map(|status| {
            let in_flight = link_of(&status.name)?.in_flight();
            Some(Candidate { status, in_flight })
        })
        .collect();
    let is_untried = |c: &Candidate| !tried.contains(&c.status.name);
    let candidates = prefer_not_draining(candidates.into_iter().filter(is_untried).collect());
    let chosen = choose(&candidates, rand::random())?;
    link_of(&chosen.name).cloned()
}

async fn attempt(link: &Arc<Link>, call: &Call) -> Attempt {
    if link.is_closed() {
        return Attempt::NotRun(no_endpoint());
    }
    let in_flight = link.count_call();
    // From here on the agent may receive the call even if an error follows.
    let unknown = Refusal::failed(Code::OutcomeUnknown, Ran::Unknown);
    let Ok((tx, mut frames)) = link.open(&Hello::Call(call.clone())).await else {
        return Attempt::Failed(unknown);
    };
    let reply = match frames.next::<Reply>().await {
        Ok(Some(reply)) => reply,
        Ok(None) | Err(_) => return Attempt::Failed(unknown),
    };
    match reply {
        Reply::Refused {
            request,
            code,
            retry_after_ms,
        } if request == call.request => {
            Attempt::NotRun(Refusal::not_run(code).retry_after(Millis(retry_after_ms)))
        }
        Reply::Head {
            request,
            status,
            content_type,
        } if request == call.request => Attempt::Responded(UpstreamResponse {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY),
            content_type,
            frames,
            _tx: tx,
            _in_flight: in_flight,
        }),
        Reply::Failed { code, ran, .. } => Attempt::Failed(Refusal::failed(code, ran)),
        _ => Attempt::Failed(Refusal::failed(Code::CrossedAnswer, Ran::Unknown)),
    }
}

fn no_endpoint() -> Refusal {
    Refusal::not_run(Code::NoEndpoint).retry_after(UNAVAILABLE_RETRY)
}
