//! The control thread: passes events to the reducer and carries out its effects.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::background_calls::BackgroundCalls;
use super::control::{Control, Effect, Event, LocalUsage};
use super::document::{Document, Workspace};
use super::gossip::{Message, split_rows};
use super::leader::ADAPTER_LOAD_TIME;
use super::ledger::EngineCall;
use super::members::Owner;
use super::queue::{EventQueue, EventSender, Queued};
use super::shared::Shared;
use super::store::Store;
use super::streams::{StreamId, StreamRecord};
use super::supervision::{Supervisor, spawn_restarting};
use super::suspects::{PartId, PartProgress};
use super::sync::{
    ConfigurationFollower, FleetFollower, Pace, RegistrationFollower, RelayProgress, follow,
};
use super::workload::Workload;
use crate::bucket::{Bucket, BucketCell};
use crate::clock::Millis;
use crate::error::{Error, Result};
use crate::journal;

/// Interval between tick events, in which the reducer runs its periodic work.
const TICK_INTERVAL: Millis = Millis(50);
/// Percentage of a workspace's burst that buckets hold. The rest covers gateways'
/// shares that add up to slightly more than the limit while they change, and
/// requests larger than one gateway's share. It need not cover debts, which the
/// operator's slack (`Bounds::limit_slack`) does.
const USABLE_BURST_PERCENT: u64 = 80;
/// Ticks between two reports of local usage to the reducer.
const TICKS_PER_USAGE_REPORT: u32 = 5;

/// Runs the control thread until the process ends.
pub fn run(
    shared: Arc<Shared>,
    events: EventSender,
    queue: EventQueue,
    supervisor: &Supervisor,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the control runtime", e))?;
    let (dialect, metrics) = (shared.dialect.clone(), shared.metrics.clone());
    let store = Rc::new(Store::new(
        shared.settings.store,
        dialect,
        metrics,
        events.clone(),
    ));
    let driver = Driver { shared, events };
    LocalSet::new().block_on(&runtime, driver.drive(store, queue, supervisor));
    Ok(())
}

struct Driver {
    shared: Arc<Shared>,
    events: EventSender,
}

impl Driver {
    async fn drive(self, store: Rc<Store>, mut queue: EventQueue, supervisor: &Supervisor) {
        let events = self.events.clone();
        let calls = BackgroundCalls::new(store.clone(), self.shared.clone(), events.clone());
        calls.start(supervisor);
        let pace = Rc::new(Pace::default());
        let follows = (store.clone(), events.clone(), pace.clone());
        spawn_restarting(move || {
            let (store, events, pace) = follows.clone();
            follow(store, events, pace, ConfigurationFollower)
        });
        let relay_progress = Rc::new(RelayProgress::default());
        let follows = (store.clone(), events.clone(), pace.clone());
        let (relay, clock) = (relay_progress.clone(), self.shared.clock.clone());
        spawn_restarting(move || {
            let (store, events, pace) = follows.clone();
            let (relay, clock) = (relay.clone(), clock.clone());
            follow(store, events, pace, RegistrationFollower { relay, clock })
        });
        let follows = (store.clone(), events.clone(), pace.clone());
        let own_name = self.shared.settings.name.clone();
        spawn_restarting(move || {
            let (store, events, pace) = follows.clone();
            follow(store, events, pace, FleetFollower::new(&own_name))
        });
        supervisor.spawn("tick", tick(self.shared.clone(), events));
        let mut control =
            Control::new(self.shared.settings.clone()).with_notices(self.shared.notices.clone());
        pace.set(control.pauses());
        let mut workload = Workload::default();
        while let Some(Queued { event, sent_at }) = queue.next().await {
            let kind = event.name();
            let began = self.shared.now();
            // Not with each event: it looks at all other gateways.
            let is_contact_due = matches!(
                event,
                Event::Tick(_) | Event::LeaseHeld(_) | Event::StoreLost
            );
            let effects = control.reduce(began, event);
            relay_progress.set(control.relay_progress());
            pace.set(control.pauses());
            if is_contact_due {
                let until = control.current_until();
                self.shared.set_current_until(until);
            }
            if let Some(age) = control.registry_age(began).filter(|_| is_contact_due) {
                self.shared.metrics.record_registrations_age(age);
            }
            store.log_if_due(began);
            for effect in effects {
                self.carry_out(&mut control, &calls, effect);
            }
            let (waited, ended) = (began.since(sent_at), self.shared.now());
            control.note_processed(ended, ended.since(began));
            self.shared.metrics.record_control_wait(waited);
            workload.record(kind, waited, ended.since(began));
            workload.log_if_due(ended, queue.len());
        }
    }

