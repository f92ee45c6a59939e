//! The control state of a gateway: one reducer over all events, with effects as data.

mod event;
mod leadership;
mod limits;
mod relayed;

use std::sync::Arc;

use compact_str::CompactString;

use super::balance::FULL_COMPARISON_GATEWAYS;
use super::directory::{Change, Directory, Grace};
use super::document::Document;
use super::gossip::{Message, split_rows};
use super::leader::{Leader, Mandate};
use super::members::Members;
use super::rates::Rates;
use super::registry::Registry;
use super::settings::Settings;
use super::shares::Shares;
use super::view::{EndpointView, LoadTable, View};
use crate::clock::Millis;
use crate::journal;

pub use event::{Effect, Event, LeaderRecord, LocalUse};

/// Time between two reports of the load, with few gateways.
const STATUS_INTERVAL: Millis = Millis(100);
/// Gateways above which reports become rarer, so that what a gateway receives
/// does not grow with the fleet.
const STATUS_FLEET: u64 = FULL_COMPARISON_GATEWAYS as u64;
/// Time between two rounds of the leader's duties.
const DUTY_INTERVAL: Millis = Millis(100);
/// How long a newer configuration of a peer may take to come from the store.
const BEHIND_TOLERANCE: Millis = Millis(200);
/// Time between two requests to peers for their configuration.
const PULL_INTERVAL: Millis = Millis(400);
/// Time between two lines about the parts of the limits.
const PARTS_LINE_INTERVAL: Millis = Millis(1_000);
/// Pause between two attempts to become leader, and for each place behind the
/// first gateway: a round trip to the store with room.
const CLAIM_PAUSE: Millis = Millis(100);
/// Orders are not given in the last part of a lease: the way to the engine.
const LEASE_MARGIN: Millis = Millis(400);

/// The control state of one gateway.
#[derive(Debug)]
pub struct Control {
    settings: Arc<Settings>,
    document: Option<Arc<Document>>,
    directory: Directory,
    registry: Registry,
    members: Members,
    shares: Shares,
    rates: Rates,
    used_at: Millis,
    own_loads: LoadTable,
    leader: Option<Leader>,
    record: Option<LeaderRecord>,
    /// Whether the leader's key was read since the last loss of the store.
    is_record_known: bool,
    lease_until: Millis,
    is_store_away: bool,
    is_draining: bool,
    generation: u64,
    published_endpoints: Vec<EndpointView>,
    behind_since: Option<Millis>,
    /// Loans asked for so far.
    loans: usize,
    due: Due,
}

#[derive(Debug, Default)]
struct Due {
    status: Millis,
    duties: Millis,
    pull: Millis,
    claim: Millis,
    parts_line: Millis,
}

impl Control {
    /// The state of a process that has just started.
    pub fn new(settings: Arc<Settings>) -> Self {
        let bounds = &settings.bounds;
        let grace = Grace {
            drain: bounds.drain,
            relist: bounds.relist,
        };
        Self {
            document: None,
            directory: Directory::new(grace),
            registry: Registry::default(),
            members: Members::new(settings.name.clone()),
            shares: Shares::default(),
            rates: Rates::default(),
            used_at: Millis::ZERO,
            own_loads: LoadTable::new(),
            leader: None,
            record: None,
            is_record_known: false,
            lease_until: Millis::ZERO,
            is_store_away: false,
            is_draining: false,
            generation: 0,
            published_endpoints: Vec::new(),
            behind_since: None,
            loans: 0,
            due: Due::default(),
            settings,
        }
    }

