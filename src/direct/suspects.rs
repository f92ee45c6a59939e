//! Which parts of prompts end the endpoints that answer them.
//!
//! One part may end every endpoint that begins to answer it. All requests at the
//! endpoint break with it, so one crash alone leaves many suspects. Every gateway
//! collects the same evidence, its own and that of the others: the parts that
//! endpoints were about to answer when they ended, and the parts with which an answer
//! got under way. A part that explains several crashes, and with which no answer has
//! got under way since, is blocked. Parts that explain them equally well are blocked
//! together until an answer or another crash tells them apart.
//!
//! Nothing here does I/O. Messages carry ages instead of times, because the clocks of
//! gateways differ.

mod block;
mod score;
mod ties;

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

pub use block::{Block, BlockCause, BlockState};
pub use ties::{Tie, refused_among, ties};

use super::run_hash::run_hash;
use crate::clock::Millis;
use block::BlockTable;
use score::Accused;

/// How long evidence counts.
pub const EVIDENCE_LIFETIME: Millis = Millis(24 * 3_600_000);
/// How long a crash without suspects is kept: it only tells whether endpoints ended at
/// the same time for another reason.
const BARE_CRASH_LIFETIME: Millis = Millis(60_000);
/// How long all crashes are kept, because they tell what happened at the same time.
const RECENT_TIME: Millis = Millis(1_000);
/// How long progress is kept, for reports of crashes that arrive later.
const PROGRESS_LIFETIME: Millis = Millis(120_000);
/// Subtracted from the time of progress that is passed on, more than a message takes.
/// Otherwise its time would move on each time gateways exchange it, past later crashes.
const RELAY_MARGIN: Millis = Millis(200);
/// Where the evidence's time begins, so that what happened before a gateway started has
/// a time as well.
const ORIGIN: Millis = Millis(30 * 24 * 3_600_000);
/// The most crashes that are kept.
const MAX_CRASHES: usize = 512;
/// The most parts of one crash that are kept.
pub const MAX_CRASH_PARTS: usize = 128;
/// The most groups of parts that one decision blocks.
const MAX_ROUNDS: usize = 16;
/// The most parts whose progress is kept.
const MAX_PROGRESS: usize = 4_096;

/// Identifies a part of a prompt by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

/// Sixteen hexadecimal digits, as in logs and commands.
impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Identifies one run of an endpoint that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

impl CrashId {
    /// The end of the run of an endpoint that began at `started_at`.
    pub fn of_run(endpoint: &str, started_at: u64) -> Self {
        Self(run_hash(endpoint, started_at))
    }
}

/// What one gateway saw of the end of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The run that ended. Reports of several gateways about it are merged.
    pub id: CrashId,
    /// The endpoint's identifier, for operators.
    pub endpoint: CompactString,
    /// Its software version.
    pub version: CompactString,
    /// How long ago it ended.
    pub age: Millis,
    /// Parts that it was about to answer, without the last part of each prompt and
    /// without parts that the gateway saw answered lately.
    pub parts: Vec<PartId>,
}

/// An answer to a prompt with this part got under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartProgress {
    /// The part.
    pub part: PartId,
    /// How long ago.
    pub age: Millis,
}

/// All that a gateway knows, for another gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Crashes with parts that are still suspect.
    pub crashes: Vec<CrashReport>,
    /// Progress with parts of these crashes.
    pub progress: Vec<PartProgress>,
    /// Blocks, those that were lifted too.
    pub blocks: Vec<Block>,
}

#[derive(Clone, Debug)]
struct Crash {
    id: CrashId,
    endpoint: CompactString,
    version: CompactString,
    /// By the report that puts it earliest, because messages take time.
    at: Millis,
    /// Parts that are suspect, sorted.
    parts: Vec<PartId>,
    /// Parts with which an answer got under way since, sorted. Reports that arrive
    /// later do not make them suspect again.
    cleared: Vec<PartId>,
}

