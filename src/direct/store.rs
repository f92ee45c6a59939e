//! A client for the platform's store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::StatusCode;
use tokio::sync::Notify;

use super::connection::{CALL_LIMITS, CallClient, ExchangeError, call};
use super::dialect::{Call, Dialect, Item, Lease, Page, StoreError, Transaction};
use crate::clock::Millis;
use crate::journal;
use crate::metrics::Metrics;

/// Timeout of a call. The store normally responds within milliseconds; a slower
/// one is treated as unreachable.
const CALL_TIMEOUT: Millis = Millis(1_200);
/// How much longer than the requested wait a watch may take to respond.
const WATCH_MARGIN: Millis = Millis(1_500);
/// Maximum number of pages of one range read. A page of the store holds 500 items,
/// and the system is designed for 12,000 endpoints.
const MAX_PAGES: usize = 64;

/// Minimum time between two `store.calls` log lines.
const LOG_INTERVAL: Millis = Millis(10_000);

/// A kind of call, as the store counts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Read,
    Watch,
    Write,
    Lease,
}

impl CallKind {
    const ALL: [Self; 4] = [Self::Read, Self::Watch, Self::Write, Self::Lease];

    fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Watch => "watch",
            Self::Write => "write",
            Self::Lease => "lease",
        }
    }
}

/// Calls since the last log line, by kind.
#[derive(Clone, Copy, Debug, Default)]
struct CallCounts {
    since: Millis,
    calls: [u32; CallKind::ALL.len()],
    unanswered: u32,
}

/// A client for the store. It never retries a call.
pub struct Store {
    dialect: Arc<dyn Dialect>,
    metrics: Arc<Metrics>,
    calls: RefCell<CallClient>,
    watches: RefCell<CallClient>,
    counts: Cell<CallCounts>,
    answered: Notify,
}

impl Store {
    /// Creates a client for the store at an address.
    pub fn new(address: SocketAddr, dialect: Arc<dyn Dialect>, metrics: Arc<Metrics>) -> Self {
        Self {
            dialect,
            metrics,
            calls: RefCell::new(CallClient::new(address, CALL_LIMITS)),
            watches: RefCell::new(CallClient::new(address, CALL_LIMITS)),
            counts: Cell::default(),
            answered: Notify::new(),
        }
    }

    /// Waits until the store answers a call, of whatever kind, with success.
    pub async fn answered(&self) {
        self.answered.notified().await;
    }

    /// Logs the number of calls since the last line, if that was long ago.
    pub fn log_if_due(&self, now: Millis) {
        let counts = self.counts.get();
        if now.since(counts.since) < LOG_INTERVAL {
            return;
        }
        self.counts.set(CallCounts {
            since: now,
            ..CallCounts::default()
        });
        let [reads, watches, writes, leases] = counts.calls;
        journal::write(
            "store.calls",
            &[
                ("reads", reads.into()),
                ("watches", watches.into()),
                ("writes", writes.into()),
                ("leases", leases.into()),
                ("unanswered", counts.unanswered.into()),
                ("span_ms", now.since(counts.since).into()),
            ],
        );
    }

    /// The platform's names and formats.
    pub fn dialect(&self) -> &dyn Dialect {
        &*self.dialect
    }

    /// Reads one key.
    pub async fn read_key(&self, key: &str) -> Result<Item, StoreError> {
        let (status, body) = self
            .call(CallKind::Read, self.dialect.read_key(key))
            .await?;
        self.dialect.decode_item(status, &body)
    }

    /// Reads all keys under a prefix. The pages are not a consistent snapshot; the
    /// returned revision is that of the first page, so that a watch from there
    /// misses no change.
    pub async fn read_range(&self, prefix: &str) -> Result<Page, StoreError> {
        let mut all = Page::default();
        let mut after: Option<CompactString> = None;
        for index in 0..MAX_PAGES {
            let req = self.dialect.read_range(prefix, after.as_deref());
            let (status, body) = self.call(CallKind::Read, req).await?;
            let page = self.dialect.decode_page(status, &body)?;
            if index == 0 {
                all.revision = page.revision;
            }
            after = page.items.last().map(|item| item.key.clone());
            all.items.extend(page.items);
            if !page.has_more || after.is_none() {
                return Ok(all);
            }
        }
        Err(StoreError::Malformed("the range has too many pages".into()))
    }

    /// Waits for changes under a prefix.
    pub async fn watch(&self, prefix: &str, after: u64, wait: Millis) -> Result<Page, StoreError> {
        let req = self.dialect.watch(prefix, after, wait);
        let result = call(&self.watches, req, wait + WATCH_MARGIN).await;
        let (status, body) = self.count(CallKind::Watch, result)?;
        self.dialect.decode_events(status, &body)
    }

    /// Commits a transaction and returns the revision of the change.
    pub async fn commit(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let (status, body) = self
            .call(CallKind::Write, self.dialect.commit(transaction))
            .await?;
        self.dialect.decode_commit(status, &body)
    }

    /// Opens a lease.
    pub async fn open_lease(&self, ttl: Millis) -> Result<Lease, StoreError> {
        let (status, body) = self
            .call(CallKind::Write, self.dialect.open_lease(ttl))
            .await?;
        self.dialect.decode_lease(status, &body)
    }

    /// Renews a lease.
    pub async fn renew_lease(&self, id: u64) -> Result<(), StoreError> {
        let (status, _) = self
            .call(CallKind::Lease, self.dialect.renew_lease(id))
            .await?;
        self.dialect.decode_renewal(status)
    }

    /// Ends a lease and removes its keys.
    pub async fn end_lease(&self, id: u64) -> Result<(), StoreError> {
        let (status, _) = self
            .call(CallKind::Write, self.dialect.end_lease(id))
            .await?;
        self.dialect.decode_renewal(status)
    }

    async fn call(&self, kind: CallKind, req: Call) -> Result<(StatusCode, Bytes), StoreError> {
        let result = call(&self.calls, req, CALL_TIMEOUT).await;
        self.count(kind, result)
    }

    /// Counts a call, and wakes those that wait for the store if it succeeded.
    fn count(
        &self,
        kind: CallKind,
        result: Result<(StatusCode, Bytes), ExchangeError>,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let is_answered = result.as_ref().is_ok_and(|(status, _)| status.is_success());
        let mut counts = self.counts.get();
        counts.calls[kind as usize] += 1;
        counts.unanswered += u32::from(result.is_err());
        self.counts.set(counts);
        self.metrics.count_store_call(kind.name(), is_answered);
        if is_answered {
            self.answered.notify_waiters();
        }
        result.map_err(unanswered)
    }
}

fn unanswered(error: ExchangeError) -> StoreError {
    StoreError::Unanswered(format_compact!("{error}"))
}