    /// The version of the configuration in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |d| d.version)
    }

    /// The mandate, while this gateway leads and its lease surely runs.
    pub fn mandate(&self, now: Millis) -> Option<Mandate> {
        let is_held = now + LEASE_MARGIN < self.lease_until;
        let leader = self.leader.as_ref().filter(|_| is_held)?;
        Some(leader.mandate())
    }

    /// The other gateways.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The parts of the workspaces' limits, in parts per million.
    pub fn parts(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        self.shares.parts()
    }

    /// What traffic is to know.
    pub fn view(&mut self, now: Millis) -> View {
        self.generation += 1;
        self.published_endpoints = self.directory.views(now);
        View {
            generation: self.generation,
            document: self.document.clone(),
            endpoints: self.published_endpoints.clone(),
        }
    }

    /// Takes in one event and lists what is to be done.
    pub fn reduce(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick(loads) => self.tick(now, loads, &mut out),
            Event::Use(local) => self.note_use(now, &local, &mut out),
            Event::Configuration(document) => self.configure(now, document, &mut out),
            Event::Registrations(all) => {
                let changes = self.directory.replace(now, all);
                self.directory_changed(&changes, &mut out);
            }
            Event::Registered(registration) => self.registered(now, registration, &mut out),
            Event::Deregistered(id) => self.deregistered(now, id, &mut out),
            Event::RegistryRead { revision, is_whole } => {
                self.registry.read(now, revision, is_whole);
                self.relay(now, &mut out);
            }
            Event::StoreLost => self.store_lost(),
            Event::StoreHeard => self.store_heard(now),
            Event::Members(members) => self.members_read(now, members),
            Event::MemberPut(member) => self.member_joined(member),
            Event::MemberRemoved(name) => self.member_left(now, &name),
            Event::LeaderKey(record) => self.leader_key(now, record),
            Event::LeaseHeld(until) => self.lease_until = self.lease_until.max(until),
            Event::LeaseLost => self.resign("lease lost"),
            Event::Claimed {
                fence,
                is_succession,
            } => self.claimed(now, fence, is_succession),
            Event::Short { workspace, tokens } => self.borrow(now, &workspace, tokens, &mut out),
            Event::Datagram(datagram) => {
                let from = datagram.from.clone();
                if let Some(message) = self.members.receive(now, datagram) {
                    self.message(now, &from, message, &mut out);
                }
            }
            Event::Wanted { service, wanted } => self.wanted(now, service, wanted, &mut out),
            Event::OrderAnswered {
                endpoint,
                order,
                outcome,
            } => self.order_answered(now, &endpoint, &order, outcome, &mut out),
            Event::Reported { endpoint, report } => {
                if let Some(leader) = &mut self.leader {
                    leader.reported(&endpoint, &report);
                }
                self.announce_one(now, &endpoint, &mut out);
            }
            Event::Ready(holdings) => self.announce(holdings, &mut out),
            Event::Drain => {
                self.is_draining = true;
                self.resign("draining");
                out.push(Effect::Resign);
            }
            Event::Stop => out.push(Effect::EndLease),
        }
        out
    }

    fn tick(&mut self, now: Millis, loads: LoadTable, out: &mut Vec<Effect>) {
        self.own_loads = loads;
        let gone = self.directory.expire(now);
        if !gone.is_empty() || self.directory.views(now) != self.published_endpoints {
            self.directory_changed(&gone, out);
        }
        if now >= self.due.status {
            let fleet = self.members.count() as u64;
            self.due.status = now + Millis(STATUS_INTERVAL.0 * fleet.div_ceil(STATUS_FLEET));
            self.report_status(now, out);
        }
        for (peer, is_heard) in self.members.take_changes(now) {
            let event = if is_heard {
                "peer.heard"
            } else {
                "peer.silent"
            };
            journal::write(event, &[("peer", (&peer).into())]);
        }
        self.relay(now, out);
        self.catch_up(now, out);
        self.campaign(now, out);
        if now >= self.due.duties {
            self.due.duties = now + DUTY_INTERVAL;
            self.lead(now, out);
        }
    }

    fn report_status(&mut self, now: Millis, out: &mut Vec<Effect>) {
        out.push(Effect::SetOthers(self.members.loads(now)));
        for (at, loads) in split_rows(&self.own_loads).into_iter().enumerate() {
            let message = Message::Status {
                version: self.version(),
                is_draining: self.is_draining,
                is_first: at == 0,
                loads,
            };
            out.push(Effect::Broadcast(message));
        }
    }

    /// Takes a newer version; an older one is never taken back.
    fn configure(&mut self, now: Millis, document: Arc<Document>, out: &mut Vec<Effect>) {
        if self.document.is_some() && self.version() >= document.version {
            return;
        }
        journal::write(
            "configuration.adopted",
            &[
                ("version", document.version.into()),
                ("before", self.version().into()),
                ("routes", document.routes.len().into()),
                ("workspaces", document.workspaces.len().into()),
                ("skipped", document.skipped.join("; ").as_str().into()),
            ],
        );
        self.document = Some(document.clone());
        out.push(Effect::SetLimits(document));
        out.push(Effect::Publish);
        // Gateways that the store does not serve learn of it at once.
        self.report_status(now, out);
    }

    /// Asks a peer for its newer configuration if the store does not bring it.
    fn catch_up(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let newer = self.members.with_newer_version(now, self.version());
        let Some(peer) = newer else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        if now.since(since) >= BEHIND_TOLERANCE && now >= self.due.pull {
            self.due.pull = now + PULL_INTERVAL;
            out.push(Effect::PullConfiguration(peer.address));
        }
    }

    fn directory_changed(&mut self, changes: &[Change], out: &mut Vec<Effect>) {
        for change in changes {
            let (event, id) = match change {
                Change::Appeared(id) => ("endpoint.appeared", id),
                Change::Leaving(id) => ("endpoint.leaving", id),
                Change::Lapsed(id) => ("endpoint.lapsed", id),
                Change::Gone(id) => ("endpoint.gone", id),
                Change::Returned(id) => ("endpoint.returned", id),
            };
            journal::write(event, &[("endpoint", id.into())]);
        }
        out.push(Effect::Publish);
    }

    fn store_lost(&mut self) {
        self.directory.store_lost();
        if !std::mem::replace(&mut self.is_store_away, true) {
            journal::write("store.lost", &[("lease_until", self.lease_until.into())]);
        }
    }

    fn store_heard(&mut self, now: Millis) {
        self.directory.store_regained(now);
        if std::mem::take(&mut self.is_store_away) {
            journal::write(
                "store.regained",
                &[("lease_until", self.lease_until.into())],
            );
        }
    }

    fn message(&mut self, now: Millis, from: &str, message: Message, out: &mut Vec<Effect>) {
        match message {
            Message::Borrow { workspace, tokens } => {
                let to = self.members.address_of(from);
                out.extend(to.map(|to| Effect::Lend {
                    to,
                    workspace,
                    tokens,
                }));
            }
            Message::Lend {
                workspace,
                tokens,
                left,
            } => {
                self.members.note_level(from, &workspace, left);
                out.push(Effect::Receive { workspace, tokens });
            }
            Message::Wanted { service, wanted } => {
                if let Some(leader) = &mut self.leader {
                    leader.wish(now, service, wanted);
                    self.lead(now, out);
                }
            }
            Message::Registry(part) => self.heard_registry(now, from, part, out),
            Message::Holdings(all) => {
                let mut has_changed = false;
                for holdings in all {
                    has_changed |= self.directory.set_holdings(holdings);
                }
                if has_changed {
                    out.push(Effect::Publish);
                }
            }
            Message::Adapters(used) => {
                if let Some(leader) = &mut self.leader {
                    leader.adapters_used(now, &used);
                }
            }
            // Taken in by the members' table.
            Message::Status { .. } | Message::Limits(_) | Message::Demand { .. } => {}
        }
    }
}
