//! The control state of a gateway: one reducer over all events, with effects as data.
//!
//! It does no I/O and reads no clock, so tests drive it through thousands of
//! schedules. The driver in [`crate::gateway`] feeds it and carries out what
//! it asks for.

mod event;

use compact_str::CompactString;

use crate::bucket::Usage;
use crate::clock::Millis;
use crate::config::Entry;
use crate::configuration::{CONFIRMED_FOR, Configuration, Snapshot};
use crate::escrow::{Escrow, Limit, ShareEffect, ShareEvent};
use crate::instances::{Instance, Role};
use crate::placement::{Demand, Placement};
use crate::weights::Catalogue;
use crate::wire::{AgentStatus, Envelope, Fence, Heartbeat, Member, PeerMessage};

pub use event::{Effect, Event, View};

/// Time between two heartbeats to one peer.
const HEARTBEAT_INTERVAL: Millis = Millis(250);
/// Time between two reads of the configuration's head.
const HEAD_INTERVAL: Millis = Millis(500);
/// Time between two reads of the share holders.
const SHARES_INTERVAL: Millis = Millis(1_000);
/// Time between two rounds of placement.
const PLACEMENT_INTERVAL: Millis = Millis(250);
/// Gateways of each zone that ask the platform's service for the others.
const READERS_PER_ZONE: usize = 2;
/// A gateway without confirmation for this long asks the service itself.
const ASK_SERVICE_AFTER: Millis = Millis(1_000);

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// The peer's clock in its last heartbeat.
    sent_at: Millis,
    /// The latest moment of this gateway's clock that the peer has answered.
    echo: Millis,
    revision: u64,
    draining: bool,
}

/// The control state of one gateway.
#[derive(Debug)]
pub struct Control {
    me: Member,
    zone: CompactString,
    configuration: Configuration,
    escrow: Escrow,
    placement: Placement,
    instances: Vec<Instance>,
    peers: Vec<Peer>,
    agents: Vec<AgentStatus>,
    catalogue: Catalogue,
    demand: Vec<Demand>,
    leader: Option<Fence>,
    draining: bool,
    platform_failed: bool,
    keyed_until: Millis,
    heartbeat_at: Millis,
    head_at: Millis,
    shares_at: Millis,
    placement_at: Millis,
}

impl Control {
    /// The state of a gateway that has just started.
    pub fn new(me: Member, zone: CompactString) -> Self {
        Self {
            escrow: Escrow::new(me.clone()),
            me,
            zone,
            configuration: Configuration::default(),
            placement: Placement::default(),
            instances: Vec::new(),
            peers: Vec::new(),
            agents: Vec::new(),
            catalogue: Catalogue::default(),
            demand: Vec::new(),
            leader: None,
            draining: false,
            platform_failed: false,
            keyed_until: Millis::ZERO,
            heartbeat_at: Millis::ZERO,
            head_at: Millis::ZERO,
            shares_at: Millis::ZERO,
            placement_at: Millis::ZERO,
        }
    }

    /// What traffic threads may see.
    pub fn view(&self) -> View {
        View {
            revision: self.configuration.revision(),
            document: self.configuration.document().clone(),
            agents: self.agents_as_listed(),
            catalogue: self.catalogue.clone(),
        }
    }

    /// The agents' reports; one whose instance the platform is about to take
    /// away counts as draining.
    fn agents_as_listed(&self) -> Vec<AgentStatus> {
        let mut agents = self.agents.clone();
        for agent in &mut agents {
            let found = self.instances.binary_search_by(|i| i.name.cmp(&agent.name));
            agent.draining |= found.is_ok_and(|at| self.instances[at].leaving);
        }
        agents
    }

    /// The configuration's copy.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The share ledger.
    pub fn escrow(&self) -> &Escrow {
        &self.escrow
    }

    /// The fencing number, while this gateway is the placement leader.
    pub fn leader(&self) -> Option<Fence> {
        self.leader
    }

    /// Model moves ordered by this gateway.
    pub fn moves(&self) -> u64 {
        self.placement.moves()
    }

    /// The last instance list.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Names of gateways whose heartbeats are fresh.
    pub fn live_peers(&self, now: Millis) -> Vec<CompactString> {
        let fresh = self
            .peers
            .iter()
            .filter(|p| now.since(p.echo) <= CONFIRMED_FOR);
        fresh.map(|p| p.member.name.clone()).collect()
    }

