//! Carrying out what the placement planner decides.

use compact_str::CompactString;

use super::{
    Duty, HIDDEN_LIFETIME, LOGGED_MODELS, Leader, ModelChange, STATE_INTERVAL, Scene, Stay,
    demand_of,
};
use crate::clock::Millis;
use crate::direct::dialect::Operation;
use crate::direct::document::EngineSpec;
use crate::direct::placement::{Copy, Demand, Engine, LoadBudget, Move, Situation, plan};
use crate::direct::view::{EndpointView, LoadTable, Usability, load_of};
use crate::journal;

impl Leader {
    pub(super) fn place(
        &mut self,
        now: Millis,
        scene: &Scene<'_>,
        service: &CompactString,
        spec: &EngineSpec,
    ) -> Vec<Duty> {
        let of_service = |e: &&EndpointView| e.registration.service == *service;
        let endpoints: Vec<&EndpointView> = scene.endpoints.iter().filter(of_service).collect();
        let engines: Vec<Engine> = endpoints
            .iter()
            .map(|e| self.engine(now, e, scene.loads))
            .collect();
        let demand: Vec<Demand> = spec
            .models
            .iter()
            .map(|model| demand_of(scene.demand, service, &model.name))
            .collect();
        let loading = self.ledger.all_under_way();
        let loading = loading.filter(|o| o.operation == Operation::Load && o.adapter.is_none());
        let under_way = loading.count();
        let window = self.load_window;
        let budget = self.budget(now, service, spec);
        let store_loads = budget.left(now, spec, window, under_way);
        let moves = plan(&Situation {
            spec,
            engines: &engines,
            demand: &demand,
            store_loads,
        });
        self.log_state(now, service, spec, &engines, &demand, store_loads);
        let mut duties = Vec::new();
        for step in moves {
            if step.is_from_store {
                self.budget(now, service, spec).note(now);
            }
            let operation = match step.is_load {
                true => Operation::Load,
                false => Operation::Unload,
            };
            let endpoint = endpoints.iter().find(|e| e.registration.id == step.engine);
            let Some(endpoint) = endpoint else { continue };
            self.hide(now, &step);
            duties.push(Duty::Announce(self.holdings_of(endpoint)));
            duties.extend(self.order(now, &step.engine, operation, step.model, None));
        }
        duties
    }

    /// Writes down, now and then, what the busiest models need and have.
    pub(super) fn log_state(
        &mut self,
        now: Millis,
        service: &str,
        spec: &EngineSpec,
        engines: &[Engine],
        demand: &[Demand],
        store_loads: usize,
    ) {
        if now.since(self.logged_at) < STATE_INTERVAL {
            return;
        }
        self.logged_at = now;
        let mut rows: Vec<(f64, String)> = Vec::new();
        for (model, demand) in spec.models.iter().zip(demand) {
            let copies = engines.iter().filter(|e| e.is_open).flat_map(|e| &e.copies);
            let copies = copies.filter(|c| c.model == model.name && !c.is_leaving);
            let (settled, coming): (Vec<&Copy>, Vec<&Copy>) = copies.partition(|c| c.is_settled);
            let row = format!(
                "{} {:.1}/s x {:.1}s on {}+{}",
                model.name,
                demand.per_s,
                demand.took_s,
                settled.len(),
                coming.len()
            );
            rows.push((demand.weight(), row));
        }
        rows.sort_by(|a, b| b.0.total_cmp(&a.0));
        let rows: Vec<String> = rows
            .into_iter()
            .take(LOGGED_MODELS)
            .map(|(_, r)| r)
            .collect();
        journal::write(
            "placement.state",
            &[
                ("service", service.into()),
                ("fence", self.mandate.fence.into()),
                ("busiest", (&rows.join(", ")).into()),
                ("engines", engines.len().into()),
                ("held_up", (&self.ledger.held_up(now).join(", ")).into()),
                ("store_loads", store_loads.into()),
            ],
        );
    }

