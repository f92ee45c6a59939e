//! Client of the weight store's catalogue.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use http::Method;
use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::http::{HttpClient, client, exchange};

/// The path of the catalogue in the weight store.
pub const CATALOGUE_PATH: &str = "/catalogue";
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One model of the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The model's name.
    pub name: CompactString,
    /// The memory it needs on an endpoint, in bytes.
    pub bytes: u64,
}

/// The weight store's models and load limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The models, sorted by name.
    pub models: Vec<Model>,
    /// The number of loads that can run at once at full speed.
    pub concurrent_loads: usize,
}

impl Catalogue {
    /// Whether the store has this model.
    pub fn has(&self, model: &str) -> bool {
        self.models
            .binary_search_by(|m| m.name.as_str().cmp(model))
            .is_ok()
    }
}

/// Client of the weight store. Clones share their connections.
#[derive(Clone, Debug)]
pub struct WeightStore {
    client: HttpClient,
    uri: String,
}

impl WeightStore {
    /// Creates a client of the store at this address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            client: client(),
            uri: format!("http://{addr}{CATALOGUE_PATH}"),
        }
    }

    /// Reads the catalogue.
    pub async fn read(&self) -> Result<Catalogue> {
        let no_body = None::<&()>;
        let read = exchange(&self.client, Method::GET, &self.uri, no_body, CALL_TIMEOUT);
        let mut catalogue: Catalogue = read.await?;
        catalogue.models.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(catalogue)
    }
}
