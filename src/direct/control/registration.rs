//! This gateway's registration in the store, and what it may decide for all gateways.

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::membership::authority::Authority;
use crate::direct::membership::currency::Currency;
use crate::direct::membership::registration::{Loss, Seen};
use crate::journal;

impl Control {
    /// What this gateway may decide for all.
    pub(super) fn authority(&self, now: Millis) -> Authority<'_> {
        Authority {
            now,
            registration: &self.registration,
            lease_until: self.lease_until,
            hears_majority: self.members.hears_majority(now),
        }
    }

    /// Until when what this gateway knows of the endpoints counts as current.
    pub fn current_until(&self) -> Millis {
        let currency = Currency {
            lease_until: self.lease_until,
            lease: self.settings.bounds.lease,
            is_store_lost: self.is_store_lost,
            majority_heard_at: self.members.majority_heard_at(),
        };
        currency.until()
    }

    pub(super) fn lease_opened(&mut self, now: Millis, lease: u64, out: &mut Vec<Effect>) {
        self.registration.lease_opened(now, lease);
        self.write_registration(now, out);
    }

    pub(super) fn lease_lost(&mut self) {
        self.registration.lease_lost();
        self.resign("lease lost");
    }

    /// Writes the registration if that is due.
    pub(super) fn write_registration(&mut self, now: Millis, out: &mut Vec<Effect>) {
        out.extend(self.registration.take_write(now).map(Effect::Register));
    }

    pub(super) fn registration_written(
        &mut self,
        now: Millis,
        lease: u64,
        revision: u64,
        out: &mut Vec<Effect>,
    ) {
        let was_lost = self.registration.is_lost();
        let loss = self.registration.written(now, lease, revision);
        if was_lost {
            // They tell and are told anew as soon as they know this one again.
            self.members.forget_contact();
        }
        journal::write(
            "registration.written",
            &[("lease", lease.into()), ("revision", revision.into())],
        );
        self.note_loss(now, loss, revision, out);
    }

    pub(super) fn registration_conflicted(
        &mut self,
        now: Millis,
        lease: u64,
        found: u64,
        out: &mut Vec<Effect>,
    ) {
        self.registration.conflicted(now, lease, found);
        self.write_registration(now, out);
    }

    /// The store shows this gateway's own key.
    pub(super) fn registration_seen(&mut self, now: Millis, seen: Seen, out: &mut Vec<Effect>) {
        let loss = self.registration.observe(now, seen);
        self.note_loss(now, loss, seen.revision, out);
    }

    fn note_loss(&mut self, now: Millis, loss: Option<Loss>, revision: u64, out: &mut Vec<Effect>) {
        let Some(loss) = loss else {
            return;
        };
        journal::write(
            "registration.lost",
            &[
                ("why", loss.as_str().into()),
                ("revision", revision.into()),
                ("lease_until", self.lease_until.into()),
            ],
        );
        self.write_registration(now, out);
    }
}