impl Crash {
    /// Clears a part with which an answer got under way since.
    fn clear(&mut self, part: PartId) {
        let Ok(index) = self.parts.binary_search(&part) else {
            return;
        };
        self.parts.remove(index);
        if self.cleared.len() < MAX_CRASH_PARTS
            && let Err(index) = self.cleared.binary_search(&part)
        {
            self.cleared.insert(index, part);
        }
    }

    /// What matters least is dropped first.
    fn importance(&self, now: Millis) -> (bool, bool, Millis) {
        let has_suspects = !self.parts.is_empty();
        let is_recent = now.since(self.at) < RECENT_TIME;
        (has_suspects || is_recent, has_suspects, self.at)
    }
}

/// The evidence of one gateway, and the blocks that follow from it.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Sorted by identifier.
    crashes: Vec<Crash>,
    /// When an answer with a part last got under way, sorted by part.
    progress: Vec<(PartId, Millis)>,
    blocks: BlockTable,
    /// Whether the evidence has changed since the last decision, or will count for
    /// more as time passes.
    is_open: bool,
}

impl Evidence {
    /// Adds a report of a crash. Returns whether it adds anything.
    pub fn record_crash(&mut self, now: Millis, report: &CrashReport) -> bool {
        let at = now + ORIGIN - report.age;
        let (index, is_new) = match self.crashes.binary_search_by_key(&report.id, |c| c.id) {
            Ok(index) => (index, false),
            Err(_) if report.age >= EVIDENCE_LIFETIME => return false,
            Err(index) => {
                let crash = Crash {
                    id: report.id,
                    endpoint: report.endpoint.clone(),
                    version: report.version.clone(),
                    at,
                    parts: Vec::new(),
                    cleared: Vec::new(),
                };
                self.crashes.insert(index, crash);
                (index, true)
            }
        };
        self.crashes[index].at = self.crashes[index].at.min(at);
        let has_new = self.add_parts(index, &report.parts);
        self.clear_answered(index);
        if is_new {
            self.drop_surplus_crashes(now + ORIGIN, report.id);
        }
        self.is_open |= is_new || has_new;
        is_new || has_new
    }

    /// Adds parts to a crash. A part that is suspect in another crash takes the place of
    /// one that is not, so that callers who name many parts cannot hide it.
    fn add_parts(&mut self, index: usize, parts: &[PartId]) -> bool {
        let mut has_new = false;
        for part in parts {
            let crash = &self.crashes[index];
            let is_cleared = crash.cleared.binary_search(part).is_ok();
            if is_cleared || crash.parts.binary_search(part).is_ok() {
                continue;
            }
            if crash.parts.len() >= MAX_CRASH_PARTS {
                if !self.is_suspect_elsewhere(index, *part) {
                    continue;
                }
                let known = self.crashes[index].parts.iter();
                let Some(least) = known
                    .clone()
                    .position(|p| !self.is_suspect_elsewhere(index, *p))
                else {
                    continue;
                };
                self.crashes[index].parts.remove(least);
            }
            let known = &mut self.crashes[index].parts;
            if let Err(at) = known.binary_search(part) {
                known.insert(at, *part);
                has_new = true;
            }
        }
        has_new
    }

    fn is_suspect_elsewhere(&self, index: usize, part: PartId) -> bool {
        let mut others = self.crashes.iter().enumerate();
        others.any(|(at, c)| at != index && c.parts.binary_search(&part).is_ok())
    }

    /// Clears the parts of a crash with which an answer got under way since.
    fn clear_answered(&mut self, index: usize) {
        let crash = &self.crashes[index];
        let answered = crash
            .parts
            .iter()
            .copied()
            .filter(|part| self.progress_of(*part).is_some_and(|at| at >= crash.at));
        for part in answered.collect::<Vec<_>>() {
            self.crashes[index].clear(part);
        }
    }

