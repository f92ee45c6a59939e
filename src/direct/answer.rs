//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::connection::Connection;
use super::fleet::InFlight;
use crate::clock::Millis;

/// Why an answer ends before its end; the caller's connection is cut.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut short")]
pub struct Cut;

/// The parts of an answer that arrives over time.
pub type Parts = Pin<Box<dyn Stream<Item = Result<Bytes, Cut>>>>;

/// The body of an answer to a caller.
pub enum AnswerBody {
    /// All of it is here; `None` once it was taken.
    Whole(Option<Bytes>),
    /// It arrives over time.
    Parts {
        /// What arrives.
        parts: Parts,
        /// Bytes still to come, if the endpoint said so.
        left: Option<u64>,
    },
}

impl AnswerBody {
    /// A body that is here as a whole.
    pub fn whole(body: Bytes) -> Self {
        Self::Whole(Some(body))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let body = body.take().filter(|b| !b.is_empty());
                Poll::Ready(body.map(|b| Ok(Frame::data(b))))
            }
            Self::Parts { parts, left } => {
                let polled = parts.as_mut().poll_next(cx);
                if let Poll::Ready(Some(Ok(part))) = &polled
                    && let Some(left) = left
                {
                    *left = left.saturating_sub(part.len() as u64);
                }
                polled.map(|part| part.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Parts {
                left: Some(left), ..
            } => SizeHint::with_exact(*left),
            Self::Parts { left: None, .. } => SizeHint::default(),
        }
    }
}

/// An answer of an endpoint whose body has not been read to its end.
pub struct OpenAnswer {
    /// The body.
    pub body: Incoming,
    /// The connection that it arrives on; dropping it stops the endpoint's work.
    pub connection: Connection,
    /// Counts the request at its endpoint.
    pub in_flight: InFlight,
    /// Whether the connection may carry another request afterwards.
    pub may_stay: bool,
}

impl OpenAnswer {
    /// The next part of the body; `None` at its end, an error if it broke off.
    pub async fn next_part(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    // Trailers carry nothing that callers are owed.
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Err(error) => return Some(Err(error)),
            }
        }
    }

    /// Keeps the connection for another request after a complete answer.
    pub fn finish(self, now: Millis) {
        let Self {
            connection,
            in_flight,
            may_stay,
            body,
        } = self;
        drop(body);
        in_flight.update_endpoint(|endpoint| {
            endpoint.health.succeeded();
            if may_stay {
                endpoint.put_idle(now, connection);
            }
        });
    }
}
