//! Blocks of parts, as all gateways share them.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::PartId;
use crate::clock::Millis;

/// How long a block lasts after it was last needed, and how long its end is remembered.
const BLOCK_LIFETIME: Millis = Millis(7 * 24 * 3_600_000);
/// The most blocks that are kept.
const MAX_BLOCKS: usize = 256;
/// The most endpoints that a block names.
const MAX_NAMED_ENDPOINTS: usize = 8;

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
    /// An answer with the part got under way.
    Progress,
    /// An operator decided. Only an operator changes it again.
    Operator,
}

impl BlockCause {
    /// The name for logs and operators.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Crashes(_) => "crashes",
            Self::Progress => "progress",
            Self::Operator => "operator",
        }
    }

    /// The endpoints that ended.
    pub fn endpoints(&self) -> &[CompactString] {
        match self {
            Self::Crashes(endpoints) => endpoints,
            Self::Progress | Self::Operator => &[],
        }
    }
}

/// The state of one part. A newer state has a higher generation, at all gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The part.
    pub part: PartId,
    /// Increases with each change of the state.
    pub generation: u32,
    /// Whether requests with the part are refused.
    pub state: BlockState,
    /// Why.
    pub cause: BlockCause,
    /// How long ago the state began: the last crash that counted, the answer that got
    /// under way, or the operator's decision.
    pub since: Millis,
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

    /// Changes the state of a part as of a time and returns it with its age.
    pub(super) fn set(
        &mut self,
        now: Millis,
        since: Millis,
        part: PartId,
        state: BlockState,
        mut cause: BlockCause,
    ) -> Block {
        if let BlockCause::Crashes(endpoints) = &mut cause {
            endpoints.truncate(MAX_NAMED_ENDPOINTS);
        }
        let generation = match self.find(part) {
            Ok(at) => self.blocks[at].generation + 1,
            Err(_) => 1,
        };
        let block = Block {
            part,
            generation,
            state,
            cause,
            since: now.since(since),
        };
        self.merge(now, &block);
        block
    }

    /// Takes over a state with its age, if it is newer than the known one.
    pub(super) fn merge(&mut self, now: Millis, block: &Block) -> bool {
        let new = Block {
            since: now - block.since,
            ..block.clone()
        };
        let rank = |b: &Block| (b.generation, b.cause.clone(), b.state);
        match self.find(block.part) {
            Ok(at) if rank(&self.blocks[at]) >= rank(&new) => false,
            Ok(at) => {
                self.blocks[at] = new;
                true
            }
            Err(at) => {
                self.blocks.insert(at, new);
                self.drop_surplus(block.part);
                true
            }
        }
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
        self.blocks
            .retain(|b| now.since(b.since) < BLOCK_LIFETIME || b.cause == BlockCause::Operator);
    }

    /// Drops the oldest block if there are too many, those that were lifted first, but
    /// not the one just added.
    fn drop_surplus(&mut self, added: PartId) {
        if self.blocks.len() <= MAX_BLOCKS {
            return;
        }
        let candidates = self.blocks.iter().enumerate();
        let oldest = candidates
            .filter(|(_, b)| b.part != added)
            .min_by_key(|(_, b)| (b.state, b.since));
        if let Some((index, _)) = oldest {
            self.blocks.remove(index);
        }
    }

    fn find(&self, part: PartId) -> Result<usize, usize> {
        self.blocks.binary_search_by_key(&part, |b| b.part)
    }
}
