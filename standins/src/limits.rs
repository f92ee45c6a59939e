//! The share ledgers of several gateways, driven together in virtual time.
//!
//! The reducers and buckets are the product's own. The platform's service and
//! the messages between gateways are small fakes that lose, delay and refuse.
//! A bucket of the whole rate and burst shadows all charges: a charge that
//! does not fit into it is an over-issue, and a refusal that would have fitted
//! is a refusal within the rate.

mod account;
mod owner;
mod parts;
mod soak;

use compact_str::{CompactString, format_compact};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rattanstall::bucket::{Bucket, Usage, WHOLE_PPM};
use rattanstall::clock::Millis;
use rattanstall::escrow::{
    Escrow, LEASE_TTL_S, Limit, ShareEffect, ShareEvent, ShareMessage, Term, latest_runs,
};
use rattanstall::wire::Member;

use parts::{Flying, Gateway, Packet, Request, Service};
pub use soak::{random_failure, soak_run};

/// One step of virtual time.
pub const STEP: Millis = Millis(10);
const TICK: Millis = Millis(50);
const HEARTBEAT: Millis = Millis(250);
const READ: Millis = Millis(1_000);
const RENEW: Millis = Millis(1_500);
/// How long a request waits for share before it is refused.
const SHARE_WAIT: Millis = Millis(200);
const LEASE: Millis = Millis(LEASE_TTL_S * 1_000);

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
pub struct World {
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
pub struct Cost {
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
    world: World,
    policy: Policy,
    now: Millis,
    rng: ChaCha8Rng,
    limits: Vec<Limit>,
    shadows: Vec<Bucket>,
    gateways: Vec<Gateway>,
    flying: Vec<Flying>,
    service: Service,
    next_boot: u64,
    /// The owner under [`Policy::SingleOwner`] and when its lease lapses.
    owner: Option<(Member, Millis)>,
    owned: Vec<Bucket>,
    tallies: Vec<Tally>,
    cost: Cost,
}

impl Fleet {
    /// A fleet whose workspaces have these limits.
    pub fn new(world: World, policy: Policy, limits: Vec<Limit>, seed: u64) -> Self {
        let whole = |limit: &Limit| {
            let mut bucket = Bucket::new(Millis::ZERO, limit.rate, limit.burst);
            bucket.set_share(Millis::ZERO, WHOLE_PPM);
            bucket.deposit(Millis::ZERO, limit.burst);
            bucket
        };
        let mut fleet = Self {
            world,
            policy,
            now: Millis::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            shadows: limits.iter().map(whole).collect(),
            owned: Vec::new(),
            tallies: vec![Tally::default(); limits.len()],
            cost: Cost::default(),
            limits,
            gateways: Vec::new(),
            flying: Vec::new(),
            service: Service::default(),
            next_boot: 1,
            owner: None,
        };
        for n in 0..world.gateways {
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
    pub fn cost(&self) -> Cost {
        self.cost
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
    pub fn is_ready(&self, at: usize) -> bool {
        let gateway = &self.gateways[at];
        let is_owner_known = self.policy == Policy::SingleOwner;
        let may_charge = gateway.right_until >= self.now;
        gateway.frozen_until <= self.now && (is_owner_known || may_charge)
    }

    /// The sum of the shares of a workspace over all gateways that may charge, in ppm.
    pub fn share_sum(&self, workspace: usize) -> u64 {
        let may_charge = self.gateways.iter().filter(|g| g.right_until >= self.now);
        may_charge.map(|g| g.buckets[workspace].share_ppm()).sum()
    }

    /// Kills a gateway.
    pub fn kill(&mut self, at: usize) -> CompactString {
        self.gateways.remove(at).member.name
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
            right_until: Millis::ZERO,
            heard: Vec::new(),
            waiting: Vec::new(),
            is_leased: false,
            frozen_until: Millis::ZERO,
            cut_until: Millis::ZERO,
            alone_until: Millis::ZERO,
            ticked: now,
            beat: Millis::ZERO,
            read: Millis::ZERO,
            renewed: Millis::ZERO,
        };
        let limits = self.limits.clone();
        gateway.escrow.reduce(now, ShareEvent::Workspaces(limits));
        self.gateways.push(gateway);
        self.gateways.sort_by(|a, b| a.member.cmp(&b.member));
    }

    /// Freezes a gateway: its requests still come, but its control stands still.
    pub fn freeze(&mut self, at: usize, span: Millis) {
        self.gateways[at].frozen_until = self.now + span;
    }

    /// Cuts a gateway from the platform's service.
    pub fn cut_platform(&mut self, at: usize, span: Millis) {
        self.gateways[at].cut_until = self.now + span;
    }

    /// Cuts a gateway from all others.
    pub fn cut_peers(&mut self, at: usize, span: Millis) {
        self.gateways[at].alone_until = self.now + span;
    }

    /// Takes the platform's service down for everyone.
    pub fn take_service_down(&mut self, span: Millis) {
        self.service.down_until = self.now + span;
    }

    /// A request arrives at a gateway.
    pub fn arrive(&mut self, at: usize, workspace: usize, cost: u64) {
        let request = Request {
            workspace,
            cost,
            arrived: self.now,
        };
        self.gateways[at].waiting.push(request);
    }

    /// Moves time on by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.expire_leases();
        self.deliver();
        for at in 0..self.gateways.len() {
            if self.gateways[at].frozen_until <= self.now {
                self.run_control(at);
            }
            self.serve(at);
        }
    }

    fn expire_leases(&mut self) {
        let now = self.now;
        if self.service.down_until > now {
            // As in etcd, leases get their full time again after an outage.
            for lease in &mut self.service.leases {
                lease.1 = lease.1.max(self.service.down_until + LEASE);
            }
        }
        self.service.leases.retain(|(_, until)| *until > now);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<Flying>, Vec<Flying>) = std::mem::take(&mut self.flying)
            .into_iter()
            .partition(|f| f.due <= now);
        self.flying = rest;
        for mut flying in due {
            let Some(at) = self.position(&flying.to) else {
                continue;
            };
            let frozen_until = self.gateways[at].frozen_until;
            if frozen_until > now {
                flying.due = frozen_until;
                self.flying.push(flying);
                continue;
            }
            self.receive(at, flying.from, flying.packet);
        }
    }

