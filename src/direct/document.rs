//! The operator's configuration in the form that gateways use.

use bytes::Bytes;
use compact_str::CompactString;

use super::rate_owner::RequestRate;
use crate::clock::Millis;

/// How a route responds, and whether its requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// A stream of events; a request runs at most once unless the stream can be
    /// resumed.
    Stream {
        /// Whether another endpoint can continue the stream after a given event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again although it may have run already.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// How requests for a host and a path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: CompactString,
    /// The host name, in lower case.
    pub host: CompactString,
    /// The path prefix.
    pub prefix: CompactString,
    /// How the route responds, and whether its requests may run more than once.
    pub kind: RouteKind,
    /// Timeout until the end of the response.
    pub timeout: Millis,
    /// Latency target of the response; of the first event for a stream.
    pub target: Millis,
    /// Target for the longest gap between two events of a stream.
    pub event_gap_target: Millis,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests without a key are accepted.
    pub is_public: bool,
    /// The maximum number of endpoints that may run the same request.
    pub max_endpoints: u32,
    /// Services that requests are split among, with their weights.
    pub services: Vec<(CompactString, u32)>,
}

/// Callers abandon a stream that sends nothing for this duration, for four times the
/// latency target or for eight times the event gap target, whichever is longest.
const MIN_STREAM_START_TIMEOUT: Millis = Millis(2_000);

impl Route {
    /// How long callers wait for the first byte of the response.
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

    /// Selects the service for a request by weight, using the random number `draw`.
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

/// A model that engines of a service can load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The model.
    pub name: CompactString,
    /// Memory that its weights need, in megabytes.
    pub weight_mb: f64,
    /// Memory that one of its adapters needs, in megabytes.
    pub adapter_mb: f64,
    /// How long a load from the weight store takes.
    pub load_time: Millis,
}

/// Capacity of one engine of a service, and the models that it can load.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Capacity of the KV cache, in tokens of prompts and responses.
    pub kv_tokens: u64,
    /// Memory for weights and adapters, in megabytes.
    pub weight_mb: f64,
    /// The maximum number of adapters.
    pub adapter_slots: usize,
    /// Permitted loads from the weight store per second, over all engines.
    pub loads_per_s: f64,
    /// The models, sorted by name.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        let at = self.models.binary_search_by(|m| m.name.as_str().cmp(name));
        at.ok().map(|at| &self.models[at])
    }
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: CompactString,
    /// The maximum number of connections that one endpoint accepts in total.
    pub max_connections: u32,
    /// Set if its endpoints are model engines.
    pub engine: Option<EngineSpec>,
    /// Set if its endpoints are cold at first.
    pub cold: Option<ColdSpec>,
}

/// How endpoints of a service are used until they are warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdSpec {
    /// How long an endpoint is cold.
    pub time: Millis,
    /// The rate of requests that it takes from all gateways together meanwhile.
    pub rate: RequestRate,
}

/// A workspace: a customer with its rate limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: CompactString,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// Rate limit per second over all gateways; 0 means no limit.
    pub rate: u64,
    /// Burst that is permitted on top of the rate.
    pub burst: u64,
    /// Whether the limit applies to tokens; it applies to requests otherwise.
    pub counts_tokens: bool,
    /// Tokens that a request without a token count is charged.
    pub default_tokens: u64,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// How long a request head may take to arrive.
    pub head_timeout: Millis,
    /// How long a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
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
    /// The version number.
    pub version: u64,
    /// Routes, sorted by host and then by descending length of the prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
    /// Callers' keys, sorted, each with the index of its workspace.
    pub keys: Vec<(CompactString, usize)>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Entries that were skipped because they are invalid, for the log.
    pub skipped: Vec<CompactString>,
    /// The document as the operator wrote it, which other gateways can fetch.
    pub raw: Bytes,
}

impl Document {
    /// Sorts routes, services and keys as lookups require.
    pub fn sort(&mut self) {
        self.routes.sort_by(|a, b| {
            let by_length = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(by_length)
        });
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort();
    }

    /// Returns the route of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let first = self.routes.partition_point(|r| r.host.as_str() < host);
        let of_host = self.routes[first..].iter().take_while(|r| r.host == host);
        let mut matching = of_host.filter(|r| path.starts_with(r.prefix.as_str()));
        matching.next()
    }

    /// The shortest target of the streams that a service serves.
    pub fn shortest_target(&self, service: &str) -> Option<Millis> {
        self.streams(service).map(|r| r.target).min()
    }

    /// The shortest target for the gap between two events of the streams that a service
    /// serves; `None` if none is stated.
    pub fn shortest_event_gap(&self, service: &str) -> Option<Millis> {
        let gaps = self.streams(service).map(|r| r.event_gap_target);
        gaps.filter(|gap| *gap > Millis::ZERO).min()
    }

    /// The routes whose streams a service serves.
    fn streams(&self, service: &str) -> impl Iterator<Item = &Route> {
        self.routes.iter().filter(move |route| {
            let mut services = route.services.iter();
            route.kind.is_stream() && services.any(|(name, weight)| *weight > 0 && name == service)
        })
    }

    /// Whether a route to a service has a target for the gaps between events of its streams.
    pub fn has_event_gap_target(&self, service: &str) -> bool {
        self.routes.iter().any(|route| {
            let mut services = route.services.iter();
            route.kind.is_stream()
                && route.event_gap_target > Millis::ZERO
                && services.any(|(name, weight)| *weight > 0 && name == service)
        })
    }

    /// Returns the workspace that a key belongs to.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        let at = self.keys.binary_search_by(|(k, _)| k.as_str().cmp(key));
        self.workspaces.get(self.keys[at.ok()?].1)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        at.ok().map(|at| &self.services[at])
    }
}
