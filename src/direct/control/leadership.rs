//! Leader election, the work of the leader, and messages to the leader.

use std::net::SocketAddr;

use super::{CLAIM_DELAY, Control, Effect, LEASE_MARGIN, LeaderRecord};
use crate::clock::Millis;
use crate::direct::dialect::{ModelOrder, OrderOutcome};
use crate::direct::directory::Holdings;
use crate::direct::gossip::Message;
use crate::direct::leader::{Leader, LeaderInput, LeaderTerm};
use crate::journal;

impl Control {
    /// Applies the leader key. A gateway that another one has succeeded stops leading.
    pub(super) fn leader_key_read(&mut self, now: Millis, record: Option<LeaderRecord>) {
        self.is_leader_record_known = true;
        let is_mine = record.as_ref().is_some_and(|r| {
            let fence = self.leader.as_ref().map(|l| l.term().fence);
            fence == Some(r.revision)
        });
        if self.leader_record != record {
            let holder = record.as_ref().map_or("", |r| r.holder.as_str());
            let fence = record.as_ref().map_or(0, |r| r.revision);
            journal::write(
                "leader.changed",
                &[("holder", holder.into()), ("fence", fence.into())],
            );
        }
        let is_superseded = record.as_ref().is_some_and(|r| {
            self.leader
                .as_ref()
                .is_some_and(|l| l.term().fence < r.revision)
        });
        let fence = record.as_ref().map_or(0, |r| r.revision);
        self.highest_fence = self.highest_fence.max(fence);
        self.leader_record = record;
        if is_superseded && !is_mine {
            self.resign("superseded");
        }
        self.due.claim = now + Millis(CLAIM_DELAY.0 * self.members.rank() as u64);
    }

    /// Tries to claim the leader key if it is free or if this gateway held it
    /// before a restart.
    pub(super) fn campaign(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let is_able = !self.is_draining
            && self.leader.is_none()
            && self.is_leader_record_known
            && now + LEASE_MARGIN < self.lease_until
            && !self.registration.is_lost()
            && self.document.is_some();
        if !is_able || now < self.due.claim {
            return;
        }
        let (expected, is_succession) = match &self.leader_record {
            None => (0, false),
            Some(r) if r.holder == self.settings.name => (r.revision, false),
            Some(r) if r.holder.is_empty() => (r.revision, true),
            Some(_) => return,
        };
        self.due.claim = now + Millis(CLAIM_DELAY.0 * (1 + self.members.rank() as u64));
        out.push(Effect::ClaimLeadership {
            expected,
            is_succession,
        });
    }

    pub(super) fn leadership_claimed(&mut self, now: Millis, fence: u64, is_succession: bool) {
        // An earlier claim may be answered after a later one, or after another gateway's.
        if self.is_draining || fence < self.highest_fence {
            return;
        }
        self.highest_fence = fence;
        let pause = match is_succession {
            true => self.settings.bounds.succession,
            false => Millis::ZERO,
        };
        let leader_term = LeaderTerm {
            fence,
            orders_from: (now + pause).max(self.orders_from_after_restore()),
        };
        journal::write(
            "leader.elected",
            &[("fence", fence.into()), ("waits_ms", pause.into())],
        );
        let name = self.settings.name.clone();
        self.leader_record = Some(LeaderRecord {
            holder: name.clone(),
            revision: fence,
        });
        self.registry.start_term(now);
        self.leader = Some(Leader::new(
            name,
            leader_term,
            self.settings.bounds.load_window,
        ));
    }

    /// A leader of the time before the store came back from a copy may not know of that yet,
    /// and acts until its lease has run out.
    fn orders_from_after_restore(&self) -> Millis {
        match self.restored_at {
            Some((at, false)) => at + self.settings.bounds.lease,
            _ => Millis::ZERO,
        }
    }

    pub(super) fn resign(&mut self, why: &str) {
        if let Some(leader) = self.leader.take() {
            let fence = leader.term().fence;
            journal::write(
                "leader.resigned",
                &[("fence", fence.into()), ("why", why.into())],
            );
        }
    }

    /// Passes a changed registration to the leader and announces what the engine holds.
    pub(super) fn update_leader(&mut self, now: Millis, id: &str, out: &mut Vec<Effect>) {
        let view = self.directory.view_of(now, id);
        if let (Some(leader), Some(view)) = (&mut self.leader, view) {
            leader.on_registration(&view);
        }
        self.announce_endpoint(now, id, out);
    }

    pub(super) fn order_answered(
        &mut self,
        now: Millis,
        endpoint: &str,
        order: &ModelOrder,
        outcome: Option<OrderOutcome>,
        out: &mut Vec<Effect>,
    ) {
        let view = self.directory.view_of(now, endpoint);
        let (Some(leader), Some(document)) = (&mut self.leader, &self.document) else {
            return;
        };
        let is_accepted = leader.on_answer(now, document, endpoint, order, outcome);
        if let Some(view) = view.filter(|_| is_accepted && order.adapter.is_some()) {
            out.push(Effect::AnnounceAfterLoad(leader.holdings_of(&view)));
        }
    }

    /// Calls `work` with the leader and its current inputs, if this gateway leads.
    pub(super) fn with_leader<T>(
        &mut self,
        now: Millis,
        work: impl FnOnce(&mut Leader, &LeaderInput<'_>) -> T,
    ) -> Option<T> {
        let document = self.document.clone()?;
        let endpoints = self.endpoint_views(now);
        let mut loads = self.members.loads(now);
        for (endpoint, load) in &self.own_loads {
            match loads.binary_search_by(|(id, _)| id.cmp(endpoint)) {
                Ok(at) => loads[at].1.add(load),
                Err(at) => loads.insert(at, (endpoint.clone(), load.clone())),
            }
        }
        let mut demand = self.rates.demand();
        demand.extend(self.members.demand(now).cloned());
        let leader = self.leader.as_mut()?;
        Some(work(
            leader,
            &LeaderInput {
                document: &document,
                endpoints: &endpoints,
                loads: &loads,
                demand: &demand,
            },
        ))
    }

    /// Announces what an engine holds to all gateways, if this one leads.
    pub(super) fn announce_endpoint(&mut self, now: Millis, endpoint: &str, out: &mut Vec<Effect>) {
        let view = self.directory.view_of(now, endpoint);
        if let (Some(leader), Some(view)) = (&mut self.leader, view) {
            let holdings = leader.holdings_of(&view);
            self.announce(holdings, out);
        }
    }

    pub(super) fn announce(&mut self, holdings: Holdings, out: &mut Vec<Effect>) {
        if self.directory.set_holdings(holdings.clone()) {
            out.push(Effect::Publish);
        }
        out.push(Effect::Broadcast(Message::Holdings(vec![holdings])));
    }

    /// Reports to the leader which adapters are in use.
    pub(super) fn report_adapter_use(&mut self, now: Millis, used: &[u32], out: &mut Vec<Effect>) {
        if used.is_empty() {
            return;
        }
        if let Some(leader) = &mut self.leader {
            leader.note_adapters_used(now, used);
        } else if let Some(address) = self.leader_address() {
            out.push(Effect::Send(address, Message::Adapters(used.to_vec())));
        }
    }

    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        let holder = &self.leader_record.as_ref()?.holder;
        self.members.address_of(holder)
    }
}
