//! Messages between the system's own processes, encoded with postcard.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::code::{Code, Ran};
use crate::config::{Entry, Urgency};

/// The identifier of one request, carried and checked at every hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// A fresh random identifier.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// A fencing number: orders with a lower one than seen before are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// The first frame of a bidirectional stream from a gateway to an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Hello {
    /// Run one request; answered by [`Reply`] frames.
    Call(Call),
    /// Change what the endpoint holds; answered by one [`OrderReply`].
    Order(Order),
    /// Send [`AgentReport`] frames until the stream ends.
    Watch,
    /// Ask what became of a call; answered by one `Option<Outcome>`.
    Outcome {
        /// The call.
        request: RequestId,
        /// The workspace that asks.
        workspace: CompactString,
    },
}

/// What a call is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A model on an engine.
    Model(CompactString),
    /// A plain service.
    Service(CompactString),
}

/// One request as sent to an agent. It never holds the caller's key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// The request's identifier.
    pub request: RequestId,
    /// The workspace it runs for.
    pub workspace: CompactString,
    /// How urgent its class is.
    pub urgency: Urgency,
    /// Milliseconds left until the class's target for the first token passes.
    pub first_token_in_ms: u64,
    /// What it is for.
    pub target: Target,
    /// The HTTP method.
    pub method: CompactString,
    /// The path and query for the endpoint.
    pub path: CompactString,
    /// The body's media type.
    pub content_type: CompactString,
    /// Whether it may be repeated without harm.
    pub idempotent: bool,
    /// The upper bound of its cost, in tokens.
    pub cost_tokens: u64,
    /// The body.
    pub body: Bytes,
}

/// What an agent answers to a call, in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The call was certainly not run.
    Refused {
        /// The request this answers.
        request: RequestId,
        /// Why.
        code: Code,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The endpoint began to answer.
    Head {
        /// The request this answers.
        request: RequestId,
        /// The endpoint's HTTP status.
        status: u16,
        /// The answer's media type.
        content_type: CompactString,
    },
    /// A part of the answer.
    Chunk(Bytes),
    /// The whole answer was sent.
    End {
        /// The request this answers.
        request: RequestId,
    },
    /// The call failed after it was accepted.
    Failed {
        /// The request this answers.
        request: RequestId,
        /// Why.
        code: Code,
        /// Whether it ran.
        ran: Ran,
    },
}

/// What became of a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was sent to the endpoint and no answer is known yet.
    Running,
    /// The endpoint answered.
    Done {
        /// The HTTP status.
        status: u16,
        /// The answer's media type.
        content_type: CompactString,
        /// The answer.
        body: Bytes,
    },
    /// It may have run; the endpoint's answer was lost.
    Unknown,
    /// It certainly did not run.
    NotRun,
}

/// A change to what an endpoint holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The placement leader's fencing number.
    pub fence: Fence,
    /// What to do.
    pub action: Action,
    /// The model.
    pub model: CompactString,
    /// The memory the model takes, in bytes.
    pub bytes: u64,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// An agent's answer to an order.
pub type OrderReply = std::result::Result<(), Code>;

/// Where a model stands on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Residency {
    /// Ordered, not yet confirmed.
    Loading,
    /// Ready to serve.
    Ready,
    /// Ordered away, not yet confirmed gone.
    Unloading,
}

/// A model in an endpoint's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The model's name.
    pub model: CompactString,
    /// Where it stands.
    pub state: Residency,
    /// The memory it takes, in bytes.
    pub bytes: u64,
}

/// What stands behind an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service of this name.
    Service(CompactString),
}

/// An agent's report to its gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent's instance.
    pub name: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// What stands behind it.
    pub kind: EndpointKind,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether its endpoint answers.
    pub healthy: bool,
    /// Requests at the endpoint.
    pub running: u32,
    /// Requests waiting at the agent.
    pub waiting: u32,
    /// Requests the endpoint runs at once.
    pub max_running: u32,
    /// The endpoint's memory, in bytes.
    pub memory_bytes: u64,
    /// Models held or on their way, sorted by name.
    pub models: Vec<Resident>,
}

/// One frame of an agent's reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentReport {
    /// The whole status.
    Full(AgentStatus),
    /// Only the load changed.
    Load {
        /// Requests at the endpoint.
        running: u32,
        /// Requests waiting at the agent.
        waiting: u32,
    },
}

/// A message between two gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent at a fixed interval.
    Heartbeat(Heartbeat),
    /// Asks for the configuration after a revision.
    PullConfig {
        /// The last revision the sender holds.
        after: u64,
    },
    /// Configuration entries in ascending order without gaps.
    Config(Vec<Entry>),
    /// A message of the limits' share ledger.
    Share(crate::escrow::ShareMessage),
}

/// One run of a gateway instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The instance's name.
    pub name: CompactString,
    /// Distinguishes two runs of the same instance.
    pub boot: u64,
}

/// What a gateway tells one peer about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's clock when it sent this.
    pub sent_at: Millis,
    /// The receiver's `sent_at` in the last heartbeat that the sender has from it.
    /// It proves that this message was written after that moment.
    pub echo: Option<Millis>,
    /// The term of the share ledger that the sender has adopted.
    pub term: u64,
    /// The revision of the configuration in force at the sender.
    pub revision: u64,
    /// How long ago the sender last confirmed its configuration with the platform's service.
    pub confirmed_ago: Millis,
    /// Whether the sender is shutting down.
    pub draining: bool,
}

/// A peer message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sending gateway.
    pub from: Member,
    /// The message.
    pub message: PeerMessage,
}
