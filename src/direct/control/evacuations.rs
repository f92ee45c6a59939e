//! Evacuated zones: what the store or another gateway told goes to the others, in case the
//! store turns them away.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::evacuation::{ZoneChanges, ZoneList};
use crate::direct::gossip::{MAX_DATAGRAM_BYTES, Message};
use crate::direct::notices::RunId;
use crate::journal;

/// Number of gateways that tell the list to another one.
const SPONSORS: usize = 3;
/// How often a change is told at once, as datagrams may be lost.
const TELL_COUNT: u8 = 3;
/// The longest interval at which the list is repeated. A gateway that the store turns away
/// has `Bounds::stretch`, in which several repeats have to fit.
const MAX_REPEAT_INTERVAL: Millis = Millis(500);
const REPEATS_PER_STRETCH: u64 = 12;
/// How long the list is repeated after a change, while no zone is evacuated.
const REPEAT_TIME: Millis = Millis(20_000);
/// Intervals at which the gateways to which this one tells the list are determined again:
/// the first one while gateways come and go. That compares all pairs of gateways.
const MIN_SPONSORED_INTERVAL: Millis = Millis(1_000);
const SPONSORED_INTERVAL: Millis = Millis(5_000);
/// Time in which the registrations are read after a start.
const UNKNOWN_ZONE_DELAY: Millis = Millis(2_000);
/// The largest list that is told, in bytes; the rest of a datagram is for its other fields.
const MAX_LIST_BYTES: usize = MAX_DATAGRAM_BYTES - 128;

/// What is still to be told.
#[derive(Clone, Debug, Default)]
pub(super) struct EvacuationOutbox {
    tells_left: u8,
    next_repeat: Millis,
    repeat_until: Millis,
    sponsored: Vec<SocketAddr>,
    /// When they were determined, and the number of gateways then.
    sponsored_at: Option<(Millis, usize)>,
    /// Zones whose name is compared with the registrations, and when.
    unchecked: Vec<(CompactString, Millis)>,
}

impl Control {
    /// Handles the list of the store.
    pub(super) fn evacuations_read(
        &mut self,
        now: Millis,
        revision: u64,
        zones: &[CompactString],
        out: &mut Vec<Effect>,
    ) {
        let changes = self.notices.zones.read(now, revision, zones);
        self.evacuations_changed(now, "", &changes, out);
    }

    /// Handles changes that the store told as they happened.
    pub(super) fn evacuations_watched(
        &mut self,
        now: Millis,
        revision: u64,
        changes: &[(CompactString, bool)],
        out: &mut Vec<Effect>,
    ) {
        let is_timely = self.is_watch_timely(now);
        let board = &self.notices.zones;
        let changes = board.apply(now, revision, changes, is_timely);
        self.evacuations_changed(now, "", &changes, out);
    }

    /// Whether a watch tells changes as they happen. After a cut, its response may have been
    /// under way for long, also if other calls are answered again.
    fn is_watch_timely(&self, now: Millis) -> bool {
        let is_late = |at: Millis| now.since(at) < self.settings.bounds.evacuation_bound();
        !self.is_store_lost && !self.store_regained_at.is_some_and(is_late)
    }

    /// Whether an endpoint is in a zone to which nothing may be sent any more.
    pub(super) fn is_closed(&self, now: Millis, endpoint: &str) -> bool {
        let closed = self.notices.zones.closed(now);
        let endpoint = self.directory.view_of(now, endpoint);
        endpoint.is_some_and(|e| closed.contains(&e.registration.zone))
    }

    /// Handles the list of another gateway.
    pub(super) fn evacuations_told(
        &mut self,
        now: Millis,
        from: &str,
        told: &ZoneList,
        out: &mut Vec<Effect>,
    ) {
        let changes = self.notices.zones.hear(now, told);
        self.evacuations_changed(now, from, &changes, out);
    }

    fn evacuations_changed(
        &mut self,
        now: Millis,
        from: &str,
        changes: &ZoneChanges,
        out: &mut Vec<Effect>,
    ) {
        if changes.is_empty() {
            return;
        }
        for zone in &changes.evacuated {
            let is_closed = self.notices.zones.is_closed(now, zone);
            journal::write(
                "zone.evacuated",
                &[
                    ("zone", zone.into()),
                    ("from", from.into()),
                    ("closed", is_closed.into()),
                ],
            );
            let unchecked = &mut self.evacuation_outbox.unchecked;
            unchecked.push((zone.clone(), now + UNKNOWN_ZONE_DELAY));
        }
        for zone in &changes.returned {
            journal::write(
                "zone.returned",
                &[("zone", zone.into()), ("from", from.into())],
            );
            self.zone_returned(now, zone);
        }
        let outbox = &mut self.evacuation_outbox;
        outbox.tells_left = TELL_COUNT;
        outbox.repeat_until = now + REPEAT_TIME;
        self.tell_evacuations(now, out);
        out.push(Effect::Publish);
        self.request_decision(now, out);
    }

