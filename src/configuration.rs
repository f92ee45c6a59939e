//! One gateway's copy of the configuration, and whether it may be relied on.
//!
//! The configuration is a log of entries in the platform's service. A copy
//! moves only forward. It counts as *confirmed* at a moment if the service, or
//! a peer that had just asked the service, knew no later revision then.

use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::{Change, Document, Entry};
use crate::error::{Error, Result};
use crate::platform::{Platform, ReadResult, Txn};

/// The key under which the last revision stands.
pub const HEAD_KEY: &str = "config/head";
/// The prefix of all log entries.
pub const LOG_PREFIX: &str = "config/log/";
/// The key of the latest snapshot.
pub const SNAPSHOT_KEY: &str = "config/snapshot";
/// Entries kept for peers that are behind.
const KEPT_ENTRIES: usize = 512;
/// Entries between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 128;
/// How long a confirmation is relied on.
pub const CONFIRMED_FOR: Millis = Millis(2_000);

/// The value under [`HEAD_KEY`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The last revision of the log.
    pub revision: u64,
}

/// The value under [`SNAPSHOT_KEY`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision it was taken at.
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
    /// The highest revision heard of from anyone.
    hinted: u64,
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

    /// When this copy was last known to be the latest.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Whether a later revision is known to exist.
    pub fn is_behind(&self) -> bool {
        self.hinted > self.revision
    }

    /// Notes that a revision exists.
    pub fn hint(&mut self, revision: u64) {
        self.hinted = self.hinted.max(revision);
    }

    /// Notes that `revision` was the latest one at a moment.
    pub fn confirm(&mut self, revision: u64, at: Millis) {
        self.hint(revision);
        if revision <= self.revision {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Takes a snapshot; an older one than the copy is passed over.
    pub fn restore(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.revision = snapshot.revision;
        self.document = Arc::new(snapshot.document);
        self.recent.clear();
        self.hint(self.revision);
        true
    }

    /// Takes entries in ascending order; known ones are passed over, and a gap ends it.
    pub fn extend(&mut self, entries: Vec<Entry>) -> bool {
        let before = self.revision;
        for entry in entries {
            if entry.revision != self.revision + 1 {
                self.hint(entry.revision);
                continue;
            }
            self.revision = entry.revision;
            self.document = Arc::new(self.document.apply(&entry.change));
            self.recent.push(entry);
        }
        self.hint(self.revision);
        let surplus = self.recent.len().saturating_sub(KEPT_ENTRIES);
        self.recent.drain(..surplus);
        self.revision > before
    }

    /// The entries after a revision, if all of them are still kept.
    pub fn entries_after(&self, revision: u64) -> Option<Vec<Entry>> {
        let kept = self.recent.iter().filter(|e| e.revision > revision);
        let entries: Vec<Entry> = kept.cloned().collect();
        let is_whole = entries.first().is_some_and(|e| e.revision == revision + 1);
        is_whole.then_some(entries)
    }
}

/// The key of one log entry.
pub fn log_key(revision: u64) -> String {
    format!("{LOG_PREFIX}{revision:016}")
}

/// Reads the last revision; zero if nothing was ever applied.
pub async fn read_head(platform: &Platform) -> Result<u64> {
    let read = platform.read(HEAD_KEY).await?;
    match read.items.first() {
        Some(item) => Ok(parse::<Head>(&item.value)?.revision),
        None => Ok(0),
    }
}

/// Reads the snapshot and the log after it.
pub async fn read_all(platform: &Platform) -> Result<(Snapshot, Vec<Entry>)> {
    let read: ReadResult = platform.read_prefix("config/").await?;
    let mut snapshot = Snapshot::default();
    let mut entries = Vec::new();
    for item in &read.items {
        if item.key == SNAPSHOT_KEY {
            snapshot = parse(&item.value)?;
        } else if item.key.starts_with(LOG_PREFIX) {
            entries.push(parse::<Entry>(&item.value)?);
        }
    }
    Ok((snapshot, entries))
}

/// Reads the whole configuration as it stands.
pub async fn read_current(platform: &Platform) -> Result<Configuration> {
    let (snapshot, entries) = read_all(platform).await?;
    let mut copy = Configuration::default();
    copy.restore(snapshot);
    copy.extend(entries);
    Ok(copy)
}

/// Appends one change after the revision it was based on and returns the new revision.
///
/// The apply's identifier resolves a lost reply: if the entry after `base` is
/// this very apply, it took effect. Otherwise another operator was faster.
pub async fn append(
    platform: &Platform,
    copy: &Configuration,
    apply: &CompactString,
    change: &Change,
) -> Result<u64> {
    let base = copy.revision();
    let next = base + 1;
    let document = copy.document().apply(change);
    document.check()?;
    let entry = Entry {
        revision: next,
        apply: apply.clone(),
        change: change.clone(),
    };
    let txn = append_txn(&entry, &document)?;
    let outcome = platform.run(&txn).await;
    if let Ok(outcome) = &outcome
        && outcome.succeeded
    {
        return Ok(next);
    }
    resolve(platform, &entry, outcome.err()).await
}

fn append_txn(entry: &Entry, document: &Document) -> Result<Txn> {
    let key = log_key(entry.revision);
    let head = Head {
        revision: entry.revision,
    };
    let mut txn = Txn::new()
        .if_absent(&key)
        .put(&key, &format(entry)?)
        .put(HEAD_KEY, &format(&head)?);
    if entry.revision > 1 {
        // A trimmed log must not let an old revision be written again.
        txn = txn.if_value(
            HEAD_KEY,
            &format(&Head {
                revision: entry.revision - 1,
            })?,
        );
    }
    if entry.revision.is_multiple_of(SNAPSHOT_INTERVAL) {
        let snapshot = Snapshot {
            revision: entry.revision,
            document: document.clone(),
        };
        let kept_from = entry.revision.saturating_sub(SNAPSHOT_INTERVAL);
        txn = txn
            .put(SNAPSHOT_KEY, &format(&snapshot)?)
            .delete_range(&log_key(0), &log_key(kept_from));
    }
    Ok(txn)
}

/// Finds out whether an append whose reply was lost or negative took effect.
async fn resolve(platform: &Platform, entry: &Entry, lost: Option<Error>) -> Result<u64> {
    let read = platform.read(&log_key(entry.revision)).await?;
    let Some(item) = read.items.first() else {
        let found = read_head(platform).await?;
        let is_conflict = found >= entry.revision || lost.is_none();
        return match (is_conflict, lost) {
            (false, Some(error)) => Err(error),
            _ => Err(conflict(entry, found)),
        };
    };
    let written: Entry = parse(&item.value)?;
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

fn parse<T: serde::de::DeserializeOwned>(value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|e| Error::Platform(format!("configuration: {e}")))
}

fn format<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|e| Error::Platform(format!("configuration: {e}")))
}
