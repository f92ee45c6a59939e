//! Gateways tell each other of further ones while the store is away. One that started when
//! it went away may not have read the registrations of all, nor they its own.

use compact_str::CompactString;

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::gossip::{Message, split_rows};
use crate::direct::members::Member;

/// Interval between two such messages.
const INTERVAL: Millis = Millis(500);
/// Number of gateways that are told each time, in turn.
const TOLD_PEERS: usize = 3;
/// Time after which a gateway that the store does not list is dropped again once the
/// store answers: the watch delivers what was registered meanwhile.
const CONFIRMATION_TIME: Millis = Millis(5_000);

/// Gateways that this one knows only from others.
#[derive(Clone, Debug, Default)]
pub(super) struct Acquaintances {
    unconfirmed: Vec<CompactString>,
    /// When those that the store has not listed by then are dropped.
    drop_at: Option<Millis>,
    next_message: Millis,
    /// Number of gateways told so far.
    turn: usize,
}

impl Acquaintances {
    /// Records that the store lists a gateway.
    pub(super) fn confirm(&mut self, name: &str) {
        self.unconfirmed.retain(|known| known != name);
    }
}

impl Control {
    /// Tells others of the known gateways while the store is away, and drops those that it
    /// does not list once it is back.
    pub(super) fn tend_acquaintances(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.is_store_lost {
            self.drop_unconfirmed(now);
            return;
        }
        let state = &mut self.acquaintances;
        state.drop_at = None;
        if now < state.next_message {
            return;
        }
        state.next_message = now + INTERVAL;
        let all: Vec<Member> = self.members.iter().cloned().collect();
        for _ in 0..TOLD_PEERS.min(all.len()) {
            self.acquaintances.turn += 1;
            let Some(to) = self.members.in_turn(self.acquaintances.turn) else {
                continue;
            };
            let parts = split_rows(&all).into_iter();
            out.extend(parts.map(|part| Effect::Send(to.address, Message::Members(part))));
        }
    }

    /// Handles gateways that another one knows.
    pub(super) fn members_told(&mut self, members: Vec<Member>, out: &mut Vec<Effect>) {
        if !self.is_store_lost {
            return;
        }
        for member in members {
            let name = member.name.clone();
            if name == self.settings.name || self.members.address_of(&name).is_some() {
                continue;
            }
            self.member_joined(member, out);
            self.acquaintances.unconfirmed.push(name);
        }
    }

    fn drop_unconfirmed(&mut self, now: Millis) {
        let state = &mut self.acquaintances;
        if state.unconfirmed.is_empty() {
            return;
        }
        if now < *state.drop_at.get_or_insert(now + CONFIRMATION_TIME) {
            return;
        }
        for name in std::mem::take(&mut state.unconfirmed) {
            self.member_left(now, &name);
        }
    }
}
