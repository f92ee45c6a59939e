//! Relays an endpoint's response to the caller, with an unchanged body.

mod streaming;
mod watchdog;

use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderName, Response, header};
use tokio::time::timeout;

use super::answer::ResponseBody;
use super::buffers::{BufferedBody, read_body};
use super::crash_watch::Verdict;
use super::forward::{AttemptHistory, Forwarder, UpstreamResponse};
use super::framing::{BodyEnd, Framing};
use super::job::Job;
use super::origin::find_resume_point;
use super::quota::Charge;
use super::refusal::Refusal;
use super::resume::joining::{NoContinuation, check_head};
use crate::code::{Code, Ran};

use streaming::{relay_rest, relay_stream};

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Sends a request to an endpoint and returns the response for its caller.
pub async fn respond_from_endpoint(
    forwarder: Rc<Forwarder>,
    job: Job,
    charge: Charge,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut history = AttemptHistory::default();
    let resume = match find_resume_point(&forwarder.shared, &job).await {
        Ok(resume) => resume,
        Err(refusal) => {
            charge.refund();
            return Err(refusal);
        }
    };
    loop {
        let upstream = match forwarder.send(&job, &mut history, &resume).await {
            Ok(upstream) => upstream,
            Err(refusal) => {
                if refusal.ran() == Ran::No {
                    charge.refund();
                }
                return Err(refusal);
            }
        };
        if job.kind.is_stream() && upstream.status().is_success() {
            let checked = match resume.version {
                Some(_) => check_head(upstream.status(), upstream.headers()),
                None => Ok(()),
            };
            let Err(mismatch) = checked else {
                let version = resume.version;
                if version.is_some() {
                    forwarder.shared.metrics.count_continuation("joined");
                }
                return Ok(relay_stream(forwarder, job, upstream, history, version));
            };
            // Only the caller has named the position: other endpoints may have no rest either.
            reject_continuation(&forwarder, &job, &upstream, mismatch);
            return Err(Refusal::new(Code::NoContinuation));
        }
        match buffer_response(&forwarder, &job, upstream).await {
            Buffered::Ended(res) => return Ok(res),
            Buffered::TooLong(beginning, upstream) => {
                job.log("request.not_buffered", &[("bytes", beginning.len().into())]);
                return Ok(relay_rest(forwarder, job, beginning, *upstream, history));
            }
            Buffered::Broken(verdict) => {
                history.verdict = verdict;
                if !forwarder.may_retry(&job, &mut history).await {
                    return Err(Refusal::new(Code::AnswerCut));
                }
                job.log("request.answer_broken", &[]);
            }
        }
    }
}

/// Records that a response to a request for the rest of a stream is not joined to it.
fn reject_continuation(
    forwarder: &Forwarder,
    job: &Job,
    upstream: &UpstreamResponse,
    mismatch: NoContinuation,
) {
    let metrics = &forwarder.shared.metrics;
    metrics.count_continuation(mismatch.as_str());
    upstream.body().log_end(job, None, &mismatch.to_string());
}

enum Buffered {
    Ended(Response<ResponseBody>),
    TooLong(Bytes, Box<UpstreamResponse>),
    Broken(Option<Verdict>),
}

/// Reads a response to its end before its head is sent to the caller, so that the
/// request can be retried if the body breaks off.
async fn buffer_response(forwarder: &Forwarder, job: &Job, upstream: UpstreamResponse) -> Buffered {
    let shared = &forwarder.shared;
    let (mut parts, upstream_body) = upstream.into_parts();
    let left = job.time_left(shared.now()).as_duration();
    let reading = read_body(upstream_body, job, forwarder.buffers.reserve(), || {
        shared.now()
    });
    let (body, end) = match timeout(left, reading).await {
        Ok(BufferedBody::Ended(body, end)) => (body, end),
        Ok(BufferedBody::TooLong(beginning, rest)) => {
            let upstream = Response::from_parts(parts, *rest);
            return Buffered::TooLong(beginning, Box::new(upstream));
        }
        Ok(BufferedBody::Broken(verdict)) => return Buffered::Broken(verdict),
        Err(_) => return Buffered::Broken(None),
    };
    remove_hop_by_hop_headers(&mut parts.headers);
    let status = parts.status.as_u16();
    log_response_end(forwarder, job, status, 0);
    let body = match end {
        BodyEnd::Complete => ResponseBody::whole(body),
        BodyEnd::Unknown | BodyEnd::Broken(_) => {
            let chunks = stream::iter([Ok(body)]);
            ResponseBody::stream(Box::pin(chunks), Framing::Close)
        }
    };
    Buffered::Ended(Response::from_parts(parts, body))
}

fn log_response_end(forwarder: &Forwarder, job: &Job, status: u16, code: u16) {
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

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
