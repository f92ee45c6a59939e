//! Events, effects and messages of the share ledger.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::bucket::Usage;
use crate::clock::Millis;
use crate::wire::Member;

/// The record of who holds shares, kept in the platform's service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// The term's number.
    pub number: u64,
    /// Holders in ascending order.
    pub members: Vec<Member>,
    /// Former holders that are not yet known to have stopped charging, in ascending order.
    #[serde(rename = "outgoing")]
    pub former_holders: Vec<FormerHolder>,
    /// Gateways that were the only member of an earlier term and are not known
    /// to have adopted a later one. They need no acknowledgement to go on charging.
    #[serde(rename = "alone")]
    pub sole_members: Vec<Member>,
}

/// A holder that is no longer a member of the term.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FormerHolder {
    /// The holder.
    pub member: Member,
    /// The other members of its last term, whose acknowledgements let it go on charging.
    #[serde(rename = "vouchers")]
    pub acknowledgers: Vec<Member>,
}

/// A message between two gateways about shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareMessage {
    /// Requests share and tokens of a workspace.
    #[serde(rename = "Ask")]
    Request {
        /// The sender's term.
        term: u64,
        /// The workspace.
        workspace: CompactString,
        /// Tokens that the sender is short of.
        tokens: u64,
    },
    /// Transfers share and tokens that the sender has already given up.
    Grant {
        /// The term in which the grant is valid.
        term: u64,
        /// Identifies the grant at its sender.
        id: u64,
        /// The workspace.
        workspace: CompactString,
        /// Share in parts per million.
        ppm: u64,
        /// Tokens.
        tokens: u64,
    },
    /// Announces the shares with which the sender entered a term.
    Carried {
        /// The term.
        term: u64,
        /// Workspaces in ascending order, each with its share in parts per million.
        shares: Vec<(CompactString, u64)>,
    },
    /// Requests the shares with which the receiver entered a term.
    #[serde(rename = "WantCarried")]
    CarriedRequest {
        /// The term.
        term: u64,
    },
    /// Acknowledges a grant.
    #[serde(rename = "Granted")]
    GrantAck {
        /// The grant's identifier.
        id: u64,
    },
}

/// A workspace's limits over all gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The workspace.
    pub workspace: CompactString,
    /// Tokens per second.
    pub rate: u64,
    /// The largest burst, in tokens.
    pub burst: u64,
}

/// An event that the share ledger handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareEvent {
    /// Time passed; carries the usage counters of all buckets.
    Tick(Vec<Usage>),
    /// The term and the leases were read from the platform's service.
    Read {
        /// When the read was sent.
        sent_at: Millis,
        /// The term in force.
        term: Term,
        /// The revision at which it was written.
        mod_revision: u64,
        /// Holders of live leases, the latest run of each instance, in ascending order.
        leased: Vec<Member>,
    },
    /// This gateway's lease was renewed.
    Renewed {
        /// When the renewal was sent.
        sent_at: Millis,
    },
    /// A heartbeat of another gateway.
    Heartbeat {
        /// The other gateway.
        from: Member,
        /// The term it has adopted.
        term: u64,
        /// When this gateway sent the heartbeat that the other one acknowledges.
        echo: Millis,
    },
    /// A message of another gateway.
    Message {
        /// The other gateway.
        from: Member,
        /// The message.
        message: ShareMessage,
    },
    /// A bucket gave up share, as [`ShareEffect::Split`] demanded.
    Split {
        /// The gateway that gets it.
        to: Member,
        /// The workspace.
        workspace: CompactString,
        /// Share given up, in parts per million.
        ppm: u64,
        /// Tokens given up.
        tokens: u64,
    },
    /// The workspaces of the configuration changed.
    Workspaces(Vec<Limit>),
    /// The platform's list of instances, by name in ascending order.
    Instances(Vec<CompactString>),
    /// This gateway is shutting down.
    Drain,
}

/// An action that the share ledger demands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareEffect {
    /// Set a bucket's share.
    SetShare {
        /// The workspace.
        workspace: CompactString,
        /// The share in parts per million.
        ppm: u64,
    },
    /// Add tokens to a bucket.
    Deposit {
        /// The workspace.
        workspace: CompactString,
        /// The tokens.
        tokens: u64,
    },
    /// Take share and tokens from a bucket, then report [`ShareEvent::Split`].
    Split {
        /// The gateway that gets it.
        to: Member,
        /// The workspace.
        workspace: CompactString,
        /// Share to give up, in parts per million.
        ppm: u64,
    },
    /// Send a message.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: ShareMessage,
    },
    /// Charge nothing after this moment.
    SetChargeDeadline(Millis),
    /// Write the next term if the current one is still in force and the members
    /// in `unleased` hold no lease.
    WriteTerm {
        /// The next term.
        term: Term,
        /// The revision at which the current term was written; zero if there is none.
        mod_revision: u64,
        /// Former holders whose process may still run. They must still hold no
        /// lease at the write, or they could charge under a lease acquired since.
        unleased: Vec<Member>,
    },
}