    /// Takes in one event and lists what is to be done.
    pub fn reduce(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick(usage) => self.tick(now, usage, &mut out),
            Event::Head { sent_at, revision } => self.head(sent_at, revision, &mut out),
            Event::Log {
                sent_at,
                snapshot,
                entries,
            } => self.log(now, sent_at, snapshot, entries, &mut out),
            Event::PlatformFailed => self.platform_failed = true,
            Event::Instances(instances) => self.set_instances(now, instances, &mut out),
            Event::Peer(envelope) => self.peer(now, envelope, &mut out),
            Event::Agent(status) => self.agent(status, &mut out),
            Event::AgentLost(name) => {
                self.agents.retain(|agent| agent.name != name);
                out.push(Effect::Publish);
            }
            Event::Catalogue(catalogue) => {
                if catalogue != self.catalogue {
                    self.catalogue = catalogue;
                    out.push(Effect::Publish);
                }
            }
            Event::Share(event) => self.share(now, event, &mut out),
            Event::Leader(leader) => self.leader = leader,
            Event::OrderRefused(placing) => {
                let model = &placing.order.model;
                self.placement.refused(&placing.agent, model);
            }
            Event::Demand(demand) => self.demand = demand,
            Event::Hint(revision) => {
                self.configuration.hint(revision);
                self.catch_up(&mut out);
            }
            Event::Drain => {
                self.draining = true;
                self.share(now, ShareEvent::Drain, &mut out);
                self.heartbeat(now, &mut out);
            }
        }
        self.update_keyed_until(now, &mut out);
        out
    }

    fn tick(&mut self, now: Millis, usage: Vec<Usage>, out: &mut Vec<Effect>) {
        self.share(now, ShareEvent::Tick(usage), out);
        if now.since(self.heartbeat_at) >= HEARTBEAT_INTERVAL {
            self.heartbeat(now, out);
        }
        if self.must_ask_service(now) && now.since(self.head_at) >= HEAD_INTERVAL {
            self.head_at = now;
            out.push(Effect::ReadHead);
        }
        if now.since(self.shares_at) >= SHARES_INTERVAL {
            self.shares_at = now;
            out.push(Effect::ReadShares);
        }
        if now.since(self.placement_at) >= PLACEMENT_INTERVAL {
            self.placement_at = now;
            self.place(now, out);
        }
    }

    /// Whether this gateway reads the head itself or relies on its peers.
    fn must_ask_service(&self, now: Millis) -> bool {
        let is_near = |i: &&Instance| i.role == Role::Gateway && i.zone == self.zone && !i.leaving;
        let near = self.instances.iter().filter(is_near);
        let mut readers = near.take(READERS_PER_ZONE);
        let is_reader = readers.any(|i| i.name == self.me.name);
        let confirmed_at = self.configuration.confirmed_at();
        let is_fresh = confirmed_at.is_some_and(|at| now.since(at) < ASK_SERVICE_AFTER);
        is_reader || !is_fresh
    }

    fn head(&mut self, sent_at: Millis, revision: u64, out: &mut Vec<Effect>) {
        self.platform_failed = false;
        self.configuration.confirm(revision, sent_at);
        self.catch_up(out);
    }

    fn log(
        &mut self,
        now: Millis,
        sent_at: Millis,
        snapshot: Snapshot,
        entries: Vec<Entry>,
        out: &mut Vec<Effect>,
    ) {
        self.platform_failed = false;
        let last = entries.last().map_or(snapshot.revision, |e| e.revision);
        let is_restored = self.configuration.restore(snapshot);
        let is_extended = self.configuration.extend(entries);
        self.configuration.confirm(last, sent_at);
        if is_restored || is_extended {
            self.configuration_changed(now, out);
        }
    }

    /// Fetches what is missing from a peer that has it, or else from the service.
    fn catch_up(&mut self, out: &mut Vec<Effect>) {
        if !self.configuration.is_behind() {
            return;
        }
        let after = self.configuration.revision();
        if let Some(peer) = self.peers.iter().find(|p| p.revision > after) {
            out.push(Effect::Send {
                to: peer.member.name.clone(),
                message: PeerMessage::PullConfig { after },
            });
        }
        if !self.platform_failed {
            out.push(Effect::ReadLog);
        }
    }

    fn configuration_changed(&mut self, now: Millis, out: &mut Vec<Effect>) {
        out.push(Effect::Publish);
        let workspaces = &self.configuration.document().workspaces;
        let limits = workspaces.iter().map(|w| Limit {
            workspace: w.name.clone(),
            rate: w.rate_tokens_per_s,
            burst: w.burst_tokens,
        });
        let event = ShareEvent::Workspaces(limits.collect());
        self.share(now, event, out);
        // Peers learn of the new revision at once and pull it.
        self.heartbeat(now, out);
    }

    fn set_instances(&mut self, now: Millis, instances: Vec<Instance>, out: &mut Vec<Effect>) {
        if instances == self.instances {
            return;
        }
        let names = instances.iter().map(|i| i.name.clone()).collect();
        self.instances = instances;
        self.share(now, ShareEvent::Instances(names), out);
        out.push(Effect::Publish);
    }

    fn peer(&mut self, now: Millis, envelope: Envelope, out: &mut Vec<Effect>) {
        let from = envelope.from;
        match envelope.message {
            PeerMessage::Heartbeat(heartbeat) => self.heard(now, from, heartbeat, out),
            PeerMessage::PullConfig { after } => {
                if let Some(entries) = self.configuration.entries_after(after) {
                    out.push(Effect::Send {
                        to: from.name,
                        message: PeerMessage::Config(entries),
                    });
                }
            }
            PeerMessage::Config(entries) => {
                if self.configuration.extend(entries) {
                    self.configuration_changed(now, out);
                }
            }
            PeerMessage::Share(message) => {
                let event = ShareEvent::Message { from, message };
                self.share(now, event, out);
            }
        }
    }

    fn heard(&mut self, now: Millis, from: Member, beat: Heartbeat, out: &mut Vec<Effect>) {
        let echo = beat.echo.unwrap_or_default();
        let peer = Peer {
            member: from.clone(),
            sent_at: beat.sent_at,
            echo,
            revision: beat.revision,
            draining: beat.draining,
        };
        match self.find_peer(&from.name) {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
        if beat.echo.is_some() && echo >= beat.confirmed_ago {
            // Written after `echo`, so the peer's own confirmation is at least that recent.
            let confirmed_at = echo - beat.confirmed_ago;
            self.configuration.confirm(beat.revision, confirmed_at);
        }
        self.configuration.hint(beat.revision);
        self.catch_up(out);
        let term = beat.term;
        let event = ShareEvent::Heartbeat { from, term, echo };
        self.share(now, event, out);
    }

    fn find_peer(&self, name: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|p| p.member.name.as_str().cmp(name))
    }

    fn heartbeat(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.heartbeat_at = now;
        let gateways = self.instances.iter().filter(|i| i.role == Role::Gateway);
        let others = gateways.filter(|i| i.name != self.me.name);
        let confirmed_at = self.configuration.confirmed_at();
        let confirmed_ago = confirmed_at.map_or(Millis(u64::MAX), |at| now.since(at));
        for instance in others {
            let peer = self
                .find_peer(&instance.name)
                .ok()
                .map(|at| &self.peers[at]);
            let heartbeat = Heartbeat {
                sent_at: now,
                echo: peer.map(|p| p.sent_at),
                term: self.escrow.term(),
                revision: self.configuration.revision(),
                confirmed_ago,
                draining: self.draining,
            };
            out.push(Effect::Send {
                to: instance.name.clone(),
                message: PeerMessage::Heartbeat(heartbeat),
            });
        }
    }

    fn agent(&mut self, status: AgentStatus, out: &mut Vec<Effect>) {
        let at = self.agents.binary_search_by(|a| a.name.cmp(&status.name));
        match at {
            Ok(at) if self.agents[at] == status => return,
            Ok(at) => self.agents[at] = status,
            Err(at) => self.agents.insert(at, status),
        }
        out.push(Effect::Publish);
    }

    fn share(&mut self, now: Millis, event: ShareEvent, out: &mut Vec<Effect>) {
        if matches!(event, ShareEvent::Read { .. } | ShareEvent::Renewed { .. }) {
            self.platform_failed = false;
        }
        for effect in self.escrow.reduce(now, event) {
            out.push(match effect {
                ShareEffect::Send { to, message } => Effect::Send {
                    to: to.name,
                    message: PeerMessage::Share(message),
                },
                other => Effect::Share(other),
            });
        }
    }

    fn place(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(fence) = self.leader else {
            return;
        };
        if self.draining {
            return;
        }
        let agents = self.agents_as_listed();
        let placings = self
            .placement
            .plan(now, fence, &self.catalogue, &agents, &self.demand);
        out.extend(placings.into_iter().map(Effect::Order));
    }

    /// Keyed routes are served while the configuration is confirmed, or while
    /// nobody reaches the service and a majority of the gateways says so.
    fn update_keyed_until(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let confirmed_at = self.configuration.confirmed_at();
        let mut until = confirmed_at.map_or(Millis::ZERO, |at| at + CONFIRMED_FOR);
        let is_known = confirmed_at.is_some() && !self.configuration.is_behind();
        if self.platform_failed && is_known {
            until = until.max(self.majority_heard_until());
        }
        // What was granted stands until its end, also when the service comes back
        // before the configuration is confirmed again.
        if until > self.keyed_until && until > now && !self.configuration.is_behind() {
            self.keyed_until = until;
            out.push(Effect::SetKeyedUntil(until));
        }
    }

    fn majority_heard_until(&self) -> Millis {
        let is_gateway = |i: &&Instance| i.role == Role::Gateway;
        let listed = self.instances.iter().filter(is_gateway).count();
        let is_listed = |p: &&Peer| self.instances.iter().any(|i| i.name == p.member.name);
        let mut echoes: Vec<Millis> = self
            .peers
            .iter()
            .filter(|p| !p.draining)
            .filter(is_listed)
            .map(|p| p.echo)
            .collect();
        echoes.sort_unstable_by(|a, b| b.cmp(a));
        match (listed / 2).checked_sub(1) {
            Some(last) => echoes
                .get(last)
                .map_or(Millis::ZERO, |e| *e + CONFIRMED_FOR),
            None => Millis(u64::MAX),
        }
    }
}
