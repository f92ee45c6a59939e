//! Ties the account to connections and requests: what is dropped is given back.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use http::{HeaderMap, Uri};
use slotmap::SecondaryMap;
use tokio::sync::watch;
use tokio::time::sleep;

use super::account::{Account, Bounds, Decision, Eviction, HolderKey, Phase};
use super::body::head_cost;
use crate::clock::Millis;
use crate::code::Code;
use crate::direct::refusal::Refusal;
use crate::direct::shared::Shared;
use crate::journal;

/// Interval at which late connections are looked for and the metrics are recorded.
const SWEEP_INTERVAL: Millis = Millis(250);
/// A sweep that comes this late shows that the process did not run.
const PAUSE: Millis = Millis(1_000);
/// At least this long between two log lines about callers that gave way.
const LOG_INTERVAL: Millis = Millis(1_000);
/// `Retry-After` of a request for which there is no memory, with up to as much again so that
/// callers do not all come at once. By then a stalled connection has given way.
const RETRY_AFTER: Millis = Millis(250);
/// Pause before a request that was sent before the response to the previous one was ready,
/// for each such request that waits. It bounds their rate to 250 a second over all callers:
/// a connection with a thousand requests ahead has as many turns as a thousand callers.
const PIPELINE_PAUSE: Millis = Millis(4);
/// The pause is that many times as long as the head takes this much memory, since its
/// processor time grows with it.
const PIPELINE_UNIT_BYTES: usize = 16 << 10;
const MAX_PIPELINE_PAUSE: Millis = Millis(2_000);
/// Names of the phases in metrics and logs.
const PHASES: [&str; 4] = ["idle", "head", "body", "running"];

/// What a connection that gives way is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Order {
    #[default]
    Stay,
    /// To refuse the request whose body arrives.
    Refuse,
    /// To close.
    Close,
}

/// What was done since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    evicted: [u64; 4],
    refused: u64,
    not_accepted: u64,
    logged_at: Millis,
}

/// The account of all callers of a gateway.
pub struct Intake {
    shared: Arc<Shared>,
    account: RefCell<Account>,
    orders: RefCell<SecondaryMap<HolderKey, watch::Sender<Order>>>,
    tally: Cell<Tally>,
    /// Requests that pause since they were sent ahead.
    pausing: Cell<u64>,
}

impl Intake {
    /// Creates the account of a process.
    pub fn new(shared: Arc<Shared>) -> Rc<Self> {
        let account = Account::new(bounds(&shared));
        Rc::new(Self {
            shared,
            account: RefCell::new(account),
            orders: RefCell::default(),
            tally: Cell::default(),
            pausing: Cell::default(),
        })
    }

    /// Adds a connection; `None` if there is no room for it.
    pub fn open(self: &Rc<Self>) -> Option<Caller> {
        self.account.borrow_mut().set_bounds(bounds(&self.shared));
        let (key, decision) = self.account.borrow_mut().open(self.shared.now());
        self.evict(decision.evictions);
        let Some(key) = key else {
            self.tally(|tally| tally.not_accepted += 1);
            self.shared.metrics.count_callers_closed("not_accepted");
            return None;
        };
        let (tx, orders) = watch::channel(Order::Stay);
        self.orders.borrow_mut().insert(key, tx);
        let holder = Rc::new(Holder {
            intake: self.clone(),
            key,
            is_receiving: Cell::default(),
            arrival: Cell::default(),
        });
        Some(Caller { holder, orders })
    }

    fn evict(&self, evictions: Vec<Eviction>) {
        for eviction in evictions {
            let order = match eviction.is_refusable {
                true => Order::Refuse,
                false => Order::Close,
            };
            if let Some(tx) = self.orders.borrow().get(eviction.holder) {
                tx.send_replace(order);
            }
            let phase = eviction.phase as usize;
            self.tally(|tally| tally.evicted[phase] += 1);
            self.shared.metrics.count_callers_closed(PHASES[phase]);
        }
    }

