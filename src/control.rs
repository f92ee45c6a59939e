//! The control state of a gateway: one reducer over all events, with effects as data.
//!
//! It does no I/O and reads no clock, so tests can drive it through thousands of
//! schedules. The driver in [`crate::gateway`] feeds events to it and carries out
//! the effects.

mod event;

use compact_str::CompactString;

use crate::bucket::Usage;
use crate::clock::Millis;
use crate::config::Entry;
use crate::configuration::{CONFIRMATION_VALIDITY, Configuration, Snapshot};
use crate::escrow::{Escrow, Limit, ShareEffect, ShareEvent};
use crate::instances::{Instance, Role};
use crate::placement::{Demand, Placement};
use crate::weights::Catalogue;
use crate::wire::{AgentStatus, Envelope, Fence, Heartbeat, Member, PeerMessage};

pub use event::{Effect, Event, View};

/// Time between two heartbeats to each peer.
const HEARTBEAT_INTERVAL: Millis = Millis(250);
/// Time between two reads of the configuration's head, which holds the last revision.
const HEAD_READ_INTERVAL: Millis = Millis(500);
/// Time between two reads of the share term and of the leases of its holders.
const SHARES_READ_INTERVAL: Millis = Millis(1_000);
/// Time between two rounds of placement.
const PLACEMENT_INTERVAL: Millis = Millis(250);
/// Gateways of each zone that read the head regularly; the others rely on heartbeats.
const HEAD_READERS_PER_ZONE: usize = 2;
/// A gateway whose last confirmation is older than this reads the head itself.
const MAX_UNCONFIRMED_TIME: Millis = Millis(1_000);

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// When the peer sent its last heartbeat, by the peer's clock.
    sent_at: Millis,
    /// When this gateway sent the last heartbeat that the peer acknowledged, by this
    /// gateway's clock.
    echo: Millis,
    revision: u64,
    draining: bool,
}

/// The control state of one gateway.
#[derive(Debug)]
pub struct Control {
    local: Member,
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
    keyed_routes_until: Millis,
    last_heartbeat_at: Millis,
    last_head_read_at: Millis,
    last_shares_read_at: Millis,
    last_placement_at: Millis,
}

impl Control {
    /// Creates the state of a gateway that has just started.
    pub fn new(local: Member, zone: CompactString) -> Self {
        Self {
            escrow: Escrow::new(local.clone()),
            local,
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
            keyed_routes_until: Millis::ZERO,
            last_heartbeat_at: Millis::ZERO,
            last_head_read_at: Millis::ZERO,
            last_shares_read_at: Millis::ZERO,
            last_placement_at: Millis::ZERO,
        }
    }

    /// The part of the state that traffic threads read.
    pub fn view(&self) -> View {
        View {
            revision: self.configuration.revision(),
            document: self.configuration.document().clone(),
            agents: self.agents_with_draining(),
            catalogue: self.catalogue.clone(),
        }
    }

    /// The agents' reports. An agent whose instance the platform is about to stop
    /// counts as draining.
    fn agents_with_draining(&self) -> Vec<AgentStatus> {
        let mut agents = self.agents.clone();
        for agent in &mut agents {
            let found = self.instances.binary_search_by(|i| i.name.cmp(&agent.name));
            agent.draining |= found.is_ok_and(|at| self.instances[at].leaving);
        }
        agents
    }

    /// This gateway's copy of the configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The shares of limits that this gateway holds.
    pub fn escrow(&self) -> &Escrow {
        &self.escrow
    }

    /// The fencing number if this gateway is the placement leader.
    pub fn leader(&self) -> Option<Fence> {
        self.leader
    }

    /// The number of placement orders issued by this gateway.
    pub fn orders_issued(&self) -> u64 {
        self.placement.orders_issued()
    }

    /// The instances of the last list that was read.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Names of the gateways that recently acknowledged a heartbeat.
    pub fn live_peers(&self, now: Millis) -> Vec<CompactString> {
        let fresh = self
            .peers
            .iter()
            .filter(|p| now.since(p.echo) <= CONFIRMATION_VALIDITY);
        fresh.map(|p| p.member.name.clone()).collect()
    }

