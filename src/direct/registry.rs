//! The endpoints' registrations, as the leader passes them on.
//!
//! Every engine writes its registration again and again, and a watch of them
//! costs each gateway a call to the store a write. So the leader alone watches,
//! and tells the others what has changed up to which revision. Whoever misses a
//! message, or does not hear the leader, watches for itself from the revision
//! that it knows; the store then tells all that was missed.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::dialect::Registration;
use super::gossip::split_rows;
use crate::clock::Millis;

/// Time between two messages when nothing changes.
const RELAY_INTERVAL: Millis = Millis(200);
/// How long the leader's last message counts: two may be lost.
const RELAY_VALIDITY: Millis = Millis(600);
/// How old the leader's own knowledge may be: engines write several times in it,
/// unless they are few, when watches cost little.
const MAX_READ_AGE: Millis = Millis(500);
/// Gateways up to which the leader tells all of them: it would send five
/// messages a second to each, and a node may send 21 KB/s (docs/CAPACITY.md).
const MAX_RELAY_GATEWAYS: usize = 64;

/// One change of the registrations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryChange {
    /// An endpoint registered with something new.
    Put(Registration),
    /// A registration is gone.
    Removed(CompactString),
}

/// What changed between two revisions of the store, or a part of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryPart {
    /// The revision up to which the receiver must know all changes.
    pub from: u64,
    /// The revision up to which it knows them with all parts.
    pub to: u64,
    /// The number of this part, from 0.
    pub number: u16,
    /// How many parts there are.
    pub parts: u16,
    /// The changes of this part.
    pub changes: Vec<RegistryChange>,
}

/// How far a gateway knows the registrations, and what it is to pass on.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// The revision up to which all changes are known.
    revision: u64,
    /// When the store last told something.
    read_at: Millis,
    /// When the leader last told something that follows what is known.
    relayed_at: Option<Millis>,
    next_part: u16,
    /// Changes since the last message, and the revision up to which that went.
    pending: Vec<RegistryChange>,
    sent: u64,
    sent_at: Millis,
}

impl Registry {
    /// Takes in that the store told all changes up to a revision. After a whole
    /// reading, single changes are not known; nobody can be told them.
    pub fn note_read(&mut self, now: Millis, revision: u64, is_full_list: bool) {
        self.revision = self.revision.max(revision);
        self.read_at = now;
        if is_full_list {
            self.sent = self.revision;
            self.pending.clear();
        }
    }

    /// Notes a change that is to be passed on by the leader.
    pub fn queue(&mut self, change: RegistryChange) {
        self.pending.push(change);
    }

    /// What the leader is to tell now; nothing while it does not hear the store.
    pub fn take_updates(&mut self, now: Millis, gateways: usize) -> Vec<RegistryPart> {
        let is_fresh = now.since(self.read_at) < MAX_READ_AGE;
        let is_due = now.since(self.sent_at) >= RELAY_INTERVAL || !self.pending.is_empty();
        if !is_fresh || !is_due || gateways > MAX_RELAY_GATEWAYS {
            return Vec::new();
        }
        let rows = split_rows(&std::mem::take(&mut self.pending));
        let (from, to) = (self.sent, self.revision);
        self.sent = to;
        self.sent_at = now;
        let parts = rows.len() as u16;
        let numbered = rows.into_iter().zip(0..);
        numbered
            .map(|(changes, number)| RegistryPart {
                from,
                to,
                number,
                parts,
                changes,
            })
            .collect()
    }

    /// Forgets what another leader's term left to pass on.
    pub fn start_term(&mut self) {
        self.pending.clear();
        self.sent = self.revision;
    }

    /// Takes in what the leader tells; returns the changes, or nothing if an
    /// earlier message was missed or later ones are known.
    pub fn receive(&mut self, now: Millis, part: RegistryPart) -> Vec<RegistryChange> {
        if part.to < self.revision {
            // A leader that lags: its changes would undo later ones.
            self.next_part = 0;
            return Vec::new();
        }
        let is_next = match part.number {
            0 => part.from <= self.revision,
            number => number == self.next_part,
        };
        if !is_next {
            self.next_part = 0;
            return Vec::new();
        }
        self.next_part = part.number + 1;
        if self.next_part == part.parts {
            self.next_part = 0;
            self.revision = self.revision.max(part.to);
            self.relayed_at = Some(now);
        }
        part.changes
    }

    /// The revision up to which the leader's messages tell all, and until when
    /// that may be relied on; `None` if this gateway has to watch for itself.
    pub fn relay_progress(&self) -> Option<(u64, Millis)> {
        self.relayed_at
            .map(|at| (self.revision, at + RELAY_VALIDITY))
    }
}