    /// Records that an answer with a part got under way. Returns whether it says more
    /// than what was known.
    pub fn record_progress(&mut self, now: Millis, progress: PartProgress) -> bool {
        let now = now + ORIGIN;
        let (part, at) = (progress.part, now - progress.age);
        match self.progress.binary_search_by_key(&part, |(p, _)| *p) {
            Ok(index) if self.progress[index].1 >= at => return false,
            Ok(index) => self.progress[index].1 = at,
            Err(index) => self.progress.insert(index, (part, at)),
        }
        for crash in self.crashes.iter_mut().filter(|c| c.at <= at) {
            crash.clear(part);
        }
        self.blocks.record_progress(now, part, at);
        if self.progress.len() > MAX_PROGRESS {
            self.drop_oldest_progress();
        }
        self.is_open = true;
        true
    }

    /// When an answer with a part last got under way.
    fn progress_of(&self, part: PartId) -> Option<Millis> {
        let found = self.progress.binary_search_by_key(&part, |(p, _)| *p);
        found.ok().map(|index| self.progress[index].1)
    }

    /// How long ago an answer with a part last got under way, if that is known.
    pub fn progress_age(&self, now: Millis, part: PartId) -> Option<Millis> {
        let at = self.progress_of(part)?;
        Some((now + ORIGIN).since(at))
    }

    /// Takes over a block or its end from another gateway or from an operator. Returns
    /// whether it is newer than what was known.
    pub fn merge_block(&mut self, now: Millis, block: &Block) -> bool {
        if !self.blocks.merge(now + ORIGIN, block) {
            return false;
        }
        // A block that was lifted for a crash without the part has not been refuted by an answer.
        let is_refuted = !matches!(block.cause, BlockCause::Crashes(_));
        if block.state == BlockState::Lifted && is_refuted {
            self.forgive(now, block.part, block.since);
        }
        self.is_open = true;
        true
    }

    /// Crashes up to some time ago no longer speak against a part.
    fn forgive(&mut self, now: Millis, part: PartId, age: Millis) {
        self.record_progress(now, PartProgress { part, age });
    }

    /// Blocks or unblocks a part on an operator's behalf. The crashes so far no longer
    /// count against a part that is unblocked; later ones do. A part that an operator
    /// blocked stays blocked until an operator unblocks it.
    pub fn set_by_operator(&mut self, now: Millis, part: PartId, state: BlockState) -> Block {
        let block = self.blocks.set_by_operator(now + ORIGIN, part, state);
        if state == BlockState::Lifted {
            self.forgive(now, part, Millis::ZERO);
        }
        block
    }

    /// Lifts the blocks that are tied to the one of a part which an operator blocks, and returns
    /// them: that part explains their crashes.
    pub fn lift_tied(&mut self, now: Millis, part: PartId) -> Vec<Block> {
        let ties = self.blocks.ties();
        let tied = ties.into_iter().filter(|tie| tie.contains(&part)).flatten();
        let others: Vec<PartId> = tied.filter(|p| *p != part).collect();
        let lifted = others.into_iter();
        lifted
            .filter_map(|p| self.blocks.lift(now + ORIGIN, p))
            .collect()
    }

    /// Blocks the parts that the evidence now speaks against, and returns the new blocks.
    pub fn decide(&mut self, now: Millis) -> Vec<Block> {
        if !std::mem::take(&mut self.is_open) {
            return Vec::new();
        }
        let now = now + ORIGIN;
        let mut new = Vec::new();
        for _ in 0..MAX_ROUNDS {
            let accused = score::accused(now, self);
            let cleared = self.told_apart(&accused);
            let blocked = accused.into_iter().filter_map(|accused| {
                let cause = BlockCause::Crashes(accused.ended);
                let state = BlockState::Blocked;
                self.blocks
                    .set(now, accused.last, accused.part, state, cause)
            });
            let mut changed: Vec<Block> = blocked.collect();
            changed.extend(cleared.into_iter().filter_map(|p| self.blocks.lift(now, p)));
            if changed.is_empty() {
                break;
            }
            new.extend(changed);
        }
        let newest = self.crashes.iter().map(|c| c.at).max();
        self.is_open = newest.is_some_and(|at| now.since(at) <= score::SETTLE_TIME);
        new
    }

