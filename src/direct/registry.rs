//! Relaying of endpoint registrations from the leader to the other gateways.
//!
//! Engines rewrite their registrations all the time, and every write costs each
//! watching gateway a call to the store. Therefore only the leader watches, and it
//! sends the changes, with the revision that they lead to, to the other gateways. A
//! gateway that misses a message or does not hear the leader watches the store
//! itself, from its last known revision, and so receives all that it missed.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::dialect::Registration;
use super::gossip::split_rows;
use crate::clock::Millis;

/// Interval between updates while nothing changes.
const RELAY_INTERVAL: Millis = Millis(200);
/// How long the leader's last update is valid. Two updates in a row may be lost.
const RELAY_VALIDITY: Millis = Millis(600);
/// Age of the leader's last read from the store at which it stops relaying. Engines
/// write several times in this period unless there are few of them; then each
/// gateway can watch the store at little cost.
const MAX_READ_AGE: Millis = Millis(500);
/// Largest fleet in which the leader relays. It sends five updates a second to
/// each gateway, and a node may send 21 KB/s (docs/CAPACITY.md).
const MAX_RELAY_GATEWAYS: usize = 64;

/// A change of one registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryChange {
    /// A registration was created or its content changed.
    Put(Registration),
    /// A registration was removed.
    Removed(CompactString),
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

/// The revision up to which a gateway knows the registrations, and the changes to relay.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// The revision up to which all changes are known.
    revision: u64,
    /// When the store was last read.
    read_at: Millis,
    /// When the last update from the leader was complete.
    relayed_at: Option<Millis>,
    /// The number of the part that is expected next.
    next_part: u16,
    /// Changes since the last update that was sent.
    pending: Vec<RegistryChange>,
    /// The revision that the last update led to.
    sent_revision: u64,
    sent_at: Millis,
}

impl Registry {
    /// Records that the store was read up to a revision. A full list does not contain
    /// the individual changes, so they cannot be relayed.
    pub fn note_read(&mut self, now: Millis, revision: u64, is_full_list: bool) {
        self.revision = self.revision.max(revision);
        self.read_at = now;
        if is_full_list {
            self.sent_revision = self.revision;
            self.pending.clear();
        }
    }

    /// Queues a change for the leader to relay.
    pub fn queue(&mut self, change: RegistryChange) {
        self.pending.push(change);
    }

    /// The parts of the update that the leader has to send now: none if no update is
    /// due, its last read is too old or the fleet is too large.
    pub fn take_updates(&mut self, now: Millis, gateways: usize) -> Vec<RegistryPart> {
        let is_fresh = now.since(self.read_at) < MAX_READ_AGE;
        let is_due = now.since(self.sent_at) >= RELAY_INTERVAL || !self.pending.is_empty();
        if !is_fresh || !is_due || gateways > MAX_RELAY_GATEWAYS {
            return Vec::new();
        }
        let rows = split_rows(&std::mem::take(&mut self.pending));
        let (from, to) = (self.sent_revision, self.revision);
        self.sent_revision = to;
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

    /// Discards pending changes at the start of a term as leader.
    pub fn start_term(&mut self) {
        self.pending.clear();
        self.sent_revision = self.revision;
    }

    /// Receives a part of an update from the leader and returns its changes: none if
    /// an earlier part or update was missed, or a later revision is known.
    pub fn receive(&mut self, now: Millis, part: RegistryPart) -> Vec<RegistryChange> {
        if part.to < self.revision {
            // The leader lags behind; its changes would overwrite newer ones.
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

    /// The revision up to which the leader has relayed all changes, and until when its
    /// last update is valid; `None` if no update has been received.
    pub fn relay_progress(&self) -> Option<(u64, Millis)> {
        self.relayed_at
            .map(|at| (self.revision, at + RELAY_VALIDITY))
    }
}
