//! Response bodies sent to callers, and endpoints' response bodies.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::caller_stream::ConnectionEnd;
use super::connection::Connection;
use super::crash_watch::{Verdict, WatchedRun};
use super::dialect::Registration;
use super::fleet::InFlight;
use super::framing::{BodyProgress, Framing};
use super::job::Job;
use super::resume::EventTracker;
use crate::clock::Millis;

/// The response ended early. hyper then closes the caller's connection, so that
/// the response cannot be mistaken for a complete one.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut short")]
pub struct TruncatedBody;

/// A body that arrives in chunks.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedBody>>>>;

/// The body of a response to a caller.
pub enum ResponseBody {
    /// A complete body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// A body that is relayed as it arrives.
    Stream {
        /// The chunks.
        stream: BodyStream,
        /// How the end is marked. A length counts the bytes still to come.
        framing: Framing,
        /// Set if the end of the caller's connection marks the end of the body.
        connection: Option<ConnectionEnd>,
    },
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn whole(body: Bytes) -> Self {
        Self::Whole(Some(body))
    }

    /// Creates a body that is relayed as it arrives.
    pub fn stream(stream: BodyStream, framing: Framing) -> Self {
        Self::Stream {
            stream,
            framing,
            connection: None,
        }
    }

    /// Whether the body can be sent only with the end of the connection as its end, to
    /// a caller that understands chunks or one that does not.
    pub fn ends_with_connection(&self, understands_chunks: bool) -> bool {
        match self {
            Self::Whole(_) => false,
            Self::Stream { framing, .. } => match framing {
                Framing::Length(_) => false,
                Framing::Chunked => !understands_chunks,
                Framing::Close => true,
            },
        }
    }

    /// Lets the body decide how the caller's connection ends.
    pub fn bind(&mut self, end: &ConnectionEnd) {
        if let Self::Stream { connection, .. } = self {
            end.begin_unframed();
            *connection = Some(end.clone());
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let body = body.take().filter(|b| !b.is_empty());
                Poll::Ready(body.map(|b| Ok(Frame::data(b))))
            }
            Self::Stream {
                stream,
                framing,
                connection,
            } => {
                let polled = stream.as_mut().poll_next(cx);
                match (&polled, framing, connection) {
                    (Poll::Ready(Some(Ok(chunk))), Framing::Length(left), _) => {
                        *left = left.saturating_sub(chunk.len() as u64);
                    }
                    (Poll::Ready(None), _, Some(connection)) => connection.complete_unframed(),
                    _ => {}
                }
                polled.map(|chunk| chunk.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream { framing, .. } => match framing {
                Framing::Length(left) => SizeHint::with_exact(*left),
                Framing::Chunked | Framing::Close => SizeHint::default(),
            },
        }
    }
}

/// The body of an endpoint's response that has not been read to its end.
pub struct UpstreamBody {
    /// The bytes as received.
    pub body: Incoming,
    /// The connection that it arrives on. Dropping it makes the endpoint stop its
    /// work.
    pub connection: Connection,
    /// The endpoint.
    pub endpoint: Arc<Registration>,
    /// Counts the request at its endpoint.
    pub in_flight: InFlight,
    /// Whether the connection may be reused once the body has been read.
    pub is_reusable: bool,
    /// What has been received.
    pub progress: BodyProgress,
    /// Evidence on the parts of the prompt; `None` if it has none.
    pub run: Option<WatchedRun>,
}

impl UpstreamBody {
    /// Reads the next chunk of the body: `None` at its end, an error if the
    /// connection failed.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    // Trailers are dropped: they hold nothing that callers need.
                    if let Ok(data) = frame.into_data() {
                        self.progress.push(&data);
                        if let Some(run) = &mut self.run {
                            run.record_body(&self.progress);
                        }
                        return Some(Ok(data));
                    }
                }
                Err(error) => return Some(Err(error)),
            }
        }
    }

    /// Records that the body broke off at the endpoint. If a part of the prompt may be
    /// the cause, returns whether the endpoint has ended.
    pub fn record_break(&self) -> Option<Verdict> {
        self.run.as_ref()?.record_break()
    }

    /// Records that the body ended without an error, and returns the same if it may
    /// have broken off.
    pub fn record_end(&mut self) -> Option<Verdict> {
        self.run.as_mut()?.record_end(&self.progress)
    }

    /// Logs how the body ended, with an error or without one, and which events of a tracked
    /// stream it brought.
    pub fn log_end(&self, job: &Job, tracker: Option<&EventTracker>, error: &str) {
        let part = tracker.map(EventTracker::part).filter(|p| p.events > 0);
        let first_id = part.and_then(|part| part.first_id.as_deref());
        let last_id = part.and_then(|_| tracker?.last_event_id());
        job.log(
            "request.body_ended",
            &[
                ("endpoint", (&self.endpoint.id).into()),
                ("software", (&self.endpoint.version).into()),
                ("first_event", first_id.unwrap_or_default().into()),
                ("last_event", last_id.map_or("", |id| id).into()),
                ("events", part.map_or(0, |part| part.events).into()),
                ("framing", self.progress.framing().as_str().into()),
                ("bytes", self.progress.bytes().into()),
                ("max_gap_ms", self.in_flight.max_gap().into()),
                ("open_event_bytes", self.progress.open_event_bytes().into()),
                ("error", error.into()),
            ],
        );
    }

    /// Records the success after a complete response and returns the connection
    /// to the pool.
    pub fn finish(mut self, now: Millis) {
        self.record_end();
        let Self {
            connection,
            mut in_flight,
            is_reusable,
            body,
            ..
        } = self;
        drop(body);
        in_flight.completed(now);
        in_flight.update_endpoint(|endpoint| {
            endpoint.health.record_success();
            if is_reusable {
                endpoint.put_idle(now, connection);
            }
        });
    }
}
