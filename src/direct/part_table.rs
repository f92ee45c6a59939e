//! What the traffic thread needs to know of the parts of prompts, and what it saw of
//! them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use super::request::PromptPart;
use super::suspects::{PartId, Tie, refused_among};
use crate::clock::Millis;

/// How long a part counts as answered lately.
const PROOF_LIFETIME: Millis = Millis(10_000);
/// How long a request whose parts were answered may be repeated although an endpoint
/// ended under it: in a large fleet one gateway sees each part seldom.
const REPEAT_LIFETIME: Millis = Millis(60_000);
/// Sets of the table of answered parts. With 4 entries of 24 bytes each: 384 KB.
const PROOF_SETS: usize = 1 << 12;
/// Entries of one set. Callers choose identifiers, so a set holds a few only.
const PROOFS_PER_SET: usize = 4;

/// Parts that the control thread has published, each list sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartLists {
    /// Requests with these parts are refused.
    pub blocked: Vec<PartId>,
    /// Those of them for which a request is refused only if it holds all of a tie.
    pub ties: Vec<Tie>,
    /// Progress with these parts is reported to the control thread at once.
    pub watched: Vec<PartId>,
}

/// The most trials that wait for a request.
const MAX_TRIALS: usize = 512;

/// When a part was last answered.
#[derive(Clone, Copy)]
struct Proof {
    part: PartId,
    /// Zero in an empty entry.
    at: Millis,
    /// Whether it was answered before as well.
    is_repeated: bool,
}

impl Proof {
    const EMPTY: Self = Self {
        part: PartId(0),
        at: Millis::ZERO,
        is_repeated: false,
    };
}

/// Parts that were answered here lately, in a table of fixed size.
struct Proofs {
    /// Makes it unpredictable which identifiers share a set.
    seed: u64,
    sets: Vec<[Proof; PROOFS_PER_SET]>,
}

impl Proofs {
    fn set_of(&self, part: PartId) -> usize {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&part.0.to_ne_bytes(), self.seed);
        hash as usize % self.sets.len()
    }

    /// Records an answer, in place of the oldest entry of its set. Parts that are
    /// answered again and again are replaced last, so that a caller that invents
    /// identifiers doesn't displace them.
    fn record(&mut self, now: Millis, part: PartId) {
        let at = self.set_of(part);
        let set = &mut self.sets[at];
        if let Some(known) = set.iter_mut().find(|proof| proof.part == part) {
            known.is_repeated = known.at > Millis::ZERO;
            known.at = now;
            return;
        }
        let is_popular = |proof: &Proof| proof.is_repeated && now.since(proof.at) < PROOF_LIFETIME;
        let replaced = set
            .iter_mut()
            .min_by_key(|proof| (is_popular(proof), proof.at));
        if let Some(replaced) = replaced {
            *replaced = Proof {
                part,
                at: now,
                is_repeated: false,
            };
        }
    }

    fn at(&self, part: PartId) -> Option<Millis> {
        let set = &self.sets[self.set_of(part)];
        let found = set.iter().find(|proof| proof.part == part);
        found.map(|proof| proof.at).filter(|at| *at > Millis::ZERO)
    }
}

/// The parts that one gateway knows, shared by its threads.
pub struct PartTable {
    lists: ArcSwap<PartLists>,
    /// Whether any part is blocked, so that most requests read nothing else.
    has_blocked: AtomicBool,
    /// The same for watched parts.
    has_watched: AtomicBool,
    /// Whether the blocks from before the start are among the lists.
    are_blocks_known: watch::Sender<bool>,
    proofs: Mutex<Proofs>,
    /// Blocked parts each of which one request may try.
    trials: Mutex<Vec<Vec<PartId>>>,
}

impl Default for PartTable {
    fn default() -> Self {
        Self {
            lists: ArcSwap::default(),
            has_blocked: AtomicBool::new(false),
            has_watched: AtomicBool::new(false),
            are_blocks_known: watch::Sender::new(false),
            proofs: Mutex::new(Proofs {
                seed: rand::random(),
                sets: vec![[Proof::EMPTY; PROOFS_PER_SET]; PROOF_SETS],
            }),
            trials: Mutex::default(),
        }
    }
}

