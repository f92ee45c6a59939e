//! Outcomes of calls that must not be retried, kept in the agent's memory.

use std::collections::VecDeque;

use compact_str::CompactString;

use crate::wire::{Outcome, RequestId};

/// Maximum number of outcomes kept; the oldest one is dropped first.
const MAX_OUTCOMES: usize = 4_096;

struct Entry {
    request: RequestId,
    workspace: CompactString,
    outcome: Outcome,
}

/// Recent outcomes by request.
#[derive(Default)]
pub struct Outcomes {
    entries: VecDeque<Entry>,
}

impl Outcomes {
    /// Records that a call is about to be sent to the endpoint.
    /// Returns `false` if it was sent before and must not be sent again.
    pub fn begin(&mut self, request: RequestId, workspace: CompactString) -> bool {
        if self.entries.iter().any(|e| e.request == request) {
            return false;
        }
        if self.entries.len() >= MAX_OUTCOMES {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry {
            request,
            workspace,
            outcome: Outcome::Running,
        });
        true
    }

    /// Records how a call ended.
    pub fn end(&mut self, request: RequestId, outcome: Outcome) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|e| e.request == request) {
            entry.outcome = outcome;
        }
    }

    /// The outcome of a call, if it is known and the call belongs to the workspace.
    pub fn get(&self, request: RequestId, workspace: &str) -> Option<Outcome> {
        let mut entries = self.entries.iter();
        let entry = entries.find(|e| e.request == request && e.workspace == workspace)?;
        Some(entry.outcome.clone())
    }
}
