//! Terms: which gateways hold shares, and when a new term becomes active.

use compact_str::CompactString;

use super::Escrow;
use super::charge_deadline::{ACK_VALIDITY, LEASE_VALIDITY, MAX_QUORUM_EXTENSION};
use super::event::{FormerHolder, ShareEffect, ShareMessage, Term};
use super::holding::{Carried, set_share};
use crate::bucket::WHOLE_PPM;
use crate::clock::Millis;
use crate::wire::Member;

/// Added to every wait, because clocks run at different speeds.
const CLOCK_DRIFT: Millis = Millis(500);
/// The least time between two requests for shares carried into a term.
const CARRIED_REQUEST_INTERVAL: Millis = Millis(250);

impl Escrow {
    pub(super) fn on_read(
        &mut self,
        now: Millis,
        sent_at: Millis,
        term: Term,
        mod_revision: u64,
        leased: &[Member],
        out: &mut Vec<ShareEffect>,
    ) {
        self.unleased_since
            .retain(|(member, _)| !leased.contains(member));
        self.leased = leased.to_vec();
        if mod_revision >= self.mod_revision {
            self.mod_revision = mod_revision;
            self.adopt(now, term, out);
        }
        self.confirm_lease(sent_at, leased);
        for former in self.term.former_holders.iter().map(|holder| &holder.member) {
            let is_recorded = self.unleased_since.iter().any(|(m, _)| m == former);
            if !is_recorded && !leased.contains(former) {
                self.unleased_since.push((former.clone(), now));
            }
        }
        if leased.contains(&self.local) && self.term.members.contains(&self.local) {
            self.extend_charge_deadline(now, out);
        }
        self.propose(now, sent_at, leased, out);
        self.try_activate(now, out);
    }

    /// Adopts a later term with the shares held so far, and announces them.
    pub(super) fn adopt(&mut self, now: Millis, term: Term, out: &mut Vec<ShareEffect>) {
        if term.number <= self.term.number {
            return;
        }
        let is_member = term.members.contains(&self.local);
        // A skipped term may have left this gateway out and divided its shares.
        let is_next = term.number == self.term.number + 1;
        let workspaces = &self.workspaces;
        self.holdings
            .retain(|holding| workspaces.binary_search(&holding.limit.workspace).is_ok());
        for holding in &mut self.holdings {
            let carries = is_member && is_next;
            holding.base = if carries { holding.share() } else { 0 };
            holding.traded = 0;
            out.push(set_share(holding));
        }
        self.term = term;
        self.is_active = false;
        self.adopted_at = now;
        self.has_lost_grant = false;
        self.pending_grants.clear();
        if !is_member {
            self.charge_deadline = Millis::ZERO;
            out.push(ShareEffect::SetChargeDeadline(Millis::ZERO));
            return;
        }
        self.announce_carried(out);
        self.limit_charge_deadline(now, out);
        self.extend_charge_deadline(now, out);
    }

    pub(super) fn announce_carried(&mut self, out: &mut Vec<ShareEffect>) {
        let holdings = self.holdings.iter();
        let shares: Vec<(CompactString, u64)> = holdings
            .map(|h| (h.limit.workspace.clone(), h.base))
            .collect();
        let term = self.term.number;
        for to in self.term.members.iter().filter(|m| **m != self.local) {
            let shares = shares.clone();
            out.push(ShareEffect::Send {
                to: to.clone(),
                message: ShareMessage::Carried { term, shares },
            });
        }
        let member = self.local.clone();
        self.record_carried(Carried {
            member,
            term,
            shares,
        });
    }

    pub(super) fn record_carried(&mut self, carried: Carried) {
        let mut known = self.carried.iter();
        if known.any(|c| c.member == carried.member && c.term >= carried.term) {
            return;
        }
        self.carried.retain(|c| c.member != carried.member);
        self.carried.push(carried);
    }

    pub(super) fn carried_by(&self, member: &Member) -> Option<&Carried> {
        let term = self.term.number;
        let mut carried = self.carried.iter();
        carried.find(|c| c.member == *member && c.term == term)
    }

    /// What each member adds to its share of a workspace when the term becomes
    /// active: an equal part of what no member carried into it.
    pub(super) fn uncarried_share(&self, workspace: &str) -> u64 {
        let members = self.term.members.iter();
        let carried = members.filter_map(|m| self.carried_by(m));
        let sum: u64 = carried.map(|c| c.share(workspace)).sum();
        WHOLE_PPM.saturating_sub(sum) / self.term.members.len().max(1) as u64
    }

