//! Simulates the share ledgers of several gateways in virtual time.
//!
//! The share ledgers and buckets are the product's code. The platform's service
//! and the network are simulated: messages are lost and delayed, and calls to the
//! service fail. Every admitted request is also charged to a reference bucket
//! with the whole rate and burst of its workspace: if it does not fit there, it
//! is an over-issue. A refused request that would have fitted there is a
//! refusal within the rate.

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

/// Virtual time that passes in one step.
pub const STEP: Millis = Millis(10);
// The gateways' own intervals.
const TICK_INTERVAL: Millis = Millis(50);
const HEARTBEAT_INTERVAL: Millis = Millis(250);
const READ_INTERVAL: Millis = Millis(1_000);
const RENEWAL_INTERVAL: Millis = Millis(1_500);
/// How long a request waits for tokens before it is refused, as at the gateways.
const SHARE_WAIT: Millis = Millis(200);
const LEASE_TTL: Millis = Millis(LEASE_TTL_S * 1_000);

/// How the gateways split limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Escrowed shares that move between gateways on demand.
    Escrow,
    /// The same ledger with an equal split among live gateways; shares do not move on demand.
    EqualSplit,
    /// One gateway owns all buckets and makes every charge. Its lease must
    /// expire before another gateway takes over, with empty buckets.
    SingleOwner,
}

/// Size of the fleet and properties of its network.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    /// Number of gateways at the start.
    pub gateways: usize,
    /// Minimum delay of a message or platform response, in milliseconds; the maximum is twice that.
    pub delay_ms: u64,
    /// Fraction of messages between gateways that are lost, in thousandths.
    pub loss_permille: u32,
}

/// Counts of admitted and refused requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused although the reference bucket had room.
    pub refused_within_rate: u64,
    /// Requests admitted although the reference bucket had no room.
    pub over_issued: u64,
    /// Tokens of the admitted requests.
    pub tokens: u64,
}

/// Counts of the messages, calls and events of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages between gateways.
    pub messages: u64,
    /// Calls to the platform's service.
    pub platform_calls: u64,
    /// Events reduced by the ledgers.
    pub events: u64,
}

/// A simulated fleet of gateways with their share ledgers.
#[derive(Debug)]
pub struct SimulatedFleet {
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
    /// The owner under [`Policy::SingleOwner`] and when its lease expires.
    owner: Option<(Member, Millis)>,
    owner_buckets: Vec<Bucket>,
    tallies: Vec<Tally>,
    counters: Counters,
}

impl SimulatedFleet {
    /// Starts a fleet whose workspaces have these limits.
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

    /// The current virtual time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Requests counted so far, by workspace.
    pub fn tallies(&self) -> &[Tally] {
        &self.tallies
    }

    /// Requests counted so far, over all workspaces.
    pub fn tally(&self) -> Tally {
        self.tallies.iter().fold(Tally::default(), |sum, t| Tally {
            admitted: sum.admitted + t.admitted,
            refused: sum.refused + t.refused,
            refused_within_rate: sum.refused_within_rate + t.refused_within_rate,
            over_issued: sum.over_issued + t.over_issued,
            tokens: sum.tokens + t.tokens,
        })
    }

    /// Messages, calls and events so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of running gateways.
    pub fn len(&self) -> usize {
        self.gateways.len()
    }

    /// Whether no gateway is running.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// Whether a load balancer with health checks sends requests to a gateway:
    /// the gateway responds and may charge.
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

    /// Kills a gateway and returns its name.
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

    /// Freezes the control task of a gateway; requests still arrive and are charged.
    pub fn freeze(&mut self, gateway: usize, span: Millis) {
        self.gateways[gateway].frozen_until = self.now + span;
    }

    /// Disconnects a gateway from the platform's service.
    pub fn disconnect_platform(&mut self, gateway: usize, span: Millis) {
        self.gateways[gateway].platform_unreachable_until = self.now + span;
    }

    /// Disconnects a gateway from all others.
    pub fn disconnect_peers(&mut self, gateway: usize, span: Millis) {
        self.gateways[gateway].isolated_until = self.now + span;
    }

    /// Makes the platform's service unreachable for all gateways.
    pub fn take_platform_down(&mut self, span: Millis) {
        self.platform.down_until = self.now + span;
    }

    /// Adds a request to those waiting at a gateway.
    pub fn arrive(&mut self, gateway: usize, workspace: usize, cost: u64) {
        let request = Request {
            workspace,
            cost,
            arrived: self.now,
        };
        self.gateways[gateway].waiting.push(request);
    }

    /// Advances virtual time by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.expire_leases();
        self.deliver();
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].frozen_until <= self.now {
                self.run_control(gateway);
            }
            self.charge_waiting(gateway);
        }
    }

    fn expire_leases(&mut self) {
        let now = self.now;
        if self.platform.down_until > now {
            // As in etcd, every lease gets its full TTL again after an outage.
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
            Packet::Share(ShareMessage::Request { .. }) if self.policy == Policy::EqualSplit => {}
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
        // Leases are listed in the order in which they were taken, so the index
        // of a lease serves as its revision.
        let leased = leases.enumerate().map(|(i, l)| (i as u64, l.0.clone()));
        let leased = latest_runs(leased.collect());
        let event = ShareEvent::Read {
            sent_at: self.now,
            term: self.platform.term.clone(),
            mod_revision: self.platform.modified,
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
                mod_revision,
                unleased,
            } => self.write_term(gateway, term, mod_revision, &unleased),
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
