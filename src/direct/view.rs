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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests without an end of their answers.
    pub requests: u32,
    /// Prompt tokens of requests without a first event.
    pub unread_tokens: u32,
    /// Memory of all requests at their full length, in tokens.
    pub tokens: u32,
}

impl Load {
    /// Adds another gateway's load.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.unread_tokens += other.unread_tokens;
        self.tokens += other.tokens;
    }

    /// Takes a load away.
    pub fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.tokens = self.tokens.saturating_sub(other.tokens);
    }
}

/// Loads by endpoint in ascending order of identifier.
pub type LoadTable = Vec<(CompactString, Load)>;

/// The load of an endpoint in a table; nothing if it is not there.
pub fn load_of(table: &LoadTable, endpoint: &str) -> Load {
    let at = table.binary_search_by(|(id, _)| id.as_str().cmp(endpoint));
    at.map_or(Load::default(), |at| table[at].1)
}
