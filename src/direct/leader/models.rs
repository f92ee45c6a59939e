//! Carries out the moves of the placement planner.

use compact_str::CompactString;

use super::{
    Action, CopyUsage, HIDDEN_LIFETIME, Leader, LeaderInput, MAX_LOGGED_MODELS, ModelAtEngine,
    STATE_LOG_INTERVAL, WantedModel, demand_of,
};
use crate::clock::Millis;
use crate::direct::dialect::Operation;
use crate::direct::document::EngineSpec;
use crate::direct::gossip::ModelUsage;
use crate::direct::placement::{
    Demand, Engine, LoadBudget, ModelCopy, Move, PlanInput, RequiredCopy, plan,
};
use crate::direct::view::{EndpointView, LoadTable, Usability, load_of};
use crate::journal;

/// Share of a limited rate that demand may take up before other engines get copies.
const USABLE_RATE: f64 = 0.7;
/// Rate that is assumed of a model that requests wait for while no gateway reports any.
const MIN_WANTED_PER_S: f64 = 0.1;

impl Leader {
    pub(super) fn run_placement(
        &mut self,
        now: Millis,
        input: &LeaderInput<'_>,
        service: &CompactString,
        spec: &EngineSpec,
    ) -> Vec<Action> {
        let of_service = |e: &&EndpointView| e.registration.service == *service;
        let endpoints: Vec<&EndpointView> = input.endpoints.iter().filter(of_service).collect();
        let engines: Vec<Engine> = endpoints
            .iter()
            .map(|e| Engine {
                is_open: is_enough(e, &endpoints, input.demand),
                ..self.engine_state(now, e, input.loads)
            })
            .collect();
        let demand: Vec<Demand> = spec
            .models
            .iter()
            .map(|model| self.demand_for(now, input, service, &model.name))
            .collect();
        let loading = self.ledger.pending_orders();
        let loading = loading.filter(|o| o.operation == Operation::Load && o.adapter.is_none());
        let pending_loads = loading.count();
        let window = self.load_window;
        let budget = self.load_budget(now, service, spec);
        let store_loads = budget.available(now, spec, window, pending_loads);
        let moves = plan(&PlanInput {
            spec,
            engines: &engines,
            demand: &demand,
            store_loads,
            required: &self.required_copies(service, &endpoints),
        });
        self.log_state(now, service, spec, &engines, &demand, store_loads);
        let mut actions = Vec::new();
        for planned in moves {
            if planned.is_from_store {
                self.load_budget(now, service, spec).record_load(now);
            }
            let operation = match planned.is_load {
                true => Operation::Load,
                false => Operation::Unload,
            };
            let endpoint = endpoints
                .iter()
                .find(|e| e.registration.id == planned.engine);
            let Some(endpoint) = endpoint else { continue };
            self.record_move(now, &planned);
            actions.push(Action::Announce(self.holdings_of(endpoint)));
            actions.extend(self.order(now, &planned.engine, operation, planned.model, None));
        }
        actions
    }

    /// The demand for a model. A request that waits for it counts before the gateways' next
    /// reports.
    fn demand_for(
        &mut self,
        now: Millis,
        input: &LeaderInput<'_>,
        service: &str,
        model: &str,
    ) -> Demand {
        let mut demand = demand_of(input.demand, service, model);
        let mut wanted = self.wanted_models.iter().map(|w| &w.need);
        let is_wanted = wanted.any(|need| need.service == service && need.wanted.model == model);
        if is_wanted && !demand.is_asked_for() {
            demand.per_s = MIN_WANTED_PER_S;
            demand.mean_duration_s = 1.0;
        }
        let at = self
            .asked_at
            .binary_search_by(|(s, m, _)| (s.as_str(), m.as_str()).cmp(&(service, model)));
        match at {
            Ok(at) if demand.is_asked_for() => self.asked_at[at].2 = now,
            Ok(at) => demand.idle_for = now.since(self.asked_at[at].2),
            // A new leader does not know how long the model was idle before.
            Err(at) => self
                .asked_at
                .insert(at, (service.into(), model.into(), now)),
        }
        demand
    }