    fn receive(&mut self, at: usize, from: Member, packet: Packet) {
        match packet {
            Packet::Heartbeat {
                sent_at,
                echo,
                term,
            } => {
                let heard = &mut self.gateways[at].heard;
                heard.retain(|(member, _)| *member != from);
                heard.push((from.clone(), sent_at));
                let echo = echo.unwrap_or_default();
                self.reduce(at, ShareEvent::Heartbeat { from, term, echo });
            }
            Packet::Share(ShareMessage::Ask { .. }) if self.policy == Policy::EqualSplit => {}
            Packet::Share(message) => self.reduce(at, ShareEvent::Message { from, message }),
            Packet::Read(event) => self.reduce(at, event),
            Packet::Renewed { sent_at } => {
                self.gateways[at].is_leased = true;
                self.reduce(at, ShareEvent::Renewed { sent_at });
            }
        }
    }

    fn run_control(&mut self, at: usize) {
        let now = self.now;
        if now.since(self.gateways[at].ticked) >= TICK {
            self.gateways[at].ticked = now;
            let usage = self.usage(at);
            self.reduce(at, ShareEvent::Tick(usage));
        }
        if now.since(self.gateways[at].beat) >= HEARTBEAT {
            self.gateways[at].beat = now;
            self.beat(at);
        }
        if now.since(self.gateways[at].renewed) >= RENEW {
            self.gateways[at].renewed = now;
            self.renew(at);
        }
        if now.since(self.gateways[at].read) >= READ {
            self.gateways[at].read = now;
            self.read(at);
        }
    }

    fn usage(&mut self, at: usize) -> Vec<Usage> {
        let now = self.now;
        let buckets = self.gateways[at].buckets.iter_mut();
        let limits = self.limits.iter();
        let usage = |(b, l): (&mut Bucket, &Limit)| b.take_usage(now, &l.workspace);
        buckets.zip(limits).map(usage).collect()
    }

    fn beat(&mut self, at: usize) {
        let me = self.gateways[at].member.clone();
        let term = self.gateways[at].escrow.term();
        let others: Vec<Member> = self.gateways.iter().map(|g| g.member.clone()).collect();
        for to in others.into_iter().filter(|m| *m != me) {
            let mut heard = self.gateways[at].heard.iter();
            let echo = heard.find(|(m, _)| *m == to).map(|(_, sent_at)| *sent_at);
            let packet = Packet::Heartbeat {
                sent_at: self.now,
                echo,
                term,
            };
            self.send(&me, to, packet);
        }
    }

