//! One workspace's share at one gateway.

use compact_str::CompactString;

use super::event::{Limit, ShareEffect};
use crate::bucket::WHOLE_PPM;
use crate::clock::Millis;
use crate::wire::Member;

/// The rate that a holder keeps for itself, in percent of its own use.
const KEPT_PERCENT_OF_USE: u64 = 125;

#[derive(Clone, Debug)]
pub(super) struct Holding {
    pub(super) limit: Limit,
    /// The share carried into the term, plus an equal part of what no member carried
    /// once the term is active.
    pub(super) base: u64,
    /// Share received minus share given away within the term.
    pub(super) traded: i64,
    /// A moving average of use, in tokens a second.
    pub(super) used_per_s: u64,
    /// Tokens that the largest refused request of the last tick was short of.
    pub(super) shortage: u64,
    pub(super) requested_at: Millis,
}

impl Holding {
    pub(super) fn new(limit: Limit, base: u64) -> Self {
        Self {
            limit,
            base,
            traded: 0,
            used_per_s: 0,
            shortage: 0,
            requested_at: Millis::ZERO,
        }
    }

    pub(super) fn share(&self) -> u64 {
        (self.base as i64 + self.traded).max(0) as u64
    }

    /// The share that is not needed here, in parts per million.
    pub(super) fn spare(&self) -> u64 {
        if self.shortage > 0 {
            return 0;
        }
        let kept = self.used_per_s * KEPT_PERCENT_OF_USE / 100;
        let kept_ppm = kept * WHOLE_PPM / self.limit.rate.max(1);
        self.share().saturating_sub(kept_ppm)
    }

    /// The share to give to a holder that is short of `tokens`, in parts per million.
    pub(super) fn grant_for(&self, tokens: u64) -> u64 {
        let spare = self.spare();
        let needed = tokens.saturating_mul(WHOLE_PPM) / self.limit.burst.max(1);
        (spare / 2).max(needed.min(spare))
    }
}

/// The shares with which a member entered a term.
#[derive(Clone, Debug)]
pub(super) struct Carried {
    pub(super) member: Member,
    pub(super) term: u64,
    pub(super) shares: Vec<(CompactString, u64)>,
}

impl Carried {
    pub(super) fn share(&self, workspace: &str) -> u64 {
        let shares = &self.shares;
        let at = shares.binary_search_by(|(name, _)| name.as_str().cmp(workspace));
        at.map_or(0, |at| shares[at].1)
    }
}

pub(super) fn set_share(holding: &Holding) -> ShareEffect {
    ShareEffect::SetShare {
        workspace: holding.limit.workspace.clone(),
        ppm: holding.share(),
    }
}
