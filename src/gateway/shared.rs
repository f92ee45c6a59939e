//! State that the control thread publishes to the request threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use super::links::Link;
use crate::bucket::{Bucket, BucketCell, Usage};
use crate::claim::Claims;
use crate::clock::{Clock, Millis};
use crate::config::Workspace;
use crate::control::View;
use crate::metrics::Metrics;

/// What each request adds to the retry budget, in thousandths of a retry.
const RETRY_THOUSANDTHS_PER_REQUEST: i64 = 200;
/// The largest retry budget, in thousandths of a retry.
const MAX_RETRY_THOUSANDTHS: i64 = 10_000;

/// State that all threads of a gateway share.
pub struct Shared {
    pub clock: Clock,
    pub claims: Claims,
    pub metrics: Arc<Metrics>,
    view: ArcSwap<View>,
    revision_changes: watch::Sender<u64>,
    buckets: ArcSwap<Vec<Arc<BucketCell>>>,
    links: ArcSwap<Vec<Arc<Link>>>,
    keyed_routes_until: AtomicU64,
    charge_deadline: AtomicU64,
    is_draining: AtomicBool,
    open_requests: AtomicUsize,
    /// Retries that may still be made, in thousandths of a retry.
    retry_budget: AtomicI64,
}

impl Shared {
    /// Creates the state of a gateway that serves no requests yet.
    pub fn new(clock: Clock, claims: Claims, metrics: Arc<Metrics>) -> Self {
        Self {
            clock,
            claims,
            metrics,
            view: ArcSwap::default(),
            revision_changes: watch::Sender::new(0),
            buckets: ArcSwap::default(),
            links: ArcSwap::default(),
            keyed_routes_until: AtomicU64::new(0),
            charge_deadline: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            retry_budget: AtomicI64::new(MAX_RETRY_THOUSANDTHS),
        }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The view that was published last.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Subscribes to changes of the configuration's revision. The end of
    /// [`Shared::keyed_routes_until`] causes no notification.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision_changes.subscribe()
    }

    /// Publishes a view. A new revision also creates or updates the workspaces' buckets.
    pub fn publish(&self, view: View) {
        let is_new_revision = view.revision != self.view.load().revision;
        if is_new_revision {
            self.update_buckets(&view.document.workspaces);
        }
        self.view.store(Arc::new(view));
        if is_new_revision {
            self.revision_changes.send_modify(|version| *version += 1);
        }
    }

    /// The bucket of a workspace.
    pub fn bucket(&self, workspace: &str) -> Option<Arc<BucketCell>> {
        let buckets = self.buckets.load();
        let index = buckets.binary_search_by(|b| b.workspace.as_str().cmp(workspace));
        Some(buckets[index.ok()?].clone())
    }

    /// Returns the usage of all buckets and resets their counters.
    pub fn take_usage(&self) -> Vec<Usage> {
        let now = self.now();
        let buckets = self.buckets.load();
        let usage = |cell: &Arc<BucketCell>| cell.with(|b| b.take_usage(now, &cell.workspace));
        buckets.iter().map(usage).collect()
    }

    /// The time until which routes that require an API key are served.
    pub fn keyed_routes_until(&self) -> Millis {
        Millis(self.keyed_routes_until.load(Ordering::Acquire))
    }

    /// Sets the time until which routes that require an API key are served.
    pub fn set_keyed_routes_until(&self, until: Millis) {
        self.keyed_routes_until.store(until.0, Ordering::Release);
    }

    /// The time until which buckets may be charged.
    pub fn charge_deadline(&self) -> Millis {
        Millis(self.charge_deadline.load(Ordering::Acquire))
    }

    /// Sets the time until which buckets may be charged.
    pub fn set_charge_deadline(&self, until: Millis) {
        self.charge_deadline.store(until.0, Ordering::Release);
    }

    /// The connections to agents, sorted by name.
    pub fn links(&self) -> Arc<Vec<Arc<Link>>> {
        self.links.load_full()
    }

    /// Adds a connection, replacing one to the same agent.
    pub fn add_link(&self, link: Arc<Link>) {
        self.links.rcu(|links| {
            let mut links = Vec::clone(links);
            links.retain(|other| other.name != link.name);
            links.push(link.clone());
            links.sort_by(|a, b| a.name.cmp(&b.name));
            links
        });
    }

    /// Removes a connection.
    pub fn remove_link(&self, link: &Arc<Link>) {
        self.links.rcu(|links| {
            let mut links = Vec::clone(links);
            links.retain(|other| !Arc::ptr_eq(other, link));
            links
        });
    }

    /// Whether the gateway is shutting down.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Marks the gateway as shutting down.
    pub fn set_draining(&self) {
        self.is_draining.store(true, Ordering::Release);
    }

    /// The number of requests whose response has not ended.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// Counts a request as open until the guard is dropped, and adds to the retry budget.
    pub fn count_open_request(self: &Arc<Self>) -> OpenRequestGuard {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        let credit = self.retry_budget.load(Ordering::Relaxed) + RETRY_THOUSANDTHS_PER_REQUEST;
        self.retry_budget
            .store(credit.min(MAX_RETRY_THOUSANDTHS), Ordering::Relaxed);
        OpenRequestGuard(self.clone())
    }

    /// Takes one retry from the budget; returns false if there is none.
    pub fn try_take_retry(&self) -> bool {
        let left = self.retry_budget.fetch_sub(1_000, Ordering::Relaxed);
        if left >= 1_000 {
            return true;
        }
        self.retry_budget.fetch_add(1_000, Ordering::Relaxed);
        false
    }

    fn update_buckets(&self, workspaces: &[Workspace]) {
        let now = self.now();
        let cell = |workspace: &Workspace| {
            let (rate, burst) = (workspace.rate_tokens_per_s, workspace.burst_tokens);
            if let Some(cell) = self.bucket(&workspace.name) {
                cell.with(|b| b.set_limits(now, rate, burst));
                return cell;
            }
            let bucket = Bucket::new(now, rate, burst);
            Arc::new(BucketCell::new(workspace.name.clone(), bucket))
        };
        let cells = workspaces.iter().map(cell).collect();
        self.buckets.store(Arc::new(cells));
    }
}

/// A guard that counts a request as open.
pub struct OpenRequestGuard(Arc<Shared>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::AcqRel);
    }
}
