//! The time until which a gateway may charge.

use super::Escrow;
use super::event::ShareEffect;
use crate::clock::Millis;
use crate::wire::Member;

/// How long a holder relies on its lease, counted from sending the renewal. Shorter
/// than the lease's time to live, so that the holder stops before the lease ends.
pub(super) const LEASE_VALIDITY: Millis = Millis(4_500);
/// How long an acknowledgement counts, from sending the acknowledged heartbeat.
pub(super) const ACK_VALIDITY: Millis = Millis(2_000);
/// How long a majority's acknowledgements may replace renewals of the lease.
pub(super) const MAX_QUORUM_EXTENSION: Millis = Millis(600_000);

impl Escrow {
    /// Records a renewal. If the last one is too long ago, the lease may have
    /// lapsed, and a later term may have left this gateway out since.
    pub(super) fn on_renewed(&mut self, now: Millis, sent_at: Millis) {
        let is_unbroken = self
            .renewal_sent_at
            .is_some_and(|at| now < at + LEASE_VALIDITY);
        if !is_unbroken {
            self.term_unconfirmed_since = Some(now);
        }
        self.renewal_sent_at = self.renewal_sent_at.max(Some(sent_at));
    }

    /// Confirms a reacquired lease by a read that was sent after it. The read
    /// shows the term in force, and no later term can leave this gateway out
    /// while it holds the lease.
    pub(super) fn confirm_lease(&mut self, sent_at: Millis, leased: &[Member]) {
        let is_later = self.term_unconfirmed_since.is_some_and(|at| sent_at >= at);
        if is_later && leased.contains(&self.local) {
            self.term_unconfirmed_since = None;
        }
    }

    /// The time until which the lease alone permits charging.
    fn lease_valid_until(&self) -> Millis {
        match (self.renewal_sent_at, self.term_unconfirmed_since) {
            (Some(renewed), None) => renewed + LEASE_VALIDITY,
            _ => Millis::ZERO,
        }
    }

    /// Extends the deadline as far as the lease or a majority permits.
    pub(super) fn extend_charge_deadline(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        let Some(renewed) = self.renewal_sent_at else {
            return;
        };
        if !self.term.members.contains(&self.local) {
            return;
        }
        let lease_valid_until = self.lease_valid_until();
        let quorum_until = self.quorum_until().min(renewed + MAX_QUORUM_EXTENSION);
        let until = lease_valid_until.max(quorum_until);
        if until > self.charge_deadline && until > now {
            self.charge_deadline = until;
            out.push(ShareEffect::SetChargeDeadline(until));
        }
    }

    /// Reduces the deadline of an earlier term to what the lease and that term's
    /// acknowledgements still cover.
    pub(super) fn limit_charge_deadline(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        let covered = self.lease_valid_until().max(now + ACK_VALIDITY);
        self.charge_deadline = self.charge_deadline.min(covered);
        out.push(ShareEffect::SetChargeDeadline(self.charge_deadline));
    }

    /// The time until which acknowledgements from a majority of the term, this
    /// gateway included, are valid. The only member of a term has no limit.
    pub(super) fn quorum_until(&self) -> Millis {
        let needed = self.term.members.len() / 2;
        let mut echoes: Vec<Millis> = self
            .peers
            .iter()
            .filter(|p| p.term == self.term.number && self.term.members.contains(&p.member))
            .map(|p| p.echo)
            .collect();
        echoes.sort_unstable_by(|a, b| b.cmp(a));
        match needed.checked_sub(1) {
            Some(last) => echoes.get(last).map_or(Millis::ZERO, |e| *e + ACK_VALIDITY),
            None => Millis(u64::MAX),
        }
    }
}
