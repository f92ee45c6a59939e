//! Trials: single requests that may find out that a blocked part is sound.

use compact_str::{CompactString, ToCompactString as _};

use super::super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::suspects::PartId;
use crate::journal;

impl Control {
    /// Grants the trials that are due, if this gateway leads. They are for requests that come
    /// here; the other gateways hear that no further one is to be granted.
    pub(super) fn grant_trials(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.leader_term(now).is_none() {
            return;
        }
        // Before they count as tried: ties are told from the blocks' causes.
        let ties = self.parts.evidence.ties();
        let granted = self.parts.evidence.grant_trials(now);
        if granted.is_empty() {
            return;
        }
        let mut parts: Vec<PartId> = granted.iter().map(|block| block.part).collect();
        for block in granted {
            self.parts.outbox.push_block(now, block);
        }
        self.parts.has_changed = true;
        self.parts.storage.note_own_change();
        let tied = ties.into_iter().filter(|tie| parts.contains(&tie[0]));
        let tied: Vec<Vec<PartId>> = tied.collect();
        parts.retain(|part| !tied.iter().any(|tie| tie.contains(part)));
        let alone = parts.into_iter().map(|part| vec![part]);
        for trial in tied.into_iter().chain(alone) {
            log_trial(&trial);
            out.push(Effect::AllowTrial(trial));
        }
    }
}

fn log_trial(parts: &[PartId]) {
    let parts: Vec<CompactString> = parts.iter().map(|p| p.to_compact_string()).collect();
    journal::write(
        "part.trial_granted",
        &[("parts", (&parts.join(", ")).into())],
    );
}
