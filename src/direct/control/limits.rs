//! Control's part in dividing the workspaces' limits.

use compact_str::CompactString;

use super::{Control, Effect, LocalUse, PARTS_LINE_INTERVAL};
use crate::clock::Millis;
use crate::direct::document::Document;
use crate::direct::gossip::{Message, split_rows};
use crate::direct::loans::choose;
use crate::direct::members::Member;
use crate::direct::shares::{Limit, MemberUsage};
use crate::journal;

impl Control {
    /// Takes in what callers asked for since the last reading, tells the others
    /// and divides the limits anew.
    pub(super) fn note_use(&mut self, now: Millis, local: &LocalUse, out: &mut Vec<Effect>) {
        let span = now.since(std::mem::replace(&mut self.used_at, now));
        self.rates.note(span, local);
        self.report_use(out);
        self.adapters_used(now, &local.adapters, out);
        self.divide_limits(now, out);
        out.push(Effect::SetLendable(self.lendable(now, local)));
        out.push(Effect::SetGateways(self.members.count()));
    }

    /// What the other gateways could lend of each limit.
    fn lendable(&self, now: Millis, local: &LocalUse) -> Vec<(CompactString, u64)> {
        let limits = local.limits.iter().map(|usage| {
            let lenders = self.members.lenders(now, &usage.workspace);
            let tokens = lenders.iter().map(|(_, level)| level).sum();
            (usage.workspace.clone(), tokens)
        });
        limits.collect()
    }

    /// Asks other gateways for tokens that a request is short of.
    pub(super) fn borrow(
        &mut self,
        now: Millis,
        workspace: &CompactString,
        tokens: u64,
        out: &mut Vec<Effect>,
    ) {
        let lenders = self.members.lenders(now, workspace);
        self.loans += 1;
        for (to, tokens) in choose(tokens, &lenders, self.loans) {
            self.members.note_asked(to, workspace, tokens);
            let workspace = workspace.clone();
            out.push(Effect::Send(to, Message::Borrow { workspace, tokens }));
        }
    }

    pub(super) fn report_use(&self, out: &mut Vec<Effect>) {
        // A message holds some eighty workspaces; the rest would go unreported
        // and count with an even part.
        let limits = split_rows(self.rates.limits()).into_iter().next();
        out.push(Effect::Broadcast(Message::Limits(
            limits.unwrap_or_default(),
        )));
        let Some(leader) = self.leader_address() else {
            return;
        };
        let demand = split_rows(&self.rates.demand()).into_iter().enumerate();
        out.extend(demand.map(|(at, uses)| {
            let is_first = at == 0;
            Effect::Send(leader, Message::Demand { is_first, uses })
        }));
    }

    pub(super) fn divide_limits(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(document) = &self.document else {
            return;
        };
        if self.lease_until == Millis::ZERO {
            // Not registered yet: the others do not leave anything free.
            return;
        }
        let limits = limits_of(document);
        let is_cut_off = now >= self.lease_until && !self.members.hears_most(now);
        let others = self.members.uses(now);
        let own = MemberUsage {
            uses: Some(self.rates.limits().to_vec()),
            is_fresh: true,
        };
        let changed = self.shares.divide(now, &limits, &own, &others, is_cut_off);
        if !changed.is_empty() {
            self.log_parts(now, others.len(), is_cut_off);
            out.push(Effect::SetParts(changed));
        }
    }

    pub(super) fn log_parts(&mut self, now: Millis, others: usize, is_cut_off: bool) {
        if now < self.due.parts_line {
            return;
        }
        self.due.parts_line = now + PARTS_LINE_INTERVAL;
        let parts = self
            .shares
            .current()
            .map(|(name, ppm)| format!("{name} {ppm}"));
        let parts: Vec<String> = parts.collect();
        journal::write(
            "limit.parts",
            &[
                ("ppm", (&parts.join(", ")).into()),
                ("others", others.into()),
                ("cut_off", is_cut_off.into()),
            ],
        );
    }

    pub(super) fn members_read(&mut self, now: Millis, members: Vec<Member>) {
        for name in self.members.missing(&members) {
            self.member_left(now, &name);
        }
        members.into_iter().for_each(|m| self.member_joined(m));
    }

    pub(super) fn member_joined(&mut self, member: Member) {
        self.shares.member_returned(&member.name);
        self.members.put(member);
    }

    pub(super) fn member_left(&mut self, now: Millis, name: &str) {
        let its = self.members.remove(name);
        let (Some(its), Some(document)) = (its, &self.document) else {
            return;
        };
        let mut rest = self.members.uses(now);
        rest.push(MemberUsage {
            uses: Some(self.rates.limits().to_vec()),
            is_fresh: true,
        });
        let limits = limits_of(document);
        self.shares
            .member_left(now, name.into(), &limits, &its, &rest);
    }
}

/// The limits that are divided.
fn limits_of(document: &Document) -> Vec<Limit> {
    let limited = document.workspaces.iter().filter(|w| w.rate > 0);
    let limits = limited.map(|w| Limit {
        workspace: w.name.clone(),
        rate: w.rate,
    });
    limits.collect()
}
