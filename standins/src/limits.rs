//! The share ledgers of several gateways, driven together in virtual time.
//!
//! The reducers and buckets are the product's own. The platform's service and
//! the messages between gateways are small fakes that lose, delay and refuse.
//! A bucket of the whole rate and burst shadows all charges: a charge that
//! does not fit into it is an over-issue, and a refusal that would have fitted
//! is a refusal within the rate.

mod account;
mod owner;
mod soak;
mod types;

use compact_str::{CompactString, format_compact};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::bucket::{Bucket, Usage, WHOLE_PPM};
use rattanstall::clock::Millis;
use rattanstall::escrow::{
    Escrow, LEASE_TTL_S, Limit, ShareEffect, ShareEvent, ShareMessage, Term, latest_runs,
};
use rattanstall::wire::Member;

pub use soak::{random_failure, soak_run};
use types::{DelayedPacket, Gateway, Packet, Platform, Request};

/// One step of virtual time.
pub const STEP: Millis = Millis(10);
const TICK_INTERVAL: Millis = Millis(50);
const HEARTBEAT_INTERVAL: Millis = Millis(250);
const READ_INTERVAL: Millis = Millis(1_000);
const RENEWAL_INTERVAL: Millis = Millis(1_500);
/// How long a request waits for share before it is refused.
const SHARE_TIMEOUT: Millis = Millis(200);
const LEASE_TTL: Millis = Millis(LEASE_TTL_S * 1_000);

/// How the fleet splits limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Escrowed shares that move on demand.
    Escrow,
    /// The same ledger, but shares never move: an equal split among live gateways.
    EqualSplit,
    /// One gateway owns each bucket and is asked for every charge. Its lease
    /// must lapse before another one takes over, with an empty bucket.
    SingleOwner,
}

/// What the network and the platform do to the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    /// Gateways.
    pub gateways: usize,
    /// Delay of a message, in milliseconds; each is this or up to twice this.
    pub delay_ms: u64,
    /// Messages lost, in thousandths.
    pub loss_permille: u32,
}

/// What was seen of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests let through.
    pub admitted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused although the whole bucket had room.
    pub refused_within_rate: u64,
    /// Requests let through although the whole bucket had no room.
    pub over_issued: u64,
    /// Tokens let through.
    pub tokens: u64,
}

/// What a run cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages between gateways.
    pub messages: u64,
    /// Calls to the platform's service.
    pub platform_calls: u64,
    /// Events that the ledgers took in.
    pub events: u64,
}

/// A fleet of ledgers.
#[derive(Debug)]
pub struct Fleet {
    cfg: FleetConfig,
    policy: Policy,
    now: Millis,
    rng: ChaCha8Rng,
    limits: Vec<Limit>,
    reference_buckets: Vec<Bucket>,
    gateways: Vec<Gateway>,
    in_transit: Vec<DelayedPacket>,
    platform: Platform,
    next_boot: u64,
    /// The owner under [`Policy::SingleOwner`] and when its lease lapses.
    owner: Option<(Member, Millis)>,
    owner_buckets: Vec<Bucket>,
    tallies: Vec<Tally>,
    counters: Counters,
}

