//! Escrowed shares: how gateways split each workspace's rate and burst.
//!
//! The shares of a workspace sum to at most the whole at every moment, so all
//! gateways together stay within rate and burst in any window. To move share,
//! the sender decreases its own, sends a message, and the receiver increases its
//! own. A lost message loses capacity and never creates it (the demarcation
//! protocol of Barbará and Garcia-Molina, 1994).
//!
//! The gateways that hold shares are the members of a *term*, a record in the
//! platform's service that is replaced by compare-and-swap. Within a term,
//! gateways trade shares directly. Members carry their shares into a new term
//! and announce them; what no member carried is divided once every former holder
//! has certainly stopped charging.
//!
//! A holder may charge tokens to its shares while it holds a lease of the
//! platform's service. While the service is unreachable, recent heartbeat
//! acknowledgements from a majority of its term extend that permission. A
//! former holder counts as stopped once its process has ended, the longest
//! extension is over, or so many of its peers have adopted a later term that
//! the rest cannot form a majority with it. So it never charges after it counts
//! as stopped.

mod charge_deadline;
mod event;
mod holding;
mod term;
mod trade;

use compact_str::CompactString;

use crate::bucket::Usage;
use crate::clock::Millis;
use crate::wire::Member;

pub use event::{FormerHolder, Limit, ShareEffect, ShareEvent, ShareMessage, Term};
use holding::{Carried, Holding, set_share};
pub use term::latest_runs;

/// Time to live of a lease of the platform's service, in seconds.
pub const LEASE_TTL_S: u64 = 5;
/// How long a grant may stay unacknowledged before its share counts as lost.
const GRANT_TIMEOUT: Millis = Millis(2_000);
/// Time between two rebalancing steps towards equal shares.
const REBALANCE_INTERVAL: Millis = Millis(500);

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    term: u64,
    /// When this gateway first heard that the peer had adopted its term.
    adopted_at: Millis,
    /// When this gateway sent the last heartbeat that the peer acknowledged, by this
    /// gateway's clock.
    echo: Millis,
}

#[derive(Clone, Debug)]
struct PendingGrant {
    id: u64,
    sent_at: Millis,
}

/// The share ledger of one gateway.
#[derive(Clone, Debug)]
pub struct Escrow {
    local: Member,
    term: Term,
    mod_revision: u64,
    is_active: bool,
    adopted_at: Millis,
    renewal_sent_at: Option<Millis>,
    /// Set while the lease may have been reacquired after a lapse and the term
    /// has not been read since.
    term_unconfirmed_since: Option<Millis>,
    charge_deadline: Millis,
    holdings: Vec<Holding>,
    /// The configuration's workspaces, in ascending order.
    workspaces: Vec<CompactString>,
    peers: Vec<Peer>,
    /// The latest announcement of carried shares by each gateway, this one included.
    carried: Vec<Carried>,
    carried_requested_at: Millis,
    pending_grants: Vec<PendingGrant>,
    next_grant_id: u64,
    /// Selects the live member that receives the next share given away, in turn.
    next_peer: usize,
    has_lost_grant: bool,
    is_draining: bool,
    last_tick: Millis,
    rebalanced_at: Millis,
    /// When each former holder was first seen without a lease.
    unleased_since: Vec<(Member, Millis)>,
    leased: Vec<Member>,
    instances: Option<Vec<CompactString>>,
}

impl Escrow {
    /// Creates the ledger of a gateway that holds no shares yet.
    pub fn new(local: Member) -> Self {
        Self {
            local,
            term: Term::default(),
            mod_revision: 0,
            is_active: false,
            adopted_at: Millis::ZERO,
            renewal_sent_at: None,
            term_unconfirmed_since: None,
            charge_deadline: Millis::ZERO,
            holdings: Vec::new(),
            workspaces: Vec::new(),
            peers: Vec::new(),
            carried: Vec::new(),
            carried_requested_at: Millis::ZERO,
            pending_grants: Vec::new(),
            next_grant_id: 1,
            next_peer: 0,
            has_lost_grant: false,
            is_draining: false,
            last_tick: Millis::ZERO,
            rebalanced_at: Millis::ZERO,
            unleased_since: Vec::new(),
            leased: Vec::new(),
            instances: None,
        }
    }

    /// The number of the term this gateway has adopted.
    pub fn term(&self) -> u64 {
        self.term.number
    }

    /// Whether the shares of the term are in use.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// The workspaces with their shares in parts per million.
    pub fn shares(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        self.holdings
            .iter()
            .map(|h| (&h.limit.workspace, h.share()))
    }

    /// Applies one event and returns the effects to carry out.
    pub fn reduce(&mut self, now: Millis, event: ShareEvent) -> Vec<ShareEffect> {
        let mut out = Vec::new();
        match event {
            ShareEvent::Tick(usage) => self.on_tick(now, &usage, &mut out),
            ShareEvent::Read {
                sent_at,
                term,
                mod_revision,
                leased,
            } => self.on_read(now, sent_at, term, mod_revision, &leased, &mut out),
            ShareEvent::Renewed { sent_at } => {
                self.on_renewed(now, sent_at);
                self.extend_charge_deadline(now, &mut out);
            }
            ShareEvent::Heartbeat { from, term, echo } => {
                self.on_heartbeat(now, from, term, echo, &mut out)
            }
            ShareEvent::Message { from, message } => self.on_message(from, message, &mut out),
            ShareEvent::Split {
                to,
                workspace,
                ppm,
                tokens,
            } => self.on_split(now, to, workspace, ppm, tokens, &mut out),
            ShareEvent::Workspaces(limits) => self.set_workspaces(limits, &mut out),
            ShareEvent::Instances(names) => self.instances = Some(names),
            ShareEvent::Drain => self.is_draining = true,
        }
        out
    }