    /// Copies that streams need at engines of the software version that began them.
    fn required_copies(&self, service: &str, endpoints: &[&EndpointView]) -> Vec<RequiredCopy> {
        let of_version =
            |wanted: &&WantedModel| wanted.need.version.is_some() && wanted.need.service == service;
        let wanted = self.wanted_models.iter().filter(of_version);
        let required = wanted.map(|wanted| RequiredCopy {
            model: wanted.need.wanted.model.clone(),
            engines: endpoints
                .iter()
                .filter(|e| wanted.fits(e))
                .map(|e| e.registration.id.clone())
                .collect(),
        });
        required.collect()
    }

    /// Logs the demand and the copies of the busiest models at a fixed interval.
    pub(super) fn log_state(
        &mut self,
        now: Millis,
        service: &str,
        spec: &EngineSpec,
        engines: &[Engine],
        demand: &[Demand],
        store_loads: usize,
    ) {
        if now.since(self.state_logged_at) < STATE_LOG_INTERVAL {
            return;
        }
        self.state_logged_at = now;
        let mut rows: Vec<(f64, String)> = Vec::new();
        for (model, demand) in spec.models.iter().zip(demand) {
            let copies = engines.iter().filter(|e| e.is_open).flat_map(|e| &e.copies);
            let copies = copies.filter(|c| c.model == model.name && !c.is_leaving);
            let (settled, pending): (Vec<&ModelCopy>, Vec<&ModelCopy>) =
                copies.partition(|c| c.is_settled);
            let row = format!(
                "{} {:.1}/s x {:.1}s on {}+{}",
                model.name,
                demand.per_s,
                demand.mean_duration_s,
                settled.len(),
                pending.len()
            );
            rows.push((demand.mean_open_requests(), row));
        }
        rows.sort_by(|a, b| b.0.total_cmp(&a.0));
        let rows: Vec<String> = rows
            .into_iter()
            .take(MAX_LOGGED_MODELS)
            .map(|(_, r)| r)
            .collect();
        journal::write(
            "placement.state",
            &[
                ("service", service.into()),
                ("fence", self.term.fence.into()),
                ("busiest", (&rows.join(", ")).into()),
                ("engines", engines.len().into()),
                (
                    "held_up",
                    (&self.ledger.blocked_engines(now).join(", ")).into(),
                ),
                ("store_loads", store_loads.into()),
            ],
        );
    }

    pub(super) fn load_budget(
        &mut self,
        now: Millis,
        service: &CompactString,
        spec: &EngineSpec,
    ) -> &mut LoadBudget {
        let window = self.load_window;
        let at = self.budgets.binary_search_by(|(name, _)| name.cmp(service));
        let at = at.unwrap_or_else(|at| {
            let budget = LoadBudget::after_takeover(now, spec, window);
            self.budgets.insert(at, (service.clone(), budget));
            at
        });
        &mut self.budgets[at].1
    }

