//! Events, effects and the view of the control state.

use std::sync::Arc;

use compact_str::CompactString;

use crate::bucket::Usage;
use crate::clock::Millis;
use crate::config::{Document, Entry};
use crate::configuration::Snapshot;
use crate::escrow::{ShareEffect, ShareEvent};
use crate::instances::Instance;
use crate::placement::{AgentOrder, Demand};
use crate::weights::Catalogue;
use crate::wire::{AgentStatus, Envelope, Fence, PeerMessage};

/// An input of the control state.
#[derive(Debug)]
pub enum Event {
    /// Time has passed. Carries the usage counters of all buckets.
    Tick(Vec<Usage>),
    /// The configuration's head was read.
    HeadRead {
        /// When the read was sent.
        sent_at: Millis,
        /// The last revision.
        revision: u64,
    },
    /// The snapshot and the log of the configuration were read.
    LogRead {
        /// When the read was sent.
        sent_at: Millis,
        /// The latest snapshot.
        snapshot: Snapshot,
        /// The entries after it.
        entries: Vec<Entry>,
    },
    /// A call to the platform's service failed.
    PlatformFailed,
    /// The instance list was read.
    Instances(Vec<Instance>),
    /// Another gateway sent a message.
    Peer(Envelope),
    /// An agent sent a report.
    Agent(AgentStatus),
    /// The connection to an agent was lost.
    AgentLost(CompactString),
    /// The weight store's catalogue was read.
    Catalogue(Catalogue),
    /// An event about shares of limits.
    Share(ShareEvent),
    /// This gateway became the placement leader (with its fencing number) or lost leadership.
    LeadershipChanged(Option<Fence>),
    /// An agent refused an order or did not answer it.
    OrderRefused(AgentOrder),
    /// The requests that wait for models were counted.
    Demand(Vec<Demand>),
    /// An operator's tool reported a new revision of the configuration.
    RevisionHint(u64),
    /// This gateway is shutting down.
    Drain,
}

/// An action that the driver carries out.
#[derive(Debug)]
pub enum Effect {
    /// Publish a new view to the traffic threads.
    Publish,
    /// Serve keyed routes (those that require an API key) until this time.
    SetKeyedRoutesUntil(Millis),
    /// Read the configuration's head from the platform's service.
    ReadHead,
    /// Read the configuration's snapshot and log from the platform's service.
    ReadLog,
    /// Read the share term and the leases of its holders from the platform's service.
    ReadShares,
    /// Send a message to a gateway.
    Send {
        /// The gateway's name.
        to: CompactString,
        /// The message.
        message: PeerMessage,
    },
    /// An action on shares of limits.
    Share(ShareEffect),
    /// Send an order to an agent.
    Order(AgentOrder),
}

/// The part of the control state that traffic threads read. Lists are sorted by name.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration's revision.
    pub revision: u64,
    /// The configuration.
    pub document: Arc<Document>,
    /// The connected agents.
    pub agents: Vec<AgentStatus>,
    /// The models of the weight store.
    pub catalogue: Catalogue,
}
