//! How the end of an endpoint's response body is marked, and where the events of a
//! stream end.

use http::{HeaderMap, header};
use hyper::body::{Body as _, Incoming};

/// The most bytes of one event.
pub const MAX_EVENT_BYTES: usize = 64 << 10;
/// The most events of a body that are counted.
pub const MAX_COUNTED_EVENTS: u32 = 4;

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By a last chunk.
    Chunked,
    /// By the end of the connection. A body that broke off may end in the same way.
    Close,
}

impl Framing {
    /// Returns the framing of a response that was received with these headers; `None` if its
    /// body is in a transfer coding other than chunks.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Option<Self> {
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let coding = codings.next().map(|coding| coding.as_bytes().trim_ascii());
        let is_chunked = coding.is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked"));
        if codings.next().is_some() || coding.is_some() && !is_chunked {
            return None;
        }
        Some(match body.size_hint().exact() {
            Some(length) => Self::Length(length),
            None if is_chunked => Self::Chunked,
            None => Self::Close,
        })
    }

    /// The name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// What the end of a response body means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The response is complete.
    Complete,
    /// The response is complete or broke off; nobody can tell.
    Unknown,
    /// The response broke off, for this reason.
    Broken(&'static str),
}

/// What has been received of a response body.
#[derive(Clone, Debug)]
pub struct BodyProgress {
    framing: Framing,
    /// Whether the body is a stream of events.
    is_event_stream: bool,
    /// Whether a stream without any event may be complete: one that goes on after the
    /// last event of another.
    may_be_empty: bool,
    bytes: u64,
    boundary: EventBoundary,
    counter: EventCounter,
    /// Whether an event ended in the last chunk.
    has_event_ended: bool,
}

impl BodyProgress {
    /// A body of which nothing has been received.
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            is_event_stream: false,
            may_be_empty: true,
            bytes: 0,
            boundary: EventBoundary::default(),
            counter: EventCounter::default(),
            has_event_ended: false,
        }
    }

    /// Marks the body as a stream of events, which goes on after the last event of
    /// another one if `is_continuation` is set.
    pub fn event_stream(self, is_continuation: bool) -> Self {
        Self {
            is_event_stream: true,
            may_be_empty: is_continuation,
            ..self
        }
    }

    /// Adds received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.bytes += chunk.len() as u64;
        if self.is_event_stream {
            self.has_event_ended = self.boundary.push(chunk).is_some();
            self.counter.push(chunk);
        }
    }

    /// Whether the last chunk brought the response forward: a stream of events advances
    /// only with the end of an event.
    pub fn has_advanced(&self) -> bool {
        !self.is_event_stream || self.has_event_ended
    }

    /// Whether an event is larger than any that engines send.
    pub fn is_event_too_large(&self) -> bool {
        self.open_event_bytes() > MAX_EVENT_BYTES
    }

    /// How the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the body is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.is_event_stream
    }

    /// Number of bytes received.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Number of complete events of a stream, counted up to [`MAX_COUNTED_EVENTS`].
    pub fn events(&self) -> u32 {
        self.counter.events
    }

    /// Whether nothing of an answer has been received: no byte or, of a stream, no
    /// complete event.
    pub fn is_empty(&self) -> bool {
        self.bytes == 0 || (self.is_event_stream && self.events() == 0)
    }

    /// Number of bytes received of an event that is not complete.
    pub fn open_event_bytes(&self) -> usize {
        self.boundary.open_bytes()
    }

    /// What it means that the body ends here without an error.
    pub fn end(&self) -> BodyEnd {
        if self.open_event_bytes() > 0 {
            return BodyEnd::Broken("ended within an event");
        }
        match self.framing {
            Framing::Length(_) | Framing::Chunked => BodyEnd::Complete,
            Framing::Close if self.bytes == 0 && !self.may_be_empty => {
                BodyEnd::Broken("ended before its first event")
            }
            Framing::Close => BodyEnd::Unknown,
        }
    }
}

/// Counts the first events of a stream. Comments alone are no event.
#[derive(Clone, Debug)]
struct EventCounter {
    events: u32,
    last: u8,
    /// Whether the event that is not complete has a field.
    has_field: bool,
}

impl Default for EventCounter {
    fn default() -> Self {
        Self {
            events: 0,
            last: b'\n',
            has_field: false,
        }
    }
}

impl EventCounter {
    fn push(&mut self, chunk: &[u8]) {
        if self.events == MAX_COUNTED_EVENTS {
            return;
        }
        for byte in chunk {
            let last = std::mem::replace(&mut self.last, *byte);
            match (last, *byte) {
                (b'\r', b'\n') => {}
                (b'\n' | b'\r', b'\n' | b'\r') => {
                    self.events += u32::from(std::mem::take(&mut self.has_field));
                }
                (b'\n' | b'\r', first) => self.has_field |= first != b':',
                _ => {}
            }
        }
        self.events = self.events.min(MAX_COUNTED_EVENTS);
    }
}

/// Finds the ends of events in a stream that arrives in chunks.
///
/// An event ends with an empty line. Lines end with LF, CR LF or CR.
#[derive(Clone, Debug, Default)]
pub struct EventBoundary {
    /// The last two bytes before the next chunk.
    tail: [u8; 2],
    open_bytes: usize,
}

impl EventBoundary {
    /// Adds a chunk. Returns the offset in it after the last event that ends in it.
    pub fn push(&mut self, chunk: &[u8]) -> Option<usize> {
        let last = (0..chunk.len())
            .rev()
            .find(|at| self.ends_event(chunk, *at));
        let end = last.map(|at| at + 1);
        self.open_bytes = match end {
            Some(end) => chunk.len() - end,
            None => self.open_bytes.saturating_add(chunk.len()),
        };
        self.tail = match *chunk {
            [] => self.tail,
            [only] => [self.tail[1], only],
            [.., before, last] => [before, last],
        };
        end
    }

    /// Bytes since the end of the last event.
    pub fn open_bytes(&self) -> usize {
        self.open_bytes
    }

    /// Whether the byte at `at` ends an empty line. After CR LF CR the next LF belongs
    /// to that line and ends it once more.
    fn ends_event(&self, chunk: &[u8], at: usize) -> bool {
        let before = |distance: usize| match at.checked_sub(distance) {
            Some(at) => chunk[at],
            None => self.tail[2 + at - distance],
        };
        let is_line_end = |byte: u8| byte == b'\n' || byte == b'\r';
        match (chunk[at], before(1)) {
            (b'\n', b'\r') => is_line_end(before(2)),
            (b'\n' | b'\r', previous) => is_line_end(previous),
            _ => false,
        }
    }
}
