//! What the share ledger takes in and gives out.

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
    /// Earlier holders that are not yet known to have stopped, in ascending order.
    #[serde(rename = "outgoing")]
    pub former_holders: Vec<FormerHolder>,
    /// Gateways that were the only holder of an earlier term and are not known
    /// to have adopted a later one. Such a one needs nobody's vouch.
    #[serde(rename = "alone")]
    pub sole_members: Vec<Member>,
}

/// A holder that a later term left out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FormerHolder {
    /// The holder.
    pub member: Member,
    /// The other holders of the last term that held it, whose vouches could keep it going.
    #[serde(rename = "vouchers")]
    pub acknowledgers: Vec<Member>,
}

/// A message between two gateways about shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareMessage {
    /// Asks for tokens and share of a workspace.
    Ask {
        /// The sender's term.
        term: u64,
        /// The workspace.
        workspace: CompactString,
        /// Tokens wanted at once.
        tokens: u64,
    },
    /// Hands over share and tokens that the sender has already given up.
    Grant {
        /// The term within which they move.
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
    /// Tells with which shares the sender entered a term.
    Carried {
        /// The term.
        term: u64,
        /// Workspaces in ascending order, each with its share in parts per million.
        shares: Vec<(CompactString, u64)>,
    },
    /// Asks with which shares the receiver entered a term.
    #[serde(rename = "WantCarried")]
    CarriedRequest {
        /// The term.
        term: u64,
    },
    /// Confirms a grant.
    #[serde(rename = "Granted")]
    GrantAck {
        /// The grant's identifier.
        id: u64,
    },
}

/// A workspace's limits over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The workspace.
    pub workspace: CompactString,
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

/// What happened, as far as shares are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareEvent {
    /// Time passed; counters of use of all buckets.
    Tick(Vec<Usage>),
    /// The platform's service was read.
    Read {
        /// When the read was sent.
        sent_at: Millis,
        /// The term in force.
        term: Term,
        /// The revision at which it was written.
        modified: u64,
        /// Holders whose lease is alive, the latest run of each instance, in ascending order.
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
        /// When this gateway wrote the heartbeat that the other one has answered.
        echo: Millis,
    },
    /// A message of another gateway.
    Message {
        /// The other gateway.
        from: Member,
        /// The message.
        message: ShareMessage,
    },
    /// A bucket gave up share, as an effect demanded.
    Split {
        /// Who gets it.
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
    /// This gateway shuts down.
    Drain,
}

/// What is to be done about shares.
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
    /// Take share and tokens from a bucket and report `ShareEvent::Split`.
    Split {
        /// Who gets it.
        to: Member,
        /// The workspace.
        workspace: CompactString,
        /// Share to give up, in parts per million.
        ppm: u64,
    },
    /// Send a message.
    Send {
        /// To whom.
        to: Member,
        /// The message.
        message: ShareMessage,
    },
    /// Charge nothing after this moment.
    SetChargeDeadline(Millis),
    /// Write the next term if the present one is still in force and those it
    /// leaves out hold no lease.
    WriteTerm {
        /// The next term.
        term: Term,
        /// The revision at which the present one was written; zero if there is none.
        modified: u64,
        /// Holders that the next term leaves out. They must still hold no lease
        /// when it is written, or they could charge by a lease taken since.
        unleased: Vec<Member>,
    },
}
