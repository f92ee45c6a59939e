//! The control thread: feeds the reducer and carries out its effects.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::control::{Control, Effect, Event, LocalUse};
use super::document::{Document, Workspace};
use super::duties::Duties;
use super::gossip::Message;
use super::leader::ADAPTER_LOAD_TIME;
use super::ledger::EngineCall;
use super::shared::Shared;
use super::store::Store;
use super::sync::{ConfigurationFollower, FleetFollower, RegistrationFollower, Relay, follow};
use crate::bucket::{Bucket, BucketCell};
use crate::clock::Millis;
use crate::error::{Error, Result};
use crate::journal;

/// Time between two looks at what is due.
const TICK: Millis = Millis(50);
/// Part of a workspace's burst that buckets hold, in percent. The operator's
/// slack covers debts; the rest covers parts that sum to a little more than
/// the whole while they change, and requests larger than a gateway's part.
const USABLE_BURST_PERCENT: u64 = 80;
/// Ticks between two readings of what callers ask for.
const TICKS_PER_USE: u32 = 5;

/// Runs control until the process ends.
pub fn run(
    shared: Arc<Shared>,
    events: UnboundedSender<Event>,
    queue: UnboundedReceiver<Event>,
) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the control runtime", e))?;
    let store = Rc::new(Store::new(shared.settings.store, shared.dialect.clone()));
    let driver = Driver { shared, events };
    LocalSet::new().block_on(&runtime, driver.drive(store, queue));
    Ok(())
}

struct Driver {
    shared: Arc<Shared>,
    events: UnboundedSender<Event>,
}

impl Driver {
    async fn drive(self, store: Rc<Store>, mut queue: UnboundedReceiver<Event>) {
        let events = self.events.clone();
        let duties = Duties::new(store.clone(), self.shared.clone(), events.clone());
        duties.start();
        spawn_local(follow(store.clone(), events.clone(), ConfigurationFollower));
        let relay = Rc::new(Relay::default());
        let registrations = RegistrationFollower {
            relay: relay.clone(),
            clock: self.shared.clock.clone(),
        };
        spawn_local(follow(store.clone(), events.clone(), registrations));
        spawn_local(follow(store, events.clone(), FleetFollower));
        spawn_local(tick(self.shared.clone(), events));
        let mut control = Control::new(self.shared.settings.clone());
        while let Some(event) = queue.recv().await {
            let effects = control.reduce(self.shared.now(), event);
            relay.set(control.relayed());
            for effect in effects {
                self.carry_out(&mut control, &duties, effect);
            }
        }
    }

    fn carry_out(&self, control: &mut Control, duties: &Rc<Duties>, effect: Effect) {
        match effect {
            Effect::Publish => {
                let view = control.view(self.shared.now());
                self.shared.publish(view);
            }
            Effect::SetLimits(document) => self.set_limits(control, &document),
            Effect::SetParts(parts) => self.set_parts(&parts),
            Effect::SetLendable(limits) => self.set_lendable(&limits),
            Effect::Lend {
                to,
                workspace,
                tokens,
            } => self.lend(duties, to, workspace, tokens),
            Effect::Receive { workspace, tokens } => {
                if let Some(bucket) = self.shared.bucket(&workspace) {
                    bucket.receive(self.shared.now(), tokens);
                }
            }
            Effect::SetGateways(gateways) => self.shared.set_gateways(gateways),
            Effect::SetOthers(loads) => self.shared.set_others(loads),
            Effect::Broadcast(message) => {
                let to: Vec<SocketAddr> = control.members().iter().map(|m| m.address).collect();
                duties.send(&to, message);
            }
            Effect::Send(to, message) => duties.send(&[to], message),
            Effect::PullConfiguration(peer) => {
                spawn_local(duties.clone().pull_configuration(peer));
            }
            Effect::Claim {
                expected,
                is_succession,
            } => {
                spawn_local(duties.clone().claim(expected, is_succession));
            }
            Effect::Resign => {
                spawn_local(duties.clone().resign());
            }
            Effect::EndLease => {
                let duties = duties.clone();
                spawn_local(async move { duties.end_lease().await });
            }
            Effect::Step(step) => self.step(control, duties, step),
            Effect::AnnounceSoon(holdings) => {
                let events = self.events.clone();
                spawn_local(async move {
                    sleep(ADAPTER_LOAD_TIME.as_duration()).await;
                    // Fails only while the process ends.
                    let _ = events.send(Event::Ready(holdings));
                });
            }
        }
    }

    /// Sends an order only while the lease surely runs, judged right before.
    fn step(&self, control: &Control, duties: &Rc<Duties>, step: EngineCall) {
        match step {
            EngineCall::Report(endpoint) => {
                spawn_local(duties.clone().report(endpoint));
            }
            EngineCall::Order { endpoint, order } => {
                let leader_term = control.leader_term(self.shared.now());
                if leader_term.is_some_and(|t| t.fence == order.fence) {
                    spawn_local(duties.clone().order(endpoint, order));
                }
            }
        }
    }

    fn set_parts(&self, parts: &[(CompactString, u64)]) {
        let now = self.shared.now();
        for (workspace, ppm) in parts {
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

    /// Gives up tokens before they are sent.
    fn lend(&self, duties: &Duties, to: SocketAddr, workspace: CompactString, tokens: u64) {
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
        duties.send(&[to], message);
    }

    /// Gives each workspace with a limit its bucket; a bucket that is there
    /// keeps its level.
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
            let part = control.parts().find(|(name, _)| **name == workspace.name);
            bucket.set_share(now, part.map_or(0, |(_, ppm)| ppm));
            Arc::new(BucketCell::new(workspace.name.clone(), bucket))
        });
        let buckets = buckets.collect();
        self.shared.set_buckets(buckets);
    }
}

/// The burst that buckets hold.
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

/// Tells control that time passes, and what callers ask for meanwhile.
async fn tick(shared: Arc<Shared>, events: UnboundedSender<Event>) {
    let mut ticks = interval(TICK.as_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u32 = 0;
    loop {
        ticks.tick().await;
        count = count.wrapping_add(1);
        let mut batch = vec![Event::Tick(shared.own_loads())];
        if count.is_multiple_of(TICKS_PER_USE) {
            batch.push(Event::Use(local_use(&shared)));
        }
        for event in batch {
            if events.send(event).is_err() {
                return;
            }
        }
    }
}

fn local_use(shared: &Shared) -> LocalUse {
    let now = shared.now();
    let buckets = shared.buckets();
    let limits = buckets
        .iter()
        .map(|bucket| bucket.with(|b| b.take_usage(now, &bucket.workspace)));
    LocalUse {
        limits: limits.collect(),
        demand: shared.take_demand(),
        adapters: shared.take_adapters(),
    }
}
