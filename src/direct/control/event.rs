//! Events that control processes and effects that it requests.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use super::Need;
use crate::bucket::Usage;
use crate::clock::Millis;
use crate::direct::dialect::{ModelOrder, OrderOutcome, Registration, Report};
use crate::direct::directory::Holdings;
use crate::direct::document::Document;
use crate::direct::evacuation::ZoneList;
use crate::direct::gossip::{Datagram, Message};
use crate::direct::ledger::EngineCall;
use crate::direct::members::Member;
use crate::direct::membership::registration::{Seen, Write};
use crate::direct::notices::{LimitNews, RunId};
use crate::direct::part_table::PartLists;
use crate::direct::rate_owner::NamedRate;
use crate::direct::settings::Bounds;
use crate::direct::shared::ModelDemand;
use crate::direct::streams::{AgedRecord, StreamId, StreamRecord};
use crate::direct::suspects::{Block, BlockState, CrashReport, PartId, PartProgress, Snapshot};
use crate::direct::version_record::VersionRecord;
use crate::direct::view::LoadTable;

/// The content of the leader key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderRecord {
    /// The name of the leading gateway; empty after it resigned.
    pub holder: CompactString,
    /// The revision of the key, used as the fencing number.
    pub revision: u64,
}

/// Usage at this gateway since the last reading.
#[derive(Clone, Debug, Default)]
pub struct LocalUsage {
    /// Usage of each workspace's limit, sorted by workspace.
    pub limits: Vec<Usage>,
    /// Demand by model.
    pub demand: Vec<ModelDemand>,
    /// Hashes of the adapters that requests used.
    pub adapters: Vec<u32>,
}

/// An input to [`Control::reduce`](super::Control::reduce).
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic tick, with the load that this gateway has in flight.
    Tick(LoadTable),
    /// Usage since the previous event of this kind.
    Usage(LocalUsage),
    /// A configuration was read from the store or from a peer.
    Configuration(Arc<Document>),
    /// The evacuated zones, from a full list of the store as of a revision.
    EvacuationsRead {
        /// The revision.
        revision: u64,
        /// The zones.
        zones: Vec<CompactString>,
    },
    /// All changes of evacuated zones up to a revision, as they happened.
    EvacuationsWatched {
        /// The revision.
        revision: u64,
        /// The zones in the order of their changes, each with whether it is evacuated.
        changes: Vec<(CompactString, bool)>,
    },
    /// The evacuated zones as another gateway told them with its configuration.
    EvacuationsPulled(ZoneList),
    /// All endpoint registrations, from a full list.
    Registrations(Vec<Registration>),
    /// An endpoint registration was created or changed.
    Registered(Registration),
    /// An endpoint registration was removed.
    Deregistered(CompactString),
    /// The endpoint registrations have been read up to a revision.
    RegistryRead {
        /// The revision.
        revision: u64,
        /// Whether they were read as a full list, which does not contain the
        /// individual changes.
        is_full_list: bool,
    },
    /// A call to the store failed.
    StoreLost,
    /// A call to the store succeeded.
    StoreAnswered,
    /// The store came back from an older copy.
    StoreRestored,
    /// All gateway registrations, from a full list.
    Members(Vec<Member>),
    /// A gateway registration was created or changed.
    MemberPut(Member),
    /// A gateway registration was removed.
    MemberRemoved(CompactString),
    /// The leader key was read or changed; `None` if it does not exist.
    LeaderKey(Option<LeaderRecord>),
    /// A lease was opened, under which this gateway registers.
    LeaseOpened(u64),
    /// This gateway is registered under a lease that is valid until this time.
    LeaseHeld(Millis),
    /// This gateway's lease has ended.
    LeaseLost,
    /// This gateway's registration was written.
    RegistrationWritten {
        /// The lease.
        lease: u64,
        /// The revision of its key.
        revision: u64,
    },
    /// This gateway's registration was not written, as its key has another revision.
    RegistrationConflicted {
        /// The lease.
        lease: u64,
        /// The revision; 0 if the key does not exist.
        found: u64,
    },
    /// A write of this gateway's registration failed. It may still take effect.
    RegistrationFailed(u64),
    /// The store shows the key of this gateway's registration.
    RegistrationSeen(Seen),
    /// This gateway claimed the leader key.
    LeadershipClaimed {
        /// The fencing number.
        fence: u64,
        /// Whether another gateway held the key before.
        is_succession: bool,
    },
    /// A datagram from another gateway.
    Datagram(Datagram),
    /// A request waits for a model or adapter that no endpoint holds.
    ModelWanted(Need),
    /// A stream began here, of which the others have yet to be told.
    StreamBegan,
    /// A caller stated how long it goes on trying for one stream, which is longer than the
    /// view says that streams last.
    StreamBudgetStated(Millis),
    /// Records of streams came that this gateway may have to write to the store.
    StreamsNoted,
    /// A request goes on with a stream of which no record is known here.
    StreamSought {
        /// The stream.
        id: StreamId,
        /// How often the request asked before.
        turn: u32,
    },
    /// A bucket of stream records was read from the store.
    StreamsRead {
        /// The bucket.
        bucket: u8,
        /// The revision of its key; 0 if it does not exist.
        revision: u64,
        /// The records.
        records: Vec<AgedRecord>,
    },
    /// A bucket of stream records was written to the store.
    StreamsStored {
        /// The bucket.
        bucket: u8,
        /// The revision of its key.
        revision: u64,
        /// The size of its value.
        bytes: usize,
    },
    /// A call of the store for a bucket of stream records failed.
    StreamStorageFailed(u8),
    /// An endpoint said something new of the rate that it takes.
    LimitChanged(LimitNews),
    /// An endpoint said that it is cold, which was not known.
    ColdHeard(RunId),
    /// Requests wait for grants of an endpoint's rate.
    GrantsWanted {
        /// The endpoint.
        run: RunId,
        /// The rate that it named.
        named: NamedRate,
        /// The number of requests.
        wanted: u32,
    },
    /// An endpoint said for the first time that it leaves.
    EndpointSaidLeaving(RunId),
    /// An endpoint ended while it was about to answer requests of this gateway.
    EndpointCrashed(CrashReport),
    /// Answers to prompts with watched parts got under way at this gateway.
    PartsProgressed(Vec<PartProgress>),
    /// These parts were answered here, in reply to [`Effect::CheckParts`].
    PartsChecked(Vec<PartProgress>),
    /// An operator blocks a part or lifts its block.
    BlockOrdered {
        /// The part.
        part: PartId,
        /// What it has to be.
        state: BlockState,
    },
    /// The record of blocks in the store was read or written, or has changed.
    BlocksRecorded {
        /// Its revision; 0 if it does not exist.
        revision: u64,
        /// The blocks with their ages.
        blocks: Vec<Block>,
    },
    /// The record of blocks could not be written.
    RecordFailed,
    /// The record of software versions in the store was read or written, or has changed.
    VersionsRecorded {
        /// Its revision; 0 if it does not exist.
        revision: u64,
        /// What it says.
        record: VersionRecord,
    },
    /// The record of software versions could not be written.
    VersionRecordFailed,
    /// A request needs more tokens of a limit than this gateway has.
    TokensNeeded {
        /// The workspace.
        workspace: CompactString,
        /// Number of missing tokens.
        tokens: u64,
    },
    /// An order was answered or went unanswered.
    OrderAnswered {
        /// The engine.
        endpoint: CompactString,
        /// The order.
        order: ModelOrder,
        /// The answer; `None` if none arrived.
        outcome: Option<OrderOutcome>,
    },
    /// An engine's report was read.
    Reported {
        /// The engine.
        endpoint: CompactString,
        /// The report.
        report: Report,
    },
    /// The time that an adapter takes to load has passed since its order was
    /// answered; the new holdings can be announced.
    HoldingsReady(Holdings),
    /// The leader decides on placement now.
    Decide,
    /// The operator changed the bounds.
    Bounds(Bounds),
    /// The process is asked to shut down and finishes its requests first.
    Drain,
    /// The process is about to exit.
    Stop,
}

