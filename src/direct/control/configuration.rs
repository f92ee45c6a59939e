//! The configuration in force: a newer one replaces it, and peers pass it on to a gateway
//! that the store does not serve.

use std::sync::Arc;

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::document::Document;
use crate::journal;

/// How long a gateway waits for the store to deliver a configuration that a peer already has.
const BEHIND_TOLERANCE: Millis = Millis(200);
/// Interval between requests to peers for their configuration.
const PULL_INTERVAL: Millis = Millis(400);
/// Interval between these requests while the store does not answer and no peer reports
/// a newer version. Several fit the time in which a configuration has to be in force.
const CHECK_INTERVAL: Millis = Millis(500);

impl Control {
    /// Activates a newer configuration and ignores the same or an older version.
    pub(super) fn configure(
        &mut self,
        now: Millis,
        document: Arc<Document>,
        out: &mut Vec<Effect>,
    ) {
        if self.document.is_some() && self.version() >= document.version {
            return;
        }
        journal::write(
            "configuration.adopted",
            &[
                ("version", document.version.into()),
                ("before", self.version().into()),
                ("routes", document.routes.len().into()),
                ("workspaces", document.workspaces.len().into()),
                ("skipped", document.skipped.join("; ").as_str().into()),
            ],
        );
        self.document = Some(document.clone());
        self.reapply_cold(now);
        out.push(Effect::SetLimits(document));
        self.limits_changed(now, out);
        // Tells gateways without access to the store at once that a newer version exists.
        self.report_status(now, out);
    }

    /// Pulls a newer configuration from a peer if the store does not deliver it in time.
    pub(super) fn catch_up(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let (version, turn) = (self.version(), self.asked_peers);
        let Some(peer) = self.members.with_newer_version(now, version, turn) else {
            self.behind_since = None;
            self.check_peers(now, out);
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        if now.since(since) >= BEHIND_TOLERANCE && now >= self.due.pull {
            self.due.pull = now + PULL_INTERVAL;
            self.asked_peers += 1;
            out.push(Effect::PullConfiguration(peer.address));
        }
    }

    /// Asks the peers in turn for a newer configuration, and for the evacuated zones, while
    /// the store does not answer.
    /// Peers send no reports to a gateway whose lease has lapsed.
    fn check_peers(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if !self.is_store_lost || now < self.due.pull {
            return;
        }
        self.due.pull = now + CHECK_INTERVAL;
        self.asked_peers += 1;
        // Neighbours by name may be in one zone and cut off together.
        let turn = spread_turn(self.asked_peers, self.members.count() - 1);
        let peer = self.members.in_turn(turn);
        out.extend(peer.map(|peer| Effect::PullConfiguration(peer.address)));
    }
}

/// The turn of a sequence that visits all peers as often, with neighbours far apart.
fn spread_turn(turn: usize, peers: usize) -> usize {
    let gcd = |mut a: usize, mut b: usize| {
        while b != 0 {
            (a, b) = (b, a % b);
        }
        a
    };
    let first = (peers * 3 / 8).max(1);
    let step = (first..=peers).find(|step| gcd(*step, peers) == 1);
    turn.wrapping_mul(step.unwrap_or(1))
}
