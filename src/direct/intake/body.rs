//! Reads request bodies, which are charged to the account before they are kept.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Uri};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;

use super::account::FIELD_BYTES;
use super::holders::RequestHold;
use crate::clock::Millis;
use crate::code::Code;
use crate::direct::refusal::Refusal;

/// The longest time that a request body may take to arrive; the caller's timeout
/// applies if it is shorter.
const BODY_TIMEOUT: Millis = Millis(10_000);
/// Memory that a byte of a head takes beside its fields: lists of parts take four bytes for
/// each of their text, and half of them are copies.
const HEAD_FACTOR: usize = 6;

/// Memory that a request's head takes while the request is served.
pub fn head_cost(uri: &Uri, headers: &HeaderMap) -> usize {
    let text: usize = headers.values().map(|value| value.len()).sum();
    let uri_bytes = uri.path_and_query().map_or(0, |text| text.as_str().len());
    headers.len() * FIELD_BYTES + (uri_bytes + text) * HEAD_FACTOR
}

/// Reads a body of at most `max_bytes`. One that is declared longer is refused at once.
pub async fn read_body(
    body: Incoming,
    hold: &mut RequestHold,
    max_bytes: usize,
    request_timeout: Millis,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let declared = body.size_hint();
    if declared.lower() > max_bytes as u64 {
        return Err(Refusal::new(Code::BodyTooLarge));
    }
    // Fits, so that a body of known length is copied once.
    let expected = declared.exact().map_or(0, |bytes| bytes as usize);
    let within = request_timeout.min(BODY_TIMEOUT).as_duration();
    let reading = timeout(within, collect(body, hold, expected, max_bytes));
    let read = reading
        .await
        .map_err(|_| Refusal::new(Code::BodyTimeout))??;
    hold.received_whole();
    Ok(read)
}

async fn collect(
    mut body: Incoming,
    hold: &mut RequestHold,
    expected: usize,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let head_bytes = hold.bytes();
    let mut buf = BytesMut::new();
    loop {
        let frame = tokio::select! {
            biased;
            refusal = hold.refused() => return Err(refusal),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(buf.freeze());
        };
        let frame = frame.map_err(|_| Refusal::new(Code::BadBody))?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        let len = buf.len() + chunk.len();
        if len > max_bytes {
            return Err(Refusal::new(Code::BodyTooLarge));
        }
        if len > buf.capacity() {
            // Doubled, so that many small pieces are not copied again and again.
            let capacity = (len * 2).min(expected.max(len));
            let capacity = match expected {
                0 => len * 2,
                _ => capacity,
            };
            hold.resize(head_bytes + capacity)?;
            buf.reserve(capacity - buf.len());
        }
        buf.extend_from_slice(&chunk);
    }
}
