//! A client for the platform's store.

pub mod outages;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::Response;
use tokio::sync::Notify;

use super::connection::{CALL_LIMITS, CallClient, ExchangeError, call};
use super::control::Event;
use super::dialect::{Call, Dialect, Item, Lease, Page, StoreError, Transaction};
use super::era::{era_of, position, revision_of};
use super::notices::Stated;
use super::queue::EventSender;
use crate::clock::Millis;
use crate::journal;
use crate::metrics::Metrics;
use outages::{CallNumber, Outages};

/// Timeout of a call. The store normally responds within milliseconds; a slower
/// one is treated as unreachable.
const CALL_TIMEOUT: Millis = Millis(1_200);
/// How much longer than the requested wait a watch may take to respond.
pub const WATCH_MARGIN: Millis = Millis(1_500);
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
    outages: Cell<Outages>,
    outage_ended: Notify,
    events: EventSender,
    /// The era that the store stated last; 0 before that.
    era: Cell<u64>,
    was_restored: Cell<bool>,
    has_logged_invalid: Cell<bool>,
    restored: Notify,
}

impl Store {
    /// Creates a client for the store at an address.
    pub fn new(
        address: SocketAddr,
        dialect: Arc<dyn Dialect>,
        metrics: Arc<Metrics>,
        events: EventSender,
    ) -> Self {
        Self {
            dialect,
            metrics,
            calls: RefCell::new(CallClient::new(address, CALL_LIMITS)),
            watches: RefCell::new(CallClient::new(address, CALL_LIMITS)),
            counts: Cell::default(),
            answered: Notify::new(),
            outages: Cell::default(),
            outage_ended: Notify::new(),
            events,
            era: Cell::new(0),
            was_restored: Cell::new(false),
            has_logged_invalid: Cell::new(false),
            restored: Notify::new(),
        }
    }

    /// The era of the store; 0 if it states none.
    pub fn era(&self) -> u64 {
        self.era.get()
    }

    /// Whether the store has come back from a copy since the start.
    pub fn was_restored(&self) -> bool {
        self.was_restored.get()
    }

    /// Waits until the store comes back from a copy.
    pub async fn new_era(&self) {
        self.restored.notified().await;
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
        let res = self
            .call(CallKind::Read, self.dialect.read_key(key))
            .await?;
        let mut item = self.dialect.decode_item(res.status(), res.body())?;
        self.place(&mut item);
        Ok(item)
    }

