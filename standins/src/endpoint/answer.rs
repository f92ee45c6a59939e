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
            script: Vec::new(),
            late: Vec::new(),
            packet_bytes: 0,
            continuations: Vec::new(),
        }
    }
}

impl Answer {
    /// The event with this number, as a software version writes it.
    pub(super) fn event(version: &str, number: u64) -> Vec<u8> {
        format!("id: {number}\ndata: {version}:{number}\n\n").into_bytes()
    }

    /// The pieces of the whole body after the event that the request names.
    pub(super) fn pieces(&self, version: &str, after: u64) -> Vec<Vec<u8>> {
        match self.events {
            0 => vec![vec![b'x'; self.body_bytes]],
            events => (after + 1..=events)
                .map(|number| Self::event(version, number))
                .collect(),
        }
    }

    /// The pieces that are sent before the answer ends.
    pub(super) fn sent_pieces(&self, version: &str, after: u64) -> Vec<Vec<u8>> {
        let mut pieces = self.pieces(version, after);
        let half = |piece: &Vec<u8>| piece[..piece.len() / 2].to_vec();
        match (self.place, self.events) {
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
