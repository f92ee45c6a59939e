//! Tracks the events of a stream, so that another endpoint can resume it.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

use super::framing::{EventBoundary, MAX_EVENT_BYTES};

/// Where a stream goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResumePoint {
    /// The last event that the caller has; `None` at the beginning of a stream.
    pub last_event_id: Option<CompactString>,
    /// The software version that wrote the events before; `None` if there are none.
    pub version: Option<CompactString>,
}

/// Passes on complete events and remembers the identifier of the last one.
///
/// The received bytes of an incomplete event are held back: if the stream breaks
/// off there, the next endpoint sends that event again.
#[derive(Debug, Default)]
pub struct EventTracker {
    pending: BytesMut,
    boundary: EventBoundary,
    last_event_id: Option<CompactString>,
    part: Part,
}

/// The events that one endpoint wrote.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// The identifier of the first one.
    pub first_id: Option<CompactString>,
    /// Their number.
    pub events: u64,
}

/// An event is larger than any event that engines send.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event has more than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

impl EventTracker {
    /// Creates a tracker of a stream that continues after the given event.
    pub fn after(last_event_id: Option<CompactString>) -> Self {
        Self {
            last_event_id,
            ..Self::default()
        }
    }

    /// The identifier of the last event that was passed on.
    pub fn last_event_id(&self) -> Option<&CompactString> {
        self.last_event_id.as_ref()
    }

    /// What the present endpoint wrote.
    pub fn part(&self) -> &Part {
        &self.part
    }

    /// Whether bytes of an incomplete event are held back.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Memory that the held back bytes occupy.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Adds a chunk of the stream and returns the events that are now complete.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, EventTooLarge> {
        let Some(end) = self.boundary.push(chunk) else {
            if self.boundary.open_bytes() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            self.pending.extend_from_slice(chunk);
            return Ok(Bytes::new());
        };
        let (complete, open) = chunk.split_at(end);
        self.pending.extend_from_slice(complete);
        let events = self.pending.split().freeze();
        self.pending.extend_from_slice(open);
        self.advance(&events);
        Ok(events)
    }

    /// Moves on by complete events.
    fn advance(&mut self, events: &[u8]) {
        let mut has_field = false;
        let mut id = None;
        for line in lines(events) {
            if !line.is_empty() {
                // A line that begins with a colon is a comment.
                has_field |= !line.starts_with(b":");
                if let Some(value) = line.strip_prefix(b"id:") {
                    id = std::str::from_utf8(value.trim_ascii()).ok();
                }
                continue;
            }
            if std::mem::take(&mut has_field) {
                let id = id.take().map(CompactString::from);
                if self.part.events == 0 {
                    self.part.first_id.clone_from(&id);
                }
                self.part.events += 1;
                self.last_event_id = id.or(self.last_event_id.take());
            }
        }
    }

    /// Discards the incomplete event of an endpoint whose stream broke off.
    pub fn drop_pending(&mut self) {
        self.pending.clear();
        self.boundary = EventBoundary::default();
    }

    /// Begins the part of another endpoint.
    pub fn begin_part(&mut self) {
        self.part = Part::default();
    }
}

/// Lines without their ends, which are LF, CR LF or CR.
fn lines(mut rest: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let at = rest.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
        let is_pair = rest[at..].starts_with(b"\r\n");
        let line = &rest[..at];
        rest = &rest[at + 1 + usize::from(is_pair)..];
        Some(line)
    })
}
