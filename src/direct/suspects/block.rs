//! Blocks of parts, as all gateways share them.

use std::cmp::Ordering;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::PartId;
use super::ties::{self, Tie};
use crate::clock::Millis;

/// How long a block lasts after it was last needed, and how long its end is remembered.
const BLOCK_LIFETIME: Millis = Millis(7 * 24 * 3_600_000);
/// How long a block is kept in any case, so that surplus blocks do not replace each other.
const MIN_BLOCK_TIME: Millis = Millis(60_000);
/// When a trial is due for a block that may well be wrong: it was set together with others, or
/// again, or other parts may explain its crashes.
const TRIAL_DELAY_DOUBTFUL: Millis = Millis(10_000);
/// When a trial is due for any other block: the endpoints may have been mended.
const TRIAL_DELAY: Millis = Millis(600_000);
/// The most blocks that are kept.
const MAX_BLOCKS: usize = 512;
/// The most endpoints that a block names.
const MAX_NAMED_ENDPOINTS: usize = 8;
/// Where the count of operators' decisions begins in a generation.
const OPERATOR_SHIFT: u32 = 16;

/// Whether requests with a part are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BlockState {
    /// They are no longer refused.
    Lifted,
    /// They are refused.
    Blocked,
}

/// Why a block was set or lifted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BlockCause {
    /// These endpoints ended when they were about to answer the part.
    Crashes(Vec<CompactString>),
    /// As before, and one request has been let through since as a trial.
    Tried(Vec<CompactString>),
    /// An answer with the part got under way.
    Progress,
    /// An operator decided.
    Operator,
}

impl BlockCause {
    /// The name for logs and operators.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Crashes(_) => "crashes",
            Self::Tried(_) => "tried",
            Self::Progress => "progress",
            Self::Operator => "operator",
        }
    }

    /// The endpoints that ended.
    pub fn endpoints(&self) -> &[CompactString] {
        match self {
            Self::Crashes(endpoints) | Self::Tried(endpoints) => endpoints,
            Self::Progress | Self::Operator => &[],
        }
    }
}

/// The state of one part. A newer state has a higher generation, at all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The part.
    pub part: PartId,
    /// Increases with each change of the state. The upper half counts the decisions of
    /// operators, so that these win over what gateways decide at the same time.
    pub generation: u32,
    /// Whether requests with the part are refused.
    pub state: BlockState,
    /// Why.
    pub cause: BlockCause,
    /// How long ago the state began: the last crash that counted, the answer that got
    /// under way, or the operator's decision.
    pub since: Millis,
}

impl Block {
    /// States with a higher rank replace those with a lower one, at all gateways.
    fn rank(&self) -> (u32, &BlockCause, BlockState) {
        (self.generation, &self.cause, self.state)
    }

    /// Whether the state no longer matters, if `since` is a time.
    fn is_outdated(&self, now: Millis) -> bool {
        let is_permanent = self.state == BlockState::Blocked && self.cause == BlockCause::Operator;
        !is_permanent && now.since(self.since) >= BLOCK_LIFETIME
    }
}

/// The blocks that one gateway knows, sorted by part. `since` holds times, not ages.
#[derive(Clone, Debug, Default)]
pub(super) struct BlockTable {
    blocks: Vec<Block>,
}

impl BlockTable {
    pub(super) fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    pub(super) fn blocked(&self) -> impl Iterator<Item = PartId> {
        let blocked = self
            .blocks
            .iter()
            .filter(|b| b.state == BlockState::Blocked);
        blocked.map(|b| b.part)
    }

    /// All blocks with ages.
    pub(super) fn aged(&self, now: Millis) -> Vec<Block> {
        let blocks = self.blocks.iter().cloned();
        blocks
            .map(|b| Block {
                since: now.since(b.since),
                ..b
            })
            .collect()
    }

    /// Changes the state of a part as of a time and returns it with its age, unless there
    /// is no room.
    pub(super) fn set(
        &mut self,
        now: Millis,
        since: Millis,
        part: PartId,
        state: BlockState,
        mut cause: BlockCause,
    ) -> Option<Block> {
        if let BlockCause::Crashes(endpoints) = &mut cause {
            endpoints.truncate(MAX_NAMED_ENDPOINTS);
        }
        let block = Block {
            part,
            generation: self.generation(part).saturating_add(1),
            state,
            cause,
            since: now.since(since),
        };
        self.merge(now, &block).then_some(block)
    }

