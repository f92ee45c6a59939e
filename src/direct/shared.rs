//! State that the control thread and the traffic thread share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, OnceLock};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use tokio::sync::watch;
use tokio::time::timeout;

use super::balancing::pace_report::PaceReport;
use super::control::Event;
use super::dialect::{Dialect, Registration, ResponseHead};
use super::evacuation::Sending;
use super::notices::{
    ANSWER_TIMEOUT, LimitChange, LimitNews, NoticeBoard, Permit, RunId, Stated, WaitingRequest,
};
use super::part_table::PartTable;
use super::queue::EventSender;
use super::reload::LiveSettings;
use super::request::ModelRef;
use super::settings::{Bounds, Settings};
use super::streams::Streams;
use super::suspects::Snapshot;
use super::view::{LoadTable, View};
use crate::bucket::BucketCell;
use crate::clock::{Clock, Millis};
use crate::metrics::Metrics;

/// Demand for one model at this gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The service.
    pub service: CompactString,
    /// The model.
    pub model: CompactString,
    /// Requests that arrived since demand was last read.
    pub arrived: u32,
    /// Requests that are waiting or running.
    pub open: u32,
    /// Requests that ended since demand was last read.
    pub ended: u32,
    /// The total duration of the ended requests.
    pub took: Millis,
}

/// State that both threads read and write.
pub struct Shared {
    /// The process's clock.
    pub clock: Clock,
    /// The settings with which the process started.
    pub settings: Arc<Settings>,
    /// The platform's names and formats.
    pub dialect: Arc<dyn Dialect>,
    /// The process's metrics.
    pub metrics: Arc<Metrics>,
    /// Which software version began a stream.
    pub streams: Streams,
    /// Parts of prompts that are blocked or watched, and those answered here lately.
    pub parts: PartTable,
    /// What endpoints stated of themselves.
    pub notices: Arc<NoticeBoard>,
    live_settings: ArcSwap<LiveSettings>,
    part_evidence: ArcSwap<(Millis, Snapshot)>,
    view: ArcSwap<View>,
    generation: watch::Sender<u64>,
    buckets: ArcSwap<Vec<Arc<BucketCell>>>,
    peer_loads: ArcSwap<LoadTable>,
    own_loads: Mutex<LoadTable>,
    paces: Mutex<Vec<PaceReport>>,
    demand: Mutex<Vec<ModelDemand>>,
    adapters: Mutex<Vec<u32>>,
    events: EventSender,
    draining: watch::Sender<bool>,
    draining_since: AtomicU64,
    open_requests: AtomicU64,
    gateway_count: AtomicUsize,
    current_until: AtomicU64,
    peer_token: OnceLock<String>,
}

impl Shared {
    /// Creates the state of a process that has just started.
    pub fn new(
        clock: Clock,
        settings: Arc<Settings>,
        live_settings: LiveSettings,
        dialect: Arc<dyn Dialect>,
        metrics: Arc<Metrics>,
        events: EventSender,
    ) -> Self {
        metrics.set_settings_version(live_settings.version, live_settings.hash);
        let seed = xxhash_rust::xxh3::xxh3_64(settings.name.as_bytes());
        Self {
            clock,
            settings,
            dialect,
            metrics,
            streams: Streams::default(),
            parts: PartTable::default(),
            notices: Arc::new(NoticeBoard::seeded(seed)),
            live_settings: ArcSwap::from_pointee(live_settings),
            part_evidence: ArcSwap::default(),
            view: ArcSwap::default(),
            generation: watch::Sender::new(0),
            buckets: ArcSwap::default(),
            peer_loads: ArcSwap::default(),
            own_loads: Mutex::default(),
            paces: Mutex::default(),
            demand: Mutex::default(),
            adapters: Mutex::default(),
            events,
            draining: watch::Sender::new(false),
            draining_since: AtomicU64::new(u64::MAX),
            open_requests: AtomicU64::new(0),
            gateway_count: AtomicUsize::new(1),
            current_until: AtomicU64::new(0),
            peer_token: OnceLock::new(),
        }
    }

    /// The current time of the process's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The settings that a running process applies.
    pub fn live_settings(&self) -> LiveSettings {
        **self.live_settings.load()
    }

