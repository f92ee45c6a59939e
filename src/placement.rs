//! The placement leader's decision which endpoint holds which model.
//!
//! Every model is kept on at least one endpoint. Where memory allows, models
//! in demand get another copy, preferably in a zone without one. The leader
//! issues load orders only, so it never takes away a ready copy.

use compact_str::CompactString;

use crate::clock::Millis;
use crate::weights::{Catalogue, Model};
use crate::wire::{Action, AgentStatus, EndpointKind, Fence, Order, Residency};

/// Time after which an order without visible effect may be issued again.
const ORDER_TIMEOUT: Millis = Millis(5_000);
/// A model gets another copy once this many requests wait for each copy.
const WAITING_PER_COPY: u64 = 4;

/// An order for one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentOrder {
    /// The agent's name.
    pub agent: CompactString,
    /// The order.
    pub order: Order,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    agent: CompactString,
    model: CompactString,
    bytes: u64,
    issued_at: Millis,
}

/// The leader's state between two rounds of placement.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    pending: Vec<PendingOrder>,
    orders_issued: u64,
}

impl Placement {
    /// Orders issued since the start.
    pub fn orders_issued(&self) -> u64 {
        self.orders_issued
    }

    /// Forgets an order that was refused or not answered.
    pub fn on_refusal(&mut self, agent: &str, model: &str) {
        self.pending
            .retain(|p| !(p.agent == agent && p.model == model));
    }

    /// Returns the orders to issue now, limited by the loads that may run at once.
    pub fn plan(
        &mut self,
        now: Millis,
        fence: Fence,
        catalogue: &Catalogue,
        agents: &[AgentStatus],
        demand: &[Demand],
    ) -> Vec<AgentOrder> {
        self.drop_finished(now, agents);
        let loading = agents.iter().flat_map(|a| &a.models);
        let loading = loading.filter(|r| r.state == Residency::Loading).count();
        let max_loads = catalogue.concurrent_loads.max(1);
        let mut budget = max_loads.saturating_sub(loading.max(self.pending.len()));
        let mut out = Vec::new();
        let models = self.models_to_place(catalogue, agents, demand);
        for model in models {
            if budget == 0 {
                break;
            }
            let Some(order) = self.order_load(now, fence, model, agents) else {
                continue;
            };
            out.push(order);
            budget -= 1;
        }
        self.orders_issued += out.len() as u64;
        out
    }

    /// Models that need one more copy; those without any copy come first.
    fn models_to_place<'a>(
        &self,
        catalogue: &'a Catalogue,
        agents: &[AgentStatus],
        demand: &[Demand],
    ) -> Vec<&'a Model> {
        let copies = |model: &Model| self.copies(&model.name, agents);
        let without_copy = catalogue.models.iter().filter(|m| copies(m) == 0);
        let overloaded = demand.iter().filter_map(|d| {
            let at = catalogue.models.binary_search_by(|m| m.name.cmp(&d.model));
            let model = &catalogue.models[at.ok()?];
            let count = copies(model);
            let needs_copy = count > 0 && d.waiting >= WAITING_PER_COPY * count as u64;
            needs_copy.then_some(model)
        });
        without_copy.chain(overloaded).collect()
    }

    /// Counts the copies that are ready or loading on healthy agents that are not
    /// draining, and those that are ordered and not yet reported.
    fn copies(&self, model: &str, agents: &[AgentStatus]) -> usize {
        let live = agents.iter().filter(|a| a.healthy && !a.draining);
        let listed = live.filter(|a| holds(a, model)).count();
        let is_unreported = |p: &&PendingOrder| {
            p.model == model && !agents.iter().any(|a| a.name == p.agent && holds(a, model))
        };
        listed + self.pending.iter().filter(is_unreported).count()
    }

    /// Orders a load on the endpoint with the most free memory, preferring zones without a copy.
    fn order_load(
        &mut self,
        now: Millis,
        fence: Fence,
        model: &Model,
        agents: &[AgentStatus],
    ) -> Option<AgentOrder> {
        let is_pending_at = |agent: &AgentStatus| {
            let mut pending = self.pending.iter();
            pending.any(|p| p.agent == agent.name && p.model == model.name)
        };
        let has_copy_in_zone = |zone: &str| {
            agents
                .iter()
                .any(|a| a.zone == zone && holds(a, &model.name))
        };
        let fits = |agent: &&AgentStatus| {
            agent.kind == EndpointKind::Engine
                && agent.healthy
                && !agent.draining
                && !holds(agent, &model.name)
                && !is_pending_at(agent)
                && self.free_bytes(agent) >= model.bytes
        };
        let best = agents
            .iter()
            .filter(fits)
            .max_by_key(|a| (!has_copy_in_zone(&a.zone), self.free_bytes(a)))?;
        self.pending.push(PendingOrder {
            agent: best.name.clone(),
            model: model.name.clone(),
            bytes: model.bytes,
            issued_at: now,
        });
        Some(AgentOrder {
            agent: best.name.clone(),
            order: Order {
                fence,
                action: Action::Load,
                model: model.name.clone(),
                bytes: model.bytes,
            },
        })
    }

    /// The agent's free memory, less the memory of orders that it has not yet reported.
    fn free_bytes(&self, agent: &AgentStatus) -> u64 {
        let listed: u64 = agent.models.iter().map(|r| r.bytes).sum();
        let ordered = self.pending.iter().filter(|p| p.agent == agent.name);
        let used = listed + ordered.map(|p| p.bytes).sum::<u64>();
        agent.memory_bytes.saturating_sub(used)
    }

    /// Forgets orders that took effect or timed out.
    fn drop_finished(&mut self, now: Millis, agents: &[AgentStatus]) {
        let is_held = |p: &PendingOrder| {
            let agent = agents.iter().find(|a| a.name == p.agent);
            agent.is_some_and(|a| holds(a, &p.model))
        };
        self.pending
            .retain(|p| now.since(p.issued_at) < ORDER_TIMEOUT && !is_held(p));
    }
}

/// The number of requests in the whole fleet that wait for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The model's name.
    pub model: CompactString,
    /// The number of waiting requests.
    pub waiting: u64,
}

fn holds(agent: &AgentStatus, model: &str) -> bool {
    let at = agent
        .models
        .binary_search_by(|r| r.model.as_str().cmp(model));
    match at {
        Ok(at) => agent.models[at].state != Residency::Unloading,
        Err(_) => false,
    }
}