    fn on_tick(&mut self, now: Millis, usages: &[Usage], out: &mut Vec<ShareEffect>) {
        let span = now.since(self.last_tick).0.max(1);
        self.last_tick = now;
        for usage in usages {
            self.record_usage(usage, span);
        }
        let has_timed_out = |grant: &PendingGrant| now.since(grant.sent_at) > GRANT_TIMEOUT;
        if self.pending_grants.iter().any(has_timed_out) {
            self.pending_grants.retain(|grant| !has_timed_out(grant));
            self.has_lost_grant = true;
        }
        self.extend_charge_deadline(now, out);
        self.try_activate(now, out);
        self.request_shares(now, out);
        if self.is_draining {
            self.hand_over_all(out);
        } else if now.since(self.rebalanced_at) >= REBALANCE_INTERVAL {
            self.rebalanced_at = now;
            self.rebalance(now, out);
        }
    }

    fn record_usage(&mut self, usage: &Usage, span_ms: u64) {
        let Ok(at) = self.find(&usage.workspace) else {
            return;
        };
        let holding = &mut self.holdings[at];
        let per_s = usage.used * 1_000 / span_ms;
        // Moving average over about half a second: the newest tick weighs 1/4.
        holding.used_per_s = (holding.used_per_s * 3 + per_s) / 4;
        holding.shortage = usage.largest_refused.saturating_sub(usage.level);
    }

    fn on_heartbeat(
        &mut self,
        now: Millis,
        from: Member,
        term: u64,
        echo: Millis,
        out: &mut Vec<ShareEffect>,
    ) {
        match self.peers.binary_search_by(|peer| peer.member.cmp(&from)) {
            Ok(at) => {
                let peer = &mut self.peers[at];
                if term > peer.term {
                    peer.term = term;
                    peer.adopted_at = now;
                }
                peer.echo = peer.echo.max(echo);
            }
            Err(at) => {
                let peer = Peer {
                    member: from,
                    term,
                    adopted_at: now,
                    echo,
                };
                self.peers.insert(at, peer);
            }
        }
        self.extend_charge_deadline(now, out);
        self.try_activate(now, out);
    }

    fn on_message(&mut self, from: Member, message: ShareMessage, out: &mut Vec<ShareEffect>) {
        match message {
            ShareMessage::Request {
                term,
                workspace,
                tokens,
            } => self.on_request(from, term, workspace, tokens, out),
            ShareMessage::Grant {
                term,
                id,
                workspace,
                ppm,
                tokens,
            } => {
                if term != self.term.number || !self.term.members.contains(&self.local) {
                    return;
                }
                let Ok(at) = self.find(&workspace) else {
                    return;
                };
                let holding = &mut self.holdings[at];
                holding.traded += ppm as i64;
                out.push(set_share(holding));
                out.push(ShareEffect::Deposit { workspace, tokens });
                let message = ShareMessage::GrantAck { id };
                out.push(ShareEffect::Send { to: from, message });
            }
            ShareMessage::Carried { term, shares } => {
                let member = from;
                self.record_carried(Carried {
                    member,
                    term,
                    shares,
                });
            }
            ShareMessage::CarriedRequest { term } => {
                let mine = self.carried_by(&self.local).filter(|c| c.term == term);
                if let Some(mine) = mine {
                    let shares = mine.shares.clone();
                    let message = ShareMessage::Carried { term, shares };
                    out.push(ShareEffect::Send { to: from, message });
                }
            }
            ShareMessage::GrantAck { id } => self.pending_grants.retain(|grant| grant.id != id),
        }
    }

    /// Adds workspaces and updates limits. A workspace that was removed from the
    /// configuration keeps its holding until the next term, for late grants.
    fn set_workspaces(&mut self, limits: Vec<Limit>, out: &mut Vec<ShareEffect>) {
        for limit in &limits {
            match self.find(&limit.workspace) {
                Ok(at) => self.holdings[at].limit = limit.clone(),
                Err(at) => {
                    // All members count a carried share of 0 for a workspace that a member
                    // did not announce.
                    let base = match self.is_active {
                        true => self.uncarried_share(&limit.workspace),
                        false => 0,
                    };
                    self.holdings.insert(at, Holding::new(limit.clone(), base));
                }
            }
        }
        self.workspaces = limits.into_iter().map(|limit| limit.workspace).collect();
        self.workspaces.sort();
        out.extend(self.holdings.iter().map(set_share));
    }

    fn find(&self, workspace: &str) -> Result<usize, usize> {
        self.holdings
            .binary_search_by(|holding| holding.limit.workspace.as_str().cmp(workspace))
    }
}
