//! Which response of an endpoint may go on with a stream of which the caller has events.

use http::{HeaderMap, StatusCode, header};

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Why a response does not go on with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoContinuation {
    /// Its status is not that of a stream.
    #[error("status {0}")]
    Status(StatusCode),
    /// It does not say that its body is a stream of events.
    #[error("another content type")]
    ContentType,
    /// Its body is encoded, so that its events cannot be read.
    #[error("an encoded body")]
    Encoded,
}

impl NoContinuation {
    /// The name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Status(_) => "status",
            Self::ContentType => "content_type",
            Self::Encoded => "encoded",
        }
    }
}

/// Whether a body is a stream of events by its head; `None` if that states no content type. The
/// events of an encoded body cannot be read.
pub fn is_event_stream(headers: &HeaderMap) -> Option<bool> {
    let value = headers.get(header::CONTENT_TYPE)?.as_bytes();
    let media_type = value.split(|b| *b == b';').next().unwrap_or_default();
    let is_stream = media_type.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM);
    Some(is_stream && !is_encoded(headers))
}

fn is_encoded(headers: &HeaderMap) -> bool {
    let mut encodings = headers.get_all(header::CONTENT_ENCODING).iter();
    encodings.any(|value| !value.as_bytes().eq_ignore_ascii_case(b"identity"))
}

/// Checks the head of the response to a request for the rest of a stream.
pub fn check_head(status: StatusCode, headers: &HeaderMap) -> Result<(), NoContinuation> {
    if status != StatusCode::OK {
        return Err(NoContinuation::Status(status));
    }
    if is_encoded(headers) {
        return Err(NoContinuation::Encoded);
    }
    match is_event_stream(headers) {
        Some(true) => Ok(()),
        Some(false) | None => Err(NoContinuation::ContentType),
    }
}
