//! The evacuated zones as the control and traffic threads share them.

use std::sync::{Mutex, MutexGuard};

use compact_str::CompactString;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use super::{Evacuations, Pulse, ZoneChanges, ZoneList};
use crate::clock::Millis;
use crate::direct::view::{EndpointView, Usability};

/// Whether anything may be sent to a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sending {
    /// It may be sent now.
    Open,
    /// Not before the list is known or what arrived during a suspension is processed.
    Wait,
    /// Not while the zone is evacuated.
    Closed,
}

/// An evacuated zone, for operators.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ZoneState {
    /// The zone.
    pub zone: CompactString,
    /// The time since this gateway learnt of the evacuation.
    pub known_ms: Millis,
    /// Whether nothing is sent there any more.
    pub is_closed: bool,
}

#[derive(Debug, Default)]
struct State {
    evacuations: Evacuations,
    pulse: Pulse,
    grace: Millis,
    /// Whether requests wait for news after a suspension.
    waits_for_news: bool,
}

/// The evacuated zones, shared by both threads.
#[derive(Debug, Default)]
pub struct ZoneBoard {
    state: Mutex<State>,
    /// Wakes the requests that wait for news.
    progressed: Notify,
}

impl ZoneBoard {
    /// Sets for how long an evacuated zone gets the requests that no other can serve, and
    /// whether requests wait for news of evacuations after a suspension.
    pub fn set_bounds(&self, grace: Millis, waits_for_news: bool) {
        let mut state = self.lock();
        state.grace = grace;
        state.waits_for_news = waits_for_news;
    }

    /// Records a tick of the control thread.
    pub fn tick(&self, now: Millis) {
        let mut state = self.lock();
        let grace = state.grace;
        state.pulse.tick(now, grace);
        drop(state);
        self.progressed.notify_waiters();
    }

    /// Takes over a list that was read from the store.
    pub fn read(&self, now: Millis, stamp: u64, zones: &[CompactString]) -> ZoneChanges {
        self.lock().evacuations.read(now, stamp, zones)
    }

    /// Applies changes that the store told, as they happened if the watch is timely.
    pub fn apply(
        &self,
        now: Millis,
        stamp: u64,
        changes: &[(CompactString, bool)],
        is_timely: bool,
    ) -> ZoneChanges {
        let mut state = self.lock();
        let arrived_at = is_timely.then(|| state.pulse.earliest_arrival(now));
        let evacuations = &mut state.evacuations;
        evacuations.apply(now, arrived_at, stamp, changes)
    }

    /// Takes over a list of another gateway.
    pub fn hear(&self, now: Millis, told: &ZoneList) -> ZoneChanges {
        let mut state = self.lock();
        let arrived_at = state.pulse.earliest_arrival(now);
        state.evacuations.hear(now, arrived_at, told)
    }

    /// The list for other gateways; `None` before the first one.
    pub fn told(&self, now: Millis) -> Option<ZoneList> {
        self.lock().evacuations.told(now)
    }

    /// Whether the list is known.
    pub fn is_known(&self) -> bool {
        self.lock().evacuations.is_known()
    }

    /// The position in the history of the store as of which the list is complete.
    pub fn stamp(&self) -> Option<u64> {
        self.lock().evacuations.stamp()
    }

    /// Whether any zone is evacuated.
    pub fn is_any_evacuated(&self) -> bool {
        !self.lock().evacuations.zones().is_empty()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.lock().evacuations.get(zone).is_some()
    }

    /// Whether nothing may be sent to a zone any more.
    pub fn is_closed(&self, now: Millis, zone: &str) -> bool {
        let state = self.lock();
        let evacuated = state.evacuations.get(zone);
        evacuated.is_some_and(|z| z.is_closed(now, state.grace))
    }

    /// The zones to which nothing may be sent any more.
    pub fn closed(&self, now: Millis) -> Vec<CompactString> {
        let state = self.lock();
        let closed = state.evacuations.zones().iter();
        let closed = closed.filter(|z| z.is_closed(now, state.grace));
        closed.map(|z| z.zone.clone()).collect()
    }

    /// Whether anything may be sent to a zone right now.
    pub fn sending(&self, now: Millis, zone: &str) -> Sending {
        let mut state = self.lock();
        let grace = state.grace;
        let evacuated = state.evacuations.get(zone);
        if evacuated.is_some_and(|z| z.is_closed(now, grace)) {
            return Sending::Closed;
        }
        let must_wait = state.waits_for_news && state.pulse.must_wait(now, grace);
        match must_wait || !state.evacuations.is_known() {
            true => Sending::Wait,
            false => Sending::Open,
        }
    }

    /// Completes when the control thread has processed more news.
    pub fn progressed(&self) -> Notified<'_> {
        self.progressed.notified()
    }

    /// Marks the endpoints in evacuated zones.
    pub fn mark(&self, endpoints: &mut [EndpointView]) {
        let state = self.lock();
        if state.evacuations.zones().is_empty() {
            return;
        }
        for endpoint in endpoints {
            if state.evacuations.get(&endpoint.registration.zone).is_some() {
                endpoint.usability = Usability::Leaving;
            }
        }
    }

    /// The evacuated zones, for operators.
    pub fn states(&self, now: Millis) -> Vec<ZoneState> {
        let state = self.lock();
        let zones = state.evacuations.zones().iter();
        let states = zones.map(|z| ZoneState {
            zone: z.zone.clone(),
            known_ms: now.since(z.learnt_at),
            is_closed: z.is_closed(now, state.grace),
        });
        states.collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No holder leaves the table inconsistent, so that a panic need not spread.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
