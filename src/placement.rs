//! Which endpoint holds which model, decided by the placement leader.
//!
//! Every model is kept on at least one endpoint. Where memory allows, models
//! in demand get a second copy in another availability zone. Nothing is
//! unloaded unless another copy is ready (make before break).

use compact_str::CompactString;

use crate::clock::Millis;
use crate::weights::{Catalogue, Model};
use crate::wire::{Action, AgentStatus, EndpointKind, Fence, Order, Residency};

/// How long an order stands before it may be given again.
const ORDER_TIMEOUT: Millis = Millis(5_000);
/// Requests waiting for a model, for each ready copy, that earn it another one.
const WAITING_FOR_COPY: u64 = 4;

/// An order for one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placing {
    /// The agent.
    pub agent: CompactString,
    /// The order.
    pub order: Order,
}

#[derive(Clone, Debug)]
struct Pending {
    agent: CompactString,
    model: CompactString,
    bytes: u64,
    since: Millis,
}

/// The leader's memory between two rounds.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    pending: Vec<Pending>,
    moves: u64,
}

impl Placement {
    /// Orders given since the start.
    pub fn moves(&self) -> u64 {
        self.moves
    }

    /// Notes that an order was answered with a refusal.
    pub fn refused(&mut self, agent: &str, model: &str) {
        self.pending
            .retain(|p| !(p.agent == agent && p.model == model));
    }

    /// Lists the orders that bring the fleet closer to its target.
    pub fn plan(
        &mut self,
        now: Millis,
        fence: Fence,
        catalogue: &Catalogue,
        agents: &[AgentStatus],
        demand: &[Demand],
    ) -> Vec<Placing> {
        self.forget_settled(now, agents);
        let loading = agents.iter().flat_map(|a| &a.models);
        let loading = loading.filter(|r| r.state == Residency::Loading).count();
        let free = catalogue.concurrent_loads.max(1);
        let mut budget = free.saturating_sub(loading.max(self.pending.len()));
        let mut out = Vec::new();
        let wants = self.wants(catalogue, agents, demand);
        for model in wants {
            if budget == 0 {
                break;
            }
            let Some(placing) = self.place(now, fence, model, agents) else {
                continue;
            };
            out.push(placing);
            budget -= 1;
        }
        self.moves += out.len() as u64;
        out
    }

    /// Models that need one more copy, the most urgent first.
    fn wants<'a>(
        &self,
        catalogue: &'a Catalogue,
        agents: &[AgentStatus],
        demand: &[Demand],
    ) -> Vec<&'a Model> {
        let copies = |model: &Model| self.copies(&model.name, agents);
        let unreachable = catalogue.models.iter().filter(|m| copies(m) == 0);
        let crowded = demand.iter().filter_map(|d| {
            let at = catalogue.models.binary_search_by(|m| m.name.cmp(&d.model));
            let model = &catalogue.models[at.ok()?];
            let have = copies(model);
            let is_crowded = have > 0 && d.waiting >= WAITING_FOR_COPY * have as u64;
            is_crowded.then_some(model)
        });
        unreachable.chain(crowded).collect()
    }

    /// Copies that are there or on their way, on agents that take work.
    fn copies(&self, model: &str, agents: &[AgentStatus]) -> usize {
        let live = agents.iter().filter(|a| a.healthy && !a.draining);
        let held = live.filter(|a| holds(a, model)).count();
        let is_new = |p: &&Pending| {
            p.model == model && !agents.iter().any(|a| a.name == p.agent && holds(a, model))
        };
        held + self.pending.iter().filter(is_new).count()
    }

    /// Chooses the endpoint with the most free memory, preferring new zones.
    fn place(
        &mut self,
        now: Millis,
        fence: Fence,
        model: &Model,
        agents: &[AgentStatus],
    ) -> Option<Placing> {
        let is_pending_at = |agent: &AgentStatus| {
            let mut pending = self.pending.iter();
            pending.any(|p| p.agent == agent.name && p.model == model.name)
        };
        let taken_zone = |zone: &str| {
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
            .max_by_key(|a| (!taken_zone(&a.zone), self.free_bytes(a)))?;
        self.pending.push(Pending {
            agent: best.name.clone(),
            model: model.name.clone(),
            bytes: model.bytes,
            since: now,
        });
        Some(Placing {
            agent: best.name.clone(),
            order: Order {
                fence,
                action: Action::Load,
                model: model.name.clone(),
                bytes: model.bytes,
            },
        })
    }

    /// Free memory, less what orders need that the agent has not yet reported.
    fn free_bytes(&self, agent: &AgentStatus) -> u64 {
        let held: u64 = agent.models.iter().map(|r| r.bytes).sum();
        let ordered = self.pending.iter().filter(|p| p.agent == agent.name);
        let used = held + ordered.map(|p| p.bytes).sum::<u64>();
        agent.memory_bytes.saturating_sub(used)
    }

    fn forget_settled(&mut self, now: Millis, agents: &[AgentStatus]) {
        let is_held = |p: &Pending| {
            let agent = agents.iter().find(|a| a.name == p.agent);
            agent.is_some_and(|a| holds(a, &p.model))
        };
        self.pending
            .retain(|p| now.since(p.since) < ORDER_TIMEOUT && !is_held(p));
    }
}

/// How many requests wait for a model over the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The model.
    pub model: CompactString,
    /// Requests waiting.
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