    /// Marks the blocks of which a trial is due as tried, and returns them. `is_doubtful` tells
    /// whether other parts may explain each crash of a part.
    pub(super) fn grant_trials(
        &mut self,
        now: Millis,
        is_doubtful: impl Fn(PartId) -> bool,
    ) -> Vec<Block> {
        let ties = self.ties();
        let tie_of = |part: PartId| ties.iter().find(|tie| tie.contains(&part));
        let is_untried = |b: &&Block| {
            b.state == BlockState::Blocked && matches!(b.cause, BlockCause::Crashes(_))
        };
        let mut due: Vec<PartId> = Vec::new();
        for block in self.blocks.iter().filter(is_untried) {
            let tie = tie_of(block.part);
            let was_set_again = block.generation & ((1 << OPERATOR_SHIFT) - 1) > 1;
            let delay = match tie.is_some() || was_set_again || is_doubtful(block.part) {
                true => TRIAL_DELAY_DOUBTFUL,
                false => TRIAL_DELAY,
            };
            if now.since(block.since) >= delay {
                due.push(block.part);
                due.extend(tie.into_iter().flatten());
            }
        }
        due.sort_unstable();
        due.dedup();
        let tried = due.into_iter().filter_map(|part| {
            let block = self.blocks[self.find(part).ok()?].clone();
            let BlockCause::Crashes(endpoints) = block.cause else {
                return None;
            };
            let cause = BlockCause::Tried(endpoints);
            self.set(now, block.since, part, block.state, cause)
        });
        tried.collect()
    }

    /// Parts that are blocked for the same crashes.
    pub(super) fn ties(&self) -> Vec<Tie> {
        ties::ties(&self.blocks)
    }

    /// Lifts a block whose crashes another part explains, and returns it with its age.
    pub(super) fn lift(&mut self, now: Millis, part: PartId) -> Option<Block> {
        let block = &self.blocks[self.find(part).ok()?];
        let cause = BlockCause::Crashes(block.cause.endpoints().to_vec());
        self.set(now, block.since, part, BlockState::Lifted, cause)
    }

    /// Records an operator's decision and returns it with its age.
    pub(super) fn set_by_operator(
        &mut self,
        now: Millis,
        part: PartId,
        state: BlockState,
    ) -> Block {
        let decisions = self.generation(part) >> OPERATOR_SHIFT;
        let block = Block {
            part,
            generation: (decisions + 1).min(u16::MAX.into()) << OPERATOR_SHIFT,
            state,
            cause: BlockCause::Operator,
            since: Millis::ZERO,
        };
        self.merge(now, &block);
        block
    }

    fn generation(&self, part: PartId) -> u32 {
        self.find(part)
            .map_or(0, |index| self.blocks[index].generation)
    }

    /// Takes over a state with its age, if it is newer than the known one. Of the same
    /// state the earlier time is kept, because messages take time.
    pub(super) fn merge(&mut self, now: Millis, block: &Block) -> bool {
        let new = Block {
            since: now - block.since,
            ..block.clone()
        };
        if new.is_outdated(now) {
            return false;
        }
        let index = match self.find(block.part) {
            Ok(index) => index,
            Err(_) => return self.insert(now, new),
        };
        let known = &mut self.blocks[index];
        match new.rank().cmp(&known.rank()) {
            Ordering::Greater => *known = new,
            Ordering::Equal => {
                known.since = known.since.min(new.since);
                return false;
            }
            Ordering::Less => return false,
        }
        true
    }

    /// Lifts a block that an answer contradicts.
    pub(super) fn record_progress(&mut self, now: Millis, part: PartId, at: Millis) {
        let Ok(index) = self.find(part) else { return };
        let block = &self.blocks[index];
        let is_refuted = block.state == BlockState::Blocked
            && block.cause != BlockCause::Operator
            && at >= block.since;
        if is_refuted {
            self.set(now, at, part, BlockState::Lifted, BlockCause::Progress);
        }
    }

    pub(super) fn expire(&mut self, now: Millis) {
        self.blocks.retain(|b| !b.is_outdated(now));
    }

    /// Adds a block. If there are too many, it replaces the oldest one, one that was
    /// lifted before others and one that an operator set last.
    fn insert(&mut self, now: Millis, block: Block) -> bool {
        let is_operator = |b: &Block| b.cause == BlockCause::Operator;
        if self.blocks.len() >= MAX_BLOCKS {
            let known = self.blocks.iter().enumerate();
            let oldest = known.min_by_key(|(_, b)| (b.state, is_operator(b), b.since));
            let replaced = oldest.filter(|(_, b)| {
                let is_old = now.since(b.since) >= MIN_BLOCK_TIME && !is_operator(b);
                b.state == BlockState::Lifted || is_old || is_operator(&block)
            });
            let Some((index, _)) = replaced else {
                return false;
            };
            self.blocks.remove(index);
        }
        if let Err(index) = self.find(block.part) {
            self.blocks.insert(index, block);
        }
        true
    }

    fn find(&self, part: PartId) -> Result<usize, usize> {
        self.blocks.binary_search_by_key(&part, |b| b.part)
    }
}