    fn tally(&self, count: impl FnOnce(&mut Tally)) {
        let mut tally = self.tally.get();
        count(&mut tally);
        self.tally.set(tally);
    }

    /// Looks for late connections and records what is held, until
    /// the future is dropped.
    pub async fn sweep_connections(self: Rc<Self>) {
        let mut last = self.shared.now();
        loop {
            sleep(SWEEP_INTERVAL.as_duration()).await;
            let now = self.shared.now();
            if now.since(last) > PAUSE {
                self.account.borrow_mut().resume(now);
            }
            last = now;
            let limits = self.shared.view().document.as_ref().map(|d| d.limits);
            let head_timeout = limits.unwrap_or_default().head_timeout;
            let overdue = self.account.borrow_mut().overdue(now, head_timeout);
            self.evict(overdue);
            self.record(now);
        }
    }

    fn record(&self, now: Millis) {
        let account = self.account.borrow();
        for (phase, (bytes, connections)) in PHASES.into_iter().zip(account.by_phase()) {
            self.shared
                .metrics
                .record_callers(phase, bytes, connections);
        }
        let tally = self.tally.get();
        let evicted: u64 = tally.evicted.iter().sum();
        let is_calm = evicted + tally.refused + tally.not_accepted == 0;
        if is_calm || now.since(tally.logged_at) < LOG_INTERVAL {
            return;
        }
        self.tally.set(Tally {
            logged_at: now,
            ..Tally::default()
        });
        let [idle, head, body, running] = tally.evicted;
        journal::write(
            "callers.pressed",
            &[
                ("held_bytes", account.held().into()),
                ("max_bytes", account.bounds().bytes.into()),
                ("connections", account.connections().into()),
                ("max_connections", account.bounds().connections.into()),
                ("closed_idle", idle.into()),
                ("closed_in_head", head.into()),
                ("closed_in_body", body.into()),
                ("closed_unread", running.into()),
                ("refused", tally.refused.into()),
                ("not_accepted", tally.not_accepted.into()),
            ],
        );
    }
}

fn bounds(shared: &Shared) -> Bounds {
    let live = shared.live_settings();
    Bounds::of(live.memory_bytes, live.max_descriptors)
}

/// A caller's connection in the account.
pub struct Caller {
    /// Shared with the connection's stream and its requests.
    pub holder: Rc<Holder>,
    orders: watch::Receiver<Order>,
}

impl Caller {
    /// Waits until the connection must be closed.
    pub async fn closing(&mut self) {
        // The sender is dropped only with the connection.
        let _ = self.orders.wait_for(|order| *order == Order::Close).await;
    }

    /// Begins the connection's requests.
    pub fn request_starter(&self) -> RequestStarter {
        RequestStarter {
            holder: self.holder.clone(),
            orders: self.orders.clone(),
        }
    }
}

/// Begins a connection's requests.
pub struct RequestStarter {
    holder: Rc<Holder>,
    orders: watch::Receiver<Order>,
}

impl RequestStarter {
    /// Begins a request, which may have a body that has not arrived.
    pub fn begin(&self, has_body: bool) -> RequestHold {
        self.holder.enter(match has_body {
            true => Phase::Body,
            false => Phase::Running,
        });
        self.holder.is_receiving.set(has_body);
        let arrival = self.holder.arrival.replace(Arrival::Nothing);
        RequestHold {
            holder: self.holder.clone(),
            orders: self.orders.clone(),
            bytes: 0,
            is_ahead: arrival != Arrival::InTurn,
        }
    }
}

/// What a connection holds; dropped, it is given back.
pub struct Holder {
    intake: Rc<Intake>,
    key: HolderKey,
    /// Whether a request body has not arrived whole.
    is_receiving: Cell<bool>,
    arrival: Cell<Arrival>,
}

/// Whether bytes have arrived since a request began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Arrival {
    #[default]
    Nothing,
    /// After its response was ready.
    InTurn,
    /// Before that.
    Ahead,
}

