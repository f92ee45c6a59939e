//! Tracks the events of a stream, so that another endpoint can resume it.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// The most bytes of an incomplete event that are held back.
const MAX_PENDING_BYTES: usize = 64 << 10;

/// Passes on complete events and remembers the identifier of the last one.
///
/// The received bytes of an incomplete event are held back: if the stream breaks
/// off there, the next endpoint sends that event again.
#[derive(Debug, Default)]
pub struct EventTracker {
    pending: BytesMut,
    last_event_id: Option<CompactString>,
}

/// An event is larger than any event that engines send.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event has more than {MAX_PENDING_BYTES} bytes")]
pub struct EventTooLarge;

impl EventTracker {
    /// Creates a tracker of a stream that continues after the given event.
    pub fn after(last_event_id: Option<CompactString>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_event_id,
        }
    }

    /// The identifier of the last event that was passed on.
    pub fn last_event_id(&self) -> Option<&CompactString> {
        self.last_event_id.as_ref()
    }

    /// Whether bytes of an incomplete event are held back.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds a chunk of the stream and returns the events that are now complete.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, EventTooLarge> {
        self.pending.extend_from_slice(chunk);
        let Some(end) = last_event_end(&self.pending) else {
            if self.pending.len() > MAX_PENDING_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(Bytes::new());
        };
        let events = self.pending.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_event_id = Some(id);
        }
        Ok(events)
    }

    /// Discards the incomplete event of an endpoint whose stream broke off.
    pub fn drop_pending(&mut self) {
        self.pending.clear();
    }
}

/// Returns the end of the last complete event, which is after the last empty line.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = buf.windows(4).rposition(|w| w == b"\r\n\r\n");
    lf.max(crlf.map(|at| at + 4))
}

fn last_id(events: &[u8]) -> Option<CompactString> {
    let mut lines = events.split(|b| *b == b'\n').rev();
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(line.trim_ascii()).ok()?;
    Some(id.into())
}
