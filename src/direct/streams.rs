//! Which software version began a stream.
//!
//! A stream may go on only at the version that wrote its first event. The gateway that
//! passes the first event on tells a few others, which the stream's identifier selects, so
//! that any gateway can ask for the version after the first one is gone. While a service has
//! several versions, the store keeps the records too, for the case that all gateways end at
//! once. Their identifiers divide them among a few keys, each with one gateway that writes it.

mod history;

use std::sync::{Mutex, MutexGuard};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::clock::Millis;

pub use history::{
    Departure, Doubt, SeenVersion, UNKNOWN_LIFETIME, VersionHistory, is_record_stale,
};

/// How long a record is kept after its last use, unless streams may last longer by the limits
/// in force. That is also how long a gateway has to watch before it knows all versions of which
/// streams may be left.
pub const RECORD_LIFETIME: Millis = Millis(300_000);
/// Interval at which old records are dropped.
const EXPIRY_INTERVAL: Millis = Millis(5_000);
/// The most records that a gateway keeps, about 3 MB.
const MAX_RECORDS: usize = 1 << 16;
/// The most answers that are kept of gateways that know nothing of a stream.
const MAX_UNKNOWN: usize = 1 << 12;
/// Number of gateways besides the first one that keep a record. Two of them may be
/// lost at the same time.
pub const RECORD_COPIES: usize = 3;
/// How often the others are told of a stream. One message in a row may be lost.
const ANNOUNCEMENTS: u8 = 2;

/// Identifies a stream by the attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(pub u64);

/// Number of keys of the store that hold records of streams.
pub const STREAM_BUCKETS: u8 = 16;

impl StreamId {
    /// The stream that this attempt began.
    pub fn of_attempt(request_id: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(request_id.as_bytes()))
    }

    /// The bucket of the store that holds the stream's record.
    pub fn bucket(self) -> u8 {
        (self.0 % u64::from(STREAM_BUCKETS)) as u8
    }
}

/// The software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub id: StreamId,
    /// The version.
    pub version: CompactString,
}

/// A record, and how long ago it was last used.
pub type AgedRecord = (StreamRecord, Millis);

#[derive(Clone, Debug)]
struct Entry {
    record: StreamRecord,
    used_at: Millis,
}

/// Records of streams, sorted by identifier.
#[derive(Clone, Debug, Default)]
pub struct StreamTable {
    entries: Vec<Entry>,
    /// How long records are kept at least.
    lifetime: Millis,
}

impl StreamTable {
    /// Adds a record or marks the known one as used. The first version that is known
    /// for a stream stays. Returns whether the stream was not known.
    pub fn insert(&mut self, used_at: Millis, record: StreamRecord) -> bool {
        let found = self.find(record.id);
        match found {
            Ok(at) => {
                let known = &mut self.entries[at];
                known.used_at = known.used_at.max(used_at);
            }
            Err(at) => self.entries.insert(at, Entry { record, used_at }),
        }
        if self.entries.len() > MAX_RECORDS {
            self.drop_oldest();
        }
        found.is_err()
    }

    /// The version that began a stream, if it is known.
    pub fn version_of(&self, id: StreamId) -> Option<&CompactString> {
        self.find(id)
            .ok()
            .map(|at| &self.entries[at].record.version)
    }

    /// Drops records that have not been used for `RECORD_LIFETIME`, or as long as streams last
    /// if that is longer.
    pub fn expire(&mut self, now: Millis) {
        let lifetime = self.lifetime.max(RECORD_LIFETIME);
        self.entries.retain(|e| now.since(e.used_at) < lifetime);
    }

    /// The records that were used since a time.
    pub fn used_since(&self, since: Millis) -> impl Iterator<Item = &StreamRecord> {
        let used = self.entries.iter().filter(move |e| e.used_at >= since);
        used.map(|e| &e.record)
    }