    fn carry_out(&self, control: &mut Control, calls: &Rc<BackgroundCalls>, effect: Effect) {
        match effect {
            Effect::Publish => {
                let view = control.view(self.shared.now());
                self.shared.publish(view);
            }
            Effect::SetLimits(document) => self.set_limits(control, &document),
            Effect::SetShares(shares) => self.set_shares(&shares),
            Effect::SetLendable(limits) => self.set_lendable(&limits),
            Effect::Lend {
                to,
                workspace,
                tokens,
            } => self.lend(calls, to, workspace, tokens),
            Effect::ReceiveLoan { workspace, tokens } => {
                if let Some(bucket) = self.shared.bucket(&workspace) {
                    bucket.receive_loan(self.shared.now(), tokens);
                }
            }
            Effect::SetGatewayCount(gateways) => self.shared.set_gateway_count(gateways),
            Effect::SetPeerLoads(loads) => self.shared.set_peer_loads(loads),
            Effect::Broadcast(message) => {
                let to: Vec<SocketAddr> = control.members().iter().map(|m| m.address).collect();
                calls.send(&to, message);
            }
            Effect::Send(to, message) => calls.send(&[to], message),
            Effect::SendAll(to, message) => calls.send(&to, message),
            Effect::PullConfiguration(peer) => {
                spawn_local(calls.clone().pull_configuration(peer, control.version()));
            }
            Effect::AnnounceStreams => self.announce_streams(control, calls),
            Effect::CopyStreams { to, since } => self.copy_streams(control, calls, &to, since),
            Effect::CopyBucket {
                to,
                bucket,
                max_age,
            } => {
                let now = self.shared.now();
                let records = self.shared.streams.of_bucket(now, bucket, max_age);
                let records: Vec<StreamRecord> = records.into_iter().map(|(r, _)| r).collect();
                send_streams(calls, to, &records);
            }
            Effect::TellStream { to, id, if_unknown } => match self.shared.streams.version_of(id) {
                Some(version) => {
                    let record = StreamRecord { id, version };
                    calls.send(&[to], Message::Streams(vec![record]));
                }
                None if if_unknown => calls.send(&[to], Message::StreamUnknown(id)),
                None => {}
            },
            Effect::LearnStreamUnknown(id) => {
                self.shared.streams.learn_unknown(self.shared.now(), id);
            }
            Effect::LearnStreams(records) => {
                let new = self.shared.streams.learn(self.shared.now(), records);
                self.note_streams(control, new);
            }
            Effect::LearnStoredStreams(records) => {
                self.shared.streams.learn_stored(self.shared.now(), records);
            }
            Effect::ReadStreams(bucket) => {
                spawn_local(calls.clone().read_streams(bucket));
            }
            Effect::StoreStreams {
                bucket,
                expected,
                max_age,
            } => {
                let now = self.shared.now();
                let records = self.shared.streams.of_bucket(now, bucket, max_age);
                spawn_local(calls.clone().store_streams(bucket, expected, records));
            }
            Effect::PublishParts(lists) => {
                self.shared
                    .metrics
                    .record_blocked_parts(lists.blocked.len());
                self.shared.parts.publish(lists);
            }
            Effect::AllowTrial(parts) => self.shared.parts.allow_trial(parts),
            Effect::ShowParts(known) => self.shared.set_part_evidence(known),
            Effect::BlocksKnown => self.shared.parts.set_blocks_known(),
            Effect::CheckParts { parts, max_age } => self.check_parts(&parts, max_age),
            Effect::RecordBlocks { expected, blocks } => {
                spawn_local(calls.clone().record_blocks(expected, blocks));
            }
            Effect::RecordVersions { expected, record } => {
                spawn_local(calls.clone().record_versions(expected, record));
            }
            Effect::Register(write) => {
                spawn_local(calls.clone().register(write));
            }
            Effect::ClaimLeadership {
                expected,
                is_succession,
            } => {
                spawn_local(calls.clone().claim_leadership(expected, is_succession));
            }
            Effect::ResignLeadership => {
                spawn_local(calls.clone().resign_leadership());
            }
            Effect::EndLease => {
                let calls = calls.clone();
                spawn_local(async move { calls.end_lease().await });
            }
            Effect::CallEngine(call) => self.call_engine(control, calls, call),
            Effect::ScheduleDecision => {
                self.events.send(Event::Decide);
            }
            Effect::AnnounceAfterLoad(holdings) => {
                let events = self.events.clone();
                spawn_local(async move {
                    sleep(ADAPTER_LOAD_TIME.as_duration()).await;
                    events.send(Event::HoldingsReady(holdings));
                });
            }
        }
    }