    /// Reads all keys under a prefix. The pages are not a consistent snapshot; the
    /// returned revision is that of the first page, so that a watch from there
    /// misses no change.
    pub async fn read_range(&self, prefix: &str) -> Result<Page, StoreError> {
        let mut all = Page::default();
        let mut after: Option<CompactString> = None;
        let mut first_era = None;
        for index in 0..MAX_PAGES {
            let req = self.dialect.read_range(prefix, after.as_deref());
            let res = self.call(CallKind::Read, req).await?;
            let mut page = self.dialect.decode_page(res.status(), res.body())?;
            if *first_era.get_or_insert(self.era()) != self.era() {
                return Err(StoreError::Restored);
            }
            self.place_all(&mut page);
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

    /// Waits for changes under a prefix. The store has none after a revision of another era.
    pub async fn watch(&self, prefix: &str, after: u64, wait: Millis) -> Result<Page, StoreError> {
        if era_of(after) != self.era() {
            return Err(StoreError::Compacted);
        }
        let req = self.dialect.watch(prefix, revision_of(after), wait);
        let number = self.number_call();
        let sent = call(&self.watches, req, wait + WATCH_MARGIN);
        let res = self.receive_unless_overtaken(CallKind::Watch, number, sent);
        let res = res.await?;
        let mut page = self.dialect.decode_events(res.status(), res.body())?;
        if era_of(after) != self.era() {
            return Err(StoreError::Compacted);
        }
        self.place_all(&mut page);
        Ok(page)
    }

    /// Commits a transaction and returns the revision of the change. A condition on a
    /// revision of another era does not hold.
    pub async fn commit(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let era = self.era();
        let mut in_era = transaction.clone();
        for (_, revision) in &mut in_era.expected {
            if *revision != 0 && era_of(*revision) != era {
                return Err(StoreError::Conflict);
            }
            *revision = revision_of(*revision);
        }
        let req = self.dialect.commit(&in_era);
        let res = self.call(CallKind::Write, req).await?;
        let revision = self.dialect.decode_commit(res.status(), res.body())?;
        if self.era() != era && !in_era.expected.is_empty() {
            return Err(StoreError::Restored);
        }
        Ok(position(self.era(), revision))
    }

    /// Opens a lease.
    pub async fn open_lease(&self, ttl: Millis) -> Result<Lease, StoreError> {
        let req = self.dialect.open_lease(ttl);
        let res = self.call(CallKind::Write, req).await?;
        self.dialect.decode_lease(res.status(), res.body())
    }

    /// Renews a lease.
    pub async fn renew_lease(&self, id: u64) -> Result<(), StoreError> {
        let req = self.dialect.renew_lease(id);
        let res = self.call(CallKind::Lease, req).await?;
        self.dialect.decode_renewal(res.status())
    }

    /// Ends a lease and removes its keys.
    pub async fn end_lease(&self, id: u64) -> Result<(), StoreError> {
        let req = self.dialect.end_lease(id);
        let res = self.call(CallKind::Write, req).await?;
        self.dialect.decode_renewal(res.status())
    }

    async fn call(&self, kind: CallKind, req: Call) -> Result<Response<Bytes>, StoreError> {
        let number = self.number_call();
        let sent = call(&self.calls, req, CALL_TIMEOUT);
        match kind {
            CallKind::Read | CallKind::Watch => {
                self.receive_unless_overtaken(kind, number, sent).await
            }
            // It may still take effect: its caller waits as long as for any other response.
            CallKind::Write | CallKind::Lease => self.receive(kind, number, sent.await),
        }
    }

    fn number_call(&self) -> CallNumber {
        let mut outages = self.outages.get();
        let number = outages.call_sent();
        self.outages.set(outages);
        number
    }

    /// Receives the response to a call that changes nothing, unless an outage has overtaken it.
    async fn receive_unless_overtaken(
        &self,
        kind: CallKind,
        number: CallNumber,
        sent: impl Future<Output = Result<Response<Bytes>, ExchangeError>>,
    ) -> Result<Response<Bytes>, StoreError> {
        tokio::select! {
            biased;
            result = sent => self.receive(kind, number, result),
            () = self.overtaken(number) => {
                self.count(kind, true, false);
                Err(StoreError::Overtaken)
            }
        }
    }

    async fn overtaken(&self, number: CallNumber) {
        while !self.outages.get().is_overtaken(number) {
            self.outage_ended.notified().await;
        }
    }

    /// Notes what the end of a call shows of outages. Calls that an outage has overtaken end.
    fn note_outage(&self, number: CallNumber, is_lost: bool, is_answered: bool) {
        let mut outages = self.outages.get();
        if is_lost {
            outages.call_lost(number);
        }
        let has_ended = is_answered && outages.call_answered(number);
        self.outages.set(outages);
        if has_ended {
            self.outage_ended.notify_waiters();
        }
    }

    fn count(&self, kind: CallKind, is_lost: bool, is_answered: bool) {
        let mut counts = self.counts.get();
        counts.calls[kind as usize] += 1;
        counts.unanswered += u32::from(is_lost);
        self.counts.set(counts);
        self.metrics.count_store_call(kind.name(), is_answered);
    }

    /// Counts a call, wakes those that wait for the store if it succeeded, and notes the
    /// era of the response. One of an earlier era changes nothing.
    fn receive(
        &self,
        kind: CallKind,
        number: CallNumber,
        result: Result<Response<Bytes>, ExchangeError>,
    ) -> Result<Response<Bytes>, StoreError> {
        let is_answered = result.as_ref().is_ok_and(|res| res.status().is_success());
        self.count(kind, result.is_err(), is_answered);
        self.note_outage(number, result.is_err(), is_answered);
        let res = result.map_err(|error| StoreError::Unanswered(format_compact!("{error}")))?;
        self.note_era(&res)?;
        if is_answered {
            self.answered.notify_waiters();
        }
        Ok(res)
    }

    fn note_era(&self, res: &Response<Bytes>) -> Result<(), StoreError> {
        let era = match self.dialect.read_era(res.headers()) {
            None => return Ok(()),
            Some(Stated::Invalid) => {
                if !self.has_logged_invalid.replace(true) {
                    journal::write("store.era_invalid", &[("known", self.era().into())]);
                }
                return Ok(());
            }
            Some(Stated::Value(era)) => era,
        };
        let known = self.era.replace(era);
        if era < known {
            self.era.set(known);
            return Err(StoreError::Unanswered("of an earlier era".into()));
        }
        // The first response states the era in which this process started.
        if era > known && known != 0 {
            self.was_restored.set(true);
            journal::write(
                "store.restored",
                &[("era", era.into()), ("before", known.into())],
            );
            self.events.send(Event::StoreRestored);
            self.restored.notify_waiters();
        }
        Ok(())
    }

    fn place(&self, item: &mut Item) {
        item.revision = position(self.era(), item.revision);
    }

    fn place_all(&self, page: &mut Page) {
        page.revision = position(self.era(), page.revision);
        page.items.iter_mut().for_each(|item| self.place(item));
    }
}
