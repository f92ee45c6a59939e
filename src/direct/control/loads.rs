//! Tells other gateways this one's requests in flight.

use super::{Control, Effect, STATUS_INTERVAL};
use crate::clock::Millis;
use crate::direct::balance::FULL_COMPARISON_GATEWAYS;
use crate::direct::fan_out::group_count;
use crate::direct::gossip::{Message, split_rows};
use crate::direct::load_exchange::{LoadKind, LoadRow, loads_of, rows_of, split};
use crate::direct::view::LoadTable;

/// Interval at which a collector tells what it knows, for each [`BASE_GROUPS`] groups.
const COLLECT_INTERVAL: Millis = Millis(50);
/// The most groups in which collectors tell what they know at the shortest interval.
const BASE_GROUPS: u64 = 8;

impl Control {
    /// The number of groups in which gateways report to a collector; 0 if all report to all.
    fn load_groups(&self) -> u16 {
        match self.members.count() {
            0..=FULL_COMPARISON_GATEWAYS => 0,
            gateways => group_count(gateways).max(1),
        }
    }

    /// Reports the requests in flight, and passes on what others report.
    pub(super) fn exchange_loads(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let groups = self.load_groups();
        if groups > 0 {
            self.report_loads(now, groups, out);
            self.collect_loads(now, groups, out);
        }
        let has_news = self.loads.take_news() | self.members.take_load_news();
        if has_news || now >= self.due.loads_published {
            self.due.loads_published = now + STATUS_INTERVAL;
            out.push(Effect::SetPeerLoads(self.peer_loads(now)));
        }
    }

    /// The requests of the other gateways, by the freshest source.
    fn peer_loads(&self, now: Millis) -> LoadTable {
        let known = match self.load_groups() {
            0 => None,
            _ => self.loads.known(now),
        };
        let Some(rows) = known else {
            return self.members.loads(now);
        };
        let endpoints = self.published_endpoints.iter();
        loads_of(&rows, endpoints.map(|e| &e.registration.id))
    }

    fn report_loads(&mut self, now: Millis, groups: u16, out: &mut Vec<Effect>) {
        if now < self.due.load_report {
            return;
        }
        self.due.load_report = now + STATUS_INTERVAL;
        let loads = &self.loads;
        let is_avoided = |name: &str| loads.is_avoided(now, name);
        let collector = self
            .members
            .collector(now, groups, self.is_draining, is_avoided);
        let collector = collector.map(|m| (m.name.clone(), m.address));
        self.loads
            .set_collector(now, collector.as_ref().map(|(name, _)| name.as_str()));
        let Some((_, to)) = collector else {
            return;
        };
        for part in split(&rows_of(&self.own_loads)) {
            out.push(Effect::Send(to, Message::Loads(LoadKind::Report, part)));
        }
    }

    fn collect_loads(&mut self, now: Millis, groups: u16, out: &mut Vec<Effect>) {
        self.loads.expire(now);
        if now < self.due.collection || !self.loads.is_collector() {
            return;
        }
        self.due.collection =
            now + Millis(COLLECT_INTERVAL.0 * u64::from(groups).div_ceil(BASE_GROUPS));
        let own = rows_of(&self.own_loads);
        // A gateway that reports to another one is counted there.
        let counted = if self.loads.has_collector() {
            &[][..]
        } else {
            &own
        };
        let sum = self.loads.sum(now, counted);
        let mut others = self.members.collectors(now, groups);
        let known = self.loads.known_collectors();
        others.extend(known.filter_map(|name| self.members.address_of(name)));
        others.sort_unstable();
        others.dedup();
        for part in split(&sum) {
            let message = Message::Loads(LoadKind::Sum, part);
            out.push(Effect::SendAll(others.clone(), message));
        }
        let total = self.loads.total(now, &sum);
        if now >= self.due.totals {
            self.due.totals = now + STATUS_INTERVAL;
            self.tell_totals(now, &total, out);
        }
        if !self.loads.has_collector() {
            self.loads.set_own_total(now, &total, &own);
        }
    }

    fn tell_totals(&self, now: Millis, total: &[LoadRow], out: &mut Vec<Effect>) {
        for (name, rows) in self.loads.totals_for_reporters(now, total) {
            let Some(to) = self.members.address_of(&name) else {
                continue;
            };
            for part in split(&rows) {
                out.push(Effect::Send(to, Message::Loads(LoadKind::Total, part)));
            }
        }
    }

    /// Tells all others that this gateway is there. Those that learn of its requests in
    /// another way are told none.
    pub(super) fn report_status(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let leader = self.leader_address();
        let is_exchanged = self.load_groups() > 0 && self.loads.known(now).is_some();
        let status = |is_first: bool, loads: LoadTable| Message::Status {
            version: self.version(),
            is_draining: self.is_draining,
            is_first,
            loads,
        };
        let own = split_rows(&self.own_loads).into_iter().enumerate();
        let own = own.map(|(at, loads)| status(at == 0, loads));
        if !is_exchanged {
            out.extend(own.map(Effect::Broadcast));
            return;
        }
        let others = self.members.iter().map(|m| m.address);
        let others = others.filter(|address| Some(*address) != leader).collect();
        out.push(Effect::SendAll(others, status(true, LoadTable::new())));
        // The leader needs the requests of each model.
        out.extend(
            leader
                .into_iter()
                .flat_map(|to| own.clone().map(move |message| Effect::Send(to, message))),
        );
    }
}
