//! Tracks the events of a stream, so that another endpoint can resume it, and decides what
//! may be joined to it.
//!
//! Nothing here does I/O. Each way of sending a request for the rest of a stream asks
//! [`joining`] about the head of the response, and [`EventTracker`] about its events.

pub mod joining;
pub mod numbering;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

use super::framing::{EventBoundary, MAX_EVENT_BYTES};
use numbering::{Numbering, OutOfTurn, Step};

/// What a stream of events may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

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
/// off there, the next endpoint sends that event again. The first events of a part are held back as
/// long as only the next ones can tell whether they follow the part before.
#[derive(Debug, Default)]
pub struct EventTracker {
    pending: BytesMut,
    /// Complete events of which it is not decided whether they are passed on.
    undecided: BytesMut,
    boundary: EventBoundary,
    numbering: Numbering,
    part: Part,
    /// Whether an event has been passed on.
    has_events: bool,
    /// Why the events that followed those passed on last were not.
    fault: Option<EventFault>,
}

/// The events that one endpoint wrote.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// The identifier of the first one.
    pub first_id: Option<CompactString>,
    /// Their number.
    pub events: u64,
}

/// Why the events of an endpoint are not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventFault {
    /// An event is larger than any event that engines send.
    #[error("an event has more than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// An event does not follow the last one.
    #[error("{0}")]
    OutOfTurn(#[from] OutOfTurn),
}

impl EventFault {
    /// The name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::OutOfTurn(fault) => fault.as_str(),
        }
    }
}

impl EventTracker {
    /// Creates a tracker of a stream that continues after the given event, and whose numbers
    /// usually rise by the given step.
    pub fn after(last_event_id: Option<CompactString>, usual: Step) -> Self {
        Self {
            numbering: Numbering::after(last_event_id, usual),
            ..Self::default()
        }
    }

    /// The identifier of the last event that was passed on.
    pub fn last_event_id(&self) -> Option<&CompactString> {
        self.numbering.last_id()
    }

    /// The position after the last event that was passed on.
    pub fn numbering(&self) -> &Numbering {
        &self.numbering
    }

    /// Whether an event has been passed on. Before, only the caller has named the position.
    pub fn has_events(&self) -> bool {
        self.has_events
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
        self.pending.len() + self.undecided.len()
    }

    /// Adds a chunk of the stream and returns the events that are now complete. Those before
    /// an event that is out of turn are returned; [`Self::take_fault`] then tells of it.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, EventFault> {
        let Some(end) = self.boundary.push(chunk) else {
            if self.boundary.open_bytes() > MAX_EVENT_BYTES {
                return Err(EventFault::TooLarge);
            }
            self.pending.extend_from_slice(chunk);
            return Ok(Bytes::new());
        };
        let (complete, open) = chunk.split_at(end);
        self.pending.extend_from_slice(complete);
        let mut events = self.pending.split();
        self.pending.extend_from_slice(open);
        if let Err((kept, fault)) = self.advance(&events) {
            if kept == 0 {
                return Err(fault.into());
            }
            events.truncate(kept);
            self.fault = Some(fault.into());
        }
        self.undecided.extend_from_slice(&events);
        Ok(self.take_decided())
    }

    /// The body has ended in order. Returns the events that wait for the next one, if they may be
    /// passed on without it.
    pub fn end_part(&mut self) -> Result<Bytes, EventFault> {
        self.numbering.end_part()?;
        Ok(self.take_decided())
    }

    fn take_decided(&mut self) -> Bytes {
        if self.numbering.is_undecided() {
            return Bytes::new();
        }
        self.has_events |= self.part.events > 0;
        self.undecided.split().freeze()
    }

    /// The stream does not go on after the events that were returned last.
    pub fn set_fault(&mut self, fault: EventFault) {
        self.fault = Some(fault);
    }

    /// Why the stream does not go on after the events that were returned last.
    pub fn take_fault(&mut self) -> Option<EventFault> {
        self.fault.take()
    }

    /// Moves on by complete events. The error has the bytes before the one that is out of turn.
    fn advance(&mut self, events: &[u8]) -> Result<(), (usize, OutOfTurn)> {
        let mut kept = 0;
        let mut has_field = false;
        let mut id = None;
        for (line, end) in lines(events) {
            let line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
            if !line.is_empty() {
                // A comment or a reconnection time alone is no event.
                has_field |= !line.starts_with(b":") && !line.starts_with(b"retry:");
                if let Some(value) = line.strip_prefix(b"id:") {
                    id = std::str::from_utf8(value.trim_ascii()).ok();
                }
                continue;
            }
            if std::mem::take(&mut has_field) {
                let id = id.take();
                self.numbering.advance(id).map_err(|fault| (kept, fault))?;
                if self.part.events == 0 {
                    self.part.first_id = id.map(CompactString::from);
                }
                self.part.events += 1;
            }
            if !self.numbering.is_undecided() {
                kept = end;
            }
        }
        Ok(())
    }

    /// Discards the incomplete and undecided events of an endpoint whose stream broke off.
    pub fn drop_pending(&mut self) {
        self.pending.clear();
        self.undecided.clear();
        self.numbering.drop_undecided();
        self.boundary = EventBoundary::default();
        self.fault = None;
    }

    /// Begins the part of another endpoint.
    pub fn begin_part(&mut self) {
        self.numbering.begin_part();
        self.part = Part::default();
    }
}

/// Lines without their ends, each with the offset behind its end. Lines end with LF, CR LF or
/// CR.
fn lines(mut rest: &[u8]) -> impl Iterator<Item = (&[u8], usize)> {
    let mut offset = 0;
    std::iter::from_fn(move || {
        let at = rest.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
        let is_pair = rest[at..].starts_with(b"\r\n");
        let (line, after) = (&rest[..at], at + 1 + usize::from(is_pair));
        rest = &rest[after..];
        offset += after;
        Some((line, offset))
    })
}