    /// The parts that were tied to some of the accused ones, and are not accused with them.
    fn told_apart(&self, accused: &[Accused]) -> Vec<PartId> {
        let is_accused = |part: &PartId| accused.iter().any(|a| a.part == *part);
        let ties = self.blocks.ties();
        let ties = ties.into_iter().filter(|tie| tie.iter().any(is_accused));
        ties.flatten().filter(|part| !is_accused(part)).collect()
    }

    /// Blocks of which one request may now be sent as a trial, at most one for good: they are
    /// returned as tried, all of a tie together. An answer then lifts them. To be called at one
    /// gateway only.
    pub fn grant_trials(&mut self, now: Millis) -> Vec<Block> {
        let crashes = &self.crashes;
        self.blocks.grant_trials(now + ORIGIN, |part| {
            let mut with = crashes
                .iter()
                .filter(|c| c.parts.contains(&part))
                .peekable();
            with.peek().is_some() && with.all(|c| c.parts.len() > 1)
        })
    }

    /// The parts that are blocked, sorted.
    pub fn blocked(&self) -> Vec<PartId> {
        self.blocks.blocked().collect()
    }

    /// The blocked parts of which none is refused alone.
    pub fn ties(&self) -> Vec<Tie> {
        self.blocks.ties()
    }

    /// The parts of which gateways report progress at once, sorted: those that are
    /// blocked, and those that some crash speaks against.
    pub fn watched(&self) -> Vec<PartId> {
        let suspects = self.crashes.iter().flat_map(|c| c.parts.iter().copied());
        let mut all: Vec<PartId> = self.blocks.blocked().chain(suspects).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// All blocks, those that were lifted too, sorted by part.
    pub fn blocks(&self, now: Millis) -> Vec<Block> {
        self.blocks.aged(now + ORIGIN)
    }

    /// What another gateway has to know.
    pub fn snapshot(&self, now: Millis) -> Snapshot {
        let now = now + ORIGIN;
        let suspected = self.crashes.iter().filter(|c| !c.parts.is_empty());
        let crashes = suspected.map(|c| CrashReport {
            id: c.id,
            endpoint: c.endpoint.clone(),
            version: c.version.clone(),
            age: now.since(c.at),
            parts: c.parts.clone(),
        });
        let watched = self.watched();
        let progress = self.progress.iter().filter(|(part, at)| {
            watched.binary_search(part).is_ok() || now.since(*at) < BARE_CRASH_LIFETIME
        });
        Snapshot {
            crashes: crashes.collect(),
            progress: progress
                .map(|(part, at)| PartProgress {
                    part: *part,
                    age: now.since(*at) + RELAY_MARGIN,
                })
                .collect(),
            blocks: self.blocks.aged(now),
        }
    }

    /// Whether there is nothing that another gateway has to know.
    pub fn is_empty(&self) -> bool {
        self.crashes.iter().all(|c| c.parts.is_empty()) && self.blocks.is_empty()
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: Millis) {
        let now = now + ORIGIN;
        self.crashes.retain(|c| {
            let lifetime = match c.parts.is_empty() && c.cleared.is_empty() {
                true => BARE_CRASH_LIFETIME,
                false => EVIDENCE_LIFETIME,
            };
            now.since(c.at) < lifetime
        });
        self.progress
            .retain(|(_, at)| now.since(*at) < PROGRESS_LIFETIME);
        self.blocks.expire(now);
    }

    /// Drops the least important crash if there are too many, but not the one just added.
    fn drop_surplus_crashes(&mut self, now: Millis, added: CrashId) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let candidates = self.crashes.iter().enumerate();
        let least = candidates
            .filter(|(_, c)| c.id != added)
            .min_by_key(|(_, c)| c.importance(now));
        if let Some((index, _)) = least {
            self.crashes.remove(index);
        }
    }

    /// Drops the older half, so that this is done rarely.
    fn drop_oldest_progress(&mut self) {
        let mut times: Vec<Millis> = self.progress.iter().map(|(_, at)| *at).collect();
        let middle = times.len() / 2;
        let (_, bound, _) = times.select_nth_unstable(middle);
        let bound = *bound;
        self.progress.retain(|(_, at)| *at > bound);
    }
}
