//! Escrowed shares: how gateways split each workspace's rate and burst.
//!
//! The shares of a workspace sum to at most the whole at every moment, so no
//! window over all gateways together exceeds rate and burst. A share moves by
//! decrease, transfer, increase; a lost message loses capacity and never makes
//! it (the demarcation protocol of Barbará and Garcia-Molina, 1994).
//!
//! Who holds shares is a *term*, a record in the platform's service moved by
//! compare-and-swap. Within a term gateways trade shares directly. Members
//! carry their shares into a new term and announce them; what nobody carried is
//! divided once every earlier holder has certainly stopped.
//!
//! A holder may spend while it holds a lease of the platform's service. While
//! the service is unreachable, fresh vouches from a majority of its term extend
//! that right. The same majority must have adopted a later term before the
//! holder counts as stopped, so both can never hold at once.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::bucket::{Usage, WHOLE_PPM};
use crate::clock::Millis;
use crate::wire::Member;

/// How long a lease of the platform's service lasts, in seconds.
pub const LEASE_TTL_S: u64 = 5;
/// How long a holder relies on a lease after it asked for the renewal.
const LEASE_RIGHT: Millis = Millis(4_500);
/// How long a vouch lasts, counted from the moment the holder asked for it.
const VOUCH_RIGHT: Millis = Millis(2_000);
/// How long vouches may replace the platform's service.
const MAX_VOUCHED: Millis = Millis(600_000);
/// Allowance for clocks that run at different speeds, added to every wait.
const DRIFT: Millis = Millis(500);
/// How long a grant may stay unacknowledged before its share counts as lost.
const GRANT_TIMEOUT: Millis = Millis(2_000);
/// The least time between two requests for the same workspace.
const ASK_INTERVAL: Millis = Millis(50);
/// Time between two questions for shares that were carried into a term.
const CARRIED_INTERVAL: Millis = Millis(250);
/// How recently a gateway must have answered to be given share.
const PARTNER_FRESH: Millis = Millis(800);
/// Time between two steps back towards equal shares.
const LEVEL_INTERVAL: Millis = Millis(500);
/// The share above the equal one that is not worth moving, in parts per million.
const LEVEL_SLACK_PPM: u64 = 20_000;
/// The part of the rate that a holder keeps beyond its own use, in percent of that use.
const HEADROOM_PERCENT: u64 = 125;

/// The record of who holds shares, kept in the platform's service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// The term's number.
    pub number: u64,
    /// Holders in ascending order.
    pub members: Vec<Member>,
    /// Earlier holders that are not yet known to have stopped, in ascending order.
    pub outgoing: Vec<Outgoing>,
}

/// A holder that a later term left out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Outgoing {
    /// The holder.
    pub member: Member,
    /// The other holders of the last term that held it, whose vouches could keep it going.
    pub vouchers: Vec<Member>,
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
    WantCarried {
        /// The term.
        term: u64,
    },
    /// Confirms a grant.
    Granted {
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
    Heard {
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
    SetRight(Millis),
    /// Write the next term if the present one is still in force.
    WriteTerm {
        /// The next term.
        term: Term,
        /// The revision at which the present one was written; zero if there is none.
        modified: u64,
    },
}

#[derive(Clone, Debug)]
struct Holding {
    limit: Limit,
    /// The share carried into the term, and once it is active what was added to it.
    base: u64,
    /// What was received less what was given within the term.
    traded: i64,
    /// A moving average of use, in tokens a second.
    used_per_s: u64,
    wanted: u64,
    asked_at: Millis,
}

impl Holding {
    fn new(limit: Limit, base: u64) -> Self {
        Self {
            limit,
            base,
            traded: 0,
            used_per_s: 0,
            wanted: 0,
            asked_at: Millis::ZERO,
        }
    }

    fn share(&self) -> u64 {
        (self.base as i64 + self.traded).max(0) as u64
    }

    /// The share that is not needed here, in parts per million.
    fn spare(&self) -> u64 {
        if self.wanted > 0 {
            return 0;
        }
        let kept = self.used_per_s * HEADROOM_PERCENT / 100;
        let kept_ppm = kept * WHOLE_PPM / self.limit.rate.max(1);
        self.share().saturating_sub(kept_ppm)
    }

    /// The share to hand to a holder that is short of `tokens`.
    fn grant_for(&self, tokens: u64) -> u64 {
        let spare = self.spare();
        let needed = tokens.saturating_mul(WHOLE_PPM) / self.limit.burst.max(1);
        (spare / 2).max(needed.min(spare))
    }
}

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    term: u64,
    /// When this gateway first heard that the peer had adopted its term.
    adopted_at: Millis,
    /// The latest moment that the peer's heartbeat proves it to have followed.
    echo: Millis,
}

