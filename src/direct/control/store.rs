//! Whether the store answers, and whether it came back from a copy.

use super::Control;
use crate::clock::Millis;
use crate::journal;

impl Control {
    pub(super) fn store_lost(&mut self) {
        self.directory.store_lost();
        if !std::mem::replace(&mut self.is_store_lost, true) {
            journal::write("store.lost", &[("lease_until", self.lease_until.into())]);
        }
    }

    pub(super) fn store_answered(&mut self, now: Millis) {
        self.directory.store_regained(now);
        if std::mem::take(&mut self.is_store_lost) {
            self.store_regained_at = Some(now);
            journal::write(
                "store.regained",
                &[("lease_until", self.lease_until.into())],
            );
        }
    }

    /// The store came back from a copy, in which this gateway's lease and leader key may be
    /// missing, and endpoints that have left may stand. A gateway that was cut off has not heard
    /// of the versions that the copy lacks.
    pub(super) fn store_restored(&mut self, now: Millis) {
        if now >= self.current_until() {
            self.versions.history.interrupt(now);
        }
        self.stream_storage.store_restored();
        self.restored_at = Some((now, self.leader.is_some()));
        self.directory.store_restored(now);
        self.resign("store restored");
    }
}
