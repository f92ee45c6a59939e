//! Background calls of the control thread to the platform, the instance list and the
//! weight store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::shared::Shared;
use crate::agent::LEADER_KEY;
use crate::clock::Millis;
use crate::configuration::{read_head, read_snapshot_and_log};
use crate::control::Event;
use crate::error::Result;
use crate::escrow::{LEASE_TTL_S, ShareEvent, Term, latest_runs};
use crate::instances::InstanceList;
use crate::platform::{LeaseId, Platform, Txn};
use crate::settings::GatewaySettings;
use crate::weights::WeightStore;
use crate::wire::{Fence, Member};

/// The key of the term, which lists the members that hold shares.
const TERM_KEY: &str = "limits/term";
/// The prefix of the keys that share holders keep under their leases.
const HOLDER_PREFIX: &str = "limits/holder/";
/// Interval between lease renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);
/// Delay before a failed lease call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// How long the leader relies on its lease, counted from when it sent the renewal.
/// Shorter than `LEASE_TTL_S`, so that it stops before another gateway can take over.
const LEADERSHIP_VALIDITY: Millis = Millis(4_000);
/// Interval between reads of the instance list.
const INSTANCES_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads of the weight store's catalogue.
const CATALOGUE_INTERVAL: Duration = Duration::from_millis(2_000);

/// Runs calls as background tasks and sends their results to the reducer as events.
/// Used only by the control thread.
pub struct BackgroundCalls {
    platform: Platform,
    instances: InstanceList,
    weights: WeightStore,
    me: Member,
    events: UnboundedSender<Event>,
    shared: Arc<Shared>,
    lease: Cell<Option<LeaseId>>,
    leader: Rc<Cell<Option<Leadership>>>,
    has_resigned: Cell<bool>,
    reads_in_flight: RefCell<ReadsInFlight>,
}

#[derive(Clone, Copy)]
struct Leadership {
    fence: Fence,
    until: Millis,
}

/// Reads in flight. A read is not sent again while it is in flight, so that a slow
/// platform does not get the same query twice at once.
#[derive(Default)]
struct ReadsInFlight {
    head: bool,
    log: bool,
    shares: bool,
}

/// A handle that tells whether this gateway is still the placement leader.
pub struct LeaderGuard {
    leader: Rc<Cell<Option<Leadership>>>,
    shared: Arc<Shared>,
}

impl LeaderGuard {
    /// Whether the leadership is still valid.
    pub fn is_leader(&self) -> bool {
        let now = self.shared.now();
        self.leader.get().is_some_and(|l| now < l.until)
    }
}

impl BackgroundCalls {
    /// Creates the state without starting any task; see [`BackgroundCalls::start`].
    pub fn new(
        platform: Platform,
        settings: &GatewaySettings,
        me: Member,
        events: UnboundedSender<Event>,
        shared: Arc<Shared>,
    ) -> Self {
        Self {
            platform,
            instances: InstanceList::new(settings.instances),
            weights: WeightStore::new(settings.weights),
            me,
            events,
            shared,
            lease: Cell::new(None),
            leader: Rc::default(),
            has_resigned: Cell::new(false),
            reads_in_flight: RefCell::default(),
        }
    }

    /// Starts maintaining the lease and polling the instance list and the catalogue.
    pub fn start(self: Rc<Self>) {
        spawn_local(self.clone().maintain_lease());
        spawn_local(self.clone().poll_instances());
        spawn_local(self.poll_catalogue());
    }

    /// Returns a handle with which a task checks that it may still send an order.
    pub fn leader_guard(&self) -> LeaderGuard {
        LeaderGuard {
            leader: self.leader.clone(),
            shared: self.shared.clone(),
        }
    }

    /// Gives up placement leadership and does not claim it again.
    pub fn resign(&self) {
        self.has_resigned.set(true);
        self.leader.set(None);
        self.send(Event::LeadershipChanged(None));
    }

    /// Revokes the lease, and with it the holder key and the leader key.
    pub async fn revoke_lease(&self) {
        if let Some(lease) = self.lease.take() {
            let _ = self.platform.revoke_lease(lease).await;
        }
    }

    /// Reads the configuration's head revision.
    pub async fn read_head(self: Rc<Self>) {
        if std::mem::replace(&mut self.reads_in_flight.borrow_mut().head, true) {
            return;
        }
        let sent_at = self.shared.now();
        let read = read_head(&self.platform).await;
        self.reads_in_flight.borrow_mut().head = false;
        self.send_result(read.map(|revision| Event::HeadRead { sent_at, revision }));
    }

    /// Reads the configuration's latest snapshot and the log entries after it.
    pub async fn read_log(self: Rc<Self>) {
        if std::mem::replace(&mut self.reads_in_flight.borrow_mut().log, true) {
            return;
        }
        let sent_at = self.shared.now();
        let read = read_snapshot_and_log(&self.platform).await;
        self.reads_in_flight.borrow_mut().log = false;
        self.send_result(read.map(|(snapshot, entries)| Event::LogRead {
            sent_at,
            snapshot,
            entries,
        }));
    }

