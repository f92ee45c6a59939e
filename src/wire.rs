//! Messages between the system's own processes, encoded with postcard.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::code::{Code, Ran};
use crate::config::{Entry, Urgency};

/// The identifier of one request, which every hop forwards and checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Creates a random identifier.
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

/// A fencing number. Orders with a lower number than one seen before are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// The first frame of a bidirectional stream from a gateway to an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Hello {
    /// Runs one request; answered by [`Reply`] frames.
    Call(Call),
    /// Loads or unloads a model; answered by one [`OrderReply`].
    Order(Order),
    /// Subscribes to [`AgentReport`] frames until the stream ends.
    Watch,
    /// Queries the outcome of a call; answered by one `Option<Outcome>`.
    Outcome {
        /// The request of the call.
        request: RequestId,
        /// The workspace that asks.
        workspace: CompactString,
    },
}

/// The model or service that a call addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A model on an engine.
    Model(CompactString),
    /// A service without models.
    Service(CompactString),
}

/// One request as sent to an agent. It never contains the caller's API key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Call {
    /// The request's identifier.
    pub request: RequestId,
    /// The workspace that sent it.
    pub workspace: CompactString,
    /// How urgent its class is.
    pub urgency: Urgency,
    /// Milliseconds left until the first token is due by the class's target.
    pub first_token_in_ms: u64,
    /// The model or service it addresses.
    pub target: Target,
    /// The HTTP method.
    pub method: CompactString,
    /// The path and query for the endpoint.
    pub path: CompactString,
    /// The body's media type.
    pub content_type: CompactString,
    /// Whether it may safely be retried.
    pub idempotent: bool,
    /// The upper bound of its cost, in tokens.
    pub cost_tokens: u64,
    /// The body.
    pub body: Bytes,
}

/// The frames with which an agent answers a call, in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The call certainly did not run.
    Refused {
        /// The request this answers.
        request: RequestId,
        /// The reason.
        code: Code,
        /// The time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The head of the endpoint's response.
    Head {
        /// The request this answers.
        request: RequestId,
        /// The endpoint's HTTP status.
        status: u16,
        /// The response's media type.
        content_type: CompactString,
    },
    /// A part of the response body.
    Chunk(Bytes),
    /// The response is complete.
    End {
        /// The request this answers.
        request: RequestId,
    },
    /// The call failed after it was accepted.
    Failed {
        /// The request this answers.
        request: RequestId,
        /// The reason.
        code: Code,
        /// Whether it ran.
        ran: Ran,
    },
}

/// The outcome of a call that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It may have been sent to the endpoint, and no response is known yet.
    Running,
    /// The endpoint responded.
    Done {
        /// The HTTP status.
        status: u16,
        /// The response's media type.
        content_type: CompactString,
        /// The response body.
        body: Bytes,
    },
    /// It may have run; the endpoint's response was lost.
    Unknown,
    /// It certainly did not run.
    NotRun,
}

/// An order to load or unload a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The placement leader's fencing number.
    pub fence: Fence,
    /// Whether to load or unload.
    pub action: Action,
    /// The model's name.
    pub model: CompactString,
    /// The memory the model takes, in bytes.
    pub bytes: u64,
}

/// The action of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// An agent's answer to an order.
pub type OrderReply = std::result::Result<(), Code>;

/// The state of a model on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Residency {
    /// The load was ordered and is not yet confirmed.
    Loading,
    /// The model can serve requests.
    Ready,
    /// The unload was ordered and is not yet confirmed.
    Unloading,
}

/// A model in an endpoint's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The model's name.
    pub model: CompactString,
    /// Its state.
    pub state: Residency,
    /// The memory it takes, in bytes.
    pub bytes: u64,
}

/// The type of an agent's endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A service without models, by its name.
    Service(CompactString),
}

/// An agent's report to its gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The agent's instance.
    pub name: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// The type of its endpoint.
    pub kind: EndpointKind,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Whether its endpoint responds.
    pub healthy: bool,
    /// Requests at the endpoint.
    pub running: u32,
    /// Requests waiting at the agent.
    pub waiting: u32,
    /// The number of requests that the endpoint runs at once.
    pub max_running: u32,
    /// The endpoint's memory, in bytes.
    pub memory_bytes: u64,
    /// The models that are loading, ready or unloading, sorted by name.
    pub models: Vec<Resident>,
}

/// One frame of an agent's reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentReport {
    /// The full status.
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
    /// Requests the configuration entries after a revision.
    PullConfig {
        /// The sender's revision.
        after: u64,
    },
    /// Consecutive configuration entries in ascending order.
    Config(Vec<Entry>),
    /// A message about the shares of limits.
    Share(crate::escrow::ShareMessage),
}

/// One run of a gateway instance, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The instance's name.
    pub name: CompactString,
    /// Distinguishes runs of the same instance.
    pub boot: u64,
}

/// The state that a gateway regularly sends to one peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's clock when it sent this.
    pub sent_at: Millis,
    /// `sent_at` of the last heartbeat that the sender received from the receiver.
    /// It acknowledges that heartbeat and proves that this one was written after it.
    pub echo: Option<Millis>,
    /// The share term that the sender has adopted.
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
