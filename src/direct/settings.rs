//! Settings of a gateway that connects to its endpoints directly.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::retry_budget::RetryLimit;
use crate::clock::Millis;

/// The settings with which a process starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: CompactString,
    /// The instance's availability zone.
    pub zone: CompactString,
    /// The address on which callers connect.
    pub callers: SocketAddr,
    /// The address on which the load balancer checks readiness.
    pub readiness: SocketAddr,
    /// The address for the other gateways (UDP and TCP), which also serves the
    /// state dump and metrics.
    pub internal: SocketAddr,
    /// An additional address on which metrics are served.
    pub metrics: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Writing calls that the store takes from all gateways together, in a second.
    pub store_writes_per_s: u32,
    /// Bounds that the operator sets. Those of a running process may differ; see
    /// [`LiveSettings`](super::reload::LiveSettings).
    pub bounds: Bounds,
}

/// The content of a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// The gateway's settings.
    pub gateway: Settings,
    /// The maximum number of file descriptors that the process may open.
    pub max_descriptors: u32,
    /// The memory of the machine, over which the process is killed.
    pub memory_bytes: usize,
}

/// Bounds that the operator sets for the system's behaviour.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Duration of a gateway's lease; the leader key is bound to that lease.
    pub lease: Millis,
    /// How long a new leader waits before its first order if the previous leader
    /// resigned, so that earlier orders have arrived.
    pub succession: Millis,
    /// How long an endpoint may still receive requests after it announced a drain.
    pub drain: Millis,
    /// The grace period within which a process must stop.
    pub grace: Millis,
    /// How long it takes after a store outage until the store lists all endpoints
    /// again.
    pub relist: Millis,
    /// The limit on retries.
    pub retries: RetryLimit,
    /// Tokens by which all gateways together may exceed a workspace's limit.
    pub limit_slack: u64,
    /// The window over which loads from the weight store are limited.
    pub load_window: Millis,
    /// Time after the start of a zone's evacuation from which nothing may reach it; `None` if
    /// the operator names none, as where no zone is evacuated.
    pub evacuation: Option<Millis>,
    /// The additional time for a gateway that the store turns away.
    pub stretch: Millis,
}

/// The bound of an evacuation for which the settings name none.
const DEFAULT_EVACUATION: Millis = Millis(5_000);

impl Bounds {
    /// Time after the start of a zone's evacuation from which nothing may reach it.
    pub fn evacuation_bound(&self) -> Millis {
        self.evacuation.unwrap_or(DEFAULT_EVACUATION)
    }

    /// For how long after the start of its evacuation a zone gets the requests that no other
    /// can serve. The other half of the bound is for the news and for what is on its way.
    pub fn zone_grace(&self) -> Millis {
        Millis(self.evacuation_bound().0 / 2)
    }
}
