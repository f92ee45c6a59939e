//! Messages between gateways: small, periodic, each replaced by the next one.
//!
//! They travel as datagrams, since a lost one needs no repair. A code made with
//! a secret that only the fleet's members can read proves where they are from.

use compact_str::CompactString;
use hmac::{Hmac, KeyInit as _, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use super::directory::Holdings;
use super::registry::RegistryPart;
use super::request::ModelRef;
use super::view::LoadTable;

/// Length of the secret, in bytes: one block of the hash.
pub const SECRET_BYTES: usize = 64;
/// Length of the code at the end of a datagram, in bytes: half of the hash,
/// the shortest truncation that RFC 2104 advises.
const MAC_BYTES: usize = 16;
/// The largest datagram, in bytes: one that no common link has to split.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The fleet's secret.
pub type Secret = [u8; SECRET_BYTES];

/// Use of one workspace at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// The workspace.
    pub workspace: CompactString,
    /// Tokens asked for a second, those refused by the limit included.
    pub asked_per_s: u64,
    /// Tokens that it has and could lend.
    pub level: u64,
}

/// Use of one model at one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelUse {
    /// The service.
    pub service: CompactString,
    /// The model.
    pub model: CompactString,
    /// Requests that arrive a second, in thousandths.
    pub milli_per_s: u32,
    /// How long a request takes from its arrival to its end, on average.
    pub took_ms: u32,
}

/// What a gateway tells the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// How it is.
    Status {
        /// The version of its configuration; 0 before the first one.
        version: u64,
        /// Whether it is stopping.
        is_draining: bool,
        /// Whether what it has in flight begins with this message; the table
        /// of a large fleet takes several.
        is_first: bool,
        /// What it has in flight.
        loads: LoadTable,
    },
    /// What its callers ask of the workspaces' limits.
    Limits(Vec<WorkspaceUse>),
    /// Asks for tokens of a workspace's limit.
    Borrow {
        /// The workspace.
        workspace: CompactString,
        /// Tokens.
        tokens: u64,
    },
    /// Hands over tokens that the sender has already given up.
    Lend {
        /// The workspace.
        workspace: CompactString,
        /// Tokens.
        tokens: u64,
        /// Tokens that the sender still has.
        left: u64,
    },
    /// What its callers ask of the models.
    Demand {
        /// Whether the table begins with this message.
        is_first: bool,
        /// Rows of the table.
        uses: Vec<ModelUse>,
    },
    /// Adapters that requests used lately, by their hashes.
    Adapters(Vec<u32>),
    /// A request waits for a model or an adapter; for the leader.
    Wanted {
        /// The service.
        service: CompactString,
        /// The model.
        wanted: ModelRef,
    },
    /// What changed among the endpoints' registrations; from the leader.
    Registry(RegistryPart),
    /// What engines hold, as the leader knows from orders and reports.
    Holdings(Vec<Holdings>),
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: CompactString,
    /// The sender's start.
    pub boot: u64,
    /// Grows with each datagram of a start.
    pub number: u64,
    /// What it says.
    pub message: Message,
}

/// Why a datagram is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// It does not prove that a member sent it.
    #[error("the code is wrong")]
    Mac,
    /// It cannot be read.
    #[error("the message cannot be read: {0}")]
    Encoding(String),
}

/// Encodes a datagram.
pub fn encode(secret: &Secret, datagram: &Datagram) -> Result<Vec<u8>, DatagramError> {
    let encoding_error = |e: postcard::Error| DatagramError::Encoding(e.to_string());
    let mut bytes = postcard::to_stdvec(datagram).map_err(encoding_error)?;
    let mac = compute_mac(secret, &bytes);
    bytes.extend_from_slice(&mac);
    Ok(bytes)
}

/// Decodes a datagram after checking its code.
pub fn decode(secret: &Secret, bytes: &[u8]) -> Result<Datagram, DatagramError> {
    let at = bytes.len().checked_sub(MAC_BYTES);
    let (message, tag) = bytes.split_at(at.ok_or(DatagramError::Mac)?);
    let mut mac = keyed_mac(secret);
    mac.update(message);
    mac.verify_truncated_left(tag)
        .map_err(|_| DatagramError::Mac)?;
    postcard::from_bytes(message).map_err(|e| DatagramError::Encoding(e.to_string()))
}

/// Splits rows over messages so that each fits a datagram.
pub fn split_rows<T: Clone + Serialize>(rows: &[T]) -> Vec<Vec<T>> {
    // Room for the sender, the numbers and the code.
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
