//! The parts of a request's headers that routing and limits use.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// A model, and optionally one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelRef {
    /// The model.
    pub model: CompactString,
    /// The adapter.
    pub adapter: Option<CompactString>,
}

/// Returns the hash that identifies a model and adapter in messages between gateways.
pub fn adapter_hash(wanted: &ModelRef) -> u32 {
    let adapter = wanted.adapter.as_deref().unwrap_or_default();
    let hash = xxhash_rust::xxh3::xxh3_64(wanted.model.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(adapter.as_bytes(), hash) as u32
}

/// One part of a prompt. Prompts that begin with the same parts share a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A request's headers as parsed by the dialect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The request identifier that the caller chose for this attempt.
    pub id: CompactString,
    /// How long the caller waits for the end of the response.
    pub timeout: Option<Millis>,
    /// The model; `None` for services without models.
    pub model: Option<ModelRef>,
    /// Prompt tokens and the maximum of output tokens, if the request states them.
    pub tokens: Option<(u32, u32)>,
    /// The caller's estimate of the number of output tokens.
    pub length_hint: Option<u32>,
    /// The parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// The caller's API key.
    pub key: Option<CompactString>,
    /// The last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<CompactString>,
    /// The identifier of the attempt that brought the first event of the stream that
    /// the caller resumes.
    pub resumes: Option<CompactString>,
}

impl RequestMetadata {
    /// Upper bound of input and output tokens; `default` if the request states none.
    pub fn cost(&self, default: u64) -> u64 {
        self.tokens.map_or(default, |(prompt, output)| {
            u64::from(prompt) + u64::from(output)
        })
    }

    /// Memory that the request occupies at an engine at its full length, in tokens.
    pub fn footprint(&self) -> u64 {
        self.cost(0)
    }

    /// The attempt that began the stream, which is this one unless its caller takes one up.
    pub fn first_attempt(&self) -> &CompactString {
        self.resumes.as_ref().unwrap_or(&self.id)
    }

    /// Identifies the session by the last part of the prompt.
    pub fn session(&self) -> Option<u64> {
        self.parts.last().map(|part| part.id)
    }
}

/// What the gateway tells an endpoint about a request, in headers.
#[derive(Clone, Debug)]
pub struct ForwardMetadata<'a> {
    /// Identifier of the endpoint that the request is sent to.
    pub endpoint: &'a str,
    /// The workspace of the caller's key.
    pub workspace: Option<&'a str>,
    /// Time left until the request's deadline.
    pub time_left: Millis,
    /// Priority at the endpoint, from 0 (highest) to 9.
    pub priority: Option<u8>,
    /// The event after which a resumed stream continues.
    pub last_event_id: Option<&'a str>,
}
