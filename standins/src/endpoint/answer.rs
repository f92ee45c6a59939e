//! The shape of an answer, and its bytes.

use serde::{Deserialize, Serialize};

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Framing {
    /// By its length in bytes.
    Length,
    /// By a last chunk.
    #[default]
    Chunked,
    /// By the end of the connection.
    Close,
}

/// What happens at the place where an answer ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The connection is closed; kept open after a complete answer with a length or
    /// chunks.
    #[default]
    Close,
    /// The connection is reset.
    Reset,
    /// Nothing more is sent; the connection stays open until the other side closes it.
    Silence,
}

/// Where an answer ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// Within the response head.
    Head,
    /// After the head.
    BeforeFirstEvent,
    /// Within the second event, or within a body without events.
    WithinEvent,
    /// After the first event; within a body without events.
    BetweenEvents,
    /// After the whole answer.
    #[default]
    Complete,
}

/// Bytes that never end, sent in place of the rest of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Overflow {
    /// Header lines.
    Head,
    /// A body without events.
    Body,
    /// An event that has no end.
    Event,
    /// Events with increasing identifiers.
    Events,
}

/// Bytes that are sent as they are, after a pause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Piece {
    /// The pause before it, in milliseconds.
    pub pause_ms: u64,
    /// The bytes.
    pub text: String,
}

impl Piece {
    /// Bytes that are sent this long after those before.
    pub fn after(pause_ms: u64, text: impl Into<String>) -> Self {
        let text = text.into();
        Self { pause_ms, text }
    }
}

/// How the endpoint answers a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Headers beside those that all responses carry.
    pub headers: Vec<(String, String)>,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// What happens at the place where the answer ends.
    pub ending: Ending,
    /// Where the answer ends.
    pub place: Place,
    /// Bytes that never end.
    pub overflow: Option<Overflow>,
    /// Number of events; 0 for a body without events.
    pub events: u64,
    /// Bytes of a body without events.
    pub body_bytes: usize,
    /// Pause before each event and each piece of bytes that never end, in milliseconds.
    pub pause_ms: u64,
    /// Bytes sent behind a complete answer with a length or chunks.
    pub leftover_bytes: usize,
    /// What is sent before the answer, such as an earlier one once more.
    pub stray: Option<String>,
    /// The type of the body, empty for none; by default as the body is.
    pub content_type: Option<String>,
    /// A literal body in place of events.
    pub body: Option<String>,
    /// Events that a continuation leaves out, or repeats if negative.
    pub skipped_events: i64,
    /// The identifiers of the events, in rising order; by default their numbers.
    pub identifiers: Vec<u64>,
    /// Bytes of the head after which it breaks off or pauses; by default half of it.
    pub head_bytes: Option<usize>,
    /// Pause within the head, in milliseconds.
    pub head_pause_ms: u64,
    /// The answer if the service's endpoints were sent this request before.
    pub repeated: Option<Box<Answer>>,
    /// Sent in place of head and body, if there are any. The place tells whether the
    /// connection is kept.
    pub script: Vec<Piece>,
    /// Sent behind the answer while the connection takes further requests, but not within
    /// another answer.
    pub late: Vec<Piece>,
    /// The most bytes of one packet; 0 for no limit.
    pub packet_bytes: usize,
    /// Answers to requests that go on after the first event, the second and so on; this
    /// one is used beyond them.
    pub continuations: Vec<Answer>,
}

impl Default for Answer {
    fn default() -> Self {
        Self {
            status: 200,
            headers: Vec::new(),
            framing: Framing::default(),
            ending: Ending::default(),
            place: Place::default(),
            overflow: None,
            events: 3,
            body_bytes: 24,
            pause_ms: 0,
            leftover_bytes: 0,
            stray: None,
            content_type: None,
            body: None,
            skipped_events: 0,
            identifiers: Vec::new(),
            head_bytes: None,
            head_pause_ms: 0,
            repeated: None,
            script: Vec::new(),
            late: Vec::new(),
            packet_bytes: 0,
            continuations: Vec::new(),
        }
    }
}

impl Answer {
    /// The event after which a continuation begins.
    pub(super) fn begins_after(&self, last_event_id: u64) -> u64 {
        let number = match self.identifiers.is_empty() {
            true => last_event_id,
            false => self.identifiers.partition_point(|id| *id <= last_event_id) as u64,
        };
        number.saturating_add_signed(self.skipped_events)
    }

    fn identifier(&self, number: u64) -> u64 {
        let at = usize::try_from(number)
            .unwrap_or_default()
            .saturating_sub(1);
        self.identifiers.get(at).copied().unwrap_or(number)
    }

    /// The type of the body; `None` if none is stated.
    pub(super) fn content_type(&self) -> Option<&str> {
        let by_default = match (&self.body, self.events) {
            (Some(_), _) => "text/plain",
            (None, 0) => "application/octet-stream",
            (None, _) => "text/event-stream",
        };
        let stated = self.content_type.as_deref().unwrap_or(by_default);
        Some(stated).filter(|stated| !stated.is_empty())
    }

    /// The parts of the head before and after the place where it breaks off or pauses.
    pub(super) fn split_head<'a>(&self, head: &'a str) -> (&'a [u8], &'a [u8]) {
        let at = self.head_bytes.unwrap_or(head.len() / 2);
        head.as_bytes().split_at(at.min(head.len()))
    }

    /// The event with this number, as a software version writes it.
    pub(super) fn event(&self, version: &str, number: u64) -> Vec<u8> {
        let id = self.identifier(number);
        format!("id: {id}\ndata: {version}:{number}\n\n").into_bytes()
    }

    /// The pieces of the whole body after the event that the request names.
    pub(super) fn pieces(&self, version: &str, after: u64) -> Vec<Vec<u8>> {
        match (&self.body, self.events) {
            (Some(body), _) => vec![body.clone().into_bytes()],
            (None, 0) => vec![vec![b'x'; self.body_bytes]],
            (None, events) => (after + 1..=events)
                .map(|number| self.event(version, number))
                .collect(),
        }
    }

    /// The pieces that are sent before the answer ends.
    pub(super) fn sent_pieces(&self, version: &str, after: u64) -> Vec<Vec<u8>> {
        let mut pieces = self.pieces(version, after);
        let half = |piece: &Vec<u8>| piece[..piece.len() / 2].to_vec();
        let events = if self.body.is_some() { 0 } else { self.events };
        match (self.place, events) {
            (Place::Complete, _) => pieces,
            (Place::Head | Place::BeforeFirstEvent, _) => Vec::new(),
            (Place::WithinEvent | Place::BetweenEvents, 0) => {
                pieces.iter().take(1).map(half).collect()
            }
            (Place::BetweenEvents, _) => {
                pieces.truncate(1);
                pieces
            }
            (Place::WithinEvent, _) => {
                pieces.truncate(2);
                if let Some(last) = pieces.last_mut() {
                    *last = half(last);
                }
                pieces
            }
        }
    }
}
