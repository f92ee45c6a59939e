//! Messages between gateways.
//!
//! They are sent as datagrams, because a lost message needs no retransmission: most
//! are periodic and supersede the previous one, and the tokens of a lost loan just
//! remain unused. A message authentication code (MAC) with a secret that only
//! gateways can read proves that the sender is a gateway.

use compact_str::CompactString;
use hmac::{Hmac, KeyInit as _, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use super::control::Need;
use super::directory::Holdings;
use super::evacuation::ZoneList;
use super::load_exchange::{LoadKind, LoadPart};
use super::members::Member;
use super::notices::{ColdNews, LimitNews, RunId};
use super::rate_owner::RequestRate;
use super::registry::RegistryPart;
use super::request::ModelRef;
use super::streams::{StreamId, StreamRecord};
use super::suspects::{Block, CrashReport, PartProgress};
use super::view::LoadTable;
use crate::clock::Millis;

/// Length of the secret in bytes: the block size of SHA-256.
pub const SECRET_BYTES: usize = 64;
/// Length of the MAC at the end of a datagram, in bytes: half of the hash, the
/// shortest truncation that RFC 2104 recommends.
const MAC_BYTES: usize = 16;
/// Maximum size of a datagram in bytes, which fits common link MTUs without
/// fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The secret that the gateways share.
pub type Secret = [u8; SECRET_BYTES];

/// Usage of a workspace's limit at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// The workspace.
    pub workspace: CompactString,
    /// Tokens requested per second, including those that the limit refused.
    pub asked_per_s: u64,
    /// Tokens that the gateway has and could lend.
    pub level: u64,
}

/// Usage of a model at one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelUsage {
    /// The service.
    pub service: CompactString,
    /// The model.
    pub model: CompactString,
    /// Arrival rate in thousandths of a request per second.
    pub milli_per_s: u32,
    /// Average time from a request's arrival to its end, in milliseconds.
    pub took_ms: u32,
}

/// Changes of endpoint registrations, told by a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryUpdate {
    /// The number of groups among which the gateways are divided: the receiver passes the
    /// update on to the others of its group. It does not if there are 0.
    pub groups: u16,
    /// How long ago the store was as the update says.
    pub age: Millis,
    /// One of its parts.
    pub part: RegistryPart,
}

/// A message from one gateway to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The gateway's status and requests in flight.
    Status {
        /// The version of its configuration; 0 before the first one.
        version: u64,
        /// Whether the gateway is stopping.
        is_draining: bool,
        /// Whether this message starts a new load table; a table of many endpoints
        /// is split over several messages.
        is_first: bool,
        /// Requests in flight by endpoint.
        loads: LoadTable,
    },
    /// Usage of the workspaces' limits at the sender.
    Limits(Vec<WorkspaceUsage>),
    /// Requests tokens of a workspace's limit.
    Borrow {
        /// The workspace.
        workspace: CompactString,
        /// Number of tokens.
        tokens: u64,
    },
    /// Lends tokens, which the sender has already taken from its own bucket.
    Lend {
        /// The workspace.
        workspace: CompactString,
        /// Number of tokens.
        tokens: u64,
        /// Tokens that the sender still has.
        left: u64,
    },
    /// Demand for models at the sender.
    Demand {
        /// Whether this message starts a new table.
        is_first: bool,
        /// Rows of the table.
        uses: Vec<ModelUsage>,
    },
    /// Hashes of the adapters that requests used recently.
    Adapters(Vec<u32>),
    /// Tells the leader that a request waits for a model or an adapter.
    Wanted {
        /// The service.
        service: CompactString,
        /// The model, with the adapter if one is needed.
        wanted: ModelRef,
    },
    /// Registrations without a software version, from gateways of older builds. It is
    /// ignored, and holds its place so that the other messages keep their numbers.
    RetiredRegistry,
    /// Models that engines hold, as the leader knows from orders and reports.
    Holdings(Vec<Holdings>),
    /// Changes of endpoint registrations without their age, from leaders of older builds.
    /// It is ignored, and holds its place.
    RetiredRelay(RegistryPart),
    /// Tells the leader that a request goes on with a stream and waits for a model at
    /// an endpoint of one software version.
    WantedAtVersion(Need),
    /// Asks which software version began a stream.
    StreamSought(StreamId),
    /// Software versions that began streams.
    Streams(Vec<StreamRecord>),
    /// Endpoints that ended, with the parts that they were about to answer.
    Crashes(Vec<CrashReport>),
    /// Parts of crashes with which answers got under way.
    PartProgress(Vec<PartProgress>),
    /// Parts that are blocked, and blocks that were lifted.
    Blocks(Vec<Block>),
    /// Endpoints that said that they leave.
    Leaving(Vec<RunId>),
    /// The rates that endpoints take.
    RateLimits(Vec<LimitNews>),
    /// Asks the owner of an endpoint's rate for requests.
    GrantsWanted {
        /// The endpoint.
        run: RunId,
        /// The rate as the sender knows it.
        rate: RequestRate,
        /// The time since the request was sent whose response named it.
        sent_age: Millis,
        /// The time since that response arrived.
        heard_age: Millis,
        /// The number of requests.
        wanted: u32,
    },
    /// Grants requests to an endpoint.
    Grants {
        /// The endpoint.
        run: RunId,
        /// The number of requests that may be sent at once.
        requests: u32,
        /// When the next one can be granted.
        next_in: Millis,
        /// The number that was asked for.
        wanted: u32,
    },
    /// Gateways that the sender knows, while the store is away.
    Members(Vec<Member>),
    /// Changes of endpoint registrations.
    Registrations(RegistryUpdate),
    /// Asks for the changes of endpoint registrations after a revision.
    RegistrationsSought(u64),
    /// Requests in flight by endpoint.
    Loads(LoadKind, LoadPart),
    /// Endpoints that are cold.
    ColdEndpoints(Vec<ColdNews>),
    /// The zones that the operator evacuates.
    Evacuations(ZoneList),
    /// Answers that nothing is known of a stream, and that the sender knows of one software
    /// version of each service only.
    StreamUnknown(StreamId),
}

