//! What a gateway knows of the endpoint registrations, and how it passes that on.
//!
//! Engines rewrite their registrations all the time, and every write costs each
//! watching gateway a call to the store. Therefore only the leader watches, and it
//! sends what changed, with the revision that this leads to, to the other gateways. A
//! gateway that hears nothing for a while asks others, and then watches the store itself.
//!
//! Each update repeats the changes of the last few, so that a lost one leaves no gap.
//! How old the knowledge is goes with it from gateway to gateway: news that is handed
//! round does not become fresh again.

pub mod staleness;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::dialect::Registration;
use super::gossip::split_rows;
use crate::clock::Millis;

/// Interval between updates while nothing changes.
const RELAY_INTERVAL: Millis = Millis(200);
/// How long after a read of the store the others need not watch it. Two updates in a row
/// may be lost.
const RELAY_VALIDITY: Millis = Millis(600);
/// Age of the last read from the store at which the leader stops relaying. Engines
/// write several times in this period unless there are few of them; then each
/// gateway can watch the store at little cost.
const MAX_READ_AGE: Millis = Millis(500);
/// How long the changes of an update are repeated in later ones.
const REPEAT_TIME: Millis = Millis(500);
/// Age of the knowledge from which other gateways are asked: one update is overdue.
const QUESTION_AGE: Millis = Millis(400);
/// Interval between two questions.
const QUESTION_INTERVAL: Millis = Millis(200);
/// The most removed registrations that are remembered.
const MAX_REMOVED: usize = 4_096;

/// A change of one registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryChange {
    /// A registration was created or its content changed.
    Put(Registration),
    /// A registration was removed.
    Removed(CompactString),
}

impl RegistryChange {
    /// The endpoint.
    pub fn id(&self) -> &CompactString {
        match self {
            Self::Put(registration) => &registration.id,
            Self::Removed(id) => id,
        }
    }
}

/// One part of an update, which contains the changes between two revisions of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryPart {
    /// The revision up to which the receiver must already know all changes.
    pub from: u64,
    /// The revision up to which it knows them once it has received all parts.
    pub to: u64,
    /// The number of this part, from 0.
    pub number: u16,
    /// The number of parts in the update.
    pub parts: u16,
    /// The changes in this part.
    pub changes: Vec<RegistryChange>,
}

/// The last change of a registration.
#[derive(Clone, Debug)]
struct Entry {
    change: RegistryChange,
    /// A revision of the store that has it: the first one known to this gateway.
    revision: u64,
}

/// The parts of one update that have been received.
#[derive(Clone, Debug, Default)]
struct Assembly {
    sender: CompactString,
    from: u64,
    to: u64,
    is_received: Vec<bool>,
}

impl Assembly {
    /// Records a part. Returns whether all parts of its update have been received.
    fn add(&mut self, sender: &str, part: &RegistryPart) -> bool {
        let parts = usize::from(part.parts);
        let is_same = (self.from, self.to) == (part.from, part.to)
            && self.is_received.len() == parts
            && self.sender == sender;
        if !is_same {
            *self = Self {
                sender: sender.into(),
                from: part.from,
                to: part.to,
                is_received: vec![false; parts],
            };
        }
        if let Some(is_received) = self.is_received.get_mut(usize::from(part.number)) {
            *is_received = true;
        }
        self.is_received.iter().all(|is_received| *is_received)
    }
}

/// The registrations up to a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// The last change of each registration, sorted by endpoint.
    entries: Vec<Entry>,
    /// Changes from the store whose revision is not known yet.
    unstamped: Vec<RegistryChange>,
    /// The revision up to which all changes are known; 0 before the first read.
    revision: u64,
    /// The earliest revision from which all changes are known.
    floor: u64,
    /// When the store was at `revision`, by its own or another gateway's read.
    known_at: Millis,
    /// The same for what other gateways told.
    relayed_at: Option<Millis>,
    assembly: Assembly,
    /// Updates sent lately, with the revisions that they led to.
    sent: Vec<(Millis, u64)>,
    asked_at: Millis,
}

impl Registry {
    /// Records a change that was read from the store. [`Registry::note_read`] follows.
    pub fn queue(&mut self, change: RegistryChange) {
        let is_known = self
            .find(change.id())
            .is_ok_and(|at| self.entries[at].change == change);
        let is_pending = self.unstamped.iter().any(|c| c.id() == change.id());
        if !is_known || is_pending {
            self.unstamped.push(change);
        }
    }

    /// Records a full list that was read from the store. [`Registry::note_read`] follows.
    pub fn queue_list(&mut self, all: &[Registration]) {
        let mut ids: Vec<&CompactString> = all.iter().map(|r| &r.id).collect();
        ids.sort_unstable();
        let entries = self.entries.iter();
        let present = entries.filter(|e| matches!(e.change, RegistryChange::Put(_)));
        let missing = present.filter(|e| ids.binary_search(&e.change.id()).is_err());
        let missing: Vec<CompactString> = missing.map(|e| e.change.id().clone()).collect();
        missing
            .into_iter()
            .for_each(|id| self.queue(RegistryChange::Removed(id)));
        all.iter()
            .for_each(|r| self.queue(RegistryChange::Put(r.clone())));
    }

    /// Records that the store was read up to a revision. A full list does not contain the
    /// individual changes, so that those before it cannot be passed on.
    pub fn note_read(&mut self, now: Millis, revision: u64, is_full_list: bool) {
        if revision >= self.revision {
            self.revision = revision;
            self.known_at = now;
        }
        for change in std::mem::take(&mut self.unstamped) {
            self.store(change, self.revision);
        }
        if is_full_list {
            self.floor = self.revision;
        }
    }

