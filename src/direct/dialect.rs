//! What a platform's adapter has to provide: names, formats and calls.
//!
//! Everything here is synchronous encoding and decoding. Connections, timeouts,
//! retries and every decision stay in this library, so an adapter is a set of
//! tables, and tests run the same code against a dialect of their own.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Request, StatusCode};

use super::document::Document;
use super::request::{ForwardMetadata, RequestMetadata};
use crate::clock::Millis;

/// A request to the store or to an endpoint's own interface.
pub type Call = Request<Bytes>;

/// One key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: CompactString,
    /// The value; `None` says that the key was removed.
    pub value: Option<Bytes>,
    /// The store's revision at the last change of this key.
    pub revision: u64,
    /// The store's revision at which the key was created.
    pub created: u64,
}

/// A page of a range read, or the events of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items in the order of the answer.
    pub items: Vec<Item>,
    /// The store's revision that the answer reflects.
    pub revision: u64,
    /// Whether a further page follows after the last key.
    pub has_more: bool,
}

/// A change of several keys that takes effect as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// Keys and the revisions that they must have; 0 stands for an absent key.
    pub expected: Vec<(CompactString, u64)>,
    /// Keys, new values and leases; lease 0 keeps the key until it is removed.
    pub puts: Vec<(CompactString, Bytes, u64)>,
}

/// A lease as granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its identifier.
    pub id: u64,
    /// How long it lasts after a renewal reaches the store.
    pub ttl: Millis,
}

/// Why a call to the store has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store turned the call away; nothing was done.
    #[error("turned away with status {0}")]
    Rejected(StatusCode),
    /// The condition does not hold.
    #[error("the condition does not hold")]
    Conflict,
    /// The key or the lease does not exist.
    #[error("no such key or lease")]
    NotFound,
    /// The history after the given revision is no longer available.
    #[error("history compacted")]
    Compacted,
    /// No answer arrived; the call may have taken effect or still do so.
    #[error("no answer: {0}")]
    Unanswered(CompactString),
    /// The answer cannot be read.
    #[error("answer cannot be read: {0}")]
    Malformed(CompactString),
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum EndpointState {
    /// It takes new work.
    Ready,
    /// It is about to leave and takes no new work.
    Draining,
}

/// A model with its adapters in an engine's memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Resident {
    /// The model.
    pub model: CompactString,
    /// Its adapters, those on their way included.
    pub adapters: Vec<CompactString>,
}

/// What an endpoint says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Registration {
    /// The endpoint's identifier.
    pub id: CompactString,
    /// The wall-clock time of its start in milliseconds, by its own clock; tells
    /// two starts under one identifier apart.
    pub born: u64,
    /// The service that it belongs to.
    pub service: CompactString,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// What it holds, mostly without adapters; `None` for services without models.
    pub models: Option<Vec<Resident>>,
    /// Models that it loads from its own memory or disk.
    pub at_hand: Vec<CompactString>,
}

/// An engine's own report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The wall-clock time of its start in milliseconds.
    pub born: u64,
    /// The number of orders that it has accepted since its start.
    pub orders: u64,
    /// Whether a model is being loaded or unloaded.
    pub is_busy: bool,
    /// What it holds.
    pub models: Vec<Resident>,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
}

/// What an order asks an engine to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Operation {
    /// Bring a model or an adapter into memory.
    Load,
    /// Drop it.
    Unload,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelOrder {
    /// What to do.
    pub operation: Operation,
    /// The model.
    pub model: CompactString,
    /// The adapter, if the order is about one.
    pub adapter: Option<CompactString>,
    /// The number of orders that the engine must have accepted so far.
    pub expected: u64,
    /// Who gives the order.
    pub holder: CompactString,
    /// The holder's fencing number.
    pub fence: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// It held already.
    Done,
    /// Another order is in progress, or the number of orders differs.
    Busy,
    /// A higher fencing number was seen.
    Fenced,
    /// Another endpoint has this address.
    OtherEndpoint,
    /// The order is not valid.
    Invalid,
}

/// What the head of an endpoint's answer says beyond its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerMark {
    /// The request that it answers, as the endpoint names it.
    pub request: Option<CompactString>,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether another endpoint than the expected one answered.
    pub is_misdirected: bool,
}

/// The names, formats and calls of a platform.
pub trait Dialect: Send + Sync + 'static {
    /// The store's key of the operator's configuration.
    fn configuration_key(&self) -> &str;
    /// The prefix under which endpoints register.
    fn registrations_prefix(&self) -> &str;

    /// Reads one key.
    fn read_key(&self, key: &str) -> Call;
    /// Reads a page of a prefix, after a key if one is given.
    fn read_range(&self, prefix: &str, after: Option<&str>) -> Call;
    /// Waits for changes of a prefix after a revision.
    fn watch(&self, prefix: &str, after: u64, wait: Millis) -> Call;
    /// Changes keys under a condition.
    fn commit(&self, commit: &Commit) -> Call;
    /// Opens a lease.
    fn open_lease(&self, ttl: Millis) -> Call;
    /// Renews a lease.
    fn renew_lease(&self, id: u64) -> Call;
    /// Ends a lease and removes its keys.
    fn end_lease(&self, id: u64) -> Call;

    /// Decodes the answer to [`Dialect::read_key`].
    fn decode_item(&self, status: StatusCode, body: &[u8]) -> Result<Item, StoreError>;
    /// Decodes the answer to [`Dialect::read_range`].
    fn decode_page(&self, status: StatusCode, body: &[u8]) -> Result<Page, StoreError>;
    /// Decodes the answer to [`Dialect::watch`].
    fn decode_events(&self, status: StatusCode, body: &[u8]) -> Result<Page, StoreError>;
    /// Decodes the answer to [`Dialect::commit`]: the revision of the change.
    fn decode_commit(&self, status: StatusCode, body: &[u8]) -> Result<u64, StoreError>;
    /// Decodes the answer to [`Dialect::open_lease`].
    fn decode_lease(&self, status: StatusCode, body: &[u8]) -> Result<Lease, StoreError>;
    /// Decodes the answer to [`Dialect::renew_lease`] and [`Dialect::end_lease`].
    fn decode_renewal(&self, status: StatusCode) -> Result<(), StoreError>;

    /// Decodes the operator's configuration.
    fn decode_configuration(&self, value: &[u8]) -> Result<Document, CompactString>;
    /// Decodes an endpoint's registration; the error names what is wrong.
    fn decode_registration(&self, item: &Item) -> Result<Registration, CompactString>;

    /// Reads what the headers of a caller's request say.
    fn read_request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;
    /// The headers with which a request goes on to an endpoint.
    fn forward_headers(&self, received: &HeaderMap, forwarding: &ForwardMetadata<'_>) -> HeaderMap;
    /// Reads the head of an endpoint's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMark;

    /// Asks an engine for its report.
    fn report(&self) -> Call;
    /// Decodes an engine's report.
    fn decode_report(&self, body: &[u8]) -> Result<Report, CompactString>;
    /// Gives an order to the engine with this identifier.
    fn order(&self, endpoint: &str, order: &ModelOrder) -> Call;
    /// Decodes the answer to [`Dialect::order`].
    fn decode_order(&self, status: StatusCode) -> OrderOutcome;
}
