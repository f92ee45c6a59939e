//! Bounds the bytes of responses that a gateway holds back, over all requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

use super::answer::UpstreamBody;
use super::crash_watch::Verdict;
use super::framing::BodyEnd;
use super::job::Job;
use crate::clock::Millis;

/// The most bytes of one response that are held back until its end is known. A longer
/// response is relayed as it arrives and cannot be retried from then on.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// The most bytes of responses that are held back at once: a tenth of the memory of
/// the smallest gateways.
const MAX_HELD_BYTES: usize = 16 << 20;

/// The bytes held back for all requests.
#[derive(Clone, Debug, Default)]
pub struct BufferBudget(Arc<AtomicUsize>);

impl BufferBudget {
    /// Creates a reservation of no bytes.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Number of bytes reserved.
    pub fn held_bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Bytes held back for one request; dropped, they are free again.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    bytes: usize,
}

impl Reservation {
    /// Changes the number of bytes. Returns whether that fits the budget; otherwise
    /// nothing changes.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let others = self.budget.held_bytes() - self.bytes;
        if bytes > self.bytes && others + bytes > MAX_HELD_BYTES {
            return false;
        }
        // Only the traffic thread grows reservations.
        let held = &self.budget.0;
        held.fetch_add(bytes, Ordering::Relaxed);
        held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    /// Keeps the reservation until the last handle of these bytes is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct HeldBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A response body that was held back.
pub enum BufferedBody {
    /// It ended, and nothing shows that it broke off.
    Ended(Bytes, BodyEnd),
    /// It is too long to be held back: its beginning, and the rest.
    TooLong(Bytes, Box<UpstreamBody>),
    /// It broke off, possibly because the endpoint ended.
    Broken(Option<Verdict>),
}

/// Reads a response body to its end and returns the connection to the pool if it is
/// reusable.
pub async fn read_body(
    mut upstream_body: UpstreamBody,
    job: &Job,
    mut reservation: Reservation,
    now: impl Fn() -> Millis,
) -> BufferedBody {
    let mut buf = BytesMut::new();
    let error = loop {
        let chunk = match upstream_body.next_chunk().await {
            Some(Ok(chunk)) => chunk,
            Some(Err(error)) => break Some(error.to_string()),
            None => break None,
        };
        buf.extend_from_slice(&chunk);
        if buf.len() > MAX_BUFFERED_BYTES || !reservation.resize(buf.capacity()) {
            return BufferedBody::TooLong(buf.freeze(), Box::new(upstream_body));
        }
    };
    let end = upstream_body.progress.end();
    let error = match (error, end) {
        (None, BodyEnd::Broken(why)) => Some(why.to_owned()),
        (error, _) => error,
    };
    upstream_body.log_end(job, None, error.as_deref().unwrap_or_default());
    if error.is_some() {
        let verdict = upstream_body.record_break();
        upstream_body
            .in_flight
            .update_endpoint(|e| e.record_failure(now()));
        return BufferedBody::Broken(verdict);
    }
    upstream_body.finish(now());
    BufferedBody::Ended(reservation.attach(buf.freeze()), end)
}
