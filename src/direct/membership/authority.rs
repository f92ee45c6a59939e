//! What this gateway may decide for all gateways.
//!
//! The others send to it, and take it for the owner of what falls to it, as long as its
//! registration stands. Its own lease does not show that: the registration may be gone, or
//! depend on another lease.

use super::registration::OwnRegistration;
use crate::clock::Millis;
use crate::direct::members::PEER_TIMEOUT;

/// What this gateway knows of its place among the others at some time.
#[derive(Clone, Copy, Debug)]
pub struct Authority<'a> {
    /// The time.
    pub now: Millis,
    /// Its registration.
    pub registration: &'a OwnRegistration,
    /// Until when its lease is certain to be valid.
    pub lease_until: Millis,
    /// Whether it hears a majority of the registered gateways, itself included.
    pub hears_majority: bool,
}

impl Authority<'_> {
    /// Whether the other gateways may count this one as gone.
    pub fn is_cut_off(&self) -> bool {
        let is_leased = self.now < self.lease_until;
        self.registration.is_lost() || !is_leased && !self.hears_majority
    }

    /// Whether this gateway may act as the owner of what falls to it. One that has never been
    /// registered is unknown to the others. While the registration is new, this gateway may
    /// not have heard those that come before it yet.
    pub fn may_own(&self) -> bool {
        if self.lease_until == Millis::ZERO {
            return false;
        }
        let since = self.registration.stands_since();
        let is_new = since.is_some_and(|since| self.now.since(since) < PEER_TIMEOUT);
        !self.is_cut_off() && (self.hears_majority || !is_new)
    }
}
