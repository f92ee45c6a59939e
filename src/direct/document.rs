//! The operator's configuration as this system uses it.

use bytes::Bytes;
use compact_str::CompactString;

use crate::clock::Millis;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// A stream of events; runs at most once unless it may be resumed.
    Stream {
        /// Whether another endpoint may go on after an event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request of this kind may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Where requests of a host and a path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: CompactString,
    /// The host that it belongs to, in lower case.
    pub host: CompactString,
    /// The prefix of its paths.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// How long a caller may be kept waiting for the end of the answer.
    pub timeout: Millis,
    /// Within which time an answer (a stream's first event) is on time.
    pub target: Millis,
    /// The longest pause between two events of a stream that is on time.
    pub event_gap_target: Millis,
    /// Its rank, where 0 goes first.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_open: bool,
    /// The most endpoints that may run one attempt.
    pub max_endpoints: u32,
    /// Services with their weights.
    pub services: Vec<(CompactString, u32)>,
}

/// Callers leave a stream after a pause of this, of four times the target or of
/// eight times the longest regular pause, whichever is longest.
const MIN_STREAM_START_TIMEOUT: Millis = Millis(2_000);

impl Route {
    /// How long callers wait for an answer to begin.
    pub fn response_start_timeout(&self) -> Millis {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        let by_target = Millis(self.target.0 * 4);
        let by_gap = Millis(self.event_gap_target.0 * 8);
        MIN_STREAM_START_TIMEOUT
            .max(by_target)
            .max(by_gap)
            .min(self.timeout)
    }

    /// The service for a request; `draw` selects among several by weight.
    pub fn service(&self, draw: u64) -> Option<&CompactString> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut at = draw.checked_rem(total)?;
        for (service, weight) in &self.services {
            match at.checked_sub(u64::from(*weight)) {
                Some(rest) => at = rest,
                None => return Some(service),
            }
        }
        None
    }
}

/// A model that engines of a service may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The model.
    pub name: CompactString,
    /// Memory that its weights take, in megabytes.
    pub weight_mb: f64,
    /// Memory that one of its adapters takes, in megabytes.
    pub adapter_mb: f64,
    /// Time of a load from the weight store.
    pub load_time: Millis,
}

/// What the engines of a service are made of.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Tokens of prompts and answers that fit into memory.
    pub kv_tokens: u64,
    /// Memory for weights and adapters, in megabytes.
    pub weight_mb: f64,
    /// Adapters that fit.
    pub adapter_slots: usize,
    /// Loads from the weight store a second, over all engines.
    pub loads_per_s: f64,
    /// The models in ascending order of name.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// The model of this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        let at = self.models.binary_search_by(|m| m.name.as_str().cmp(name));
        at.ok().map(|at| &self.models[at])
    }
}

/// A group of endpoints that serve the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: CompactString,
    /// Connections that one endpoint accepts from all callers.
    pub max_connections: u32,
    /// Set if its endpoints are model engines.
    pub engine: Option<EngineSpec>,
}

/// A customer with its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: CompactString,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
    /// Limit a second over all gateways; 0 stands for none.
    pub rate: u64,
    /// The burst on top of the rate.
    pub burst: u64,
    /// Whether the limit counts tokens; it counts requests otherwise.
    pub counts_tokens: bool,
    /// What a request without a token count is charged.
    pub default_tokens: u64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Millis,
    /// How long a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            // The server library's smallest read buffer is 8 KiB.
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Millis(5_000),
            idle_timeout: Millis(60_000),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// Routes in ascending order of host, and the longest prefix first.
    pub routes: Vec<Route>,
    /// Services in ascending order of name.
    pub services: Vec<Service>,
    /// Workspaces in ascending order of name.
    pub workspaces: Vec<Workspace>,
    /// Keys in ascending order with the index of their workspace.
    pub keys: Vec<(CompactString, usize)>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Parts of the document that could not be used, for the log.
    pub skipped: Vec<CompactString>,
    /// The document as the operator wrote it, to hand on to other gateways.
    pub raw: Bytes,
}

impl Document {
    /// Brings routes, services and keys into the order that lookups need.
    pub fn sort(&mut self) {
        self.routes.sort_by(|a, b| {
            let by_length = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(by_length)
        });
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort();
    }

    /// The route of a host and a path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self.routes.partition_point(|r| r.host.as_str() < host);
        let of_host = self.routes[first..].iter().take_while(|r| r.host == host);
        let mut matching = of_host.filter(|r| path.starts_with(r.prefix.as_str()));
        matching.next()
    }

    /// The workspace that holds a key.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        let at = self.keys.binary_search_by(|(k, _)| k.as_str().cmp(key));
        self.workspaces.get(self.keys[at.ok()?].1)
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        at.ok().map(|at| &self.services[at])
    }
}
