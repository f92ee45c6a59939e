//! Which blocks are recorded in the store, and which gateway records the others.

use super::super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::suspects::Block;

/// How long a gateway waits for the one that changed a block to record it, and the
/// additional wait for each gateway that ranks earlier.
const TAKEOVER_DELAY: Millis = Millis(2_000);
const TAKEOVER_DELAY_PER_RANK: Millis = Millis(250);
/// Bounds of the delay after a failed attempt, which doubles each time.
const MIN_RETRY_DELAY: Millis = Millis(500);
const MAX_RETRY_DELAY: Millis = Millis(30_000);

/// What this gateway knows of the record in the store.
#[derive(Clone, Debug, Default)]
pub(super) struct Storage {
    /// The revision of the record and its blocks, sorted by part; `None` until it has
    /// been read. A record that does not exist has revision 0.
    recorded: Option<(u64, Vec<Block>)>,
    /// Whether the blocks or the record have changed since they were compared.
    has_changed: bool,
    /// Since when the record lacks a block.
    lacks_since: Option<Millis>,
    /// Whether this gateway changed a block itself, and so records it at once.
    is_own_change: bool,
    is_writing: bool,
    next_attempt: Millis,
    retry_delay: Millis,
}

impl Storage {
    /// Whether the record has been read.
    pub(super) fn is_read(&self) -> bool {
        self.recorded.is_some()
    }

    /// The blocks have changed.
    pub(super) fn note_change(&mut self) {
        self.has_changed = true;
    }

    /// This gateway changed a block by its own decision.
    pub(super) fn note_own_change(&mut self) {
        self.has_changed = true;
        self.is_own_change = true;
    }

    /// Compares the blocks with the record.
    fn compare(&mut self, now: Millis, blocks: &[Block]) {
        self.has_changed = false;
        let Some((_, recorded)) = &self.recorded else {
            return;
        };
        let is_recorded = |block: &Block| {
            let at = recorded.binary_search_by_key(&block.part, |b| b.part);
            at.is_ok_and(|at| {
                let known = &recorded[at];
                let key = |b: &Block| (b.generation, b.state, b.cause.clone());
                key(known) == key(block)
            })
        };
        self.lacks_since = match blocks.iter().all(is_recorded) {
            true => None,
            false => self.lacks_since.or(Some(now)),
        };
        self.is_own_change &= self.lacks_since.is_some();
    }

    /// Whether the record is to be written now.
    fn is_due(&self, now: Millis, rank: usize) -> bool {
        let wait = match self.is_own_change {
            true => Millis::ZERO,
            false => TAKEOVER_DELAY + Millis(TAKEOVER_DELAY_PER_RANK.0 * rank as u64),
        };
        let has_waited = self
            .lacks_since
            .is_some_and(|since| now.since(since) >= wait);
        has_waited && !self.is_writing && now >= self.next_attempt
    }
}

impl Control {
    /// The record was read or written, or has changed.
    pub(in super::super) fn blocks_recorded(
        &mut self,
        now: Millis,
        revision: u64,
        blocks: Vec<Block>,
    ) {
        for block in &blocks {
            self.parts.has_changed |= self.parts.evidence.merge_block(now, block);
        }
        let storage = &mut self.parts.storage;
        storage.is_writing = false;
        storage.retry_delay = MIN_RETRY_DELAY;
        storage.has_changed = true;
        let mut blocks = blocks;
        blocks.sort_unstable_by_key(|b| b.part);
        // A slow response may be older than what is known, except after a loss of the
        // store's data. Then the next write fails and leads to another reading.
        storage.recorded = Some((revision, blocks));
    }

    /// The record could not be written.
    pub(in super::super) fn record_failed(&mut self, now: Millis) {
        let storage = &mut self.parts.storage;
        storage.is_writing = false;
        storage.retry_delay = storage.retry_delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        storage.next_attempt = now + storage.retry_delay;
        storage.retry_delay = storage.retry_delay + storage.retry_delay;
    }

    /// Writes the record if it lacks blocks and it is this gateway's turn.
    pub(super) fn record_blocks(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.parts.storage.has_changed {
            let blocks = self.parts.evidence.blocks(now);
            self.parts.storage.compare(now, &blocks);
        }
        let storage = &mut self.parts.storage;
        if self.is_store_lost || !storage.is_due(now, self.members.rank()) {
            return;
        }
        let Some((expected, _)) = storage.recorded else {
            return;
        };
        storage.is_writing = true;
        out.push(Effect::RecordBlocks {
            expected,
            blocks: self.parts.evidence.blocks(now),
        });
    }
}