    pub(super) fn engine_state(
        &self,
        now: Millis,
        endpoint: &EndpointView,
        loads: &LoadTable,
    ) -> Engine {
        let registration = &endpoint.registration;
        let pending_order = self.ledger.pending_order(&registration.id);
        let pending_order = pending_order.filter(|o| o.adapter.is_none());
        let registered = registration.models.iter().flatten();
        let mut copies: Vec<ModelCopy> = Vec::new();
        let known = self.ledger.residents(&registration.id);
        let load = load_of(loads, &registration.id);
        let usage_of = |model: &str| CopyUsage {
            age: self.copy_age(now, &registration.id, model),
            open_requests: load.requests_for_model(model),
        };
        for resident in registered.chain(known) {
            if copies.iter().any(|c| c.model == resident.model) {
                continue;
            }
            let order = pending_order.filter(|o| o.model == resident.model);
            let is_hidden = !endpoint.holds_model(&resident.model);
            let usage = usage_of(&resident.model);
            copies.push(ModelCopy {
                model: resident.model.clone(),
                is_settled: order.is_none(),
                is_leaving: is_hidden || order.is_some_and(|o| o.operation == Operation::Unload),
                age: usage.age,
                open_requests: usage.open_requests,
            });
        }
        if let Some(order) = pending_order
            && !copies.iter().any(|c| c.model == order.model)
        {
            copies.push(ModelCopy {
                model: order.model.clone(),
                is_settled: false,
                is_leaving: order.operation == Operation::Unload,
                age: Millis::ZERO,
                open_requests: 0,
            });
        }
        Engine {
            id: registration.id.clone(),
            zone: registration.zone.clone(),
            is_free: self.ledger.is_free(now, &registration.id)
                && endpoint.usability == Usability::Open,
            is_open: endpoint.usability == Usability::Open,
            copies,
            local_models: registration.local_models.clone(),
            open_requests: load.requests,
            slots: registration.slots,
            reserved_for: self.reserved_for(now, &registration.id),
        }
    }

    /// Records a move: a model that is unloaded is hidden from requests, a model
    /// that is loaded is no longer hidden.
    pub(super) fn record_move(&mut self, now: Millis, planned: &Move) {
        self.hidden.retain(|h| {
            let is_same = h.endpoint == planned.engine && h.model == planned.model;
            now.since(h.since) < HIDDEN_LIFETIME && !is_same
        });
        self.ordered_loads
            .retain(|l| !(l.endpoint == planned.engine && l.model == planned.model));
        let entry = ModelAtEngine {
            endpoint: planned.engine.clone(),
            model: planned.model.clone(),
            since: now,
        };
        self.reservations.retain(|r| r.endpoint != planned.engine);
        if let Some(model) = &planned.makes_room_for {
            self.reservations.push(ModelAtEngine {
                model: model.clone(),
                ..entry.clone()
            });
        }
        match planned.is_load {
            true => self.ordered_loads.push(entry),
            false => self.hidden.push(entry),
        }
    }

    /// The model for which an unload at this engine makes room.
    pub(super) fn reserved_for(&self, now: Millis, endpoint: &str) -> Option<CompactString> {
        let is_recent = |r: &&ModelAtEngine| now.since(r.since) < HIDDEN_LIFETIME;
        let mut reservations = self.reservations.iter().filter(is_recent);
        let found = reservations.find(|r| r.endpoint == endpoint)?;
        Some(found.model.clone())
    }

    /// How long ago this leader ordered the load of a model at an engine. A copy
    /// that it did not order counts as present since the start of the clock.
    pub(super) fn copy_age(&self, now: Millis, endpoint: &str, model: &str) -> Millis {
        let mut ordered_loads = self.ordered_loads.iter();
        let found = ordered_loads.find(|l| l.endpoint == endpoint && l.model == model);
        found.map_or(now, |l| now.since(l.since))
    }
}

/// Whether an engine's copies count. Those of one that takes a limited rate do while the rate
/// covers the demand for the models that no other engine serves without a limit.
fn is_enough(engine: &EndpointView, all: &[&EndpointView], usage: &[ModelUsage]) -> bool {
    let rate = match engine.usability {
        Usability::Open => return true,
        Usability::Leaving => return false,
        Usability::Limited(rate) => rate,
    };
    let service = &engine.registration.service;
    let is_served = |model: &str| {
        let mut open = all.iter().filter(|e| e.usability == Usability::Open);
        open.any(|e| e.holds_model(model))
    };
    let held = engine.holdings.iter().map(|resident| &resident.model);
    let only_here = held.filter(|model| !is_served(model));
    let per_s: f64 = only_here.map(|m| demand_of(usage, service, m).per_s).sum();
    per_s * 1_000.0 <= f64::from(rate.0) * USABLE_RATE
}
