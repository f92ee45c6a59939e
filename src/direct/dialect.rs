//! The interface to a platform: its names, formats and calls.
//!
//! A dialect only encodes and decodes, synchronously. Connections, timeouts,
//! retries and all decisions are in this library, so that a dialect contains no
//! logic and tests can run the same code with a dialect of their own.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Request, StatusCode};

use super::document::Document;
use super::notices::{Notice, Stated};
use super::request::{ForwardMetadata, RequestMetadata};
use crate::clock::Millis;

/// A request to the store or to an engine's control interface.
pub type Call = Request<Bytes>;

/// One key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: CompactString,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// The store revision of the key's last change.
    pub revision: u64,
    /// The store revision at which the key was created.
    pub create_revision: u64,
}

/// One page of a range read, or the events that a watch returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items in the order of the response.
    pub items: Vec<Item>,
    /// The store revision that the response reflects.
    pub revision: u64,
    /// Whether there are further keys after the last item.
    pub has_more: bool,
}

/// An atomic, conditional change of several keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revisions that they must have; 0 means that the key is absent.
    pub expected: Vec<(CompactString, u64)>,
    /// Keys with their new values and leases; a key with lease 0 does not expire.
    pub puts: Vec<(CompactString, Bytes, u64)>,
}

/// A lease that the store granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its identifier.
    pub id: u64,
    /// Duration for which it is valid after a renewal reaches the store.
    pub ttl: Millis,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store rejected the call and changed nothing.
    #[error("rejected with status {0}")]
    Rejected(StatusCode),
    /// A key does not have the expected revision; nothing was changed.
    #[error("a key does not have the expected revision")]
    Conflict,
    /// The key or the lease does not exist.
    #[error("key or lease not found")]
    NotFound,
    /// The store no longer has the changes after the given revision.
    #[error("history after the requested revision was compacted")]
    Compacted,
    /// No response arrived; the call may have taken effect or may still do so.
    #[error("no response: {0}")]
    Unanswered(CompactString),
    /// An outage of the store began after the call was sent, and is over. No response will
    /// arrive any more.
    #[error("no response: sent before an outage of the store that is over")]
    Overtaken,
    /// The store came back from a copy while the call ran; it may have taken effect.
    #[error("the store came back from a copy")]
    Restored,
    /// The response cannot be decoded.
    #[error("cannot decode the response: {0}")]
    Malformed(CompactString),
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum EndpointState {
    /// It accepts new requests.
    Ready,
    /// It is shutting down and accepts no new requests.
    Draining,
}

/// A model in an engine's memory, with its adapters.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Resident {
    /// The model.
    pub model: CompactString,
    /// Its adapters, including those that are still being loaded.
    pub adapters: Vec<CompactString>,
}

/// An endpoint's registration in the store, written by the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Registration {
    /// The endpoint's identifier.
    pub id: CompactString,
    /// Its start time in milliseconds by its own wall clock; distinguishes two
    /// starts under the same identifier.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// The service that it belongs to.
    pub service: CompactString,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: CompactString,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Models in its memory, usually listed without adapters; `None` for services
    /// without models.
    pub models: Option<Vec<Resident>>,
    /// Models that it can load from its own memory or disk, without the weight store.
    #[serde(rename = "at_hand")]
    pub local_models: Vec<CompactString>,
    /// The version of its software; empty if it states none.
    pub version: CompactString,
    /// How much longer it is cold, if it states so. It is not part of messages: builds
    /// before it could not decode them, and it would be old when it arrives. The reducer
    /// takes it out of each registration that it reads.
    #[serde(skip)]
    pub cold_left: Option<Millis>,
}

/// An engine's report about its state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Its start time in milliseconds by its own wall clock.
    pub started_at: u64,
    /// The number of orders that it has accepted since its start.
    pub orders: u64,
    /// Whether a model is being loaded or unloaded.
    pub is_busy: bool,
    /// Models in its memory.
    pub models: Vec<Resident>,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of running requests.
    pub running: u32,
}

/// The operation that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Operation {
    /// Load a model or an adapter into memory.
    Load,
    /// Remove it from memory.
    Unload,
}

/// An order to one engine to load or unload a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelOrder {
    /// The operation.
    pub operation: Operation,
    /// The model.
    pub model: CompactString,
    /// The adapter, if the order concerns one.
    pub adapter: Option<CompactString>,
    /// The number of orders that the engine must have accepted before this one; it
    /// rejects the order otherwise.
    pub expected: u64,
    /// The gateway that sends the order as leader.
    pub holder: CompactString,
    /// The leader's fencing number.
    pub fence: u64,
}

