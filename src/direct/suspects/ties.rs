//! Blocked parts of which none can be blamed alone, as each was in the same crashes.
//!
//! One of them ends endpoints, and the others only came with it. A prompt that holds some of them
//! is let through: its answer, or its crash, tells which it is. A prompt that holds all is refused.

use super::PartId;
use super::block::{Block, BlockState};
use crate::clock::Millis;

/// Blocks for the same crashes began at the same time, except for what messages take. Endpoints
/// that come back under their identifiers may name others.
const SAME_START: Millis = Millis(500);

/// Parts that are blocked together: sorted, two at least.
pub type Tie = Vec<PartId>;

/// The ties among blocks, whose `since` may hold ages or times.
pub fn ties(blocks: &[Block]) -> Vec<Tie> {
    let is_counted = |b: &&Block| b.state == BlockState::Blocked && !b.cause.endpoints().is_empty();
    let mut blocked: Vec<&Block> = blocks.iter().filter(is_counted).collect();
    blocked.sort_by(|a, b| (a.cause.endpoints(), a.since).cmp(&(b.cause.endpoints(), b.since)));
    let is_same = |a: &&Block, b: &&Block| {
        a.cause.endpoints() == b.cause.endpoints() && b.since.since(a.since) <= SAME_START
    };
    let tied = blocked.chunk_by(is_same).filter(|tie| tie.len() > 1);
    let mut all: Vec<Tie> = tied.map(|tie| sorted(tie.iter().map(|b| b.part))).collect();
    all.sort_unstable();
    all
}

fn sorted(parts: impl Iterator<Item = PartId>) -> Tie {
    let mut tie: Tie = parts.collect();
    tie.sort_unstable();
    tie
}

/// The tie of a part; `None` if it is blocked alone.
pub(super) fn tie_of(ties: &[Tie], part: PartId) -> Option<&Tie> {
    ties.iter().find(|tie| tie.binary_search(&part).is_ok())
}

/// Those of some parts for which a prompt with all of these is refused, given the blocked parts,
/// sorted, and the ties among them.
pub fn refused_among(blocked: &[PartId], ties: &[Tie], parts: &[PartId]) -> Vec<PartId> {
    let is_whole = |tie: &Tie| tie.iter().all(|part| parts.contains(part));
    let is_refused = |part: &&PartId| {
        blocked.binary_search(part).is_ok() && tie_of(ties, **part).is_none_or(is_whole)
    };
    parts.iter().filter(is_refused).copied().collect()
}