impl Holder {
    fn enter(&self, phase: Phase) {
        let now = self.intake.shared.now();
        self.intake.account.borrow_mut().enter(now, self.key, phase);
    }

    fn charge(&self, bytes: usize) -> bool {
        let now = self.intake.shared.now();
        let decision = self
            .intake
            .account
            .borrow_mut()
            .charge(now, self.key, bytes);
        let Decision {
            is_granted,
            evictions,
        } = decision;
        self.intake.evict(evictions);
        is_granted
    }

    /// Whether a request body has not arrived whole, so that the connection cannot carry
    /// another request.
    pub fn is_receiving(&self) -> bool {
        self.is_receiving.get()
    }

    /// Records received bytes.
    pub fn received(&self, bytes: usize, is_unread: bool) {
        let now = self.intake.shared.now();
        let mut account = self.intake.account.borrow_mut();
        if bytes > 0 && self.arrival.get() != Arrival::Ahead {
            let is_ahead = account.phase(self.key) == Some(Phase::Running);
            self.arrival.set(if is_ahead {
                Arrival::Ahead
            } else {
                Arrival::InTurn
            });
        }
        let evictions = account.received(now, self.key, bytes, is_unread);
        drop(account);
        self.intake.evict(evictions);
    }

    /// Records sent bytes.
    pub fn sent(&self, bytes: usize, is_unsent: bool) {
        let now = self.intake.shared.now();
        let mut account = self.intake.account.borrow_mut();
        let evictions = account.sent(now, self.key, bytes, is_unsent);
        drop(account);
        self.intake.evict(evictions);
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.intake.account.borrow_mut().close(self.key);
        self.intake.orders.borrow_mut().remove(self.key);
    }
}

/// What one request holds, until its response has been sent or given up.
pub struct RequestHold {
    holder: Rc<Holder>,
    orders: watch::Receiver<Order>,
    bytes: usize,
    /// Whether it was sent before the response to the previous request was ready.
    is_ahead: bool,
}

impl RequestHold {
    /// Pauses before a request that was sent ahead.
    pub async fn wait_for_turn(&self, uri: &Uri, headers: &HeaderMap) {
        if !self.is_ahead {
            return;
        }
        let units = 1 + (head_cost(uri, headers) / PIPELINE_UNIT_BYTES) as u64;
        let pausing = Pausing::begin(&self.holder.intake.pausing);
        let pause = Millis(PIPELINE_PAUSE.0 * units * pausing.0.get());
        sleep(pause.min(MAX_PIPELINE_PAUSE).as_duration()).await;
    }

    /// Lets the request hold this many bytes in all.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Refusal> {
        if bytes > self.bytes && !self.holder.charge(bytes - self.bytes) {
            return Err(self.refusal());
        }
        self.bytes = bytes.max(self.bytes);
        Ok(())
    }

    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Waits until the request must be refused.
    pub async fn refused(&mut self) -> Refusal {
        // The sender is dropped only with the connection.
        let _ = self.orders.wait_for(|order| *order != Order::Stay).await;
        self.refusal()
    }

    /// The body has arrived whole.
    pub fn received_whole(&self) {
        self.holder.is_receiving.set(false);
        self.holder.enter(Phase::Running);
    }

    fn refusal(&self) -> Refusal {
        let intake = &self.holder.intake;
        intake.tally(|tally| tally.refused += 1);
        let wait = rand::random_range(RETRY_AFTER.0..=2 * RETRY_AFTER.0);
        Refusal::new(Code::NoMemory).retry_after(Millis(wait))
    }
}

/// Counts a request that pauses.
struct Pausing<'a>(&'a Cell<u64>);

impl<'a> Pausing<'a> {
    fn begin(count: &'a Cell<u64>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Pausing<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Drop for RequestHold {
    fn drop(&mut self) {
        let mut account = self.holder.intake.account.borrow_mut();
        account.release(self.holder.key, self.bytes);
        drop(account);
        self.holder.enter(Phase::Idle);
    }
}
