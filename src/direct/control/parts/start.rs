//! When a gateway that has just started may rely on the blocks that it knows.

use super::super::{Control, Effect};
use crate::clock::Millis;
use crate::journal;

/// How long a gateway with a configuration waits for the record of blocks, so that a
/// store that does not answer keeps no gateway out.
const MAX_RECORD_WAIT: Millis = Millis(1_000);

/// Whether the record of blocks has been read since the start.
#[derive(Clone, Debug, Default)]
pub(super) struct Start {
    is_over: bool,
    configured_at: Option<Millis>,
}

impl Control {
    /// Tells the traffic thread once that the blocks are known, after they were published.
    pub(super) fn settle_start(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.parts.start.is_over {
            return;
        }
        let is_read = self.parts.storage.is_read() && !self.parts.has_changed;
        if !is_read && !self.is_record_overdue(now) {
            return;
        }
        if !is_read {
            journal::write("blocks.unread", &[]);
        }
        self.parts.start.is_over = true;
        out.push(Effect::BlocksKnown);
    }

    fn is_record_overdue(&mut self, now: Millis) -> bool {
        if self.document.is_none() {
            return false;
        }
        let since = *self.parts.start.configured_at.get_or_insert(now);
        now.since(since) >= MAX_RECORD_WAIT
    }
}
