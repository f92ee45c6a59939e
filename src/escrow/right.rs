//! Until when a gateway may charge.

use super::Escrow;
use super::event::ShareEffect;
use crate::clock::Millis;

/// How long a holder relies on a lease after it asked for the renewal.
pub(super) const LEASE_RIGHT: Millis = Millis(4_500);
/// How long a vouch lasts, counted from the moment the holder asked for it.
pub(super) const VOUCH_RIGHT: Millis = Millis(2_000);
/// How long vouches may replace the platform's service.
pub(super) const MAX_VOUCHED: Millis = Millis(600_000);

impl Escrow {
    /// Works out until when this gateway may spend.
    pub(super) fn extend_right(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        let Some(renewed) = self.renewed else {
            return;
        };
        if !self.term.members.contains(&self.me) {
            return;
        }
        let leased_until = renewed + LEASE_RIGHT;
        let vouched_until = self.vouched_until().min(renewed + MAX_VOUCHED);
        let until = leased_until.max(vouched_until);
        if until > self.right_until && until > now {
            self.right_until = until;
            out.push(ShareEffect::SetRight(until));
        }
    }

    /// Reduces the right from an earlier term to what the lease and that term's
    /// vouches still cover.
    pub(super) fn limit_right(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        let leased_until = self.renewed.map_or(Millis::ZERO, |at| at + LEASE_RIGHT);
        let covered = leased_until.max(now + VOUCH_RIGHT);
        self.right_until = self.right_until.min(covered);
        out.push(ShareEffect::SetRight(self.right_until));
    }

    /// The moment until which a majority of the term, this gateway included, vouches.
    pub(super) fn vouched_until(&self) -> Millis {
        let needed = self.term.members.len() / 2;
        let mut echoes: Vec<Millis> = self
            .peers
            .iter()
            .filter(|p| p.term == self.term.number && self.term.members.contains(&p.member))
            .map(|p| p.echo)
            .collect();
        echoes.sort_unstable_by(|a, b| b.cmp(a));
        match needed.checked_sub(1) {
            Some(last) => echoes.get(last).map_or(Millis::ZERO, |e| *e + VOUCH_RIGHT),
            None => Millis(u64::MAX),
        }
    }
}