impl Message {
    /// The kind of message, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Status { .. } => "peer_status",
            Self::Limits(_) => "peer_limits",
            Self::Borrow { .. } => "peer_borrow",
            Self::Lend { .. } => "peer_lend",
            Self::Demand { .. } => "peer_demand",
            Self::Adapters(_) => "peer_adapters",
            Self::Wanted { .. } | Self::WantedAtVersion(_) => "peer_wanted",
            Self::StreamSought(_) => "peer_stream_sought",
            Self::StreamUnknown(_) => "peer_stream_unknown",
            Self::Streams(_) => "peer_streams",
            Self::Registrations(_) | Self::RetiredRegistry | Self::RetiredRelay(_) => {
                "peer_registry"
            }
            Self::RegistrationsSought(_) => "peer_registry_sought",
            Self::Holdings(_) => "peer_holdings",
            Self::Crashes(_) => "peer_crashes",
            Self::PartProgress(_) => "peer_part_progress",
            Self::Blocks(_) => "peer_blocks",
            Self::Leaving(_) => "peer_leaving",
            Self::RateLimits(_) => "peer_rate_limits",
            Self::GrantsWanted { .. } => "peer_grants_wanted",
            Self::Grants { .. } => "peer_grants",
            Self::Members(_) => "peer_members",
            Self::Loads(..) => "peer_loads",
            Self::ColdEndpoints(_) => "peer_cold",
            Self::Evacuations(_) => "peer_evacuations",
        }
    }

    /// Whether the message is about parts of prompts, registrations or evacuated zones, or
    /// requests wait for it. These messages are handled before others that wait, and are numbered apart from
    /// them therefore.
    pub fn is_urgent(&self) -> bool {
        matches!(
            self,
            Self::Crashes(_)
                | Self::PartProgress(_)
                | Self::Blocks(_)
                | Self::GrantsWanted { .. }
                | Self::Grants { .. }
                | Self::ColdEndpoints(_)
                | Self::Registrations(_)
                | Self::RegistrationsSought(_)
                | Self::Evacuations(_)
        )
    }
}

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's name.
    pub from: CompactString,
    /// Random number that identifies one start of the sender.
    pub boot: u64,
    /// Sequence number, which increases with each datagram of one start.
    pub number: u64,
    /// The message.
    pub message: Message,
}

/// Why a datagram cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The MAC is missing or invalid, so the sender may not be a gateway.
    #[error("the message authentication code is invalid")]
    Mac,
    /// The message cannot be encoded or decoded.
    #[error("cannot encode or decode the message: {0}")]
    Encoding(String),
}

/// Encodes a datagram and appends its MAC.
pub fn encode(secret: &Secret, datagram: &Datagram) -> Result<Vec<u8>, DatagramError> {
    let encoding_error = |e: postcard::Error| DatagramError::Encoding(e.to_string());
    let mut bytes = postcard::to_stdvec(datagram).map_err(encoding_error)?;
    let mac = compute_mac(secret, &bytes);
    bytes.extend_from_slice(&mac);
    Ok(bytes)
}

/// Verifies the MAC of a datagram and decodes it.
pub fn decode(secret: &Secret, bytes: &[u8]) -> Result<Datagram, DatagramError> {
    let at = bytes.len().checked_sub(MAC_BYTES);
    let (message, tag) = bytes.split_at(at.ok_or(DatagramError::Mac)?);
    let mut mac = keyed_mac(secret);
    mac.update(message);
    mac.verify_truncated_left(tag)
        .map_err(|_| DatagramError::Mac)?;
    postcard::from_bytes(message).map_err(|e| DatagramError::Encoding(e.to_string()))
}

/// Splits the rows of a table into parts that each fit a datagram.
pub fn split_rows<T: Clone + Serialize>(rows: &[T]) -> Vec<Vec<T>> {
    // The remaining 128 bytes are for the sender, the other fields and the MAC.
    const MAX_ROWS_BYTES: usize = MAX_DATAGRAM_BYTES - 128;
    let mut parts: Vec<Vec<T>> = vec![Vec::new()];
    let mut used = 0;
    for row in rows {
        let size = postcard::experimental::serialized_size(row).unwrap_or(MAX_ROWS_BYTES);
        if used + size > MAX_ROWS_BYTES && used > 0 {
            parts.push(Vec::new());
            used = 0;
        }
        used += size;
        if let Some(part) = parts.last_mut() {
            part.push(row.clone());
        }
    }
    parts
}

fn keyed_mac(secret: &Secret) -> Hmac<Sha256> {
    Hmac::<Sha256>::new(secret.into())
}

fn compute_mac(secret: &Secret, message: &[u8]) -> [u8; MAC_BYTES] {
    let mut mac = keyed_mac(secret);
    mac.update(message);
    let full = mac.finalize().into_bytes();
    let mut tag = [0; MAC_BYTES];
    tag.copy_from_slice(&full[..MAC_BYTES]);
    tag
}