impl Event {
    /// The kind of event, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Tick(_) => "tick",
            Self::Usage(_) => "usage",
            Self::Configuration(_) => "configuration",
            Self::EvacuationsRead { .. }
            | Self::EvacuationsWatched { .. }
            | Self::EvacuationsPulled(_) => "evacuations",
            Self::Registrations(_) => "registrations",
            Self::Registered(_) => "registered",
            Self::Deregistered(_) => "deregistered",
            Self::RegistryRead { .. } => "registry_read",
            Self::StoreLost | Self::StoreAnswered | Self::StoreRestored => "store",
            Self::Members(_) | Self::MemberPut(_) | Self::MemberRemoved(_) => "members",
            Self::LeaderKey(_) | Self::LeadershipClaimed { .. } => "leader",
            Self::LeaseOpened(_) | Self::LeaseHeld(_) | Self::LeaseLost => "lease",
            Self::RegistrationWritten { .. }
            | Self::RegistrationConflicted { .. }
            | Self::RegistrationFailed(_)
            | Self::RegistrationSeen(_) => "registration",
            Self::Datagram(datagram) => datagram.message.name(),
            Self::ModelWanted(_) => "model_wanted",
            Self::StreamBegan | Self::StreamBudgetStated(_) | Self::StreamsNoted => "stream_began",
            Self::StreamSought { .. } => "stream_sought",
            Self::StreamsRead { .. }
            | Self::StreamsStored { .. }
            | Self::StreamStorageFailed(_) => "streams_stored",
            Self::EndpointCrashed(_) => "endpoint_crashed",
            Self::EndpointSaidLeaving(_) => "endpoint_said_leaving",
            Self::LimitChanged(_) => "limit_changed",
            Self::ColdHeard(_) => "cold_heard",
            Self::GrantsWanted { .. } => "grants_wanted",
            Self::PartsProgressed(_) => "parts_progressed",
            Self::PartsChecked(_) => "parts_checked",
            Self::BlockOrdered { .. } => "block_ordered",
            Self::BlocksRecorded { .. } | Self::RecordFailed => "blocks_recorded",
            Self::VersionsRecorded { .. } | Self::VersionRecordFailed => "versions_recorded",
            Self::TokensNeeded { .. } => "tokens_needed",
            Self::OrderAnswered { .. } => "order_answered",
            Self::Reported { .. } => "reported",
            Self::HoldingsReady(_) => "holdings_ready",
            Self::Decide => "decide",
            Self::Bounds(_) => "settings",
            Self::Drain | Self::Stop => "stop",
        }
    }
}