impl PartTable {
    /// Replaces the lists.
    pub fn publish(&self, lists: PartLists) {
        let has_blocked = !lists.blocked.is_empty();
        let has_watched = !lists.watched.is_empty();
        let is_blocked = |part: &PartId| lists.blocked.binary_search(part).is_ok();
        self.trials().retain(|trial| trial.iter().all(is_blocked));
        self.lists.store(lists.into());
        self.has_blocked.store(has_blocked, Ordering::Release);
        self.has_watched.store(has_watched, Ordering::Release);
    }

    /// The lists hold the blocks from before the start, as far as they can be read.
    pub fn set_blocks_known(&self) {
        self.are_blocks_known.send_replace(true);
    }

    /// Whether they do.
    pub fn are_blocks_known(&self) -> bool {
        *self.are_blocks_known.borrow()
    }

    /// Waits until they do.
    pub async fn wait_for_blocks(&self) {
        let mut known = self.are_blocks_known.subscribe();
        // Cannot fail: the sender is kept.
        let _ = known.wait_for(|known| *known).await;
    }

    /// The parts of a prompt that several prompts can share: all but the last one,
    /// which belongs to the request or its session.
    pub fn shared_parts(parts: &[PromptPart]) -> impl Iterator<Item = PartId> {
        let shared = &parts[..parts.len().saturating_sub(1)];
        shared.iter().map(|part| PartId(part.id))
    }

    /// The first part for which a prompt is refused.
    pub fn blocked_part(&self, parts: &[PromptPart]) -> Option<PartId> {
        self.blocked_parts(parts).first().copied()
    }

    fn blocked_parts(&self, parts: &[PromptPart]) -> Vec<PartId> {
        if !self.has_blocked.load(Ordering::Acquire) {
            return Vec::new();
        }
        let lists = self.lists.load();
        let shared: Vec<PartId> = Self::shared_parts(parts).collect();
        refused_among(&lists.blocked, &lists.ties, &shared)
    }

    /// Lets one request through that is refused for these parts alone, sorted.
    pub fn allow_trial(&self, parts: Vec<PartId>) {
        let mut trials = self.trials();
        trials.retain(|trial| trial.iter().all(|part| !parts.contains(part)));
        trials.push(parts);
        trials.truncate(MAX_TRIALS);
    }

    /// Whether a request that is refused may be sent as a trial.
    pub fn has_trial(&self, parts: &[PromptPart]) -> bool {
        self.find_trial(&self.trials(), parts).is_some()
    }

    /// Takes the trial of a request that is about to be sent.
    pub fn take_trial(&self, parts: &[PromptPart]) -> bool {
        let mut trials = self.trials();
        let found = self.find_trial(&trials, parts);
        found.map(|at| trials.remove(at)).is_some()
    }

    fn find_trial(&self, trials: &[Vec<PartId>], parts: &[PromptPart]) -> Option<usize> {
        if trials.is_empty() {
            return None;
        }
        let blocked = self.blocked_parts(parts);
        let is_alone = |trial: &Vec<PartId>| blocked.iter().all(|p| trial.contains(p));
        trials.iter().position(is_alone)
    }

    /// Whether any part is watched.
    pub fn has_watched(&self) -> bool {
        self.has_watched.load(Ordering::Acquire)
    }

    /// Whether some crash speaks against a part, or it is blocked.
    pub fn is_watched(&self, part: PartId) -> bool {
        self.lists.load().watched.binary_search(&part).is_ok()
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

    /// Whether a part was answered here, longer ago too, so that it is unlikely to end
    /// endpoints.
    pub fn is_repeatable(&self, now: Millis, part: PartId) -> bool {
        let answered = self.answered_at(part);
        answered.is_some_and(|at| now.since(at) < REPEAT_LIFETIME)
    }

    fn trials(&self) -> MutexGuard<'_, Vec<Vec<PartId>>> {
        self.trials.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A panic in one thread leaves the table consistent.
    fn proofs(&self) -> MutexGuard<'_, Proofs> {
        self.proofs.lock().unwrap_or_else(|e| e.into_inner())
    }
}
