//! Endpoint registrations: changes from the store, and changes that gateways pass on.

use compact_str::CompactString;

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::dialect::Registration;
use crate::direct::gossip::{Message, RegistryUpdate};
use crate::direct::registry::staleness::AgeChange;
use crate::direct::registry::{RegistryChange, RegistryPart};
use crate::direct::store::WATCH_MARGIN;
use crate::direct::sync::WATCH_TIMEOUT;
use crate::journal;

/// Number of gateways that are asked at once for what changed.
const ASKED_GATEWAYS: usize = 3;
/// Shortest pause between two watches of the same prefix of the store. What changes
/// meanwhile comes with the next one.
const MIN_WATCH_PAUSE: Millis = Millis(50);
/// Lists that a gateway reads when the store returns, and the most that all gateways
/// together read in a second then.
const LISTS_PER_GATEWAY: u64 = 3;
const MAX_LISTS_PER_S: u64 = 500;

/// Pauses between calls of the store, by which the calls of all gateways together stay few.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pauses {
    /// Between two watches of the gateways' own keys: all gateways together begin a
    /// thousand a second at most, however often they change.
    pub fleet: Millis,
    /// Between two watches of the registrations.
    pub registry: Millis,
    /// How long a watch of the registrations waits for changes.
    pub registry_watch: Millis,
    /// The time over which the gateways spread their first reads when the store returns.
    pub return_spread: Millis,
}

impl Control {
    /// The revision up to which other gateways told all registrations, and how
    /// long that is valid; `None` if this gateway has to watch the store itself.
    pub fn relay_progress(&self) -> Option<(u64, Millis)> {
        match self.leader {
            Some(_) => None,
            None => self.registry.relay_progress(),
        }
    }

    /// The pauses between calls of the store at this size of the fleet.
    pub fn pauses(&self) -> Pauses {
        let gateways = self.members.count() as u64;
        let fleet = MIN_WATCH_PAUSE.max(Millis(gateways));
        Pauses {
            fleet,
            // The others hear of changes from the leader.
            registry: match self.leader {
                Some(_) => MIN_WATCH_PAUSE,
                None => fleet,
            },
            registry_watch: self.registry_watch_timeout(),
            return_spread: Millis(gateways * LISTS_PER_GATEWAY * 1_000 / MAX_LISTS_PER_S),
        }
    }

    /// How long a watch of the registrations waits for changes. Its answer may be lost without
    /// any other call that shows it, so that endpoints which leave stay unknown until it ends.
    fn registry_watch_timeout(&self) -> Millis {
        WATCH_TIMEOUT.min(self.settings.bounds.drain)
    }

    /// Applies a full list of registrations from the store.
    pub(super) fn registrations_read(
        &mut self,
        now: Millis,
        mut all: Vec<Registration>,
        out: &mut Vec<Effect>,
    ) {
        let cold = self.take_cold(now, all.iter_mut());
        self.note_list();
        self.apply_cold(now, cold);
        self.registry.queue_list(&all);
        let changes = self.directory.replace(now, all);
        self.directory_changed(&changes, out);
    }

    /// Applies a change that was read from the store.
    pub(super) fn registry_changed(
        &mut self,
        now: Millis,
        mut change: RegistryChange,
        out: &mut Vec<Effect>,
    ) {
        self.hear_cold_in(now, &mut change);
        self.registry.queue(change.clone());
        self.apply_registry_change(now, change, out);
    }

    fn hear_cold_in(&mut self, now: Millis, change: &mut RegistryChange) {
        if let RegistryChange::Put(registration) = change {
            let cold = self.take_cold(now, std::iter::once(registration));
            self.apply_cold(now, cold);
        }
    }

    fn apply_registry_change(
        &mut self,
        now: Millis,
        change: RegistryChange,
        out: &mut Vec<Effect>,
    ) {
        match change {
            RegistryChange::Put(registration) => self.endpoint_registered(now, registration, out),
            RegistryChange::Removed(id) => self.endpoint_deregistered(now, id, out),
        }
    }

