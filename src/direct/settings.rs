//! Settings of a gateway that reaches its endpoints straight.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::retry_budget::RetryLimit;
use crate::clock::Millis;

/// What a process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub name: CompactString,
    /// The instance's availability zone.
    pub zone: CompactString,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the process is ready.
    pub readiness: SocketAddr,
    /// Where the other gateways connect (UDP and TCP), and where the state dump
    /// is served.
    pub internal: SocketAddr,
    /// Where metrics are served, beside the address for the other gateways.
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The operator's bounds.
    pub bounds: Bounds,
}

/// What the operator binds the system to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long a lease of a duty lasts.
    pub lease: Millis,
    /// How long after another holder's last order the next holder may order.
    pub succession: Millis,
    /// How long after a drain was announced an endpoint may still get work.
    pub drain: Millis,
    /// How long a process may take to stop.
    pub grace: Millis,
    /// How long a store that comes back takes to list all endpoints again.
    pub relist: Millis,
    /// The bound on repeated requests.
    pub retries: RetryLimit,
    /// What all gateways together may let through beyond a workspace's limit,
    /// in tokens.
    pub limit_slack: u64,
    /// Loads from the weight store are judged over this span.
    pub load_window: Millis,
}
