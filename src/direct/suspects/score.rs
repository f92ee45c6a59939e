//! How strongly the evidence speaks against a part.

use compact_str::CompactString;

use super::{Crash, Evidence, PartId};
use crate::clock::Millis;

/// Crashes that follow each other within this time may have one common cause, such as
/// a loss of power.
pub(super) const EPISODE_GAP: Millis = Millis(100);
/// Crashes that a part has to explain before it is blocked.
const CRASHES_TO_BLOCK: usize = 3;
/// The same for a part with which answers got under way shortly before.
const CRASHES_TO_BLOCK_PROVEN: usize = 5;
/// How long before its first crash an answer counts as shortly before.
const PROVEN_LIFETIME: Millis = Millis(60_000);

/// A part that is to be blocked.
pub(super) struct Accused {
    pub(super) part: PartId,
    /// When the last crash ended an endpoint.
    pub(super) last: Millis,
    /// The endpoints that ended.
    pub(super) ended: Vec<CompactString>,
}

/// The parts that explain the most crashes and enough of them to be blocked.
pub(super) fn accused(now: Millis, evidence: &Evidence) -> Vec<Accused> {
    let blocked: Vec<PartId> = evidence.blocked();
    let mut crashes: Vec<&Crash> = evidence.crashes.iter().collect();
    // A crash with a blocked part is explained by it.
    crashes.retain(|c| !c.parts.iter().any(|p| blocked.binary_search(p).is_ok()));
    crashes.sort_unstable_by_key(|c| c.at);
    let mut candidates: Vec<PartId> = crashes.iter().flat_map(|c| c.parts.clone()).collect();
    candidates.sort_unstable();
    candidates.dedup();
    let scored = candidates.into_iter().filter_map(|part| {
        let first = crashes.iter().find(|c| c.has(part))?.at;
        let is_proven = evidence
            .progress_of(part)
            .is_some_and(|at| first.since(at) < PROVEN_LIFETIME);
        let score = score(now, &crashes, part, is_proven);
        let needed = match is_proven {
            true => CRASHES_TO_BLOCK_PROVEN,
            false => CRASHES_TO_BLOCK,
        };
        (score >= needed).then_some((score, part))
    });
    let scored: Vec<(usize, PartId)> = scored.collect();
    let most = scored.iter().map(|(score, _)| *score).max();
    let accused = scored.iter().filter(|(score, _)| Some(*score) == most);
    accused
        .map(|(_, part)| {
            let ended: Vec<&&Crash> = crashes.iter().filter(|c| c.has(*part)).collect();
            Accused {
                part: *part,
                last: ended.last().map_or(now, |c| c.at),
                ended: ended.iter().map(|c| c.endpoint.clone()).collect(),
            }
        })
        .collect()
}

impl Crash {
    fn has(&self, part: PartId) -> bool {
        self.parts.binary_search(&part).is_ok()
    }
}

/// The number of crashes that a part explains. Of crashes at about the same time only
/// those count that outnumber the ones without the part, once all are known.
fn score(now: Millis, by_time: &[&Crash], part: PartId, is_proven: bool) -> usize {
    let mut total = 0;
    for episode in by_time.chunk_by(|a, b| b.at.since(a.at) <= EPISODE_GAP) {
        let with = episode.iter().filter(|c| c.has(part)).count();
        if with == 0 {
            continue;
        }
        let is_over = episode
            .last()
            .is_some_and(|last| now.since(last.at) > EPISODE_GAP);
        let without = episode.len() - with;
        total += match is_over && !is_proven {
            true => with.saturating_sub(without).max(1),
            false => 1,
        };
    }
    total
}
