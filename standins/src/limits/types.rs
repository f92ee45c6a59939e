//! State and messages of the simulated gateways and platform.

use rattanstall::bucket::Bucket;
use rattanstall::clock::Millis;
use rattanstall::escrow::{Escrow, ShareEvent, ShareMessage, Term};
use rattanstall::wire::Member;

#[derive(Clone, Debug)]
pub(super) enum Packet {
    Heartbeat {
        sent_at: Millis,
        echo: Option<Millis>,
        term: u64,
    },
    Share(ShareMessage),
    /// The platform's response to a read.
    ReadResponse(ShareEvent),
    RenewalResponse {
        sent_at: Millis,
    },
}

#[derive(Debug)]
pub(super) struct DelayedPacket {
    pub(super) deliver_at: Millis,
    pub(super) to: Member,
    pub(super) from: Member,
    pub(super) packet: Packet,
}

#[derive(Debug)]
pub(super) struct Request {
    pub(super) workspace: usize,
    pub(super) cost: u64,
    pub(super) arrived: Millis,
}

#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) member: Member,
    pub(super) escrow: Escrow,
    pub(super) buckets: Vec<Bucket>,
    pub(super) charge_deadline: Millis,
    pub(super) last_heartbeats: Vec<(Member, Millis)>,
    pub(super) waiting: Vec<Request>,
    pub(super) is_leased: bool,
    pub(super) frozen_until: Millis,
    pub(super) platform_unreachable_until: Millis,
    /// Disconnected from all other gateways until this time.
    pub(super) isolated_until: Millis,
    pub(super) last_tick: Millis,
    pub(super) last_heartbeat: Millis,
    pub(super) last_read: Millis,
    pub(super) last_renewal: Millis,
}

/// Simulated state of the platform's service.
#[derive(Debug, Default)]
pub(super) struct Platform {
    pub(super) term: Term,
    /// Revision of the last write to the term.
    pub(super) modified: u64,
    pub(super) leases: Vec<(Member, Millis)>,
    pub(super) down_until: Millis,
}
