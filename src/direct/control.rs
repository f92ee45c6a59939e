//! The control state of a gateway: a reducer that takes events and returns effects.

mod acquaintance;
mod cold;
mod configuration;
mod decisions;
mod evacuations;
mod event;
mod grants;
mod leadership;
mod limits;
mod loads;
mod messages;
mod needs;
mod notices;
mod parts;
mod registration;
mod relayed;
mod store;
mod streams;
mod versions;

use std::sync::Arc;

use compact_str::CompactString;

use super::balance::FULL_COMPARISON_GATEWAYS;
use super::directory::{Change, Directory, GracePeriods};
use super::document::Document;
use super::leader::{Leader, LeaderTerm};
use super::load_exchange::LoadExchange;
use super::members::Members;
use super::membership::registration::OwnRegistration;
use super::notices::NoticeBoard;
use super::rate_owner::RateOwner;
use super::rates::Rates;
use super::registry::staleness::Staleness;
use super::registry::{Registry, RegistryChange};
use super::settings::{Bounds, Settings};
use super::shares::Shares;
use super::view::{EndpointView, LoadTable, View};
use crate::clock::Millis;
use crate::journal;

use acquaintance::Acquaintances;
use cold::ColdTasks;
use decisions::Decisions;
use evacuations::EvacuationOutbox;
pub use event::{Effect, Event, LeaderRecord, LocalUsage};
pub use needs::Need;
use needs::Needs;
use notices::NoticeOutbox;
use parts::Parts;
pub use relayed::Pauses;
use streams::StreamStorage;
use versions::Versions;

/// Interval between load reports in a fleet of up to [`STATUS_BASE_GATEWAYS`].
const STATUS_INTERVAL: Millis = Millis(100);
/// Fleet size above which the report interval grows with the number of gateways,
/// so that the rate of reports that each gateway receives stays bounded.
const STATUS_BASE_GATEWAYS: u64 = FULL_COMPARISON_GATEWAYS as u64;
/// Interval between `limit.parts` log lines.
const SHARES_LOG_INTERVAL: Millis = Millis(1_000);
/// Delay between attempts to claim the leader key, and additional delay for each
/// gateway that ranks earlier. It covers a round trip to the store with some margin.
const CLAIM_DELAY: Millis = Millis(100);
/// A gateway leads only while more than this is left of its lease, so that an order
/// reaches its engine before the lease ends.
const LEASE_MARGIN: Millis = Millis(400);

/// The control state of one gateway.
#[derive(Debug)]
pub struct Control {
    settings: Arc<Settings>,
    document: Option<Arc<Document>>,
    directory: Directory,
    notices: Arc<NoticeBoard>,
    notice_outbox: NoticeOutbox,
    evacuation_outbox: EvacuationOutbox,
    rate_owner: RateOwner,
    cold: ColdTasks,
    acquaintances: Acquaintances,
    registry: Registry,
    staleness: Staleness,
    members: Members,
    shares: Shares,
    rates: Rates,
    usage_read_at: Millis,
    own_loads: LoadTable,
    /// Requests in flight of the other gateways.
    loads: LoadExchange,
    leader: Option<Leader>,
    leader_record: Option<LeaderRecord>,
    /// The highest fencing number of any leader so far.
    highest_fence: u64,
    /// Whether the leader key has been read.
    is_leader_record_known: bool,
    lease_until: Millis,
    registration: OwnRegistration,
    is_store_lost: bool,
    /// When the store last answered again after calls had failed.
    store_regained_at: Option<Millis>,
    /// When the store came back from a copy, and whether this gateway led until then.
    restored_at: Option<(Millis, bool)>,
    is_draining: bool,
    generation: u64,
    published_endpoints: Vec<EndpointView>,
    versions: Versions,
    stream_storage: StreamStorage,
    behind_since: Option<Millis>,
    /// Number of peers asked for their configuration so far; rotates the peers.
    asked_peers: usize,
    decisions: Decisions,
    needs: Needs,
    parts: Parts,
    /// Number of loan requests so far; rotates the lenders.
    loan_requests: usize,
    /// Number of registry updates sent so far; rotates the gateways that pass them on.
    relayed_updates: usize,
    /// Number of questions for registrations so far; rotates the gateways that are asked.
    asked_for_registrations: usize,
    due: Due,
}

/// Earliest times of the next periodic actions.
#[derive(Debug, Default)]
struct Due {
    status: Millis,
    load_report: Millis,
    collection: Millis,
    totals: Millis,
    loads_published: Millis,
    pull: Millis,
    claim: Millis,
    shares_log: Millis,
}