    /// The records of a bucket that were used in the last `max_age`.
    pub fn of_bucket(&self, now: Millis, bucket: u8, max_age: Millis) -> Vec<AgedRecord> {
        let entries = self.entries.iter();
        let of_bucket = entries.filter(|e| e.record.id.bucket() == bucket);
        let aged = of_bucket.map(|e| (e.record.clone(), now.since(e.used_at)));
        aged.filter(|(_, age)| *age < max_age).collect()
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn find(&self, id: StreamId) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&id, |e| e.record.id)
    }

    /// Drops the older half, so that this is done rarely.
    fn drop_oldest(&mut self) {
        let mut used: Vec<Millis> = self.entries.iter().map(|e| e.used_at).collect();
        let middle = used.len() / 2;
        let (_, bound, _) = used.select_nth_unstable(middle);
        let bound = *bound;
        self.entries.retain(|e| e.used_at > bound);
    }
}

/// The records that the threads of a gateway share.
#[derive(Debug, Default)]
pub struct Streams {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    table: StreamTable,
    /// Records of this gateway of which the others have yet to be told, and how often.
    unannounced: Vec<(StreamRecord, u8)>,
    /// Streams of which another gateway knew nothing, with the times of its answers.
    unknown: Vec<(StreamId, Millis)>,
    expired_at: Millis,
}

impl State {
    /// Drops old records, not more often than `EXPIRY_INTERVAL`.
    fn expire(&mut self, now: Millis) {
        if now.since(self.expired_at) >= EXPIRY_INTERVAL {
            self.expired_at = now;
            self.table.expire(now);
            self.unknown
                .retain(|(_, at)| now.since(*at) < EXPIRY_INTERVAL);
        }
    }
}

impl Streams {
    /// Keeps records for at least as long as streams last, with their callers' tries.
    pub fn set_lifetime(&self, lifetime: Millis) {
        self.lock().table.lifetime = lifetime;
    }

    /// Records that this gateway passed on an event of a stream.
    pub fn record(&self, now: Millis, record: StreamRecord) {
        let mut state = self.lock();
        state.expire(now);
        state.table.insert(now, record.clone());
        state.unannounced.push((record, ANNOUNCEMENTS));
    }

    /// Takes over records of other gateways, and wakes those who wait for one. Returns the
    /// streams that were not known.
    pub fn learn(&self, now: Millis, records: Vec<StreamRecord>) -> Vec<StreamId> {
        let mut state = self.lock();
        state.expire(now);
        let mut new = Vec::new();
        for record in records {
            let id = record.id;
            if state.table.insert(now, record) {
                new.push(id);
            }
        }
        drop(state);
        self.changed.send_replace(());
        new
    }

    /// Takes over records from the store, and wakes those who wait for one.
    pub fn learn_stored(&self, now: Millis, records: Vec<AgedRecord>) {
        let mut state = self.lock();
        for (record, age) in records {
            state.table.insert(now - age, record);
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Records that another gateway knows nothing of a stream.
    pub fn learn_unknown(&self, now: Millis, id: StreamId) {
        let mut state = self.lock();
        state.expire(now);
        if state.unknown.len() < MAX_UNKNOWN {
            state.unknown.push((id, now));
        }
    }

    /// Whether another gateway has answered since a time that it knows nothing of a stream.
    pub fn is_unknown_since(&self, since: Millis, id: StreamId) -> bool {
        let state = self.lock();
        let mut answers = state.unknown.iter();
        answers.any(|(unknown, at)| *unknown == id && *at >= since)
    }

    /// The records of a bucket that were used in the last `max_age`.
    pub fn of_bucket(&self, now: Millis, bucket: u8, max_age: Millis) -> Vec<AgedRecord> {
        self.lock().table.of_bucket(now, bucket, max_age)
    }

    /// The version that began a stream, if it is known here.
    pub fn version_of(&self, id: StreamId) -> Option<CompactString> {
        self.lock().table.version_of(id).cloned()
    }

    /// Returns the records of which the others have to be told now, each with whether that is
    /// the first time.
    pub fn take_unannounced(&self) -> Vec<(StreamRecord, bool)> {
        let mut state = self.lock();
        let due = state.unannounced.clone();
        state.unannounced.retain_mut(|(_, left)| {
            *left -= 1;
            *left > 0
        });
        let told = due.into_iter();
        told.map(|(record, left)| (record, left == ANNOUNCEMENTS))
            .collect()
    }

    /// The records that were used since a time.
    pub fn used_since(&self, since: Millis) -> Vec<StreamRecord> {
        self.lock().table.used_since(since).cloned().collect()
    }

    /// Subscribes to records of other gateways.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// A panic in one thread leaves the records consistent.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
