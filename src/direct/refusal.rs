//! Answers that this system gives itself instead of an endpoint.

use bytes::Bytes;
use http::{HeaderValue, Response, header};

use super::answer::AnswerBody;
use crate::clock::Millis;
use crate::code::{Code, Ran};

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The result code; its status says whether the request may have run.
    pub code: Code,
    /// When to come back.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// The same with the time to come back.
    pub fn retry_after(self, retry_after: Millis) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// Whether the refusal promises that the request has not run.
    pub fn ran(&self) -> Ran {
        match self.code {
            Code::OutcomeUnknown | Code::AnswerCut | Code::CrossedAnswer | Code::TimedOut => {
                Ran::Unknown
            }
            _ => Ran::No,
        }
    }

    /// The response.
    pub fn into_response(self) -> Response<AnswerBody> {
        let number = self.code.number();
        let text = format!(
            "{{\"error\":{{\"code\":{number},\"message\":\"{}\",\"ran\":\"{}\"}}}}",
            self.code.message(),
            self.ran().as_str()
        );
        let mut res = Response::new(AnswerBody::whole(Bytes::from(text)));
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