    /// Proposes a term whose members are the holders of live leases. A new term with
    /// the same members is proposed only to recover a share that was lost with a grant.
    pub(super) fn propose(
        &self,
        now: Millis,
        sent_at: Millis,
        leased: &[Member],
        out: &mut Vec<ShareEffect>,
    ) {
        let is_same = leased == self.term.members;
        let is_settled = self.is_active || !self.term.members.contains(&self.local);
        if leased.is_empty() || now.since(sent_at) > LEASE_VALIDITY {
            return;
        }
        if is_same && !(self.has_lost_grant && is_settled) {
            return;
        }
        let is_former = |member: &&Member| !leased.contains(member);
        let mut former_holders: Vec<FormerHolder> = self
            .term
            .former_holders
            .iter()
            // A holder that has a lease again is a member and must adopt the term itself.
            .filter(|h| !leased.contains(&h.member) && !self.has_stopped(now, h))
            .cloned()
            .collect();
        for former in self.term.members.iter().filter(is_former) {
            let others = self.term.members.iter().filter(|m| *m != former);
            former_holders.push(FormerHolder {
                member: former.clone(),
                acknowledgers: others.cloned().collect(),
            });
        }
        former_holders.sort();
        // An ended process may be left out at once; its lease outlives it by some seconds.
        let may_run = former_holders.iter().filter(|h| !self.has_ended(&h.member));
        let unleased = may_run.map(|h| h.member.clone()).collect();
        let term = Term {
            number: self.term.number + 1,
            members: leased.to_vec(),
            former_holders,
            sole_members: self.possible_sole_members(),
        };
        out.push(ShareEffect::WriteTerm {
            term,
            mod_revision: self.mod_revision,
            unleased,
        });
    }

    /// Gateways that may still charge as the only member of this or an earlier term.
    fn possible_sole_members(&self) -> Vec<Member> {
        if let [only] = self.term.members.as_slice() {
            let mut sole_members = self.term.sole_members.clone();
            sole_members.push(only.clone());
            return sole_members;
        }
        let may_be_sole = |member: &&Member| self.adoption_time(member).is_none();
        self.term
            .sole_members
            .iter()
            .filter(may_be_sole)
            .cloned()
            .collect()
    }

    /// Whether a former holder can no longer have permission to charge.
    pub(super) fn has_stopped(&self, now: Millis, holder: &FormerHolder) -> bool {
        let since = self
            .unleased_since
            .iter()
            .find(|(m, _)| *m == holder.member);
        let Some((_, unleased_at)) = since else {
            return false;
        };
        if now.since(*unleased_at) > MAX_QUORUM_EXTENSION + CLOCK_DRIFT {
            return true;
        }
        if self.has_ended(&holder.member) {
            return true;
        }
        if self.term.sole_members.contains(&holder.member) {
            return false;
        }
        let needed = (holder.acknowledgers.len() + 1).div_ceil(2);
        let ack_expiry = ACK_VALIDITY + CLOCK_DRIFT;
        let expired = holder.acknowledgers.iter().filter(|acknowledger| {
            let adopted_at = self.adoption_time(acknowledger);
            adopted_at.is_some_and(|at| now.since(at) > ack_expiry)
        });
        expired.count() >= needed
    }

    /// Whether a later run of the same instance holds a lease, or the platform
    /// no longer lists the instance. Either proves that the process has ended.
    pub(super) fn has_ended(&self, member: &Member) -> bool {
        let is_successor = |m: &Member| m.name == member.name && m.boot != member.boot;
        let is_listed = match &self.instances {
            Some(names) => names.binary_search(&member.name).is_ok(),
            None => true,
        };
        !is_listed || self.leased.iter().any(is_successor)
    }

    /// When this gateway learnt that `member` had adopted the current term or a
    /// later one. No former holder counts an acknowledgement that it gives after that.
    pub(super) fn adoption_time(&self, member: &Member) -> Option<Millis> {
        if *member == self.local {
            return Some(self.adopted_at);
        }
        let peer = self.peers.iter().find(|peer| peer.member == *member)?;
        let is_current = peer.term >= self.term.number;
        is_current.then_some(peer.adopted_at)
    }

    /// Activates the term and divides what no member carried into it, once all
    /// members have announced their shares and all former holders have stopped.
    pub(super) fn try_activate(&mut self, now: Millis, out: &mut Vec<ShareEffect>) {
        if self.is_active || !self.term.members.contains(&self.local) {
            return;
        }
        let members = self.term.members.iter();
        let missing: Vec<Member> = members
            .filter(|m| self.carried_by(m).is_none())
            .cloned()
            .collect();
        if !missing.is_empty() {
            self.request_carried(now, missing, out);
            return;
        }
        let mut former_holders = self.term.former_holders.iter();
        if !former_holders.all(|h| self.has_stopped(now, h)) {
            return;
        }
        self.is_active = true;
        let added: Vec<u64> = self
            .holdings
            .iter()
            .map(|h| self.uncarried_share(&h.limit.workspace))
            .collect();
        for (holding, added) in self.holdings.iter_mut().zip(added) {
            holding.base += added;
            out.push(set_share(holding));
        }
    }

    pub(super) fn request_carried(
        &mut self,
        now: Millis,
        from: Vec<Member>,
        out: &mut Vec<ShareEffect>,
    ) {
        if now.since(self.carried_requested_at) < CARRIED_REQUEST_INTERVAL {
            return;
        }
        self.carried_requested_at = now;
        let term = self.term.number;
        for to in from {
            let message = ShareMessage::CarriedRequest { term };
            out.push(ShareEffect::Send { to, message });
        }
    }
}

/// The latest run of each instance, in ascending order, from all leased runs
/// with the revision at which each took its lease. An instance runs one
/// gateway, so a later run proves that the earlier one has ended.
pub fn latest_runs(mut leased: Vec<(u64, Member)>) -> Vec<Member> {
    leased.sort_by(|(a_rev, a), (b_rev, b)| (&a.name, b_rev).cmp(&(&b.name, a_rev)));
    leased.dedup_by(|(_, later), (_, kept)| later.name == kept.name);
    let mut members: Vec<Member> = leased.into_iter().map(|(_, member)| member).collect();
    members.sort();
    members
}