    /// Applies one event and returns the effects to carry out.
    pub fn reduce(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick(usage) => self.on_tick(now, usage, &mut out),
            Event::HeadRead { sent_at, revision } => self.on_head(sent_at, revision, &mut out),
            Event::LogRead {
                sent_at,
                snapshot,
                entries,
            } => self.on_log(now, sent_at, snapshot, entries, &mut out),
            Event::PlatformFailed => self.platform_failed = true,
            Event::Instances(instances) => self.set_instances(now, instances, &mut out),
            Event::Peer(envelope) => self.on_peer_message(now, envelope, &mut out),
            Event::Agent(status) => self.on_agent_status(status, &mut out),
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
            Event::Share(event) => self.on_share_event(now, event, &mut out),
            Event::LeadershipChanged(leader) => self.leader = leader,
            Event::OrderRefused(refused) => {
                let model = &refused.order.model;
                self.placement.on_refusal(&refused.agent, model);
            }
            Event::Demand(demand) => self.demand = demand,
            Event::RevisionHint(revision) => {
                self.configuration.note_revision(revision);
                self.catch_up(&mut out);
            }
            Event::Drain => {
                self.draining = true;
                self.on_share_event(now, ShareEvent::Drain, &mut out);
                self.send_heartbeats(now, &mut out);
            }
        }
        self.update_keyed_routes_until(now, &mut out);
        out
    }

    fn on_tick(&mut self, now: Millis, usage: Vec<Usage>, out: &mut Vec<Effect>) {
        self.on_share_event(now, ShareEvent::Tick(usage), out);
        if now.since(self.last_heartbeat_at) >= HEARTBEAT_INTERVAL {
            self.send_heartbeats(now, out);
        }
        if self.should_read_head(now) && now.since(self.last_head_read_at) >= HEAD_READ_INTERVAL {
            self.last_head_read_at = now;
            out.push(Effect::ReadHead);
        }
        if now.since(self.last_shares_read_at) >= SHARES_READ_INTERVAL {
            self.last_shares_read_at = now;
            out.push(Effect::ReadShares);
        }
        if now.since(self.last_placement_at) >= PLACEMENT_INTERVAL {
            self.last_placement_at = now;
            self.plan_placement(now, out);
        }
    }

    /// Whether this gateway reads the head itself instead of relying on its peers.
    fn should_read_head(&self, now: Millis) -> bool {
        let is_in_zone =
            |i: &&Instance| i.role == Role::Gateway && i.zone == self.zone && !i.leaving;
        let in_zone = self.instances.iter().filter(is_in_zone);
        let mut readers = in_zone.take(HEAD_READERS_PER_ZONE);
        let is_reader = readers.any(|i| i.name == self.local.name);
        let confirmed_at = self.configuration.confirmed_at();
        let is_fresh = confirmed_at.is_some_and(|at| now.since(at) < MAX_UNCONFIRMED_TIME);
        is_reader || !is_fresh
    }

    fn on_head(&mut self, sent_at: Millis, revision: u64, out: &mut Vec<Effect>) {
        self.platform_failed = false;
        self.configuration.confirm(revision, sent_at);
        self.catch_up(out);
    }

    fn on_log(
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
            self.on_configuration_changed(now, out);
        }
    }

    /// Requests missing entries from a peer that has them, and from the platform's
    /// service unless calls to it fail.
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

    fn on_configuration_changed(&mut self, now: Millis, out: &mut Vec<Effect>) {
        out.push(Effect::Publish);
        let workspaces = &self.configuration.document().workspaces;
        let limits = workspaces.iter().map(|w| Limit {
            workspace: w.name.clone(),
            rate: w.rate_tokens_per_s,
            burst: w.burst_tokens,
        });
        let event = ShareEvent::Workspaces(limits.collect());
        self.on_share_event(now, event, out);
        // Heartbeats announce the new revision at once, so that peers can pull it.
        self.send_heartbeats(now, out);
    }

    fn set_instances(&mut self, now: Millis, instances: Vec<Instance>, out: &mut Vec<Effect>) {
        if instances == self.instances {
            return;
        }
        let names = instances.iter().map(|i| i.name.clone()).collect();
        self.instances = instances;
        self.on_share_event(now, ShareEvent::Instances(names), out);
        out.push(Effect::Publish);
    }

    fn on_peer_message(&mut self, now: Millis, envelope: Envelope, out: &mut Vec<Effect>) {
        let from = envelope.from;
        match envelope.message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat, out),
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
                    self.on_configuration_changed(now, out);
                }
            }
            PeerMessage::Share(message) => {
                let event = ShareEvent::Message { from, message };
                self.on_share_event(now, event, out);
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Millis,
        from: Member,
        heartbeat: Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        let echo = heartbeat.echo.unwrap_or_default();
        let peer = Peer {
            member: from.clone(),
            sent_at: heartbeat.sent_at,
            echo,
            revision: heartbeat.revision,
            draining: heartbeat.draining,
        };
        match self.find_peer(&from.name) {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
        if heartbeat.echo.is_some() && echo >= heartbeat.confirmed_ago {
            // The peer wrote this heartbeat after `echo`, so it confirmed its
            // configuration at this time or later.
            let confirmed_at = echo - heartbeat.confirmed_ago;
            self.configuration.confirm(heartbeat.revision, confirmed_at);
        }
        self.configuration.note_revision(heartbeat.revision);
        self.catch_up(out);
        let term = heartbeat.term;
        let event = ShareEvent::Heartbeat { from, term, echo };
        self.on_share_event(now, event, out);
    }

    fn find_peer(&self, name: &str) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|p| p.member.name.as_str().cmp(name))
    }

    fn send_heartbeats(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.last_heartbeat_at = now;
        let gateways = self.instances.iter().filter(|i| i.role == Role::Gateway);
        let others = gateways.filter(|i| i.name != self.local.name);
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

    fn on_agent_status(&mut self, status: AgentStatus, out: &mut Vec<Effect>) {
        let at = self.agents.binary_search_by(|a| a.name.cmp(&status.name));
        match at {
            Ok(at) if self.agents[at] == status => return,
            Ok(at) => self.agents[at] = status,
            Err(at) => self.agents.insert(at, status),
        }
        out.push(Effect::Publish);
    }

    fn on_share_event(&mut self, now: Millis, event: ShareEvent, out: &mut Vec<Effect>) {
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

    fn plan_placement(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(fence) = self.leader else {
            return;
        };
        if self.draining {
            return;
        }
        let agents = self.agents_with_draining();
        let orders = self
            .placement
            .plan(now, fence, &self.catalogue, &agents, &self.demand);
        out.extend(orders.into_iter().map(Effect::Order));
    }

    /// Extends the time until which keyed routes (those that require an API key) are
    /// served. They are served while the configuration is confirmed. While the platform's
    /// service fails, they are also served as long as a majority of the gateways
    /// recently acknowledged heartbeats and no later revision is known.
    fn update_keyed_routes_until(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let confirmed_at = self.configuration.confirmed_at();
        let mut until = confirmed_at.map_or(Millis::ZERO, |at| at + CONFIRMATION_VALIDITY);
        let is_latest_known = confirmed_at.is_some() && !self.configuration.is_behind();
        if self.platform_failed && is_latest_known {
            until = until.max(self.majority_reachable_until());
        }
        // The time is never moved back, not even when the service answers again before
        // the configuration is confirmed.
        if until > self.keyed_routes_until && until > now && !self.configuration.is_behind() {
            self.keyed_routes_until = until;
            out.push(Effect::SetKeyedRoutesUntil(until));
        }
    }

    /// The time until which acknowledgements from a majority of the listed gateways,
    /// this one included, are recent. A gateway that is listed alone has no limit.
    fn majority_reachable_until(&self) -> Millis {
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
                .map_or(Millis::ZERO, |e| *e + CONFIRMATION_VALIDITY),
            None => Millis(u64::MAX),
        }
    }
}