    pub(super) fn budget(
        &mut self,
        now: Millis,
        service: &CompactString,
        spec: &EngineSpec,
    ) -> &mut LoadBudget {
        let window = self.load_window;
        let at = self.budgets.binary_search_by(|(name, _)| name.cmp(service));
        let at = at.unwrap_or_else(|at| {
            let budget = LoadBudget::used_up(now, spec, window);
            self.budgets.insert(at, (service.clone(), budget));
            at
        });
        &mut self.budgets[at].1
    }

    pub(super) fn engine(&self, now: Millis, endpoint: &EndpointView, loads: &LoadTable) -> Engine {
        let registration = &endpoint.registration;
        let under_way = self.ledger.under_way(&registration.id);
        let under_way = under_way.filter(|o| o.adapter.is_none());
        let registered = registration.models.iter().flatten();
        let mut copies: Vec<Copy> = Vec::new();
        let known = self.ledger.residents(&registration.id);
        let load = load_of(loads, &registration.id);
        let stay = |model: &str| Stay {
            age: self.age_of(now, &registration.id, model),
            open: load.of_model(model),
        };
        for resident in registered.chain(known) {
            if copies.iter().any(|c| c.model == resident.model) {
                continue;
            }
            let order = under_way.filter(|o| o.model == resident.model);
            let is_hidden = !endpoint.holds_model(&resident.model);
            let stay = stay(&resident.model);
            copies.push(Copy {
                model: resident.model.clone(),
                is_settled: order.is_none(),
                is_leaving: is_hidden || order.is_some_and(|o| o.operation == Operation::Unload),
                age: stay.age,
                open: stay.open,
            });
        }
        if let Some(order) = under_way
            && !copies.iter().any(|c| c.model == order.model)
        {
            copies.push(Copy {
                model: order.model.clone(),
                is_settled: false,
                is_leaving: order.operation == Operation::Unload,
                age: Millis::ZERO,
                open: 0,
            });
        }
        Engine {
            id: registration.id.clone(),
            zone: registration.zone.clone(),
            is_free: self.ledger.is_free(now, &registration.id),
            is_open: endpoint.usability == Usability::Open,
            copies,
            local_models: registration.local_models.clone(),
            open: load.requests,
            awaits: self.awaited_at(now, &registration.id),
        }
    }

    /// Keeps a model that makes way from requests, and lets one that is loaded
    /// have them again.
    pub(super) fn hide(&mut self, now: Millis, step: &Move) {
        self.hidden.retain(|h| {
            let is_same = h.endpoint == step.engine && h.model == step.model;
            now.since(h.since) < HIDDEN_LIFETIME && !is_same
        });
        self.loaded
            .retain(|l| !(l.endpoint == step.engine && l.model == step.model));
        let change = ModelChange {
            endpoint: step.engine.clone(),
            model: step.model.clone(),
            since: now,
        };
        self.awaited.retain(|a| a.endpoint != step.engine);
        if let Some(model) = &step.makes_room_for {
            self.awaited.push(ModelChange {
                model: model.clone(),
                ..change.clone()
            });
        }
        match step.is_load {
            true => self.loaded.push(change),
            false => self.hidden.push(change),
        }
    }

    /// The model that an engine clears a place for.
    pub(super) fn awaited_at(&self, now: Millis, endpoint: &str) -> Option<CompactString> {
        let lately = |a: &&ModelChange| now.since(a.since) < HIDDEN_LIFETIME;
        let mut awaited = self.awaited.iter().filter(lately);
        let found = awaited.find(|a| a.endpoint == endpoint)?;
        Some(found.model.clone())
    }

    /// How long a model has been at an engine; one that this leader did not
    /// order has been there for as long as the leader knows.
    pub(super) fn age_of(&self, now: Millis, endpoint: &str, model: &str) -> Millis {
        let mut loaded = self.loaded.iter();
        let found = loaded.find(|l| l.endpoint == endpoint && l.model == model);
        found.map_or(now, |l| now.since(l.since))
    }
}
