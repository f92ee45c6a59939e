//! Error responses that the gateway itself generates.

use bytes::Bytes;
use compact_str::ToCompactString as _;
use http::{HeaderValue, Response, header};

use super::answer::ResponseBody;
use super::request::RequestMetadata;
use super::shared::Shared;
use super::suspects::PartId;
use crate::clock::Millis;
use crate::code::{Code, Ran};
use crate::journal;

/// Why a request gets no response from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The result code. It determines the HTTP status and whether the request may
    /// have run.
    pub code: Code,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal without `Retry-After`.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// Sets `Retry-After`.
    pub fn retry_after(self, retry_after: Millis) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// Whether the request may have run.
    pub fn ran(&self) -> Ran {
        match self.code {
            Code::OutcomeUnknown
            | Code::AnswerCut
            | Code::CrossedAnswer
            | Code::TimedOut
            | Code::NoContinuation => Ran::Unknown,
            _ => Ran::No,
        }
    }

    /// Builds the response for the caller.
    pub fn into_response(self) -> Response<ResponseBody> {
        let number = self.code.number();
        let text = format!(
            "{{\"error\":{{\"code\":{number},\"message\":\"{}\",\"ran\":\"{}\"}}}}",
            self.code.message(),
            self.ran().as_str()
        );
        let mut res = Response::new(ResponseBody::whole(Bytes::from(text)));
        *res.status_mut() = self.code.status();
        let headers = res.headers_mut();
        headers.insert("x-result-code", HeaderValue::from(number));
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(after) = self.retry_after {
            let secs = format!("{:.3}", after.as_duration().as_secs_f64());
            if let Ok(secs) = HeaderValue::from_str(&secs) {
                headers.insert(header::RETRY_AFTER, secs);
            }
        }
        res
    }
}

/// Refuses a request with a blocked part, unless it may be sent as a trial.
pub(super) fn refuse_blocked_part(
    shared: &Shared,
    metadata: &RequestMetadata,
    is_logged: bool,
) -> Result<(), Refusal> {
    let Some(part) = shared.parts.blocked_part(&metadata.parts) else {
        return Ok(());
    };
    if shared.parts.has_trial(&metadata.parts) {
        return Ok(());
    }
    log_blocked("request.part_blocked", metadata, part, is_logged);
    Err(Refusal::new(Code::PartBlocked))
}

/// Does the same for a request that is sent next, which uses up its trial.
pub(super) fn refuse_untried_part(
    shared: &Shared,
    metadata: &RequestMetadata,
    is_logged: bool,
) -> Result<(), Refusal> {
    let Some(part) = shared.parts.blocked_part(&metadata.parts) else {
        return Ok(());
    };
    if shared.parts.take_trial(&metadata.parts) {
        log_blocked("request.part_tried", metadata, part, true);
        return Ok(());
    }
    log_blocked("request.part_blocked", metadata, part, is_logged);
    Err(Refusal::new(Code::PartBlocked))
}

fn log_blocked(event: &str, metadata: &RequestMetadata, part: PartId, is_logged: bool) {
    if is_logged {
        journal::count_request_line();
        journal::write(
            event,
            &[
                ("request", (&metadata.id).into()),
                ("part", (&part.to_compact_string()).into()),
            ],
        );
    }
}
