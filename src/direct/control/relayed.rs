//! Control's part in following the endpoints' registrations.

use compact_str::CompactString;

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::dialect::Registration;
use crate::direct::gossip::Message;
use crate::direct::registry::{RegistryChange, RegistryPart};

impl Control {
    /// The revision up to which the leader's messages tell all registrations, and
    /// until when; `None` if this gateway has to watch for itself.
    pub fn relayed(&self) -> Option<(u64, Millis)> {
        match self.leader {
            Some(_) => None,
            None => self.registry.relayed(),
        }
    }

    pub(super) fn registered(
        &mut self,
        now: Millis,
        registration: Registration,
        out: &mut Vec<Effect>,
    ) {
        let id = registration.id.clone();
        if self.leader.is_some() && !self.directory.knows(&registration) {
            self.registry
                .note(RegistryChange::Put(registration.clone()));
        }
        let change = self.directory.put(now, registration);
        self.directory_changed(change.as_slice(), out);
        self.tell_leader(now, &id, out);
    }

    pub(super) fn deregistered(&mut self, now: Millis, id: CompactString, out: &mut Vec<Effect>) {
        let change = self.directory.remove(now, &id);
        if self.leader.is_some() {
            self.registry.note(RegistryChange::Removed(id));
        }
        self.directory_changed(change.as_slice(), out);
    }

    /// Tells the other gateways what changed, if this one leads.
    pub(super) fn relay(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.leader_term(now).is_none() {
            return;
        }
        let parts = self.registry.tell(now, self.members.count());
        out.extend(
            parts
                .into_iter()
                .map(|part| Effect::Broadcast(Message::Registry(part))),
        );
    }

    /// Takes in what the leader tells of the registrations.
    pub(super) fn heard_registry(
        &mut self,
        now: Millis,
        from: &str,
        part: RegistryPart,
        out: &mut Vec<Effect>,
    ) {
        let is_leader = self.record.as_ref().is_some_and(|r| r.holder == from);
        if !is_leader || self.leader.is_some() {
            return;
        }
        for change in self.registry.receive(now, part) {
            match change {
                RegistryChange::Put(registration) => self.registered(now, registration, out),
                RegistryChange::Removed(id) => self.deregistered(now, id, out),
            }
        }
    }
}
