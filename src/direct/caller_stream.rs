//! Connections from callers, which can be made to end with a reset.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::intake::holders::Holder;
use crate::clock::Millis;

/// The most bytes of one read: below the 8 KiB at which hyper begins to double its buffer.
const MAX_READ_BYTES: usize = (8 << 10) - 1;
/// How long, and up to how many bytes, a body is discarded after its refusal: a caller that
/// reads meanwhile has the response within a few round trips.
const LINGER_TIME: Millis = Millis(500);
const MAX_LINGER_BYTES: usize = 256 << 10;
/// The most bytes that are discarded in one read.
const DISCARD_BYTES: usize = 4 << 10;

/// Decides whether the end of a connection may look like the end of a response that
/// has neither a length nor chunks.
#[derive(Clone, Debug, Default)]
pub struct ConnectionEnd(Rc<Cell<bool>>);

impl ConnectionEnd {
    /// The connection ends with a reset from now on, unless the response completes.
    pub fn begin_unframed(&self) {
        self.0.set(true);
    }

    /// The unframed response is complete: the connection may be closed in order.
    pub fn complete_unframed(&self) {
        self.0.set(false);
    }

    fn is_reset(&self) -> bool {
        self.0.get()
    }
}

/// A caller's connection.
pub struct CallerStream {
    stream: TcpStream,
    end: ConnectionEnd,
    /// Its place in the account.
    holder: Rc<Holder>,
    /// Set once the connection is shut down while its caller sends a body.
    lingering: Option<Lingering>,
    /// Whether the socket is set to be reset when it is closed.
    is_reset_on_close: bool,
}

impl CallerStream {
    /// Wraps a connection that ends as `end` says.
    pub fn new(stream: TcpStream, end: ConnectionEnd, holder: Rc<Holder>) -> Self {
        Self {
            stream,
            end,
            holder,
            lingering: None,
            is_reset_on_close: false,
        }
    }

    /// Sets the socket before the first byte of an unframed response is written, so
    /// that the kernel resets the connection even if this process is killed.
    fn prepare_write(&mut self) -> io::Result<()> {
        if self.end.is_reset() && !self.is_reset_on_close {
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
            self.is_reset_on_close = true;
        }
        Ok(())
    }
}

/// A connection whose caller has yet to read why its body is not.
struct Lingering {
    timer: Pin<Box<Sleep>>,
    left: usize,
}

impl CallerStream {
    /// Reads and discards what a caller sends after the response to a body that was not
    /// read. Closing a socket with unread bytes resets the connection, and the caller may
    /// lose the response by it.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(lingering) = &mut self.lingering else {
            return Poll::Ready(Ok(()));
        };
        let mut scratch = [0; DISCARD_BYTES];
        while lingering.left > 0 {
            let mut buf = ReadBuf::new(&mut scratch);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    lingering.left = lingering.left.saturating_sub(buf.filled().len());
                }
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => break,
            }
        }
        lingering.timer.as_mut().poll(cx).map(Ok)
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(count)) => self.holder.sent(*count, false),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.holder.sent(0, true),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // hyper enlarges the buffer of a connection whose reads fill it.
        let room = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let count = part.filled().len();
        buf.advance(count);
        self.holder
            .received(count, polled.is_ready() && count == room);
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// hyper shuts a connection down only after everything has been written.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_reset_on_close && !self.end.is_reset() {
            SockRef::from(&self.stream).set_linger(None)?;
            self.is_reset_on_close = false;
        }
        if self.lingering.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !self.holder.is_receiving() {
                return Poll::Ready(Ok(()));
            }
            let timer = Box::pin(sleep(LINGER_TIME.as_duration()));
            self.lingering = Some(Lingering {
                timer,
                left: MAX_LINGER_BYTES,
            });
        }
        self.poll_linger(cx)
    }
}
