//! What the control state takes in, gives out and shows.

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

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// Time passed; counters of use of all buckets.
    Tick(Vec<Usage>),
    /// The configuration's head was read.
    HeadRead {
        /// When the read was sent.
        sent_at: Millis,
        /// The last revision.
        revision: u64,
    },
    /// The configuration was read.
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
    /// A message of another gateway.
    Peer(Envelope),
    /// An agent's report.
    Agent(AgentStatus),
    /// The connection to an agent was lost.
    AgentLost(CompactString),
    /// The weight store's catalogue was read.
    Catalogue(Catalogue),
    /// Something about shares.
    Share(ShareEvent),
    /// This gateway became the placement leader, or is it no longer.
    LeadershipChanged(Option<Fence>),
    /// An agent refused an order.
    OrderRefused(AgentOrder),
    /// Requests that wait for models.
    Demand(Vec<Demand>),
    /// An operator's tool says that a revision exists.
    RevisionHint(u64),
    /// This gateway shuts down.
    Drain,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// Publish a new view to the traffic threads.
    Publish,
    /// Serve keyed routes until this moment.
    SetKeyedRoutesUntil(Millis),
    /// Read the configuration's head from the platform's service.
    ReadHead,
    /// Read the configuration from the platform's service.
    ReadLog,
    /// Read the share holders from the platform's service.
    ReadShares,
    /// Send a message to a gateway.
    Send {
        /// The gateway's name.
        to: CompactString,
        /// The message.
        message: PeerMessage,
    },
    /// Something about shares.
    Share(ShareEffect),
    /// Send an order to an agent.
    Order(AgentOrder),
}

/// What traffic threads see of the control state. Lists are sorted by name.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration's revision.
    pub revision: u64,
    /// The configuration.
    pub document: Arc<Document>,
    /// The agents that are connected.
    pub agents: Vec<AgentStatus>,
    /// The models there are.
    pub catalogue: Catalogue,
}
