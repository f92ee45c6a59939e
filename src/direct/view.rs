//! The view that the control thread publishes to the traffic thread, and the load
//! of endpoints.

use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::dialect::{Registration, Resident};
use super::document::Document;
use super::rate_owner::RequestRate;
use super::request::ModelRef;
use super::streams::VersionHistory;

/// Whether an endpoint may receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usability {
    /// It accepts new requests.
    Open,
    /// It is shutting down, or its registration has recently expired. It receives
    /// requests only if no other endpoint can serve them.
    Leaving,
    /// It takes this rate of requests only, much less than usual.
    Limited(RequestRate),
}

/// An endpoint as the control thread knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointView {
    /// Its registration.
    pub registration: Arc<Registration>,
    /// Whether it may receive requests.
    pub usability: Usability,
    /// Models that requests may use, according to its registration and the leader.
    pub holdings: Arc<Vec<Resident>>,
}

impl EndpointView {
    /// Whether it holds a model and, if one is named, the adapter.
    pub fn holds(&self, wanted: &ModelRef) -> bool {
        let found = self.holdings.iter().find(|r| r.model == wanted.model);
        let Some(resident) = found else { return false };
        let adapter = wanted.adapter.as_ref();
        adapter.is_none_or(|a| resident.adapters.contains(a))
    }

    /// Whether it holds a model, with any adapters.
    pub fn holds_model(&self, model: &str) -> bool {
        self.holdings.iter().any(|r| r.model == model)
    }
}

/// The control state that the traffic thread needs.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Increases with each publication.
    pub generation: u64,
    /// The current configuration; `None` until the first one has arrived.
    pub document: Option<Arc<Document>>,
    /// Endpoints, sorted by identifier.
    pub endpoints: Vec<EndpointView>,
    /// Software versions that endpoints had lately.
    pub versions: Arc<VersionHistory>,
}

impl View {
    /// Whether an endpoint of a service has a software version.
    pub fn has_version(&self, service: &str, version: &str) -> bool {
        let mut registrations = self.endpoints.iter().map(|e| &e.registration);
        registrations.any(|r| r.version == version && r.service == service)
    }
}

/// Requests in flight at an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests whose response has not ended.
    pub requests: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    pub unread_tokens: u32,
    /// Memory that all requests need at their full length, in tokens.
    pub tokens: u32,
    /// The number of requests by hash of the model's name, which keeps messages small.
    pub models: Vec<(u32, u32)>,
}

/// Returns the hash that identifies a model in a [`Load`].
pub fn model_hash(model: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(model.as_bytes()) as u32
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.unread_tokens += other.unread_tokens;
        self.tokens += other.tokens;
        for (model, requests) in &other.models {
            match self.models.iter_mut().find(|(m, _)| m == model) {
                Some((_, known)) => *known += requests,
                None => self.models.push((*model, *requests)),
            }
        }
    }

    /// Subtracts another load.
    pub fn remove(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        for (model, requests) in &other.models {
            if let Some((_, known)) = self.models.iter_mut().find(|(m, _)| m == model) {
                *known = known.saturating_sub(*requests);
            }
        }
        self.models.retain(|(_, requests)| *requests > 0);
    }

    /// Returns the number of requests for a model.
    pub fn requests_for_model(&self, model: &str) -> u32 {
        let hash = model_hash(model);
        let found = self.models.iter().find(|(m, _)| *m == hash);
        found.map_or(0, |(_, requests)| *requests)
    }
}

/// Loads by endpoint, sorted by identifier.
pub type LoadTable = Vec<(CompactString, Load)>;

/// Returns the load of an endpoint; an empty load if the table does not list it.
pub fn load_of(table: &LoadTable, endpoint: &str) -> Load {
    let at = table.binary_search_by(|(id, _)| id.as_str().cmp(endpoint));
    at.map_or_else(|_| Load::default(), |at| table[at].1.clone())
}
