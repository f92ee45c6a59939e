//! Division of the workspaces' limits among the gateways, and loans between them.

use compact_str::CompactString;

use super::{Control, Effect, LocalUsage, SHARES_LOG_INTERVAL};
use crate::clock::Millis;
use crate::direct::document::Document;
use crate::direct::gossip::{Message, split_rows};
use crate::direct::loans::choose_lenders;
use crate::direct::members::Member;
use crate::direct::shares::{Limit, MemberUsage};
use crate::journal;

impl Control {
    /// Records the local usage since the last reading, reports it to the other
    /// gateways and recalculates the shares of the limits.
    pub(super) fn record_usage(&mut self, now: Millis, local: &LocalUsage, out: &mut Vec<Effect>) {
        let span = now.since(std::mem::replace(&mut self.usage_read_at, now));
        self.rates.record(span, local);
        self.report_usage(out);
        self.report_adapter_use(now, &local.adapters, out);
        self.divide_limits(now, out);
        out.push(Effect::SetLendable(self.lendable(now, local)));
        out.push(Effect::SetGatewayCount(self.members.count()));
    }

    /// How many tokens of each limit the other gateways could lend.
    fn lendable(&self, now: Millis, local: &LocalUsage) -> Vec<(CompactString, u64)> {
        let limits = local.limits.iter().map(|usage| {
            let lenders = self.members.lenders(now, &usage.workspace);
            let tokens = lenders.iter().map(|(_, level)| level).sum();
            (usage.workspace.clone(), tokens)
        });
        limits.collect()
    }

    /// Asks other gateways for the tokens that a request is missing.
    pub(super) fn borrow(
        &mut self,
        now: Millis,
        workspace: &CompactString,
        tokens: u64,
        out: &mut Vec<Effect>,
    ) {
        let lenders = self.members.lenders(now, workspace);
        self.loan_requests += 1;
        for (to, tokens) in choose_lenders(tokens, &lenders, self.loan_requests) {
            self.members.note_loan_requested(to, workspace, tokens);
            let workspace = workspace.clone();
            out.push(Effect::Send(to, Message::Borrow { workspace, tokens }));
        }
    }

    pub(super) fn report_usage(&self, out: &mut Vec<Effect>) {
        // Only one message is sent, which holds about 80 workspaces. For the rest, the
        // other gateways assume that there is no demand here.
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

    /// Recalculates this gateway's shares of the limits.
    pub(super) fn divide_limits(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(document) = &self.document else {
            return;
        };
        if self.lease_until == Millis::ZERO {
            // Not registered yet, so the other gateways have not reserved a share for it.
            return;
        }
        let limits = limits_of(document);
        let is_cut_off = self.authority(now).is_cut_off();
        let others = self.members.limit_usage(now);
        let own = MemberUsage {
            limits: Some(self.rates.limits().to_vec()),
            is_reachable: true,
        };
        let changed = self.shares.divide(now, &limits, &own, &others, is_cut_off);
        if !changed.is_empty() {
            self.log_shares(now, others.len(), is_cut_off);
            out.push(Effect::SetShares(changed));
        }
    }

    pub(super) fn log_shares(&mut self, now: Millis, others: usize, is_cut_off: bool) {
        if now < self.due.shares_log {
            return;
        }
        self.due.shares_log = now + SHARES_LOG_INTERVAL;
        let shares = self
            .shares
            .current()
            .map(|(name, ppm)| format!("{name} {ppm}"));
        let shares: Vec<String> = shares.collect();
        journal::write(
            "limit.parts",
            &[
                ("ppm", (&shares.join(", ")).into()),
                ("others", others.into()),
                ("cut_off", is_cut_off.into()),
            ],
        );
    }

    pub(super) fn members_read(
        &mut self,
        now: Millis,
        members: Vec<Member>,
        out: &mut Vec<Effect>,
    ) {
        for name in self.members.missing(&members) {
            self.member_left(now, &name);
        }
        for member in members {
            self.member_joined(member, out);
        }
    }

    pub(super) fn member_joined(&mut self, member: Member, out: &mut Vec<Effect>) {
        let name = member.name.clone();
        self.shares.member_returned(&name);
        self.acquaintances.confirm(&name);
        let address = member.address;
        if self.members.put(member) {
            self.stream_storage.forget_informed_at(address);
            out.push(Effect::CopyStreams {
                to: name,
                since: Millis::ZERO,
            });
        }
    }

    /// Removes a gateway. Unless it was draining, half of its shares stay reserved, since
    /// it may still be running.
    pub(super) fn member_left(&mut self, now: Millis, name: &str) {
        let last_usage = self.members.remove(name);
        let (Some(last_usage), Some(document)) = (last_usage, &self.document) else {
            return;
        };
        let mut remaining = self.members.limit_usage(now);
        remaining.push(MemberUsage {
            limits: Some(self.rates.limits().to_vec()),
            is_reachable: true,
        });
        let limits = limits_of(document);
        self.shares
            .member_left(now, name.into(), &limits, &last_usage, &remaining);
    }
}

/// The limits to divide: those of workspaces with a rate.
fn limits_of(document: &Document) -> Vec<Limit> {
    let limited = document.workspaces.iter().filter(|w| w.rate > 0);
    let limits = limited.map(|w| Limit {
        workspace: w.name.clone(),
        rate: w.rate,
    });
    limits.collect()
}