    fn send(&mut self, from: &Member, to: Member, packet: Packet) {
        self.cost.messages += 1;
        let is_alone = |m: &Member| {
            let mut gateways = self.gateways.iter();
            gateways.any(|g| g.member == *m && g.alone_until > self.now)
        };
        let is_lost = self.rng.random_range(0..1_000) < self.world.loss_permille;
        if is_lost || is_alone(from) || is_alone(&to) {
            return;
        }
        self.fly(from.clone(), to, packet);
    }

    fn fly(&mut self, from: Member, to: Member, packet: Packet) {
        let delay = self.world.delay_ms + self.rng.random_range(0..=self.world.delay_ms);
        let due = self.now + Millis(delay);
        self.flying.push(Flying {
            due,
            to,
            from,
            packet,
        });
    }

    fn reaches_service(&self, at: usize) -> bool {
        self.gateways[at].cut_until <= self.now && self.service.down_until <= self.now
    }

    fn renew(&mut self, at: usize) {
        self.cost.platform_calls += 1;
        if !self.reaches_service(at) {
            return;
        }
        let me = self.gateways[at].member.clone();
        let until = self.now + LEASE;
        match self.service.leases.iter_mut().find(|(m, _)| *m == me) {
            Some(lease) => lease.1 = until,
            None => self.service.leases.push((me.clone(), until)),
        }
        let sent_at = self.now;
        self.fly(me.clone(), me, Packet::Renewed { sent_at });
    }

    fn read(&mut self, at: usize) {
        self.cost.platform_calls += 1;
        if !self.reaches_service(at) {
            return;
        }
        let leases = self.service.leases.iter();
        // A lease stands where it was taken, so its place serves as its revision.
        let leased = leases.enumerate().map(|(at, l)| (at as u64, l.0.clone()));
        let leased = latest_runs(leased.collect());
        let event = ShareEvent::Read {
            sent_at: self.now,
            term: self.service.term.clone(),
            modified: self.service.modified,
            leased,
        };
        let me = self.gateways[at].member.clone();
        self.fly(me.clone(), me, Packet::Read(event));
    }

    fn write_term(&mut self, at: usize, term: Term, modified: u64, unleased: &[Member]) {
        self.cost.platform_calls += 1;
        let mut leases = self.service.leases.iter();
        let is_leased = leases.any(|(member, _)| unleased.contains(member));
        let is_in_force = modified == self.service.modified && !is_leased;
        if self.reaches_service(at) && is_in_force {
            self.service.term = term;
            self.service.modified += 1;
        }
    }

    fn reduce(&mut self, at: usize, event: ShareEvent) {
        self.cost.events += 1;
        let effects = self.gateways[at].escrow.reduce(self.now, event);
        for effect in effects {
            self.carry_out(at, effect);
        }
    }

    fn carry_out(&mut self, at: usize, effect: ShareEffect) {
        let now = self.now;
        match effect {
            ShareEffect::SetShare { workspace, ppm } => {
                let index = self.workspace(&workspace);
                self.gateways[at].buckets[index].set_share(now, ppm);
            }
            ShareEffect::Deposit { workspace, tokens } => {
                let index = self.workspace(&workspace);
                self.gateways[at].buckets[index].deposit(now, tokens);
            }
            ShareEffect::Split { to, workspace, ppm } => {
                let index = self.workspace(&workspace);
                let tokens = self.gateways[at].buckets[index].split(now, ppm);
                let split = ShareEvent::Split {
                    to,
                    workspace,
                    ppm,
                    tokens,
                };
                self.reduce(at, split);
            }
            ShareEffect::Send { to, message } => {
                let me = self.gateways[at].member.clone();
                self.send(&me, to, Packet::Share(message));
            }
            ShareEffect::SetChargeDeadline(until) => self.gateways[at].right_until = until,
            ShareEffect::WriteTerm {
                term,
                modified,
                unleased,
            } => self.write_term(at, term, modified, &unleased),
        }
    }

    fn position(&self, member: &Member) -> Option<usize> {
        self.gateways.iter().position(|g| g.member == *member)
    }

    fn workspace(&self, name: &str) -> usize {
        let found = self.limits.iter().position(|l| l.workspace == name);
        found.unwrap_or_default()
    }
}