    fn endpoint_registered(
        &mut self,
        now: Millis,
        registration: Registration,
        out: &mut Vec<Effect>,
    ) {
        let id = registration.id.clone();
        if !self.directory.has_current(&registration) {
            let change = self.directory.put(now, registration);
            self.directory_changed(change.as_slice(), out);
        }
        self.update_leader(now, &id, out);
    }

    fn endpoint_deregistered(&mut self, now: Millis, id: CompactString, out: &mut Vec<Effect>) {
        let change = self.directory.remove(now, &id);
        self.directory_changed(change.as_slice(), out);
    }

    /// Sends the others what changed, if this gateway leads.
    pub(super) fn relay_registry(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.leader_term(now).is_none() {
            return;
        }
        let age = self.registry.age(now);
        let parts = self.registry.take_updates(now);
        if parts.is_empty() {
            return;
        }
        self.relayed_updates += 1;
        let (groups, distributors, others) = self.members.routes(now, self.relayed_updates);
        for part in parts {
            let update = |groups| RegistryUpdate {
                groups,
                age,
                part: part.clone(),
            };
            let distributed = Message::Registrations(update(groups));
            out.push(Effect::SendAll(distributors.clone(), distributed));
            if !others.is_empty() {
                let direct = Message::Registrations(update(0));
                out.push(Effect::SendAll(others.clone(), direct));
            }
        }
    }

    /// Applies changes that another gateway told, and passes them on to the group of this
    /// one if that was asked for.
    pub(super) fn registrations_told(
        &mut self,
        now: Millis,
        from: &str,
        update: RegistryUpdate,
        out: &mut Vec<Effect>,
    ) {
        if update.groups > 0 {
            let peers = self.members.group_peers(update.groups, from);
            let passed_on = RegistryUpdate {
                groups: 0,
                ..update.clone()
            };
            out.push(Effect::SendAll(peers, Message::Registrations(passed_on)));
        }
        for mut change in self.registry.receive(now, from, update.part, update.age) {
            self.hear_cold_in(now, &mut change);
            self.apply_registry_change(now, change, out);
        }
    }

    /// Asks a few gateways for what changed, if nobody has told for a while.
    pub(super) fn seek_registrations(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(revision) = self.registry.take_question(now) else {
            return;
        };
        self.asked_for_registrations += 1;
        let asked = self
            .members
            .sample(now, self.asked_for_registrations, ASKED_GATEWAYS);
        out.push(Effect::SendAll(
            asked,
            Message::RegistrationsSought(revision),
        ));
    }

    /// How long ago the registrations were as this gateway knows them; `None` before the first
    /// read.
    pub fn registry_age(&self, now: Millis) -> Option<Millis> {
        self.registry.is_known().then(|| self.registry.age(now))
    }

    /// Logs that the registrations are stale, or current again.
    pub(super) fn note_registry_age(&mut self, now: Millis) {
        let Some(age) = self.registry_age(now) else {
            return;
        };
        let max_age = self.registry_watch_timeout() + WATCH_MARGIN;
        let revision = self.registry.revision();
        match self.staleness.update(age, max_age) {
            Some(AgeChange::Stale) => journal::write(
                "registrations.stale",
                &[("age_ms", age.into()), ("revision", revision.into())],
            ),
            Some(AgeChange::Current(greatest)) => journal::write(
                "registrations.current",
                &[("was_ms", greatest.into()), ("revision", revision.into())],
            ),
            None => {}
        }
    }

    /// Answers a gateway that asks for what changed since a revision.
    pub(super) fn registrations_sought(
        &self,
        now: Millis,
        from: &str,
        revision: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(to) = self.members.address_of(from) else {
            return;
        };
        let age = self.registry.age(now);
        let answer = |part: RegistryPart| {
            let update = RegistryUpdate {
                groups: 0,
                age,
                part,
            };
            Effect::Send(to, Message::Registrations(update))
        };
        let parts = self.registry.answer(now, revision);
        out.extend(parts.into_iter().map(answer));
    }
}
