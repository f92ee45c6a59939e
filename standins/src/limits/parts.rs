//! The parts of the limits' world.

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
    /// The platform's answer to a read.
    Read(ShareEvent),
    Renewed {
        sent_at: Millis,
    },
}

#[derive(Debug)]
pub(super) struct Flying {
    pub(super) due: Millis,
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
    pub(super) right_until: Millis,
    pub(super) heard: Vec<(Member, Millis)>,
    pub(super) waiting: Vec<Request>,
    pub(super) is_leased: bool,
    pub(super) frozen_until: Millis,
    /// Cut from the platform's service until then.
    pub(super) cut_until: Millis,
    /// Cut from all other gateways until then.
    pub(super) alone_until: Millis,
    pub(super) ticked: Millis,
    pub(super) beat: Millis,
    pub(super) read: Millis,
    pub(super) renewed: Millis,
}

/// The fakes of the platform's service.
#[derive(Debug, Default)]
pub(super) struct Service {
    pub(super) term: Term,
    pub(super) modified: u64,
    pub(super) leases: Vec<(Member, Millis)>,
    pub(super) down_until: Millis,
}
