//! Trading of shares between gateways within a term.

use compact_str::CompactString;

use super::event::{ShareEffect, ShareMessage};
use super::{Escrow, Peer, PendingGrant};
use crate::bucket::WHOLE_PPM;
use crate::clock::Millis;
use crate::wire::Member;

/// How recently a member must have acknowledged a heartbeat to take part in trading.
const PEER_FRESHNESS: Millis = Millis(800);
/// The least time between two requests for the same workspace.
const REQUEST_INTERVAL: Millis = Millis(50);
/// Surplus over the equal share that is too small to move, in parts per million.
const REBALANCE_SLACK_PPM: u64 = 20_000;

impl Escrow {
    /// Gives away share above the equal one that is not needed here, so that
    /// little capacity is lost if this gateway fails.
    pub(super) fn rebalance(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        let others = self.live_members(now);
        if others.is_empty() || !self.is_active {
            return;
        }
        let equal = WHOLE_PPM / self.term.members.len() as u64;
        self.next_peer = (self.next_peer + 1) % others.len();
        for holding in &self.holdings {
            let surplus = holding.share().saturating_sub(equal).min(holding.spare());
            if surplus > REBALANCE_SLACK_PPM {
                out.push(ShareEffect::Split {
                    to: others[self.next_peer].clone(),
                    workspace: holding.limit.workspace.clone(),
                    ppm: surplus / 2,
                });
            }
        }
    }

    /// Requests the tokens that are short from all live members.
    pub(super) fn request_shares(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        let others: Vec<Member> = self.live_members(now);
        if others.is_empty() || self.is_draining {
            return;
        }
        let term = self.term.number;
        for holding in &mut self.holdings {
            if holding.shortage == 0 || now.since(holding.requested_at) < REQUEST_INTERVAL {
                continue;
            }
            holding.requested_at = now;
            for to in &others {
                out.push(ShareEffect::Send {
                    to: to.clone(),
                    message: ShareMessage::Request {
                        term,
                        workspace: holding.limit.workspace.clone(),
                        tokens: holding.shortage,
                    },
                });
            }
        }
    }

    pub(super) fn on_request(
        &mut self,
        from: Member,
        term: u64,
        workspace: CompactString,
        tokens: u64,
        out: &mut Vec<ShareEffect>,
    ) {
        if term != self.term.number {
            return;
        }
        let Ok(at) = self.find(&workspace) else {
            return;
        };
        let ppm = self.holdings[at].grant_for(tokens);
        if ppm > 0 {
            out.push(ShareEffect::Split {
                to: from,
                workspace,
                ppm,
            });
        }
    }

    /// Records a share that a bucket has given up, and sends the grant.
    pub(super) fn on_split(
        &mut self,
        now: Millis,
        to: Member,
        workspace: CompactString,
        ppm: u64,
        tokens: u64,
        out: &mut Vec<ShareEffect>,
    ) {
        let Ok(at) = self.find(&workspace) else {
            return;
        };
        self.holdings[at].traded -= ppm as i64;
        let id = self.next_grant_id;
        self.next_grant_id += 1;
        self.pending_grants.push(PendingGrant { id, sent_at: now });
        let message = ShareMessage::Grant {
            term: self.term.number,
            id,
            workspace,
            ppm,
            tokens,
        };
        out.push(ShareEffect::Send { to, message });
    }

    pub(super) fn hand_over_all(&mut self, out: &mut Vec<ShareEffect>) {
        let others = self.live_members(self.last_tick);
        let Some(to) = others.get(self.next_peer % others.len().max(1)) else {
            return;
        };
        self.next_peer += 1;
        for holding in self.holdings.iter().filter(|h| h.share() > 0) {
            out.push(ShareEffect::Split {
                to: to.clone(),
                workspace: holding.limit.workspace.clone(),
                ppm: holding.share(),
            });
        }
    }

    pub(super) fn live_members(&self, now: Millis) -> Vec<Member> {
        let is_fresh = |peer: &&Peer| {
            peer.term == self.term.number
                && self.term.members.contains(&peer.member)
                && now.since(peer.echo) <= PEER_FRESHNESS
        };
        let live = self.peers.iter().filter(is_fresh);
        live.map(|peer| peer.member.clone()).collect()
    }
}
