//! What control takes in and what it asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::bucket::Usage;
use crate::clock::Millis;
use crate::direct::dialect::{ModelOrder, OrderOutcome, Registration, Report};
use crate::direct::directory::Holdings;
use crate::direct::document::Document;
use crate::direct::gossip::{Datagram, Message};
use crate::direct::ledger::EngineCall;
use crate::direct::members::Member;
use crate::direct::request::ModelRef;
use crate::direct::shared::ModelDemand;
use crate::direct::view::LoadTable;

/// Who leads, by the leader's key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderRecord {
    /// The gateway; empty after it resigned.
    pub holder: CompactString,
    /// The revision of the key: the fencing number.
    pub revision: u64,
}

/// What callers asked of this gateway since the last reading.
#[derive(Clone, Debug, Default)]
pub struct LocalUse {
    /// Use of each workspace's limit, by ascending workspace.
    pub limits: Vec<Usage>,
    /// Demand by model.
    pub demand: Vec<ModelDemand>,
    /// Adapters that requests used, by their hashes.
    pub adapters: Vec<u32>,
}

/// Something that control has to know.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; what this gateway has in flight.
    Tick(LoadTable),
    /// What callers asked for lately.
    Use(LocalUse),
    /// A configuration was read.
    Configuration(Arc<Document>),
    /// All registrations were read.
    Registrations(Vec<Registration>),
    /// A registration was written.
    Registered(Registration),
    /// A registration was removed.
    Deregistered(CompactString),
    /// All changes of the registrations up to a revision were read.
    RegistryRead {
        /// The revision.
        revision: u64,
        /// Whether all registrations were read anew, without the changes.
        is_whole: bool,
    },
    /// The store does not answer.
    StoreLost,
    /// The store answers.
    StoreHeard,
    /// All gateways' registrations were read.
    Members(Vec<Member>),
    /// A gateway registered.
    MemberPut(Member),
    /// A gateway's registration is gone.
    MemberRemoved(CompactString),
    /// The leader's key was read or changed.
    LeaderKey(Option<LeaderRecord>),
    /// This gateway's lease runs until then.
    LeaseHeld(Millis),
    /// This gateway's lease has ended.
    LeaseLost,
    /// This gateway holds the leader's key.
    Claimed {
        /// The fencing number.
        fence: u64,
        /// Whether another gateway held it before.
        is_succession: bool,
    },
    /// Another gateway says something.
    Datagram(Datagram),
    /// A request waits for a model that no endpoint holds.
    Wanted {
        /// The service.
        service: CompactString,
        /// The model.
        wanted: ModelRef,
    },
    /// A request needs tokens of a limit that this gateway does not have.
    Short {
        /// The workspace.
        workspace: CompactString,
        /// Tokens that are missing.
        tokens: u64,
    },
    /// An engine answered an order, or did not.
    OrderAnswered {
        /// The engine.
        endpoint: CompactString,
        /// The order.
        order: ModelOrder,
        /// The answer; `None` if there was none.
        outcome: Option<OrderOutcome>,
    },
    /// An engine reported.
    Reported {
        /// The engine.
        endpoint: CompactString,
        /// The report.
        report: Report,
    },
    /// What an order brought is there by now.
    Ready(Holdings),
    /// The process is told to stop.
    Drain,
    /// The process is about to end.
    Stop,
}

/// Something that is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Publish the view.
    Publish,
    /// Use the limits of the configuration.
    SetLimits(Arc<Document>),
    /// Use these parts of the limits, in parts per million.
    SetParts(Vec<(CompactString, u64)>),
    /// Note what other gateways could lend, in tokens by workspace.
    SetLendable(Vec<(CompactString, u64)>),
    /// Give up to so many tokens of a limit to another gateway.
    Lend {
        /// The other gateway.
        to: SocketAddr,
        /// The workspace.
        workspace: CompactString,
        /// Tokens.
        tokens: u64,
    },
    /// Add tokens that another gateway gave up.
    Receive {
        /// The workspace.
        workspace: CompactString,
        /// Tokens.
        tokens: u64,
    },
    /// Note how many gateways there are.
    SetGateways(usize),
    /// Note what the other gateways have in flight.
    SetOthers(LoadTable),
    /// Tell all other gateways.
    Broadcast(Message),
    /// Tell one gateway.
    Send(SocketAddr, Message),
    /// Fetch the configuration of a gateway.
    PullConfiguration(SocketAddr),
    /// Try to take the leader's key.
    Claim {
        /// The revision that the key must have.
        expected: u64,
        /// Whether another gateway held it before.
        is_succession: bool,
    },
    /// Leave the leader's key to others.
    Resign,
    /// End this gateway's lease.
    EndLease,
    /// Send an order or read a report, if the leader term still holds then.
    Step(EngineCall),
    /// Tell all gateways what an engine holds once the adapter is there.
    AnnounceSoon(Holdings),
}