    /// Treats the endpoints of a zone whose evacuation has ended as cold: they may have
    /// become cold meanwhile, and their registrations may be older than that.
    fn zone_returned(&mut self, now: Millis, zone: &str) {
        for endpoint in &self.directory.views(now) {
            let registration = &endpoint.registration;
            if registration.zone == zone
                && let Some(spec) = self.cold_spec(&registration.service)
            {
                let run = RunId::of(registration);
                self.notices.set_cold(now, run, spec.rate, now + spec.time);
            }
        }
    }

    /// Tells and repeats the list, and names zones in which no endpoint is.
    pub(super) fn tick_evacuations(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.notices.zones.tick(now);
        let outbox = &self.evacuation_outbox;
        let is_active = now < outbox.repeat_until || self.notices.zones.is_any_evacuated();
        if outbox.tells_left > 0 || (is_active && now >= outbox.next_repeat) {
            self.tell_evacuations(now, out);
        }
        self.check_zone_names(now);
    }

    fn tell_evacuations(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.note_sponsored(now);
        let stretch = self.settings.bounds.stretch;
        let interval = Millis(stretch.0 / REPEATS_PER_STRETCH).min(MAX_REPEAT_INTERVAL);
        let outbox = &mut self.evacuation_outbox;
        outbox.tells_left = outbox.tells_left.saturating_sub(1);
        outbox.next_repeat = now + interval;
        if let Some(message) = self.evacuation_message(now) {
            let to = self.evacuation_outbox.sponsored.clone();
            out.push(Effect::SendAll(to, message));
        }
    }

    /// Tells a gateway that has become reachable of the evacuated zones.
    pub(super) fn welcome_with_evacuations(&self, now: Millis, peer: &str, out: &mut Vec<Effect>) {
        let is_active =
            now < self.evacuation_outbox.repeat_until || self.notices.zones.is_any_evacuated();
        if !is_active || !self.members.is_sponsor(peer, SPONSORS) {
            return;
        }
        let to = self.members.address_of(peer);
        let message = self.evacuation_message(now);
        out.extend(to.zip(message).map(|(to, m)| Effect::Send(to, m)));
    }

    /// A list that doesn't fit a datagram isn't told: a part of it would end evacuations.
    fn evacuation_message(&self, now: Millis) -> Option<Message> {
        let told = self.notices.zones.told(now)?;
        let size = postcard::experimental::serialized_size(&told).ok()?;
        (size <= MAX_LIST_BYTES).then_some(Message::Evacuations(told))
    }

    fn note_sponsored(&mut self, now: Millis) {
        let count = self.members.count();
        let is_current = |(at, then): (Millis, usize)| {
            let interval = match count == then {
                true => SPONSORED_INTERVAL,
                false => MIN_SPONSORED_INTERVAL,
            };
            now.since(at) < interval
        };
        if self.evacuation_outbox.sponsored_at.is_some_and(is_current) {
            return;
        }
        let members = self.members.iter();
        let sponsored = members.filter(|m| self.members.is_sponsor(&m.name, SPONSORS));
        self.evacuation_outbox.sponsored = sponsored.map(|m| m.address).collect();
        self.evacuation_outbox.sponsored_at = Some((now, count));
    }

    /// Logs the zones that no registration names, which may be misspelt.
    fn check_zone_names(&mut self, now: Millis) {
        let is_due = |(_, at): &(CompactString, Millis)| now >= *at;
        if !self.evacuation_outbox.unchecked.iter().any(is_due) {
            return;
        }
        let endpoints = self.directory.views(now);
        let unchecked = std::mem::take(&mut self.evacuation_outbox.unchecked);
        let (due, later) = unchecked.into_iter().partition(is_due);
        self.evacuation_outbox.unchecked = later;
        let due: Vec<(CompactString, Millis)> = due;
        for (zone, _) in due {
            let is_named = endpoints.iter().any(|e| e.registration.zone == zone);
            if !is_named && self.notices.zones.is_evacuated(&zone) {
                journal::write("evacuation.unknown_zone", &[("zone", (&zone).into())]);
            }
        }
    }
}