impl Control {
    /// Creates the state of a newly started gateway.
    pub fn new(settings: Arc<Settings>) -> Self {
        let grace = grace_periods(&settings.bounds);
        Self {
            document: None,
            directory: Directory::new(grace),
            notices: Arc::default(),
            notice_outbox: NoticeOutbox::default(),
            evacuation_outbox: EvacuationOutbox::default(),
            rate_owner: RateOwner::default(),
            cold: ColdTasks::default(),
            acquaintances: Acquaintances::default(),
            registry: Registry::default(),
            staleness: Staleness::default(),
            members: Members::new(settings.name.clone()),
            shares: Shares::default(),
            rates: Rates::default(),
            usage_read_at: Millis::ZERO,
            own_loads: LoadTable::new(),
            loads: LoadExchange::default(),
            leader: None,
            leader_record: None,
            highest_fence: 0,
            is_leader_record_known: false,
            lease_until: Millis::ZERO,
            registration: OwnRegistration::default(),
            is_store_lost: false,
            store_regained_at: None,
            restored_at: None,
            is_draining: false,
            generation: 0,
            published_endpoints: Vec::new(),
            versions: Versions::default(),
            stream_storage: StreamStorage::default(),
            behind_since: None,
            asked_peers: 0,
            decisions: Decisions::default(),
            needs: Needs::default(),
            parts: Parts::default(),
            loan_requests: 0,
            relayed_updates: 0,
            asked_for_registrations: 0,
            due: Due::default(),
            settings,
        }
    }

    /// Uses what the traffic thread hears from endpoints.
    pub fn with_notices(self, notices: Arc<NoticeBoard>) -> Self {
        set_zone_bounds(&notices, &self.settings.bounds);
        Self { notices, ..self }
    }