/// The shares with which a member entered a term.
#[derive(Clone, Debug)]
struct Carried {
    member: Member,
    term: u64,
    shares: Vec<(CompactString, u64)>,
}

impl Carried {
    fn share(&self, workspace: &str) -> u64 {
        let shares = &self.shares;
        let at = shares.binary_search_by(|(name, _)| name.as_str().cmp(workspace));
        at.map_or(0, |at| shares[at].1)
    }
}

#[derive(Clone, Debug)]
struct PendingGrant {
    id: u64,
    sent_at: Millis,
}

/// The share ledger of one gateway.
#[derive(Clone, Debug)]
pub struct Escrow {
    me: Member,
    term: Term,
    modified: u64,
    active: bool,
    adopted_at: Millis,
    renewed: Option<Millis>,
    right_until: Millis,
    holdings: Vec<Holding>,
    /// The configuration's workspaces, in ascending order.
    workspaces: Vec<CompactString>,
    peers: Vec<Peer>,
    /// The latest announcement of each gateway, this one included.
    carried: Vec<Carried>,
    wanted_carried_at: Millis,
    grants: Vec<PendingGrant>,
    next_grant: u64,
    next_peer: usize,
    lost: bool,
    draining: bool,
    last_tick: Millis,
    levelled: Millis,
    /// When each outgoing holder was first seen without a lease.
    outgoing_since: Vec<(Member, Millis)>,
    leased: Vec<Member>,
    instances: Option<Vec<CompactString>>,
}