    /// Starts a call to an engine. An order is sent only if, immediately before
    /// sending, this gateway's lease is valid and the fencing number is unchanged.
    fn call_engine(&self, control: &Control, calls: &Rc<BackgroundCalls>, engine_call: EngineCall) {
        match engine_call {
            EngineCall::Report(endpoint) => {
                spawn_local(calls.clone().fetch_report(endpoint));
            }
            EngineCall::Order { endpoint, order } => {
                let leader_term = control.leader_term(self.shared.now());
                if leader_term.is_some_and(|t| t.fence == order.fence) {
                    spawn_local(calls.clone().send_order(endpoint, order));
                }
            }
        }
    }

    /// Has the records of streams written to the store, if that is up to this gateway.
    fn note_streams(&self, control: &mut Control, new: Vec<StreamId>) {
        if !new.is_empty() {
            control.note_streams(new);
            self.events.send(Event::StreamsNoted);
        }
    }

    /// Tells the gateways that keep them, or write them to the store, of the streams that
    /// began here.
    fn announce_streams(&self, control: &mut Control, calls: &BackgroundCalls) {
        let records = self.shared.streams.take_unannounced();
        let new = records.iter().filter(|(_, is_first)| *is_first);
        self.note_streams(control, new.map(|(record, _)| record.id).collect());
        let now = self.shared.now();
        let mut by_keeper: Vec<(SocketAddr, Vec<StreamRecord>)> = Vec::new();
        for (record, _) in records {
            let mut keepers = control.members().record_keepers(record.id);
            if let Owner::Other(owner) = control.bucket_owner(now, record.id.bucket())
                && !keepers.contains(&owner)
            {
                keepers.push(owner);
            }
            for keeper in keepers {
                match by_keeper.binary_search_by_key(&keeper, |(address, _)| *address) {
                    Ok(at) => by_keeper[at].1.push(record.clone()),
                    Err(at) => by_keeper.insert(at, (keeper, vec![record.clone()])),
                }
            }
        }
        for (keeper, records) in by_keeper {
            send_streams(calls, keeper, &records);
        }
    }

    /// Sends a gateway the records that it keeps, of streams that were used since a time.
    fn copy_streams(&self, control: &Control, calls: &BackgroundCalls, name: &str, since: Millis) {
        let members = control.members();
        let Some(to) = members.address_of(name) else {
            return;
        };
        let mut records = self.shared.streams.used_since(since);
        records.retain(|record| members.keeps_record(name, record.id));
        send_streams(calls, to, &records);
    }

    /// Looks up when parts were last answered here.
    fn check_parts(&self, parts: &[PartId], max_age: Millis) {
        let now = self.shared.now();
        let answered = parts.iter().filter_map(|part| {
            let age = now.since(self.shared.parts.answered_at(*part)?);
            (age <= max_age).then_some(PartProgress { part: *part, age })
        });
        let answered: Vec<PartProgress> = answered.collect();
        if !answered.is_empty() {
            self.events.send(Event::PartsChecked(answered));
        }
    }

