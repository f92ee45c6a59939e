//! What a caller's request asks for, as far as routing and limits need it.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// A model, and an adapter of it if one is named.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelRef {
    /// The model.
    pub model: CompactString,
    /// The adapter.
    pub adapter: Option<CompactString>,
}

/// The name of a model with its adapter in messages and tables of the gateways.
pub fn adapter_hash(wanted: &ModelRef) -> u32 {
    let adapter = wanted.adapter.as_deref().unwrap_or_default();
    let hash = xxhash_rust::xxh3::xxh3_64(wanted.model.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(adapter.as_bytes(), hash) as u32
}

/// One part of a prompt. Requests that begin with the same parts share them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What the headers of a request say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's identifier of this attempt.
    pub id: CompactString,
    /// How long the caller waits.
    pub timeout: Option<Millis>,
    /// The model, for requests to engines.
    pub model: Option<ModelRef>,
    /// Prompt tokens and the most tokens to generate, if the request says so.
    pub tokens: Option<(u32, u32)>,
    /// The caller's estimate of the tokens that will be generated.
    pub length_hint: Option<u32>,
    /// The prompt's parts in order.
    pub parts: Vec<PromptPart>,
    /// The caller's key.
    pub key: Option<CompactString>,
    /// The last event that the caller has, when it resumes a stream.
    pub last_event_id: Option<CompactString>,
}

impl RequestMetadata {
    /// Tokens in and out at their upper bound; `plain` for requests that name none.
    pub fn cost(&self, plain: u64) -> u64 {
        self.tokens.map_or(plain, |(prompt, output)| {
            u64::from(prompt) + u64::from(output)
        })
    }

    /// Memory that the request takes at an engine at the end of its run, in tokens.
    pub fn footprint(&self) -> u64 {
        self.cost(0)
    }

    /// Identifies the session or subject: the last part of the prompt.
    pub fn session(&self) -> Option<u64> {
        self.parts.last().map(|part| part.id)
    }
}

/// What the system says to an endpoint about a request.
#[derive(Clone, Debug)]
pub struct ForwardMetadata<'a> {
    /// The endpoint that is meant to run it.
    pub endpoint: &'a str,
    /// The workspace of the caller's key.
    pub workspace: Option<&'a str>,
    /// How long the endpoint may work on it.
    pub time_left: Millis,
    /// Its rank at the endpoint, 0 to 9, where 0 goes first.
    pub priority: Option<u8>,
    /// The event after which a resumed stream goes on.
    pub last_event_id: Option<&'a str>,
}