impl Escrow {
    /// The ledger of a gateway that holds nothing yet.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            term: Term::default(),
            modified: 0,
            active: false,
            adopted_at: Millis::ZERO,
            renewed: None,
            right_until: Millis::ZERO,
            holdings: Vec::new(),
            workspaces: Vec::new(),
            peers: Vec::new(),
            carried: Vec::new(),
            wanted_carried_at: Millis::ZERO,
            grants: Vec::new(),
            next_grant: 1,
            next_peer: 0,
            lost: false,
            draining: false,
            last_tick: Millis::ZERO,
            levelled: Millis::ZERO,
            outgoing_since: Vec::new(),
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
        self.active
    }

    /// The workspaces with their shares in parts per million.
    pub fn shares(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        self.holdings
            .iter()
            .map(|h| (&h.limit.workspace, h.share()))
    }

    /// Takes in one event and lists what is to be done.
    pub fn reduce(&mut self, now: Millis, event: ShareEvent) -> Vec<ShareEffect> {
        let mut out = Vec::new();
        match event {
            ShareEvent::Tick(usage) => self.tick(now, &usage, &mut out),
            ShareEvent::Read {
                sent_at,
                term,
                modified,
                leased,
            } => self.read(now, sent_at, term, modified, &leased, &mut out),
            ShareEvent::Renewed { sent_at } => {
                self.renewed = self.renewed.max(Some(sent_at));
                self.extend_right(now, &mut out);
            }
            ShareEvent::Heard { from, term, echo } => self.heard(now, from, term, echo, &mut out),
            ShareEvent::Message { from, message } => self.message(from, message, &mut out),
            ShareEvent::Split {
                to,
                workspace,
                ppm,
                tokens,
            } => self.grant(now, to, workspace, ppm, tokens, &mut out),
            ShareEvent::Workspaces(limits) => self.set_workspaces(limits, &mut out),
            ShareEvent::Instances(names) => self.instances = Some(names),
            ShareEvent::Drain => self.draining = true,
        }
        out
    }

    fn tick(&mut self, now: Millis, usage: &[Usage], out: &mut Vec<ShareEffect>) {
        let span = now.since(self.last_tick).0.max(1);
        self.last_tick = now;
        for one in usage {
            self.note_usage(one, span);
        }
        let timed_out = |grant: &PendingGrant| now.since(grant.sent_at) > GRANT_TIMEOUT;
        if self.grants.iter().any(timed_out) {
            self.grants.retain(|grant| !timed_out(grant));
            self.lost = true;
        }
        self.extend_right(now, out);
        self.try_activate(now, out);
        self.ask(now, out);
        if self.draining {
            self.hand_over_all(out);
        } else if now.since(self.levelled) >= LEVEL_INTERVAL {
            self.levelled = now;
            self.level(now, out);
        }
    }

    /// Returns share above the equal one that is not needed here, so that the
    /// loss of one gateway takes little with it.
    fn level(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        let others = self.live_others(now);
        if others.is_empty() || !self.active {
            return;
        }
        let equal = WHOLE_PPM / self.term.members.len() as u64;
        self.next_peer = (self.next_peer + 1) % others.len();
        for holding in &self.holdings {
            let surplus = holding.share().saturating_sub(equal).min(holding.spare());
            if surplus > LEVEL_SLACK_PPM {
                out.push(ShareEffect::Split {
                    to: others[self.next_peer].clone(),
                    workspace: holding.limit.workspace.clone(),
                    ppm: surplus / 2,
                });
            }
        }
    }

    fn note_usage(&mut self, usage: &Usage, span_ms: u64) {
        let Ok(at) = self.find(&usage.workspace) else {
            return;
        };
        let holding = &mut self.holdings[at];
        let per_s = usage.used * 1_000 / span_ms;
        // Weighs the newest tick by a quarter: about half a second of memory.
        holding.used_per_s = (holding.used_per_s * 3 + per_s) / 4;
        holding.wanted = usage.short.saturating_sub(usage.level);
    }

    fn read(
        &mut self,
        now: Millis,
        sent_at: Millis,
        term: Term,
        modified: u64,
        leased: &[Member],
        out: &mut Vec<ShareEffect>,
    ) {
        self.outgoing_since
            .retain(|(member, _)| !leased.contains(member));
        self.leased = leased.to_vec();
        if modified >= self.modified {
            self.modified = modified;
            self.adopt(now, term, out);
        }
        for gone in self.term.outgoing.iter().map(|o| &o.member) {
            let is_known = self.outgoing_since.iter().any(|(m, _)| m == gone);
            if !is_known && !leased.contains(gone) {
                self.outgoing_since.push((gone.clone(), now));
            }
        }
        if leased.contains(&self.me) && self.term.members.contains(&self.me) {
            self.extend_right(now, out);
        }
        self.propose(now, sent_at, leased, out);
        self.try_activate(now, out);
    }

    /// Takes over a later term with the shares held so far, and announces them.
    fn adopt(&mut self, now: Millis, term: Term, out: &mut Vec<ShareEffect>) {
        if term.number <= self.term.number {
            return;
        }
        let is_member = term.members.contains(&self.me);
        let workspaces = &self.workspaces;
        self.holdings
            .retain(|holding| workspaces.binary_search(&holding.limit.workspace).is_ok());
        for holding in &mut self.holdings {
            holding.base = if is_member { holding.share() } else { 0 };
            holding.traded = 0;
            out.push(set_share(holding));
        }
        self.term = term;
        self.active = false;
        self.adopted_at = now;
        self.lost = false;
        self.grants.clear();
        if !is_member {
            self.right_until = Millis::ZERO;
            out.push(ShareEffect::SetRight(Millis::ZERO));
            return;
        }
        self.announce(out);
        self.extend_right(now, out);
    }

    fn announce(&mut self, out: &mut Vec<ShareEffect>) {
        let holdings = self.holdings.iter();
        let shares: Vec<(CompactString, u64)> = holdings
            .map(|h| (h.limit.workspace.clone(), h.base))
            .collect();
        let term = self.term.number;
        for to in self.term.members.iter().filter(|m| **m != self.me) {
            let shares = shares.clone();
            out.push(ShareEffect::Send {
                to: to.clone(),
                message: ShareMessage::Carried { term, shares },
            });
        }
        let member = self.me.clone();
        self.note_carried(Carried {
            member,
            term,
            shares,
        });
    }

    fn note_carried(&mut self, carried: Carried) {
        let mut known = self.carried.iter();
        if known.any(|c| c.member == carried.member && c.term >= carried.term) {
            return;
        }
        self.carried.retain(|c| c.member != carried.member);
        self.carried.push(carried);
    }

    fn carried_of(&self, member: &Member) -> Option<&Carried> {
        let term = self.term.number;
        let mut carried = self.carried.iter();
        carried.find(|c| c.member == *member && c.term == term)
    }

    /// What each member adds to its share of a workspace when the term becomes
    /// active: an equal part of what nobody carried into it.
    fn added_share(&self, workspace: &str) -> u64 {
        let members = self.term.members.iter();
        let carried = members.filter_map(|m| self.carried_of(m));
        let sum: u64 = carried.map(|c| c.share(workspace)).sum();
        WHOLE_PPM.saturating_sub(sum) / self.term.members.len().max(1) as u64
    }

    /// Proposes a term whose members are the holders of live leases.
    fn propose(&self, now: Millis, sent_at: Millis, leased: &[Member], out: &mut Vec<ShareEffect>) {
        let is_same = leased == self.term.members;
        let is_settled = self.active || !self.term.members.contains(&self.me);
        if leased.is_empty() || now.since(sent_at) > LEASE_RIGHT {
            return;
        }
        if is_same && !(self.lost && is_settled) {
            return;
        }
        let out_of_term = |member: &&Member| !leased.contains(member);
        let mut outgoing: Vec<Outgoing> = self
            .term
            .outgoing
            .iter()
            // One that holds a lease again is a member, and must adopt the term itself.
            .filter(|o| !leased.contains(&o.member) && !self.has_stopped(now, o))
            .cloned()
            .collect();
        for gone in self.term.members.iter().filter(out_of_term) {
            let others = self.term.members.iter().filter(|m| *m != gone);
            outgoing.push(Outgoing {
                member: gone.clone(),
                vouchers: others.cloned().collect(),
            });
        }
        outgoing.sort();
        let term = Term {
            number: self.term.number + 1,
            members: leased.to_vec(),
            outgoing,
        };
        out.push(ShareEffect::WriteTerm {
            term,
            modified: self.modified,
        });
    }

    /// Whether an outgoing holder can no longer have the right to spend.
    fn has_stopped(&self, now: Millis, outgoing: &Outgoing) -> bool {
        let since = self
            .outgoing_since
            .iter()
            .find(|(m, _)| *m == outgoing.member);
        let Some((_, unleased_at)) = since else {
            return false;
        };
        if now.since(*unleased_at) > MAX_VOUCHED + DRIFT {
            return true;
        }
        if self.is_replaced(&outgoing.member) {
            return true;
        }
        let needed = (outgoing.vouchers.len() + 1).div_ceil(2);
        let vouch_over = VOUCH_RIGHT + DRIFT;
        let stopped = outgoing.vouchers.iter().filter(|voucher| {
            let adopted_at = self.adopted_at_of(voucher);
            adopted_at.is_some_and(|at| now.since(at) > vouch_over)
        });
        stopped.count() >= needed
    }

    /// Whether a later run of the same instance holds a lease, or the platform
    /// no longer lists the instance. Both mean that the process has ended.
    fn is_replaced(&self, member: &Member) -> bool {
        let successor = |m: &Member| m.name == member.name && m.boot != member.boot;
        let is_listed = match &self.instances {
            Some(names) => names.binary_search(&member.name).is_ok(),
            None => true,
        };
        !is_listed || self.leased.iter().any(successor)
    }

    /// When `member` was known to have adopted a term without the outgoing holders.
    fn adopted_at_of(&self, member: &Member) -> Option<Millis> {
        if *member == self.me {
            return Some(self.adopted_at);
        }
        let peer = self.peers.iter().find(|peer| peer.member == *member)?;
        let is_current = peer.term >= self.term.number;
        is_current.then_some(peer.adopted_at)
    }

    /// Divides what nobody carried into the term, once all members have told
    /// what they carried and all earlier holders have certainly stopped.
    fn try_activate(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        if self.active || !self.term.members.contains(&self.me) {
            return;
        }
        let members = self.term.members.iter();
        let missing: Vec<Member> = members
            .filter(|m| self.carried_of(m).is_none())
            .cloned()
            .collect();
        if !missing.is_empty() {
            self.want_carried(now, missing, out);
            return;
        }
        let mut outgoing = self.term.outgoing.iter();
        if !outgoing.all(|o| self.has_stopped(now, o)) {
            return;
        }
        self.active = true;
        let added: Vec<u64> = self
            .holdings
            .iter()
            .map(|h| self.added_share(&h.limit.workspace))
            .collect();
        for (holding, added) in self.holdings.iter_mut().zip(added) {
            holding.base += added;
            out.push(set_share(holding));
        }
    }

    fn want_carried(&mut self, now: Millis, from: Vec<Member>, out: &mut Vec<ShareEffect>) {
        if now.since(self.wanted_carried_at) < CARRIED_INTERVAL {
            return;
        }
        self.wanted_carried_at = now;
        let term = self.term.number;
        for to in from {
            let message = ShareMessage::WantCarried { term };
            out.push(ShareEffect::Send { to, message });
        }
    }

    fn heard(
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
        self.extend_right(now, out);
        self.try_activate(now, out);
    }

    /// Works out until when this gateway may spend.
    fn extend_right(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        let Some(renewed) = self.renewed else {
            return;
        };
        if !self.term.members.contains(&self.me) {
            return;
        }
        let leased_until = renewed + LEASE_RIGHT;
        let vouched_until = self.vouched_until().min(renewed + MAX_VOUCHED);
        let until = leased_until.max(vouched_until);
        if until > self.right_until && until > now {
            self.right_until = until;
            out.push(ShareEffect::SetRight(until));
        }
    }

    /// The moment until which a majority of the term, this gateway included, vouches.
    fn vouched_until(&self) -> Millis {
        let needed = self.term.members.len() / 2;
        let mut echoes: Vec<Millis> = self
            .peers
            .iter()
            .filter(|p| p.term == self.term.number && self.term.members.contains(&p.member))
            .map(|p| p.echo)
            .collect();
        echoes.sort_unstable_by(|a, b| b.cmp(a));
        match needed.checked_sub(1) {
            Some(last) => echoes.get(last).map_or(Millis::ZERO, |e| *e + VOUCH_RIGHT),
            None => Millis(u64::MAX),
        }
    }

    /// Asks one peer at a time for what is short.
    fn ask(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        let others: Vec<Member> = self.live_others(now);
        if others.is_empty() || self.draining {
            return;
        }
        let term = self.term.number;
        for holding in &mut self.holdings {
            if holding.wanted == 0 || now.since(holding.asked_at) < ASK_INTERVAL {
                continue;
            }
            holding.asked_at = now;
            for to in &others {
                out.push(ShareEffect::Send {
                    to: to.clone(),
                    message: ShareMessage::Ask {
                        term,
                        workspace: holding.limit.workspace.clone(),
                        tokens: holding.wanted,
                    },
                });
            }
        }
    }

    fn message(&mut self, from: Member, message: ShareMessage, out: &mut Vec<ShareEffect>) {
        match message {
            ShareMessage::Ask {
                term,
                workspace,
                tokens,
            } => self.asked(from, term, workspace, tokens, out),
            ShareMessage::Grant {
                term,
                id,
                workspace,
                ppm,
                tokens,
            } => {
                if term != self.term.number || !self.term.members.contains(&self.me) {
                    return;
                }
                let Ok(at) = self.find(&workspace) else {
                    return;
                };
                let holding = &mut self.holdings[at];
                holding.traded += ppm as i64;
                out.push(set_share(holding));
                out.push(ShareEffect::Deposit { workspace, tokens });
                let message = ShareMessage::Granted { id };
                out.push(ShareEffect::Send { to: from, message });
            }
            ShareMessage::Carried { term, shares } => {
                let member = from;
                self.note_carried(Carried {
                    member,
                    term,
                    shares,
                });
            }
            ShareMessage::WantCarried { term } => {
                let mine = self.carried_of(&self.me).filter(|c| c.term == term);
                if let Some(mine) = mine {
                    let shares = mine.shares.clone();
                    let message = ShareMessage::Carried { term, shares };
                    out.push(ShareEffect::Send { to: from, message });
                }
            }
            ShareMessage::Granted { id } => self.grants.retain(|grant| grant.id != id),
        }
    }

    fn asked(
        &mut self,
        from: Member,
        term: u64,
        workspace: CompactString,
        tokens: u64,
        out: &mut Vec<ShareEffect>,
    ) {
        if term != self.term.number {
            return;
        }
        let Ok(at) = self.find(&workspace) else {
            return;
        };
        let ppm = self.holdings[at].grant_for(tokens);
        if ppm > 0 {
            out.push(ShareEffect::Split {
                to: from,
                workspace,
                ppm,
            });
        }
    }

    /// Books a share that a bucket has given up, and sends it.
    fn grant(
        &mut self,
        now: Millis,
        to: Member,
        workspace: CompactString,
        ppm: u64,
        tokens: u64,
        out: &mut Vec<ShareEffect>,
    ) {
        let Ok(at) = self.find(&workspace) else {
            return;
        };
        self.holdings[at].traded -= ppm as i64;
        let id = self.next_grant;
        self.next_grant += 1;
        self.grants.push(PendingGrant { id, sent_at: now });
        let message = ShareMessage::Grant {
            term: self.term.number,
            id,
            workspace,
            ppm,
            tokens,
        };
        out.push(ShareEffect::Send { to, message });
    }

    fn hand_over_all(&mut self, out: &mut Vec<ShareEffect>) {
        let others = self.live_others(self.last_tick);
        let Some(to) = others.get(self.next_peer % others.len().max(1)) else {
            return;
        };
        self.next_peer += 1;
        for holding in self.holdings.iter().filter(|h| h.share() > 0) {
            out.push(ShareEffect::Split {
                to: to.clone(),
                workspace: holding.limit.workspace.clone(),
                ppm: holding.share(),
            });
        }
    }

    /// Adds workspaces and updates limits. A workspace that left the
    /// configuration stays until the next term, so that late grants find it.
    fn set_workspaces(&mut self, limits: Vec<Limit>, out: &mut Vec<ShareEffect>) {
        for limit in &limits {
            match self.find(&limit.workspace) {
                Ok(at) => self.holdings[at].limit = limit.clone(),
                Err(at) => {
                    // The others treat a workspace that was not announced as carried with 0.
                    let base = match self.active {
                        true => self.added_share(&limit.workspace),
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

    fn live_others(&self, now: Millis) -> Vec<Member> {
        let fresh = |peer: &&Peer| {
            peer.term == self.term.number
                && self.term.members.contains(&peer.member)
                && now.since(peer.echo) <= PARTNER_FRESH
        };
        let live = self.peers.iter().filter(fresh);
        live.map(|peer| peer.member.clone()).collect()
    }

    fn find(&self, workspace: &str) -> Result<usize, usize> {
        self.holdings
            .binary_search_by(|holding| holding.limit.workspace.as_str().cmp(workspace))
    }
}

/// The latest run of each instance, in ascending order, from all leased runs
/// with the revision at which each took its lease. An instance runs one
/// gateway, so a later run proves that the earlier one has ended.
pub fn latest_runs(mut leased: Vec<(u64, Member)>) -> Vec<Member> {
    leased.sort_by(|(a_rev, a), (b_rev, b)| (&a.name, b_rev).cmp(&(&b.name, a_rev)));
    leased.dedup_by(|(_, later), (_, kept)| later.name == kept.name);
    let mut members: Vec<Member> = leased.into_iter().map(|(_, member)| member).collect();
    members.sort();
    members
}

fn set_share(holding: &Holding) -> ShareEffect {
    ShareEffect::SetShare {
        workspace: holding.limit.workspace.clone(),
        ppm: holding.share(),
    }
}
