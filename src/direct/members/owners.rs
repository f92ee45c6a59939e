//! Which gateway owns what, among those that are heard.

use std::net::SocketAddr;

use super::{Members, PEER_TIMEOUT, Peer};
use crate::clock::Millis;
use crate::direct::balance::rendezvous_weight;

/// The gateway that owns something: that grants requests to an endpoint with a limited rate, or
/// writes records of streams to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This gateway.
    Own,
    /// The one at this address.
    Other(SocketAddr),
}

impl Members {
    /// The owner of what a key stands for, such as an endpoint's rate, among the gateways that
    /// stay and are heard. This gateway says whether it is stopping itself.
    pub fn owner_of(&self, now: Millis, key: u64, is_draining: bool) -> Owner {
        let weight = |name: &str| rendezvous_weight(key, name);
        let best = self.staying(now).max_by_key(|p| weight(&p.member.name));
        match best {
            Some(best) if is_draining || weight(&best.member.name) > weight(&self.own_name) => {
                Owner::Other(best.member.address)
            }
            _ => Owner::Own,
        }
    }

    /// Whether a registered gateway that is not heard comes before all that are heard as the
    /// owner of what a key stands for. Others may hear it, and take it for the owner.
    pub fn may_be_preceded(&self, now: Millis, key: u64) -> bool {
        let weight = |peer: &Peer| rendezvous_weight(key, &peer.member.name);
        let own = rendezvous_weight(key, &self.own_name);
        let is_silent = |p: &&Peer| {
            p.report.boot == 0
                || !p.report.is_draining && now.since(p.report.received_at) >= PEER_TIMEOUT
        };
        let mut silent = self.peers.iter().filter(is_silent);
        silent.any(|peer| weight(peer) > own)
    }

    /// Identifies the set of gateways among which owners are chosen.
    pub fn membership(&self, now: Millis, is_draining: bool) -> u64 {
        let own = rendezvous_weight(u64::from(is_draining), &self.own_name);
        let others = self.staying(now);
        let weights = others.map(|p| rendezvous_weight(p.member.boot, &p.member.name));
        weights.fold(own, u64::wrapping_add)
    }

    pub(super) fn staying(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.iter().filter(|p| p.report.boot != 0);
        peers.filter(move |p| {
            !p.report.is_draining && now.since(p.report.received_at) < PEER_TIMEOUT
        })
    }

    /// The latest time since which each of a majority of the registered gateways, with this one,
    /// was heard, if there are others.
    pub fn majority_heard_at(&self) -> Option<Millis> {
        let heard = self.peers.iter().filter(|p| p.report.boot != 0);
        let mut heard: Vec<Millis> = heard.map(|p| p.report.received_at).collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.count() / 2;
        heard.get(needed.checked_sub(1)?).copied()
    }

    /// Whether this gateway and the reachable peers are a majority of the registered gateways.
    pub fn hears_majority(&self, now: Millis) -> bool {
        let is_reachable =
            |p: &&Peer| now.since(p.report.received_at) < PEER_TIMEOUT && p.report.boot != 0;
        let reachable = self.peers.iter().filter(is_reachable).count() + 1;
        reachable * 2 > self.count()
    }
}