    /// The bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.live_settings().bounds
    }

    /// Puts settings in force.
    pub fn set_live_settings(&self, live: LiveSettings) {
        self.live_settings.store(Arc::new(live));
        self.metrics.set_settings_version(live.version, live.hash);
    }

    /// The view that the control thread published last.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Publishes a view and notifies subscribers.
    pub fn publish(&self, view: View) {
        let generation = view.generation;
        self.streams.set_lifetime(view.versions.longest_lifetime());
        self.view.store(Arc::new(view));
        self.generation.send_replace(generation);
    }

    /// What is known of parts that end endpoints, as of a time.
    pub fn part_evidence(&self) -> Arc<(Millis, Snapshot)> {
        self.part_evidence.load_full()
    }

    /// Replaces what is known of parts that end endpoints.
    pub fn set_part_evidence(&self, known: Snapshot) {
        self.part_evidence.store(Arc::new((self.now(), known)));
    }

    /// Records what a response says of its endpoint. One of another endpoint, which has
    /// the address now, says nothing of this one.
    /// The request was sent at `sent_at`.
    pub fn hear_endpoint(&self, endpoint: &Registration, head: &ResponseHead, sent_at: Millis) {
        if head.is_misdirected {
            return;
        }
        let (now, run) = (self.now(), RunId::of(endpoint));
        let news = self.notices.hear(now, endpoint, &head.notice, sent_at);
        if news.is_leaving {
            self.send_event(Event::EndpointSaidLeaving(run));
        }
        if let Some(left) = head.notice.cold_left {
            self.hear_cold(now, endpoint, left);
        }
        if let Some(change) = news.limit {
            self.send_event(Event::LimitChanged(LimitNews {
                run,
                rate: match change {
                    LimitChange::Named(rate) => Some(rate),
                    LimitChange::Ended => None,
                },
                age: now.since(sent_at),
            }));
        }
    }

    /// Records how much longer an endpoint is cold, if the configuration knows of that.
    fn hear_cold(&self, now: Millis, endpoint: &Registration, left: Stated<Millis>) {
        let view = self.view();
        let service = view.document.as_ref().map(|d| d.service(&endpoint.service));
        let Some(spec) = service.flatten().and_then(|service| service.cold) else {
            return;
        };
        let left = match left {
            Stated::Value(left) => left,
            Stated::Invalid => spec.time,
        };
        let run = RunId::of(endpoint);
        if self.notices.set_cold(now, run, spec.rate, now + left) {
            self.send_event(Event::ColdHeard(run));
        }
    }

    /// Takes the permit of a request to an endpoint, right before it is sent. Waits for a
    /// grant if the endpoint takes a limited rate, at most `max_wait`.
    pub async fn take_permit(&self, endpoint: &Registration, max_wait: Millis) -> bool {
        let run = RunId::of(endpoint);
        let until = self.now() + max_wait;
        let mut waiting = None;
        loop {
            // Also after a wait for a grant, in which the process may have been suspended.
            if !self.wait_for_zones(&endpoint.zone, until).await {
                return false;
            }
            let mut answered = std::pin::pin!(self.notices.answered());
            answered.as_mut().enable();
            let now = self.now();
            match self.notices.begin(now, endpoint, self.gateway_count()) {
                Permit::Now => return true,
                Permit::At(_) | Permit::Never => return false,
                Permit::Ask if now >= until => return false,
                Permit::Ask => {}
            }
            waiting.get_or_insert_with(|| WaitingRequest::begin(&self.notices, run));
            if let Some((named, wanted)) = self.notices.with(|n| n.ask(now, run)) {
                self.send_event(Event::GrantsWanted { run, named, wanted });
            }
            let left = until.since(now).min(ANSWER_TIMEOUT);
            if timeout(left.as_duration(), answered).await.is_err() {
                let now = self.now();
                self.notices.with(|notices| notices.unanswered(now, run));
            }
        }
    }

    /// Waits until it is known whether anything may be sent to a zone, and returns that.
    async fn wait_for_zones(&self, zone: &str, until: Millis) -> bool {
        loop {
            let mut progressed = std::pin::pin!(self.notices.zones.progressed());
            progressed.as_mut().enable();
            let now = self.now();
            match self.notices.zones.sending(now, zone) {
                Sending::Open => return true,
                Sending::Closed => return false,
                Sending::Wait if now >= until => return false,
                Sending::Wait => {}
            }
            let _ = timeout(until.since(now).as_duration(), progressed).await;
        }
    }

    /// Subscribes to changes of the view; the value is the view's generation.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.generation.subscribe()
    }

    /// The token bucket of a workspace; `None` if it has no limit.
    pub fn bucket(&self, workspace: &str) -> Option<Arc<BucketCell>> {
        let buckets = self.buckets.load();
        let at = buckets.binary_search_by(|b| b.workspace.as_str().cmp(workspace));
        at.ok().map(|at| buckets[at].clone())
    }

    /// All token buckets, sorted by workspace.
    pub fn buckets(&self) -> Arc<Vec<Arc<BucketCell>>> {
        self.buckets.load_full()
    }

    /// Replaces the token buckets, which must be sorted by workspace.
    pub fn set_buckets(&self, buckets: Vec<Arc<BucketCell>>) {
        self.buckets.store(Arc::new(buckets));
    }

    /// Requests that the other gateways have in flight, by endpoint.
    pub fn peer_loads(&self) -> Arc<LoadTable> {
        self.peer_loads.load_full()
    }

    /// Replaces the load table of the other gateways.
    pub fn set_peer_loads(&self, loads: LoadTable) {
        self.peer_loads.store(Arc::new(loads));
    }

    /// Requests that this gateway has in flight, by endpoint.
    pub fn own_loads(&self) -> LoadTable {
        lock(&self.own_loads).clone()
    }

    /// Replaces the load table of this gateway.
    pub fn set_own_loads(&self, loads: LoadTable) {
        *lock(&self.own_loads) = loads;
    }

    /// The paces of endpoints as observed by this gateway, sorted by identifier.
    pub fn paces(&self) -> Vec<PaceReport> {
        lock(&self.paces).clone()
    }

    /// Replaces the paces of endpoints.
    pub fn set_paces(&self, paces: Vec<PaceReport>) {
        *lock(&self.paces) = paces;
    }

    /// Counts a request as demand for a model until the guard is dropped.
    pub fn count_demand(self: &Arc<Self>, service: &str, wanted: &ModelRef) -> CountedDemand {
        let mut demand = lock(&self.demand);
        let key = (service, wanted.model.as_str());
        let at = demand.binary_search_by(|d| (d.service.as_str(), d.model.as_str()).cmp(&key));
        let at = at.unwrap_or_else(|at| {
            let new = ModelDemand {
                service: service.into(),
                model: wanted.model.clone(),
                arrived: 0,
                open: 0,
                ended: 0,
                took: Millis::ZERO,
            };
            demand.insert(at, new);
            at
        });
        demand[at].arrived += 1;
        demand[at].open += 1;
        CountedDemand {
            shared: self.clone(),
            service: service.into(),
            model: wanted.model.clone(),
            since: self.now(),
        }
    }

    /// Records that a request uses an adapter.
    pub fn record_adapter_use(&self, hash: u32) {
        let mut adapters = lock(&self.adapters);
        if let Err(at) = adapters.binary_search(&hash) {
            adapters.insert(at, hash);
        }
    }

    /// Returns and clears the hashes of the adapters that requests used.
    pub fn take_adapters(&self) -> Vec<u32> {
        std::mem::take(&mut *lock(&self.adapters))
    }

    /// Returns the demand and resets its counts of arrived and ended requests.
    pub fn take_demand(&self) -> Vec<ModelDemand> {
        let mut demand = lock(&self.demand);
        let read = demand.clone();
        demand.retain(|d| d.open > 0);
        for entry in demand.iter_mut() {
            entry.arrived = 0;
            entry.ended = 0;
            entry.took = Millis::ZERO;
        }
        read
    }

    /// Sends an event to the control thread.
    pub fn send_event(&self, event: Event) {
        self.events.send(event);
    }

    /// Whether the process is stopping.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Marks the process as stopping and notifies the holders of drain signals.
    pub fn set_draining(&self) {
        self.draining_since.store(self.now().0, Ordering::Release);
        self.draining.send_replace(true);
    }

    /// How long the process has been stopping; zero while it is not.
    pub fn draining_for(&self) -> Millis {
        self.now()
            .since(Millis(self.draining_since.load(Ordering::Acquire)))
    }

    /// Returns a signal that fires when the process begins to stop.
    pub fn drain_signal(&self) -> DrainSignal {
        DrainSignal(self.draining.subscribe())
    }

    /// The number of requests whose response has not ended.
    pub fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Counts an open request until the guard is dropped.
    pub fn count_open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        OpenRequest(self.clone())
    }

    /// The number of live gateways, including this one.
    pub fn gateway_count(&self) -> usize {
        self.gateway_count.load(Ordering::Relaxed)
    }

    /// Sets the number of live gateways.
    pub fn set_gateway_count(&self, gateways: usize) {
        self.gateway_count.store(gateways.max(1), Ordering::Relaxed);
    }

    /// Whether what is known of the endpoints counts as current at a time.
    pub fn is_current_at(&self, at: Millis) -> bool {
        at.0 < self.current_until.load(Ordering::Relaxed)
    }

    /// Sets until when what is known of the endpoints counts as current.
    pub fn set_current_until(&self, until: Millis) {
        self.current_until.store(until.0, Ordering::Relaxed);
    }

    /// The token with which gateways authenticate to each other; `None` until the
    /// secret is known.
    pub fn peer_token(&self) -> Option<&String> {
        self.peer_token.get()
    }

    /// Sets the token of the gateways; later calls have no effect.
    pub fn set_peer_token(&self, token: String) {
        self.peer_token.get_or_init(|| token);
    }
}

/// A signal that the process begins to stop.
pub struct DrainSignal(watch::Receiver<bool>);

impl DrainSignal {
    /// Waits until the process begins to stop; never returns if it had already begun
    /// when the signal was created.
    pub async fn wait(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// A guard that counts a request as demand for its model.
pub struct CountedDemand {
    shared: Arc<Shared>,
    service: CompactString,
    model: CompactString,
    since: Millis,
}

impl Drop for CountedDemand {
    fn drop(&mut self) {
        let mut demand = lock(&self.shared.demand);
        let known = demand
            .iter_mut()
            .find(|d| d.model == self.model && d.service == self.service);
        if let Some(known) = known {
            known.open = known.open.saturating_sub(1);
            known.ended += 1;
            known.took = known.took + self.shared.now().since(self.since);
        }
    }
}

/// A guard that counts a request as open.
pub struct OpenRequest(Arc<Shared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Locks a mutex even if it is poisoned. No holder of these locks leaves the state
/// inconsistent, so a panic in one thread need not spread to others.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    match mutex.lock() {
        Ok(guard) => guard,
        Err(poisoned) => poisoned.into_inner(),
    }
}
