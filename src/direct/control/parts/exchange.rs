//! The periodic exchange of all evidence, which makes up for lost messages, and what
//! gateways that have been away are told.

use super::super::{Control, Effect};
use super::outbox::messages;
use crate::clock::Millis;
use crate::direct::balance::rendezvous_weight;
use crate::direct::gossip::Message;

/// Interval at which a gateway tells a few others all that it knows.
const EXCHANGE_INTERVAL: Millis = Millis(500);
/// The same when nothing has been learned for [`NEWS_TIME`]: a gateway that has been away
/// is told anyway.
const QUIET_INTERVAL: Millis = Millis(10_000);
/// How long what was learned last may not have reached all gateways.
const NEWS_TIME: Millis = Millis(30_000);
/// Number of gateways that are told each time.
const EXCHANGE_PEERS: usize = 3;
/// The most datagrams to each of them; the rest follows with the next time.
const MAX_EXCHANGE_DATAGRAMS: usize = 8;
/// The most datagrams to a gateway that has been away.
const MAX_WELCOME_DATAGRAMS: usize = 64;

/// Where the periodic exchange is.
#[derive(Clone, Debug, Default)]
pub(super) struct Exchange {
    /// When the next gateways are told; `None` while there is nothing to tell.
    next: Option<Millis>,
    /// When this gateway last learned something.
    learned_at: Millis,
    /// Number of gateways that have been told; rotates them.
    told: usize,
    /// Number of messages that have been sent to a gateway in turn; rotates them.
    sent: usize,
    /// Whether this gateway hears most of the others.
    hears_majority: bool,
}

impl Exchange {
    /// Tells the others more often for a while.
    pub(super) fn note_news(&mut self, now: Millis) {
        self.learned_at = now;
        let soon = now + EXCHANGE_INTERVAL;
        self.next = self.next.map(|at| at.min(soon));
    }

    fn interval(&self, now: Millis) -> Millis {
        match now.since(self.learned_at) < NEWS_TIME {
            true => EXCHANGE_INTERVAL,
            false => QUIET_INTERVAL,
        }
    }
}

impl Control {
    /// Tells the next gateways in turn what this one knows.
    pub(super) fn exchange_parts(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.parts.evidence.is_empty() {
            self.parts.exchange.next = None;
            return;
        }
        // The gateways begin at different times, so that these messages do not coincide.
        let phase = rendezvous_weight(0, &self.settings.name) % EXCHANGE_INTERVAL.0;
        let next = *self.parts.exchange.next.get_or_insert(now + Millis(phase));
        if now < next {
            return;
        }
        let all = self.snapshot_messages(now);
        let exchange = &mut self.parts.exchange;
        exchange.next = Some(now + exchange.interval(now));
        let count = all.len().min(MAX_EXCHANGE_DATAGRAMS);
        let from = exchange.sent;
        exchange.sent += count;
        let peers = EXCHANGE_PEERS.min(self.members.count() - 1);
        // Neighbours by name begin far apart, so that they do not tell the same gateways.
        let first = phase as usize * peers + exchange.told;
        exchange.told += peers;
        for to in (first..first + peers).filter_map(|turn| self.members.in_turn(turn)) {
            let part = all.iter().cycle().skip(from % all.len()).take(count);
            out.extend(part.map(|message| Effect::Send(to.address, message.clone())));
        }
    }

    /// Tells all others what this gateway knows if it was cut off from most of them
    /// until now.
    pub(super) fn report_back(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let hears_majority = self.members.hears_majority(now);
        let heard = &mut self.parts.exchange.hears_majority;
        let is_back = hears_majority && !std::mem::replace(heard, hears_majority);
        if is_back && !self.parts.evidence.is_empty() {
            let all = self.snapshot_messages(now).into_iter();
            let all = all.take(MAX_EXCHANGE_DATAGRAMS);
            out.extend(all.map(Effect::Broadcast));
        }
    }

    /// Tells a gateway that has become reachable what this one knows. A few gateways do
    /// so, which its name selects.
    pub(in super::super) fn welcome(&self, now: Millis, peer: &str, out: &mut Vec<Effect>) {
        if self.parts.evidence.is_empty() || !self.members.is_sponsor(peer, EXCHANGE_PEERS) {
            return;
        }
        let Some(to) = self.members.address_of(peer) else {
            return;
        };
        let all = self.snapshot_messages(now).into_iter();
        let all = all.take(MAX_WELCOME_DATAGRAMS);
        out.extend(all.map(|message| Effect::Send(to, message)));
    }

    /// All that another gateway has to know. Progress goes before crashes, so that no
    /// decision lacks it.
    fn snapshot_messages(&self, now: Millis) -> Vec<Message> {
        let known = self.parts.evidence.snapshot(now);
        [
            messages(&known.blocks),
            messages(&known.progress),
            messages(&known.crashes),
        ]
        .concat()
    }
}
