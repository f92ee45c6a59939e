//! What the traffic thread needs to know of the parts of prompts, and what it saw of
//! them.

use std::sync::{Mutex, MutexGuard};

use arc_swap::ArcSwap;

use super::request::PromptPart;
use super::suspects::PartId;
use crate::clock::Millis;

/// How long a part counts as answered lately.
const PROOF_LIFETIME: Millis = Millis(10_000);
/// Sets of the table of answered parts, 4 entries each: 256 KB.
const PROOF_SETS: usize = 1 << 12;
/// Entries of one set. Callers choose identifiers, so a set holds a few only.
const PROOFS_PER_SET: usize = 4;

/// Parts that the control thread has published, each list sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartLists {
    /// Requests with these parts are refused.
    pub blocked: Vec<PartId>,
    /// Progress with these parts is reported to the control thread at once.
    pub watched: Vec<PartId>,
}

/// Parts that were answered here lately, in a table of fixed size.
struct Proofs {
    /// Makes it unpredictable which identifiers share a set.
    seed: u64,
    sets: Vec<[(PartId, Millis); PROOFS_PER_SET]>,
}

impl Proofs {
    fn set_of(&self, part: PartId) -> usize {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&part.0.to_ne_bytes(), self.seed);
        hash as usize % self.sets.len()
    }

    /// Records an answer in place of the oldest one of the same set.
    fn record(&mut self, now: Millis, part: PartId) {
        let at = self.set_of(part);
        let set = &mut self.sets[at];
        let known = set.iter().position(|(id, _)| *id == part);
        let oldest = (0..PROOFS_PER_SET).min_by_key(|index| set[*index].1);
        let index = known.or(oldest).unwrap_or(0);
        set[index] = (part, now);
    }

    fn at(&self, part: PartId) -> Option<Millis> {
        let set = &self.sets[self.set_of(part)];
        let found = set
            .iter()
            .find(|(id, at)| *id == part && *at > Millis::ZERO);
        found.map(|(_, at)| *at)
    }
}

/// The parts that one gateway knows, shared by its threads.
pub struct PartTable {
    lists: ArcSwap<PartLists>,
    proofs: Mutex<Proofs>,
}

impl Default for PartTable {
    fn default() -> Self {
        Self {
            lists: ArcSwap::default(),
            proofs: Mutex::new(Proofs {
                seed: rand::random(),
                sets: vec![[(PartId(0), Millis::ZERO); PROOFS_PER_SET]; PROOF_SETS],
            }),
        }
    }
}

impl PartTable {
    /// Replaces the lists.
    pub fn publish(&self, lists: PartLists) {
        self.lists.store(lists.into());
    }

    /// The parts of a prompt that several prompts can share: all but the last one,
    /// which belongs to the request or its session.
    pub fn shared_parts(parts: &[PromptPart]) -> impl Iterator<Item = PartId> {
        let (_, shared) = parts
            .split_last()
            .map_or((None, parts), |(last, rest)| (Some(last), rest));
        shared.iter().map(|part| PartId(part.id))
    }

    /// The first blocked part of a prompt.
    pub fn blocked_part(&self, parts: &[PromptPart]) -> Option<PartId> {
        let lists = self.lists.load();
        if lists.blocked.is_empty() {
            return None;
        }
        Self::shared_parts(parts).find(|part| lists.blocked.binary_search(part).is_ok())
    }

    /// Records that an answer to a prompt got under way. Returns the parts of which the
    /// control thread has to know.
    pub fn record_progress(&self, now: Millis, parts: &[PartId]) -> Vec<PartId> {
        let mut proofs = self.proofs();
        for part in parts {
            proofs.record(now, *part);
        }
        drop(proofs);
        let lists = self.lists.load();
        let watched = parts
            .iter()
            .filter(|part| lists.watched.binary_search(part).is_ok());
        watched.copied().collect()
    }

    /// When a part was last answered here, if that is remembered.
    pub fn answered_at(&self, part: PartId) -> Option<Millis> {
        self.proofs().at(part)
    }

    /// Whether a part was answered here lately.
    pub fn is_proven(&self, now: Millis, part: PartId) -> bool {
        let answered = self.answered_at(part);
        answered.is_some_and(|at| now.since(at) < PROOF_LIFETIME)
    }

    /// A panic in one thread leaves the table consistent.
    fn proofs(&self) -> MutexGuard<'_, Proofs> {
        self.proofs.lock().unwrap_or_else(|e| e.into_inner())
    }
}