    /// Starts a term as leader.
    pub fn start_term(&mut self, now: Millis) {
        self.sent = vec![(now, self.revision)];
    }

    /// How long ago the store was at the known revision.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.known_at)
    }

    /// Whether the store has been read, here or by the gateway that told of it.
    pub fn is_known(&self) -> bool {
        self.revision != 0
    }

    /// The revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The parts of the update that the leader has to send now: none if no update is
    /// due or its knowledge is too old.
    pub fn take_updates(&mut self, now: Millis) -> Vec<RegistryPart> {
        let last = self.sent.last().copied();
        let has_news = last.is_none_or(|(_, revision)| self.has_changed_since(revision));
        let is_due = last.is_none_or(|(at, _)| now.since(at) >= RELAY_INTERVAL);
        if self.age(now) >= MAX_READ_AGE || !(is_due || has_news) {
            return Vec::new();
        }
        let is_recent = |(at, _): &(Millis, u64)| now.since(*at) <= REPEAT_TIME;
        let first_recent = self.sent.iter().position(is_recent);
        let keep_from = first_recent.unwrap_or(self.sent.len().saturating_sub(1));
        self.sent.drain(..keep_from);
        let from = self.sent.first().map_or(self.revision, |(_, sent)| *sent);
        self.sent.push((now, self.revision));
        self.parts_since(from.max(self.floor))
    }

    /// The answer to a gateway that knows the registrations up to a revision: the changes
    /// after it, or the word that there are none. None if this one knows no more.
    pub fn answer(&self, now: Millis, revision: u64) -> Vec<RegistryPart> {
        let is_news = self.revision > revision || self.age(now) < QUESTION_AGE;
        if !is_news || revision < self.floor || revision > self.revision || revision == 0 {
            return Vec::new();
        }
        self.parts_since(revision)
    }

    /// The revision with which other gateways have to be asked now for what changed.
    pub fn take_question(&mut self, now: Millis) -> Option<u64> {
        let is_due = self.age(now) >= QUESTION_AGE && now.since(self.asked_at) >= QUESTION_INTERVAL;
        if !is_due || self.revision == 0 {
            return None;
        }
        self.asked_at = now;
        Some(self.revision)
    }

    /// Receives a part of an update whose sender knew the store as it was `age` ago, and
    /// returns the changes that are new: none if changes before them were missed.
    pub fn receive(
        &mut self,
        now: Millis,
        sender: &str,
        part: RegistryPart,
        age: Millis,
    ) -> Vec<RegistryChange> {
        if part.from > self.revision || part.to < self.revision || self.revision == 0 {
            return Vec::new();
        }
        let is_complete = self.assembly.add(sender, &part);
        let to = part.to;
        let changes = part.changes.into_iter();
        let new = changes.filter(|change| self.store(change.clone(), to));
        let new = new.collect();
        if is_complete {
            self.revision = to;
            let known_at = Millis(now.0.saturating_sub(age.0));
            self.known_at = self.known_at.max(known_at);
            self.relayed_at = self.relayed_at.max(Some(known_at));
        }
        new
    }

    /// The revision up to which other gateways have told all changes, and until when
    /// the store need not be watched; `None` if they have told nothing.
    pub fn relay_progress(&self) -> Option<(u64, Millis)> {
        self.relayed_at
            .map(|at| (self.revision, at + RELAY_VALIDITY))
    }

    /// Stores a change unless a later or the same one is known. Returns whether it is new.
    fn store(&mut self, change: RegistryChange, revision: u64) -> bool {
        match self.find(change.id()) {
            Ok(at) => {
                let known = &mut self.entries[at];
                if known.revision > revision || known.change == change {
                    return false;
                }
                *known = Entry { change, revision };
            }
            Err(at) => self.entries.insert(at, Entry { change, revision }),
        }
        self.forget_removed();
        true
    }

    /// Forgets the registration that was removed first, if too many are remembered. From
    /// revisions before that, the changes are not all known any more.
    fn forget_removed(&mut self) {
        let is_removed = |e: &&Entry| matches!(e.change, RegistryChange::Removed(_));
        if self.entries.len() <= MAX_REMOVED
            || self.entries.iter().filter(is_removed).count() <= MAX_REMOVED
        {
            return;
        }
        let removed = self.entries.iter().filter(is_removed);
        let oldest = removed.min_by_key(|e| e.revision);
        let Some((id, revision)) = oldest.map(|e| (e.change.id().clone(), e.revision)) else {
            return;
        };
        self.floor = self.floor.max(revision);
        if let Ok(at) = self.find(&id) {
            self.entries.remove(at);
        }
    }

    fn has_changed_since(&self, revision: u64) -> bool {
        self.entries.iter().any(|e| e.revision > revision)
    }

    fn parts_since(&self, from: u64) -> Vec<RegistryPart> {
        let changed = self.entries.iter().filter(|e| e.revision > from);
        let changed: Vec<RegistryChange> = changed.map(|e| e.change.clone()).collect();
        let rows = split_rows(&changed);
        let parts = rows.len() as u16;
        let numbered = rows.into_iter().zip(0..);
        numbered
            .map(|(changes, number)| RegistryPart {
                from,
                to: self.revision,
                number,
                parts,
                changes,
            })
            .collect()
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.change.id().as_str().cmp(id))
    }
}
