//! What control publishes to traffic.

use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::dialect::{Registration, Resident};
use super::document::Document;
use super::request::ModelRef;

/// How far an endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usability {
    /// It takes new work.
    Open,
    /// It is about to leave, or its registration lapsed a moment ago: it gets
    /// work only where no other endpoint can do it.
    Leaving,
}

/// One endpoint as control knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointView {
    /// What it says of itself.
    pub registration: Arc<Registration>,
    /// How far it may be used.
    pub usability: Usability,
    /// What it holds for requests, by its registration and by the leader.
    pub holdings: Arc<Vec<Resident>>,
}

impl EndpointView {
    /// Whether it holds a model and the adapter that is named.
    pub fn holds(&self, wanted: &ModelRef) -> bool {
        let found = self.holdings.iter().find(|r| r.model == wanted.model);
        let Some(resident) = found else { return false };
        let adapter = wanted.adapter.as_ref();
        adapter.is_none_or(|a| resident.adapters.contains(a))
    }

    /// Whether it holds a model, with or without the adapter.
    pub fn holds_model(&self, model: &str) -> bool {
        self.holdings.iter().any(|r| r.model == model)
    }
}

/// All that traffic needs to know.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Grows with each publication.
    pub generation: u64,
    /// The configuration in force; `None` until the first one is known.
    pub document: Option<Arc<Document>>,
    /// Endpoints in ascending order of identifier.
    pub endpoints: Vec<EndpointView>,
}

/// What one gateway has in flight at an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests without an end of their answers.
    pub requests: u32,
    /// Prompt tokens of requests without a first event.
    pub unread_tokens: u32,
    /// Memory of all requests at their full length, in tokens.
    pub tokens: u32,
    /// Requests by model, named by a hash to keep messages small.
    pub models: Vec<(u32, u32)>,
}

/// The name of a model in a [`Load`].
pub fn model_hash(model: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(model.as_bytes()) as u32
}

impl Load {
    /// Adds another gateway's load.
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

    /// Takes a load away.
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

    /// Requests for one model.
    pub fn of_model(&self, model: &str) -> u32 {
        let hash = model_hash(model);
        let found = self.models.iter().find(|(m, _)| *m == hash);
        found.map_or(0, |(_, requests)| *requests)
    }
}

/// Loads by endpoint in ascending order of identifier.
pub type LoadTable = Vec<(CompactString, Load)>;

/// The load of an endpoint in a table; nothing if it is not there.
pub fn load_of(table: &LoadTable, endpoint: &str) -> Load {
    let at = table.binary_search_by(|(id, _)| id.as_str().cmp(endpoint));
    at.map_or_else(|_| Load::default(), |at| table[at].1.clone())
}