impl Fleet {
    /// A fleet whose workspaces have these limits.
    pub fn new(cfg: FleetConfig, policy: Policy, limits: Vec<Limit>, seed: u64) -> Self {
        let full_bucket = |limit: &Limit| {
            let mut bucket = Bucket::new(Millis::ZERO, limit.rate, limit.burst);
            bucket.set_share(Millis::ZERO, WHOLE_PPM);
            bucket.deposit(Millis::ZERO, limit.burst);
            bucket
        };
        let mut fleet = Self {
            cfg,
            policy,
            now: Millis::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            reference_buckets: limits.iter().map(full_bucket).collect(),
            owner_buckets: Vec::new(),
            tallies: vec![Tally::default(); limits.len()],
            counters: Counters::default(),
            limits,
            gateways: Vec::new(),
            in_transit: Vec::new(),
            platform: Platform::default(),
            next_boot: 1,
            owner: None,
        };
        for n in 0..cfg.gateways {
            fleet.add_gateway(format_compact!("gw-{n}"));
        }
        fleet
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// What was seen so far, by workspace.
    pub fn tallies(&self) -> &[Tally] {
        &self.tallies
    }

    /// What was seen so far, over all workspaces.
    pub fn tally(&self) -> Tally {
        self.tallies.iter().fold(Tally::default(), |sum, t| Tally {
            admitted: sum.admitted + t.admitted,
            refused: sum.refused + t.refused,
            refused_within_rate: sum.refused_within_rate + t.refused_within_rate,
            over_issued: sum.over_issued + t.over_issued,
            tokens: sum.tokens + t.tokens,
        })
    }

    /// What it cost so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Gateways that run.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Whether no gateway runs.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// Whether a balancer that checks health sends requests to a gateway:
    /// it answers, and it may charge.
    pub fn is_ready(&self, gateway: usize) -> bool {
        let gateway = &self.gateways[gateway];
        let is_single_owner = self.policy == Policy::SingleOwner;
        let may_charge = gateway.charge_deadline >= self.now;
        gateway.frozen_until <= self.now && (is_single_owner || may_charge)
    }

    /// The sum of the shares of a workspace over all gateways that may charge, in ppm.
    pub fn share_sum(&self, workspace: usize) -> u64 {
        let may_charge = self
            .gateways
            .iter()
            .filter(|g| g.charge_deadline >= self.now);
        may_charge.map(|g| g.buckets[workspace].share_ppm()).sum()
    }

    /// Kills a gateway.
    pub fn kill(&mut self, gateway: usize) -> CompactString {
        self.gateways.remove(gateway).member.name
    }

    /// Starts a gateway.
    pub fn add_gateway(&mut self, name: CompactString) {
        let boot = self.next_boot;
        self.next_boot += 1;
        let member = Member { name, boot };
        let now = self.now;
        let bucket = |limit: &Limit| Bucket::new(now, limit.rate, limit.burst);
        let mut gateway = Gateway {
            escrow: Escrow::new(member.clone()),
            buckets: self.limits.iter().map(bucket).collect(),
            member,
            charge_deadline: Millis::ZERO,
            last_heartbeats: Vec::new(),
            waiting: Vec::new(),
            is_leased: false,
            frozen_until: Millis::ZERO,
            platform_unreachable_until: Millis::ZERO,
            isolated_until: Millis::ZERO,
            last_tick: now,
            last_heartbeat: Millis::ZERO,
            last_read: Millis::ZERO,
            last_renewal: Millis::ZERO,
        };
        let limits = self.limits.clone();
        gateway.escrow.reduce(now, ShareEvent::Workspaces(limits));
        self.gateways.push(gateway);
        self.gateways.sort_by(|a, b| a.member.cmp(&b.member));
    }

    /// Freezes a gateway: its requests still come, but its control stands still.
    pub fn freeze(&mut self, gateway: usize, span: Millis) {
        self.gateways[gateway].frozen_until = self.now + span;
    }

    /// Cuts a gateway from the platform's service.
    pub fn disconnect_platform(&mut self, gateway: usize, span: Millis) {
        self.gateways[gateway].platform_unreachable_until = self.now + span;
    }

    /// Cuts a gateway from all others.
    pub fn disconnect_peers(&mut self, gateway: usize, span: Millis) {
        self.gateways[gateway].isolated_until = self.now + span;
    }

    /// Takes the platform's service down for everyone.
    pub fn take_platform_down(&mut self, span: Millis) {
        self.platform.down_until = self.now + span;
    }

    /// A request arrives at a gateway.
    pub fn arrive(&mut self, gateway: usize, workspace: usize, cost: u64) {
        let request = Request {
            workspace,
            cost,
            arrived: self.now,
        };
        self.gateways[gateway].waiting.push(request);
    }

    /// Moves time on by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.expire_leases();
        self.deliver();
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].frozen_until <= self.now {
                self.run_control(gateway);
            }
            self.serve(gateway);
        }
    }

    fn expire_leases(&mut self) {
        let now = self.now;
        if self.platform.down_until > now {
            // As in etcd, leases get their full time again after an outage.
            for lease in &mut self.platform.leases {
                lease.1 = lease.1.max(self.platform.down_until + LEASE_TTL);
            }
        }
        self.platform.leases.retain(|(_, until)| *until > now);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<DelayedPacket>, Vec<DelayedPacket>) =
            std::mem::take(&mut self.in_transit)
                .into_iter()
                .partition(|p| p.deliver_at <= now);
        self.in_transit = rest;
        for mut delayed in due {
            let Some(gateway) = self.position(&delayed.to) else {
                continue;
            };
            let frozen_until = self.gateways[gateway].frozen_until;
            if frozen_until > now {
                delayed.deliver_at = frozen_until;
                self.in_transit.push(delayed);
                continue;
            }
            self.receive(gateway, delayed.from, delayed.packet);
        }
    }

    fn receive(&mut self, gateway: usize, from: Member, packet: Packet) {
        match packet {
            Packet::Heartbeat {
                sent_at,
                echo,
                term,
            } => {
                let last_heartbeats = &mut self.gateways[gateway].last_heartbeats;
                last_heartbeats.retain(|(member, _)| *member != from);
                last_heartbeats.push((from.clone(), sent_at));
                let echo = echo.unwrap_or_default();
                self.reduce(gateway, ShareEvent::Heartbeat { from, term, echo });
            }
            Packet::Share(ShareMessage::Ask { .. }) if self.policy == Policy::EqualSplit => {}
            Packet::Share(message) => self.reduce(gateway, ShareEvent::Message { from, message }),
            Packet::ReadResponse(event) => self.reduce(gateway, event),
            Packet::RenewalResponse { sent_at } => {
                self.gateways[gateway].is_leased = true;
                self.reduce(gateway, ShareEvent::Renewed { sent_at });
            }
        }
    }

    fn run_control(&mut self, gateway: usize) {
        let now = self.now;
        if now.since(self.gateways[gateway].last_tick) >= TICK_INTERVAL {
            self.gateways[gateway].last_tick = now;
            let usage = self.take_usage(gateway);
            self.reduce(gateway, ShareEvent::Tick(usage));
        }
        if now.since(self.gateways[gateway].last_heartbeat) >= HEARTBEAT_INTERVAL {
            self.gateways[gateway].last_heartbeat = now;
            self.send_heartbeats(gateway);
        }
        if now.since(self.gateways[gateway].last_renewal) >= RENEWAL_INTERVAL {
            self.gateways[gateway].last_renewal = now;
            self.renew_lease(gateway);
        }
        if now.since(self.gateways[gateway].last_read) >= READ_INTERVAL {
            self.gateways[gateway].last_read = now;
            self.read_term(gateway);
        }
    }

    fn take_usage(&mut self, gateway: usize) -> Vec<Usage> {
        let now = self.now;
        let buckets = self.gateways[gateway].buckets.iter_mut();
        let limits = self.limits.iter();
        let usage = |(b, l): (&mut Bucket, &Limit)| b.take_usage(now, &l.workspace);
        buckets.zip(limits).map(usage).collect()
    }

    fn send_heartbeats(&mut self, gateway: usize) {
        let me = self.gateways[gateway].member.clone();
        let term = self.gateways[gateway].escrow.term();
        let others: Vec<Member> = self.gateways.iter().map(|g| g.member.clone()).collect();
        for to in others.into_iter().filter(|m| *m != me) {
            let mut last_heartbeats = self.gateways[gateway].last_heartbeats.iter();
            let echo = last_heartbeats
                .find(|(m, _)| *m == to)
                .map(|(_, sent_at)| *sent_at);
            let packet = Packet::Heartbeat {
                sent_at: self.now,
                echo,
                term,
            };
            self.send(&me, to, packet);
        }
    }

    fn send(&mut self, from: &Member, to: Member, packet: Packet) {
        self.counters.messages += 1;
        let is_isolated = |m: &Member| {
            let mut gateways = self.gateways.iter();
            gateways.any(|g| g.member == *m && g.isolated_until > self.now)
        };
        let is_lost = self.rng.random_range(0..1_000) < self.cfg.loss_permille;
        if is_lost || is_isolated(from) || is_isolated(&to) {
            return;
        }
        self.schedule_delivery(from.clone(), to, packet);
    }

    fn schedule_delivery(&mut self, from: Member, to: Member, packet: Packet) {
        let delay = self.cfg.delay_ms + self.rng.random_range(0..=self.cfg.delay_ms);
        let deliver_at = self.now + Millis(delay);
        self.in_transit.push(DelayedPacket {
            deliver_at,
            to,
            from,
            packet,
        });
    }

    fn reaches_platform(&self, gateway: usize) -> bool {
        self.gateways[gateway].platform_unreachable_until <= self.now
            && self.platform.down_until <= self.now
    }

    fn renew_lease(&mut self, gateway: usize) {
        self.counters.platform_calls += 1;
        if !self.reaches_platform(gateway) {
            return;
        }
        let me = self.gateways[gateway].member.clone();
        let until = self.now + LEASE_TTL;
        match self.platform.leases.iter_mut().find(|(m, _)| *m == me) {
            Some(lease) => lease.1 = until,
            None => self.platform.leases.push((me.clone(), until)),
        }
        let sent_at = self.now;
        self.schedule_delivery(me.clone(), me, Packet::RenewalResponse { sent_at });
    }

    fn read_term(&mut self, gateway: usize) {
        self.counters.platform_calls += 1;
        if !self.reaches_platform(gateway) {
            return;
        }
        let leases = self.platform.leases.iter();
        // A lease stands where it was taken, so its place serves as its revision.
        let leased = leases.enumerate().map(|(i, l)| (i as u64, l.0.clone()));
        let leased = latest_runs(leased.collect());
        let event = ShareEvent::Read {
            sent_at: self.now,
            term: self.platform.term.clone(),
            modified: self.platform.modified,
            leased,
        };
        let me = self.gateways[gateway].member.clone();
        self.schedule_delivery(me.clone(), me, Packet::ReadResponse(event));
    }

    fn write_term(&mut self, gateway: usize, term: Term, modified: u64, unleased: &[Member]) {
        self.counters.platform_calls += 1;
        let mut leases = self.platform.leases.iter();
        let is_leased = leases.any(|(member, _)| unleased.contains(member));
        let is_precondition_met = modified == self.platform.modified && !is_leased;
        if self.reaches_platform(gateway) && is_precondition_met {
            self.platform.term = term;
            self.platform.modified += 1;
        }
    }

    fn reduce(&mut self, gateway: usize, event: ShareEvent) {
        self.counters.events += 1;
        let effects = self.gateways[gateway].escrow.reduce(self.now, event);
        for effect in effects {
            self.apply_effect(gateway, effect);
        }
    }

    fn apply_effect(&mut self, gateway: usize, effect: ShareEffect) {
        let now = self.now;
        match effect {
            ShareEffect::SetShare { workspace, ppm } => {
                let index = self.workspace_index(&workspace);
                self.gateways[gateway].buckets[index].set_share(now, ppm);
            }
            ShareEffect::Deposit { workspace, tokens } => {
                let index = self.workspace_index(&workspace);
                self.gateways[gateway].buckets[index].deposit(now, tokens);
            }
            ShareEffect::Split { to, workspace, ppm } => {
                let index = self.workspace_index(&workspace);
                let tokens = self.gateways[gateway].buckets[index].split(now, ppm);
                let split = ShareEvent::Split {
                    to,
                    workspace,
                    ppm,
                    tokens,
                };
                self.reduce(gateway, split);
            }
            ShareEffect::Send { to, message } => {
                let me = self.gateways[gateway].member.clone();
                self.send(&me, to, Packet::Share(message));
            }
            ShareEffect::SetChargeDeadline(until) => self.gateways[gateway].charge_deadline = until,
            ShareEffect::WriteTerm {
                term,
                modified,
                unleased,
            } => self.write_term(gateway, term, modified, &unleased),
        }
    }

    fn position(&self, member: &Member) -> Option<usize> {
        self.gateways.iter().position(|g| g.member == *member)
    }

    fn workspace_index(&self, name: &str) -> usize {
        let found = self.limits.iter().position(|l| l.workspace == name);
        found.unwrap_or_default()
    }
}
