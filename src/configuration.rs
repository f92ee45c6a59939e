//! One gateway's copy of the configuration, and whether that copy is known to be current.
//!
//! The configuration is a log of entries in the platform's service. The revision
//! of a copy never decreases. A copy is *confirmed* at a point in time if the
//! service, or a peer that had just asked the service, knew no later revision then.

use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::{Change, Document, Entry};
use crate::error::{Error, Result};
use crate::platform::{Platform, ReadResult, Txn};

/// The key of the last revision.
pub const HEAD_KEY: &str = "config/head";
/// The key prefix of all log entries.
pub const LOG_PREFIX: &str = "config/log/";
/// The key of the latest snapshot.
pub const SNAPSHOT_KEY: &str = "config/snapshot";
/// Maximum number of recent entries that are kept for peers that are behind.
const MAX_RECENT_ENTRIES: usize = 512;
/// Number of entries between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 128;
/// How long a confirmation is valid.
pub const CONFIRMATION_VALIDITY: Millis = Millis(2_000);

/// The value under [`HEAD_KEY`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The last revision of the log.
    pub revision: u64,
}

/// The value under [`SNAPSHOT_KEY`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision at which it was taken.
    pub revision: u64,
    /// The configuration at that revision.
    pub document: Document,
}

/// A copy of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    revision: u64,
    document: Arc<Document>,
    recent: Vec<Entry>,
    /// The highest revision known to exist, from any source.
    highest_known: u64,
    confirmed_at: Option<Millis>,
}

impl Configuration {
    /// The revision in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The configuration in force.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The last time at which this copy was known to be current.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Whether a later revision is known to exist.
    pub fn is_behind(&self) -> bool {
        self.highest_known > self.revision
    }

    /// Records that a revision exists.
    pub fn note_revision(&mut self, revision: u64) {
        self.highest_known = self.highest_known.max(revision);
    }