/// An action for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Publish a new view to the traffic threads.
    Publish,
    /// Apply the configuration's limits.
    SetLimits(Arc<Document>),
    /// Apply these shares of the workspaces' limits, in parts per million.
    SetShares(Vec<(CompactString, u64)>),
    /// Record how many tokens other gateways could lend, by workspace.
    SetLendable(Vec<(CompactString, u64)>),
    /// Transfer up to this many tokens of a limit to another gateway.
    Lend {
        /// The other gateway.
        to: SocketAddr,
        /// The workspace.
        workspace: CompactString,
        /// The largest number of tokens.
        tokens: u64,
    },
    /// Add tokens that another gateway transferred.
    ReceiveLoan {
        /// The workspace.
        workspace: CompactString,
        /// The number of tokens.
        tokens: u64,
    },
    /// Record the number of gateways, this one included.
    SetGatewayCount(usize),
    /// Record the load that the other gateways have in flight.
    SetPeerLoads(LoadTable),
    /// Send a message to all other gateways.
    Broadcast(Message),
    /// Send a message to one gateway.
    Send(SocketAddr, Message),
    /// Send a message to several gateways.
    SendAll(Vec<SocketAddr>, Message),
    /// Tell other gateways of the streams that began here.
    AnnounceStreams,
    /// Tell a gateway that has just joined, or is heard again, of the streams whose records
    /// it keeps.
    CopyStreams {
        /// The gateway's name.
        to: CompactString,
        /// Only of those that were used since this time.
        since: Millis,
    },
    /// Tell a gateway of the streams in a bucket that it begins to write.
    CopyBucket {
        /// The gateway.
        to: SocketAddr,
        /// The bucket.
        bucket: u8,
        /// The age of the oldest records that it is told of.
        max_age: Millis,
    },
    /// Tell a gateway which version began a stream, if that is known here.
    TellStream {
        /// The gateway.
        to: SocketAddr,
        /// The stream.
        id: StreamId,
        /// Whether to tell it also that nothing is known.
        if_unknown: bool,
    },
    /// Another gateway knows nothing of a stream, and of one software version only.
    LearnStreamUnknown(StreamId),
    /// Take over records of streams from another gateway.
    LearnStreams(Vec<StreamRecord>),
    /// Take over records of streams from the store.
    LearnStoredStreams(Vec<AgedRecord>),
    /// Read a bucket of stream records from the store.
    ReadStreams(u8),
    /// Write a bucket of stream records to the store.
    StoreStreams {
        /// The bucket.
        bucket: u8,
        /// The revision that its key must have; 0 if it must not exist.
        expected: u64,
        /// The age of the oldest records that are written.
        max_age: Millis,
    },
    /// Publish the parts that are blocked or watched to the traffic threads.
    PublishParts(PartLists),
    /// Lets one request through that is refused for these parts alone, which are sorted.
    AllowTrial(Vec<PartId>),
    /// Show operators what is known of parts.
    ShowParts(Snapshot),
    /// The blocks that were recorded before the start have been published, or could not
    /// be read in time.
    BlocksKnown,
    /// Send [`Event::PartsChecked`] with those parts that were answered here lately.
    CheckParts {
        /// The parts.
        parts: Vec<PartId>,
        /// How long ago an answer may have been.
        max_age: Millis,
    },
    /// Write the record of blocks to the store.
    RecordBlocks {
        /// The revision that it must have; 0 if it must not exist.
        expected: u64,
        /// The blocks with their ages.
        blocks: Vec<Block>,
    },
    /// Write the record of software versions to the store.
    RecordVersions {
        /// The revision that it must have; 0 if it must not exist.
        expected: u64,
        /// What it says.
        record: VersionRecord,
    },
    /// Fetch the configuration from a gateway if it has a newer one than this one.
    PullConfiguration(SocketAddr),
    /// Write this gateway's registration.
    Register(Write),
    /// Try to claim the leader key.
    ClaimLeadership {
        /// The revision that the key must have; 0 if it must not exist.
        expected: u64,
        /// Whether another gateway held the key before.
        is_succession: bool,
    },
    /// Release the leader key.
    ResignLeadership,
    /// End this gateway's lease, which removes its registration.
    EndLease,
    /// Read an engine's report, or send it an order if the leader term is still valid.
    CallEngine(EngineCall),
    /// Send [`Event::Decide`] behind the events that wait.
    ScheduleDecision,
    /// Announce an engine's holdings after the time that loading the adapter takes.
    AnnounceAfterLoad(Holdings),
}