    /// Reads the term and the members that hold a lease.
    pub async fn read_shares(self: Rc<Self>) {
        if std::mem::replace(&mut self.reads_in_flight.borrow_mut().shares, true) {
            return;
        }
        let sent_at = self.shared.now();
        let read = self.platform.read_prefix("limits/").await;
        self.reads_in_flight.borrow_mut().shares = false;
        self.send_result(read.map(|read| {
            let mut term = Term::default();
            let mut mod_revision = 0;
            let mut leased = Vec::new();
            for item in read.items {
                if item.key == TERM_KEY {
                    term = serde_json::from_slice(&item.value).unwrap_or_default();
                    mod_revision = item.mod_revision;
                } else if let Some(holder) = item.key.strip_prefix(HOLDER_PREFIX) {
                    leased
                        .extend(parse_holder(holder).map(|member| (item.create_revision, member)));
                }
            }
            let leased = latest_runs(leased);
            Event::Share(ShareEvent::Read {
                sent_at,
                term,
                mod_revision,
                leased,
            })
        }));
    }

    /// Writes the next term if the current one, written at `mod_revision`, is unchanged
    /// and none of the members in `unleased` holds a lease. Zero stands for no current
    /// term.
    pub async fn write_term(self: Rc<Self>, term: Term, mod_revision: u64, unleased: Vec<Member>) {
        let Ok(value) = serde_json::to_vec(&term) else {
            return;
        };
        let mut txn = match mod_revision {
            0 => Txn::new().if_absent(TERM_KEY),
            _ => Txn::new().if_modified_at(TERM_KEY, mod_revision),
        };
        for member in &unleased {
            txn = txn.if_absent(&holder_key(member));
        }
        let written = self.platform.run(&txn.put(TERM_KEY, &value)).await;
        log::info!("writing share term {}: {written:?}", term.number);
        self.read_shares().await;
    }

    /// Acquires the lease that both the holder key and the leader key depend on, and
    /// renews it.
    async fn maintain_lease(self: Rc<Self>) {
        loop {
            let sent_at = self.shared.now();
            let renewed = match self.lease.get() {
                Some(lease) => self.platform.renew_lease(lease).await,
                None => self.acquire_lease().await.map(|()| true),
            };
            match renewed {
                Ok(true) => {
                    self.send(Event::Share(ShareEvent::Renewed { sent_at }));
                    self.claim_or_renew_leadership(sent_at).await;
                    sleep(RENEW_INTERVAL).await;
                }
                // The lease no longer exists; the next pass acquires a new one.
                Ok(false) => {
                    self.lease.set(None);
                    self.set_leader(None);
                }
                Err(error) => {
                    log::warn!("acquiring or renewing the lease: {error}");
                    self.send(Event::PlatformFailed);
                    self.end_expired_leadership();
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    async fn acquire_lease(&self) -> Result<()> {
        let lease = self.platform.grant_lease(LEASE_TTL_S).await?;
        let txn = Txn::new().put_leased(&holder_key(&self.me), b"", Some(lease));
        self.platform.run(&txn).await?;
        self.lease.set(Some(lease));
        Ok(())
    }

    /// Becomes the placement leader if there is none, or extends its leadership.
    async fn claim_or_renew_leadership(&self, sent_at: Millis) {
        let Some(lease) = self.lease.get() else {
            return;
        };
        if self.has_resigned.get() {
            return;
        }
        let Ok(read) = self.platform.read(LEADER_KEY).await else {
            return self.end_expired_leadership();
        };
        let own_value = self.me.boot.to_string();
        let until = sent_at + LEADERSHIP_VALIDITY;
        match read.items.first() {
            Some(item) if item.value == own_value.as_bytes() => {
                let fence = Fence(item.create_revision);
                self.set_leader(Some(Leadership { fence, until }));
            }
            Some(_) => self.set_leader(None),
            None => {
                let txn = Txn::new().if_absent(LEADER_KEY).put_leased(
                    LEADER_KEY,
                    own_value.as_bytes(),
                    Some(lease),
                );
                if let Ok(outcome) = self.platform.run(&txn).await
                    && outcome.succeeded
                {
                    let fence = Fence(outcome.revision);
                    self.set_leader(Some(Leadership { fence, until }));
                }
            }
        }
    }

    fn end_expired_leadership(&self) {
        if let Some(leader) = self.leader.get()
            && self.shared.now() >= leader.until
        {
            self.set_leader(None);
        }
    }

    fn set_leader(&self, leader: Option<Leadership>) {
        let fence = leader.map(|l| l.fence);
        let previous = self.leader.replace(leader).map(|l| l.fence);
        if fence != previous {
            log::info!("placement leadership of this gateway: {fence:?}");
            self.send(Event::LeadershipChanged(fence));
        }
    }

    async fn poll_instances(self: Rc<Self>) {
        loop {
            match self.instances.read().await {
                Ok(instances) => self.send(Event::Instances(instances)),
                Err(error) => log::warn!("reading the instance list: {error}"),
            }
            sleep(INSTANCES_INTERVAL).await;
        }
    }

    async fn poll_catalogue(self: Rc<Self>) {
        loop {
            match self.weights.read().await {
                Ok(catalogue) => self.send(Event::Catalogue(catalogue)),
                Err(error) => log::warn!("reading the weight store's catalogue: {error}"),
            }
            sleep(CATALOGUE_INTERVAL).await;
        }
    }

    fn send(&self, event: Event) {
        let _ = self.events.send(event);
    }

    fn send_result(&self, event: Result<Event>) {
        match event {
            Ok(event) => self.send(event),
            Err(error) => {
                log::warn!("{error}");
                self.send(Event::PlatformFailed);
            }
        }
    }
}

/// The key that a share holder keeps under its lease.
fn holder_key(member: &Member) -> String {
    format!("{HOLDER_PREFIX}{}/{}", member.name, member.boot)
}

fn parse_holder(holder: &str) -> Option<Member> {
    let (name, boot) = holder.split_once('/')?;
    Some(Member {
        name: name.into(),
        boot: boot.parse().ok()?,
    })
}