/// An engine's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine is carrying out the order.
    Accepted,
    /// The engine already was in the requested state.
    Done,
    /// Another order is in progress, or the engine's number of accepted orders
    /// differs from the expected one.
    Busy,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// A different endpoint responded at this address.
    OtherEndpoint,
    /// The order is not valid.
    Invalid,
}

/// What the head of an endpoint's response states in addition to its status.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// The identifier of the request that the endpoint responds to, if stated.
    pub request_id: Option<CompactString>,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether a different endpoint than the intended one responded.
    pub is_misdirected: bool,
    /// What the endpoint states of itself.
    pub notice: Notice,
}

impl ResponseHead {
    /// Whether the response belongs to the request with this identifier. Without an identifier,
    /// it may be a late copy of an earlier response if the connection carried other requests,
    /// and no refusal is taken from it.
    pub fn is_response_to(&self, request_id: &str, is_reused: bool) -> bool {
        match &self.request_id {
            Some(id) => id == request_id,
            None => !is_reused && !self.not_run && !self.is_misdirected,
        }
    }
}

/// Names, formats and calls of a platform.
pub trait Dialect: Send + Sync + 'static {
    /// The store key of the operator's configuration.
    fn configuration_key(&self) -> &str;
    /// The prefix of the store keys that the operator writes.
    fn operator_prefix(&self) -> &str;
    /// The zone that a key evacuates while it exists; `None` if it is another key.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str>;
    /// The prefix of the store keys under which endpoints register.
    fn registrations_prefix(&self) -> &str;

    /// Reads one key.
    fn read_key(&self, key: &str) -> Call;
    /// Reads one page of the keys under a prefix, starting after a key if one is given.
    fn read_range(&self, prefix: &str, after: Option<&str>) -> Call;
    /// Waits up to `wait` for changes under a prefix after a revision.
    fn watch(&self, prefix: &str, after: u64, wait: Millis) -> Call;
    /// Commits a transaction.
    fn commit(&self, transaction: &Transaction) -> Call;
    /// Opens a lease.
    fn open_lease(&self, ttl: Millis) -> Call;
    /// Renews a lease.
    fn renew_lease(&self, id: u64) -> Call;
    /// Ends a lease and removes its keys.
    fn end_lease(&self, id: u64) -> Call;

    /// Reads the era of the store, in which its revisions count, from the headers of a
    /// response; `None` if it states none.
    fn read_era(&self, headers: &HeaderMap) -> Option<Stated<u64>>;
    /// Decodes the response to [`Dialect::read_key`].
    fn decode_item(&self, status: StatusCode, body: &[u8]) -> Result<Item, StoreError>;
    /// Decodes the response to [`Dialect::read_range`].
    fn decode_page(&self, status: StatusCode, body: &[u8]) -> Result<Page, StoreError>;
    /// Decodes the response to [`Dialect::watch`].
    fn decode_events(&self, status: StatusCode, body: &[u8]) -> Result<Page, StoreError>;
    /// Decodes the response to [`Dialect::commit`]: the revision of the change.
    fn decode_commit(&self, status: StatusCode, body: &[u8]) -> Result<u64, StoreError>;
    /// Decodes the response to [`Dialect::open_lease`].
    fn decode_lease(&self, status: StatusCode, body: &[u8]) -> Result<Lease, StoreError>;
    /// Decodes the response to [`Dialect::renew_lease`] and [`Dialect::end_lease`].
    fn decode_renewal(&self, status: StatusCode) -> Result<(), StoreError>;

    /// Decodes the operator's configuration.
    fn decode_configuration(&self, value: &[u8]) -> Result<Document, CompactString>;
    /// Decodes an endpoint's registration; the error describes what is invalid.
    fn decode_registration(&self, item: &Item) -> Result<Registration, CompactString>;

    /// Reads the metadata in the headers of a caller's request.
    fn read_request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;
    /// Returns the headers of the request that is forwarded to an endpoint.
    fn forward_headers(&self, received: &HeaderMap, forwarding: &ForwardMetadata<'_>) -> HeaderMap;
    /// Reads the head of an endpoint's response.
    fn read_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Requests an engine's report.
    fn report(&self) -> Call;
    /// Decodes an engine's report.
    fn decode_report(&self, body: &[u8]) -> Result<Report, CompactString>;
    /// Sends an order to the engine with this identifier.
    fn order(&self, endpoint: &str, order: &ModelOrder) -> Call;
    /// Decodes the response to [`Dialect::order`].
    fn decode_order(&self, status: StatusCode) -> OrderOutcome;
}