    /// Records that `revision` was the latest one at time `at`.
    pub fn confirm(&mut self, revision: u64, at: Millis) {
        self.note_revision(revision);
        if revision <= self.revision {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Replaces the copy by a snapshot. Ignores a snapshot that is not newer than the copy.
    pub fn restore(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.revision = snapshot.revision;
        self.document = Arc::new(snapshot.document);
        self.recent.clear();
        self.note_revision(self.revision);
        true
    }

    /// Applies entries in ascending order. Skips known entries and all entries after a gap.
    /// Returns whether the revision has changed.
    pub fn extend(&mut self, entries: Vec<Entry>) -> bool {
        let before = self.revision;
        for entry in entries {
            if entry.revision != self.revision + 1 {
                self.note_revision(entry.revision);
                continue;
            }
            self.revision = entry.revision;
            self.document = Arc::new(self.document.apply(&entry.change));
            self.recent.push(entry);
        }
        self.note_revision(self.revision);
        let surplus = self.recent.len().saturating_sub(MAX_RECENT_ENTRIES);
        self.recent.drain(..surplus);
        self.revision > before
    }

    /// The entries after a revision, if all of them are still kept.
    pub fn entries_after(&self, revision: u64) -> Option<Vec<Entry>> {
        let kept = self.recent.iter().filter(|e| e.revision > revision);
        let entries: Vec<Entry> = kept.cloned().collect();
        let is_complete = entries.first().is_some_and(|e| e.revision == revision + 1);
        is_complete.then_some(entries)
    }
}

/// The key of one log entry.
pub fn log_key(revision: u64) -> String {
    format!("{LOG_PREFIX}{revision:016}")
}

/// Reads the last revision, which is zero if no change was ever applied.
pub async fn read_head(platform: &Platform) -> Result<u64> {
    let read = platform.read(HEAD_KEY).await?;
    match read.items.first() {
        Some(item) => Ok(from_json::<Head>(&item.value)?.revision),
        None => Ok(0),
    }
}

/// Reads the snapshot and the log entries that are still stored.
pub async fn read_snapshot_and_log(platform: &Platform) -> Result<(Snapshot, Vec<Entry>)> {
    let read: ReadResult = platform.read_prefix("config/").await?;
    let mut snapshot = Snapshot::default();
    let mut entries = Vec::new();
    for item in &read.items {
        if item.key == SNAPSHOT_KEY {
            snapshot = from_json(&item.value)?;
        } else if item.key.starts_with(LOG_PREFIX) {
            entries.push(from_json::<Entry>(&item.value)?);
        }
    }
    Ok((snapshot, entries))
}

/// Reads the current configuration.
pub async fn read_current(platform: &Platform) -> Result<Configuration> {
    let (snapshot, entries) = read_snapshot_and_log(platform).await?;
    let mut copy = Configuration::default();
    copy.restore(snapshot);
    copy.extend(entries);
    Ok(copy)
}

/// Appends one change after the revision it is based on and returns the new revision.
///
/// `apply_id` resolves a lost reply: if the entry after the base revision has this
/// identifier, the append took effect. Otherwise another operator's entry came first.
pub async fn append(
    platform: &Platform,
    copy: &Configuration,
    apply_id: &CompactString,
    change: &Change,
) -> Result<u64> {
    let base = copy.revision();
    let next = base + 1;
    let document = copy.document().apply(change);
    document.validate()?;
    let entry = Entry {
        revision: next,
        apply: apply_id.clone(),
        change: change.clone(),
    };
    let txn = append_txn(&entry, &document)?;
    let outcome = platform.run(&txn).await;
    if let Ok(outcome) = &outcome
        && outcome.succeeded
    {
        return Ok(next);
    }
    check_append(platform, &entry, outcome.err()).await
}

fn append_txn(entry: &Entry, document: &Document) -> Result<Txn> {
    let key = log_key(entry.revision);
    let head = Head {
        revision: entry.revision,
    };
    let mut txn = Txn::new()
        .if_absent(&key)
        .put(&key, &to_json(entry)?)
        .put(HEAD_KEY, &to_json(&head)?);
    if entry.revision > 1 {
        // Once old entries are deleted, `if_absent` alone would allow an old revision to be
        // written again.
        txn = txn.if_value(
            HEAD_KEY,
            &to_json(&Head {
                revision: entry.revision - 1,
            })?,
        );
    }
    if entry.revision.is_multiple_of(SNAPSHOT_INTERVAL) {
        let snapshot = Snapshot {
            revision: entry.revision,
            document: document.clone(),
        };
        let first_kept = entry.revision.saturating_sub(SNAPSHOT_INTERVAL);
        txn = txn
            .put(SNAPSHOT_KEY, &to_json(&snapshot)?)
            .delete_range(&log_key(0), &log_key(first_kept));
    }
    Ok(txn)
}

/// Checks whether an append took effect whose reply was lost or negative.
async fn check_append(platform: &Platform, entry: &Entry, failure: Option<Error>) -> Result<u64> {
    let read = platform.read(&log_key(entry.revision)).await?;
    let Some(item) = read.items.first() else {
        let found = read_head(platform).await?;
        let is_conflict = found >= entry.revision || failure.is_none();
        return match (is_conflict, failure) {
            (false, Some(error)) => Err(error),
            _ => Err(conflict(entry, found)),
        };
    };
    let written: Entry = from_json(&item.value)?;
    if written.apply == entry.apply {
        return Ok(entry.revision);
    }
    Err(conflict(entry, read_head(platform).await?))
}

fn conflict(entry: &Entry, found: u64) -> Error {
    Error::Conflict {
        expected: entry.revision - 1,
        found,
    }
}

fn from_json<T: serde::de::DeserializeOwned>(value: &[u8]) -> Result<T> {
    serde_json::from_slice(value)
        .map_err(|e| Error::Platform(format!("cannot decode the configuration: {e}")))
}

fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(value)
        .map_err(|e| Error::Platform(format!("cannot encode the configuration: {e}")))
}
