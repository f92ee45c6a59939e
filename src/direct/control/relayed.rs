//! Endpoint registrations: changes from the store and changes relayed by the leader.

use compact_str::CompactString;

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::dialect::Registration;
use crate::direct::gossip::Message;
use crate::direct::registry::{RegistryChange, RegistryPart};

impl Control {
    /// The revision up to which the leader has relayed all registrations, and how
    /// long that is valid; `None` if this gateway has to watch the store itself.
    pub fn relay_progress(&self) -> Option<(u64, Millis)> {
        match self.leader {
            Some(_) => None,
            None => self.registry.relay_progress(),
        }
    }

    pub(super) fn endpoint_registered(
        &mut self,
        now: Millis,
        registration: Registration,
        out: &mut Vec<Effect>,
    ) {
        let id = registration.id.clone();
        if !self.directory.has_current(&registration) {
            if self.leader.is_some() {
                self.registry
                    .queue(RegistryChange::Put(registration.clone()));
            }
            let change = self.directory.put(now, registration);
            self.directory_changed(change.as_slice(), out);
        }
        self.update_leader(now, &id, out);
    }

    pub(super) fn endpoint_deregistered(
        &mut self,
        now: Millis,
        id: CompactString,
        out: &mut Vec<Effect>,
    ) {
        let change = self.directory.remove(now, &id);
        if self.leader.is_some() {
            self.registry.queue(RegistryChange::Removed(id));
        }
        self.directory_changed(change.as_slice(), out);
    }

    /// Relays registration changes to the other gateways, if this one leads.
    pub(super) fn relay_registry(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.leader_term(now).is_none() {
            return;
        }
        let parts = self.registry.take_updates(now, self.members.count());
        out.extend(
            parts
                .into_iter()
                .map(|part| Effect::Broadcast(Message::Registry(part))),
        );
    }

    /// Applies registration changes that the leader relayed.
    pub(super) fn registry_relayed(
        &mut self,
        now: Millis,
        from: &str,
        part: RegistryPart,
        out: &mut Vec<Effect>,
    ) {
        let is_leader = self
            .leader_record
            .as_ref()
            .is_some_and(|r| r.holder == from);
        if !is_leader || self.leader.is_some() {
            return;
        }
        for change in self.registry.receive(now, part) {
            match change {
                RegistryChange::Put(registration) => {
                    self.endpoint_registered(now, registration, out)
                }
                RegistryChange::Removed(id) => self.endpoint_deregistered(now, id, out),
            }
        }
    }
}