    fn set_shares(&self, shares: &[(CompactString, u64)]) {
        let now = self.shared.now();
        for (workspace, ppm) in shares {
            if let Some(bucket) = self.shared.bucket(workspace) {
                bucket.with(|b| b.set_share(now, *ppm));
            }
        }
    }

    fn set_lendable(&self, limits: &[(CompactString, u64)]) {
        for (workspace, tokens) in limits {
            if let Some(bucket) = self.shared.bucket(workspace) {
                bucket.set_lendable(*tokens);
            }
        }
    }

    /// Lends tokens to another gateway. They are taken from the local bucket before
    /// the message is sent, so that both gateways never hold them at once.
    fn lend(&self, calls: &BackgroundCalls, to: SocketAddr, workspace: CompactString, tokens: u64) {
        let now = self.shared.now();
        let Some(bucket) = self.shared.bucket(&workspace) else {
            return;
        };
        let (tokens, left) = bucket.with(|b| (b.lend(now, tokens), b.level()));
        let message = Message::Lend {
            workspace,
            tokens,
            left,
        };
        calls.send(&[to], message);
    }

    /// Creates or updates the bucket of each workspace that has a limit. An existing
    /// bucket keeps its level.
    fn set_limits(&self, control: &Control, document: &Document) {
        let now = self.shared.now();
        let old = self.shared.buckets();
        let limited = document.workspaces.iter().filter(|w| w.rate > 0);
        let buckets = limited.map(|workspace| {
            let known = old.binary_search_by(|b| b.workspace.cmp(&workspace.name));
            if let Ok(at) = known {
                let has_changed =
                    old[at].with(|b| b.set_limits(now, workspace.rate, usable_burst(workspace)));
                if has_changed {
                    log_limit(workspace, document.version);
                }
                return old[at].clone();
            }
            log_limit(workspace, document.version);
            let mut bucket = Bucket::new(now, workspace.rate, usable_burst(workspace));
            let share = control.shares().find(|(name, _)| **name == workspace.name);
            bucket.set_share(now, share.map_or(0, |(_, ppm)| ppm));
            Arc::new(BucketCell::new(workspace.name.clone(), bucket))
        });
        let buckets = buckets.collect();
        self.shared.set_buckets(buckets);
    }
}

/// Tells a gateway of streams.
fn send_streams(calls: &BackgroundCalls, to: SocketAddr, records: &[StreamRecord]) {
    if records.is_empty() {
        return;
    }
    for part in split_rows(records) {
        calls.send(&[to], Message::Streams(part));
    }
}

/// The part of a workspace's burst that buckets hold.
fn usable_burst(workspace: &Workspace) -> u64 {
    workspace.burst * USABLE_BURST_PERCENT / 100
}

fn log_limit(workspace: &Workspace, version: u64) {
    journal::write(
        "limit.changed",
        &[
            ("workspace", (&workspace.name).into()),
            ("rate", workspace.rate.into()),
            ("burst", workspace.burst.into()),
            ("version", version.into()),
        ],
    );
}

/// Sends tick events to the reducer, and local usage every few ticks.
async fn tick(shared: Arc<Shared>, events: EventSender) {
    let mut ticks = interval(TICK_INTERVAL.as_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u32 = 0;
    loop {
        ticks.tick().await;
        count = count.wrapping_add(1);
        let mut batch = vec![Event::Tick(shared.own_loads())];
        if count.is_multiple_of(TICKS_PER_USAGE_REPORT) {
            batch.push(Event::Usage(local_usage(&shared)));
        }
        for event in batch {
            if !events.send(event) {
                return;
            }
        }
    }
}

fn local_usage(shared: &Shared) -> LocalUsage {
    let now = shared.now();
    let buckets = shared.buckets();
    let limits = buckets
        .iter()
        .map(|bucket| bucket.with(|b| b.take_usage(now, &bucket.workspace)));
    LocalUsage {
        limits: limits.collect(),
        demand: shared.take_demand(),
        adapters: shared.take_adapters(),
    }
}