    /// The version of the active configuration; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |d| d.version)
    }

    /// The leader term, if this gateway leads and its lease is certain to be valid.
    pub fn leader_term(&self, now: Millis) -> Option<LeaderTerm> {
        let is_held = now + LEASE_MARGIN < self.lease_until;
        let leader = self.leader.as_ref().filter(|_| is_held)?;
        Some(leader.term())
    }

    /// The number of times that this gateway decided on placement as leader.
    pub fn decisions(&self) -> u64 {
        self.decisions.count
    }

    /// The other gateways.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// This gateway's shares of the workspaces' limits, in parts per million.
    pub fn shares(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        self.shares.current()
    }

    /// Creates the next view for the traffic threads.
    pub fn view(&mut self, now: Millis) -> View {
        self.generation += 1;
        self.published_endpoints = self.endpoint_views(now);
        self.look_at_versions(now);
        View {
            generation: self.generation,
            document: self.document.clone(),
            endpoints: self.published_endpoints.clone(),
            versions: Arc::new(self.versions.history.clone()),
        }
    }

    /// Applies an event to the state and returns the resulting effects.
    pub fn reduce(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick(loads) => self.tick(now, loads, &mut out),
            Event::Usage(local) => self.record_usage(now, &local, &mut out),
            Event::Configuration(document) => self.configure(now, document, &mut out),
            Event::EvacuationsRead { revision, zones } => {
                self.evacuations_read(now, revision, &zones, &mut out)
            }
            Event::EvacuationsWatched { revision, changes } => {
                self.evacuations_watched(now, revision, &changes, &mut out)
            }
            Event::EvacuationsPulled(told) => self.evacuations_told(now, "", &told, &mut out),
            Event::Registrations(all) => self.registrations_read(now, all, &mut out),
            Event::Registered(registration) => {
                self.registry_changed(now, RegistryChange::Put(registration), &mut out)
            }
            Event::Deregistered(id) => {
                self.registry_changed(now, RegistryChange::Removed(id), &mut out)
            }
            Event::RegistryRead {
                revision,
                is_full_list,
            } => {
                self.registry.note_read(now, revision, is_full_list);
                self.relay_registry(now, &mut out);
            }
            Event::StoreLost => self.store_lost(),
            Event::StoreAnswered => self.store_answered(now),
            Event::StoreRestored => self.store_restored(now),
            Event::Members(members) => self.members_read(now, members, &mut out),
            Event::MemberPut(member) => self.member_joined(member, &mut out),
            Event::MemberRemoved(name) => self.member_left(now, &name),
            Event::LeaderKey(record) => self.leader_key_read(now, record),
            Event::LeaseHeld(until) => self.lease_until = self.lease_until.max(until),
            Event::LeaseOpened(lease) => self.lease_opened(now, lease, &mut out),
            Event::LeaseLost => self.lease_lost(),
            Event::RegistrationWritten { lease, revision } => {
                self.registration_written(now, lease, revision, &mut out)
            }
            Event::RegistrationConflicted { lease, found } => {
                self.registration_conflicted(now, lease, found, &mut out)
            }
            Event::RegistrationFailed(lease) => self.registration.failed(now, lease),
            Event::RegistrationSeen(seen) => self.registration_seen(now, seen, &mut out),
            Event::LeadershipClaimed {
                fence,
                is_succession,
            } => self.leadership_claimed(now, fence, is_succession),
            Event::TokensNeeded { workspace, tokens } => {
                self.borrow(now, &workspace, tokens, &mut out)
            }
            Event::Datagram(datagram) => {
                let from = datagram.from.clone();
                if let Some(message) = self.members.receive(now, datagram) {
                    self.handle_message(now, &from, message, &mut out);
                }
            }
            Event::ModelWanted(need) => self.model_wanted(now, need, &mut out),
            Event::StreamBegan => out.push(Effect::AnnounceStreams),
            Event::StreamBudgetStated(budget) => self.stream_budget_stated(now, budget, &mut out),
            Event::StreamsNoted => self.store_changed_streams(now, &mut out),
            Event::StreamSought { id, turn } => self.seek_stream(now, id, turn, &mut out),
            Event::StreamsRead {
                bucket,
                revision,
                records,
            } => self.streams_read(now, bucket, revision, records, &mut out),
            Event::StreamsStored {
                bucket,
                revision,
                bytes,
            } => self.streams_stored(now, bucket, revision, bytes),
            Event::StreamStorageFailed(bucket) => self.stream_storage_failed(now, bucket),
            Event::EndpointSaidLeaving(run) => self.endpoint_said_leaving(now, run, &mut out),
            Event::LimitChanged(news) => self.limit_changed(news, &mut out),
            Event::ColdHeard(run) => self.cold_heard(now, run, &mut out),
            Event::GrantsWanted { run, named, wanted } => {
                self.grants_wanted(now, (run, named, wanted), &mut out)
            }
            Event::EndpointCrashed(report) => self.endpoint_crashed(now, report, &mut out),
            Event::PartsProgressed(progress) => self.parts_progressed(now, progress),
            Event::PartsChecked(answered) => self.parts_checked(now, answered),
            Event::BlockOrdered { part, state } => self.order_block(now, part, state),
            Event::BlocksRecorded { revision, blocks } => {
                self.blocks_recorded(now, revision, blocks)
            }
            Event::RecordFailed => self.record_failed(now),
            Event::VersionsRecorded { revision, record } => {
                self.versions_recorded(now, revision, &record, &mut out)
            }
            Event::VersionRecordFailed => self.version_record_failed(now),
            Event::OrderAnswered {
                endpoint,
                order,
                outcome,
            } => self.order_answered(now, &endpoint, &order, outcome, &mut out),
            Event::Reported { endpoint, report } => {
                if let Some(leader) = &mut self.leader {
                    leader.on_report(&endpoint, &report);
                }
                self.announce_endpoint(now, &endpoint, &mut out);
            }
            Event::HoldingsReady(holdings) => self.announce(holdings, &mut out),
            Event::Decide => self.decide(now, &mut out),
            Event::Drain => {
                self.is_draining = true;
                self.resign("draining");
                out.push(Effect::ResignLeadership);
            }
            Event::Bounds(bounds) => self.set_bounds(bounds),
            Event::Stop => out.push(Effect::EndLease),
        }
        self.settle_parts(now, &mut out);
        out
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        self.directory.set_grace(grace_periods(&bounds));
        set_zone_bounds(&self.notices, &bounds);
        if let Some(leader) = &mut self.leader {
            leader.set_load_window(bounds.load_window);
        }
        Arc::make_mut(&mut self.settings).bounds = bounds;
    }

    fn tick(&mut self, now: Millis, loads: LoadTable, out: &mut Vec<Effect>) {
        self.own_loads = loads;
        let gone = self.directory.expire(now);
        if !gone.is_empty() || self.endpoint_views(now) != self.published_endpoints {
            self.directory_changed(&gone, out);
        }
        if now >= self.due.status {
            let fleet = self.members.count() as u64;
            let interval = Millis(STATUS_INTERVAL.0 * fleet.div_ceil(STATUS_BASE_GATEWAYS));
            self.due.status = now + interval;
            self.members.set_status_interval(interval);
            self.report_status(now, out);
        }
        self.exchange_loads(now, out);
        for (peer, is_reachable) in self.members.take_reachability_changes(now) {
            let event = if is_reachable {
                "peer.heard"
            } else {
                "peer.silent"
            };
            journal::write(event, &[("peer", (&peer).into())]);
            if is_reachable {
                self.copy_missed_streams(&peer, out);
                self.welcome(now, &peer, out);
                self.welcome_with_statements(now, &peer, out);
                self.welcome_with_evacuations(now, &peer, out);
            }
        }
        self.write_registration(now, out);
        self.tell_notices(out);
        self.tend_cold(now, out);
        self.tick_evacuations(now, out);
        self.tend_acquaintances(now, out);
        self.note_membership(now);
        self.relay_registry(now, out);
        self.seek_registrations(now, out);
        self.note_registry_age(now);
        self.catch_up(now, out);
        self.campaign(now, out);
        self.repeat_needs(now, out);
        self.tick_parts(now, out);
        self.record_versions(now, out);
        self.store_streams(now, out);
        out.push(Effect::AnnounceStreams);
        self.schedule_due_decision(now, out);
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
        self.versions.note_change();
        out.push(Effect::Publish);
    }
}

fn set_zone_bounds(notices: &NoticeBoard, bounds: &Bounds) {
    let waits_for_news = bounds.evacuation.is_some();
    notices
        .zones
        .set_bounds(bounds.zone_grace(), waits_for_news);
}

fn grace_periods(bounds: &Bounds) -> GracePeriods {
    GracePeriods {
        drain: bounds.drain,
        relist: bounds.relist,
    }
}
