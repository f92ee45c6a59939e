//! The duties of the gateway that holds the leader's key: placing models and
//! adapters.

mod adapters;
mod models;

use compact_str::CompactString;

use super::dialect::{ModelOrder, Operation, OrderOutcome, Report};
use super::directory::Holdings;
use super::document::Document;
use super::gossip::ModelUse;
use super::ledger::{EngineCall, Ledger};
use super::placement::{Demand, LoadBudget};
use super::request::ModelRef;
use super::view::{EndpointView, LoadTable};
use crate::clock::Millis;
use crate::journal;

/// How long a wish for an adapter is kept; callers ask again meanwhile.
const WANTED_LIFETIME: Millis = Millis(1_000);
/// How long a load may take before the engine is asked what became of it, if
/// the model's own time is not known.
const DEFAULT_LOAD_TIME: Millis = Millis(1_500);
/// An adapter that was used within this time keeps its place: unloading one
/// that requests still use holds up its engine until they end.
const ADAPTER_MIN_IDLE: Millis = Millis(2_500);
/// How long an adapter takes to its engine: ten milliseconds, and a few for the
/// order itself.
pub const ADAPTER_LOAD_TIME: Millis = Millis(12);

/// How long a model that made way stays hidden: an unload waits for the runs
/// that have begun, and the registration after it may lag.
const HIDDEN_LIFETIME: Millis = Millis(10_000);

/// Time between two lines about the placement.
const STATE_LOG_INTERVAL: Millis = Millis(1_000);
/// Models that such a line names.
const MAX_LOGGED_MODELS: usize = 6;

/// The right to give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The fencing number of the orders.
    pub fence: u64,
    /// Orders are given from then on, when an earlier holder's have arrived.
    pub orders_from: Millis,
}

#[derive(Clone, Debug)]
struct WantedModel {
    service: CompactString,
    wanted: ModelRef,
    at: Millis,
}

#[derive(Clone, Debug)]
struct AdapterOrder {
    endpoint: CompactString,
    /// The adapter's hash.
    hash: u32,
    at: Millis,
}

/// What a leader wants to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order or read a report.
    Call(EngineCall),
    /// Tell all gateways that an engine holds other models from now on.
    Announce(Holdings),
}

/// What the leader decides from.
#[derive(Clone, Copy, Debug)]
pub struct LeaderInput<'a> {
    /// The configuration.
    pub document: &'a Document,
    /// The endpoints.
    pub endpoints: &'a [EndpointView],
    /// Requests in flight from all gateways.
    pub loads: &'a LoadTable,
    /// What is asked of the models, by gateway and model.
    pub demand: &'a [ModelUse],
}

/// The leader's memory.
#[derive(Clone, Debug)]
pub struct Leader {
    holder: CompactString,
    term: LeaderTerm,
    ledger: Ledger,
    budgets: Vec<(CompactString, LoadBudget)>,
    wanted_models: Vec<WantedModel>,
    adapter_orders: Vec<AdapterOrder>,
    /// When requests last used each adapter, by its hash.
    adapters_last_used: Vec<(u32, Millis)>,
    hidden: Vec<ModelChange>,
    /// When each copy that this leader ordered was ordered.
    ordered_loads: Vec<ModelChange>,
    /// Models for which copies were told to make way.
    reservations: Vec<ModelChange>,
    announcements: u64,
    state_logged_at: Millis,
    load_window: Millis,
}

struct CopyUsage {
    age: Millis,
    open_requests: u32,
}

/// A change of one model at one engine.
#[derive(Clone, Debug)]
struct ModelChange {
    endpoint: CompactString,
    model: CompactString,
    since: Millis,
}

impl Leader {
    /// A leader that has just taken over.
    pub fn new(holder: CompactString, term: LeaderTerm, load_window: Millis) -> Self {
        Self {
            holder,
            term,
            ledger: Ledger::default(),
            budgets: Vec::new(),
            wanted_models: Vec::new(),
            adapter_orders: Vec::new(),
            adapters_last_used: Vec::new(),
            hidden: Vec::new(),
            ordered_loads: Vec::new(),
            reservations: Vec::new(),
            announcements: 0,
            state_logged_at: Millis::ZERO,
            load_window,
        }
    }

    /// The right under which it acts.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Notes that a request waits for a model or an adapter.
    pub fn note_wanted(&mut self, now: Millis, service: CompactString, wanted: ModelRef) {
        let known = self
            .wanted_models
            .iter_mut()
            .find(|w| w.wanted == wanted && w.service == service);
        match known {
            Some(known) => known.at = now,
            None => self.wanted_models.push(WantedModel {
                service,
                wanted,
                at: now,
            }),
        }
    }

    /// Decides what is to be done now.
    pub fn decide(&mut self, now: Millis, input: &LeaderInput<'_>) -> Vec<Action> {
        if now < self.term.orders_from {
            return Vec::new();
        }
        self.ledger.sync(input.endpoints);
        let mut actions: Vec<Action> = self
            .ledger
            .due_calls(now)
            .into_iter()
            .map(Action::Call)
            .collect();
        actions.extend(self.load_wanted_adapters(now, input));
        for service in &input.document.services {
            if let Some(spec) = &service.engine {
                actions.extend(self.run_placement(now, input, &service.name, spec));
            }
        }
        actions
    }

    fn order(
        &mut self,
        now: Millis,
        endpoint: &str,
        operation: Operation,
        model: CompactString,
        adapter: Option<CompactString>,
    ) -> Option<Action> {
        let order = ModelOrder {
            operation,
            model,
            adapter,
            expected: 0,
            holder: self.holder.clone(),
            fence: self.term.fence,
        };
        self.ledger.issue(now, endpoint, order).map(Action::Call)
    }

    /// Takes in the answer to an order; returns what the engine holds from now
    /// on if that changed with the answer.
    pub fn answered(
        &mut self,
        now: Millis,
        input: &LeaderInput<'_>,
        endpoint: &str,
        order: &ModelOrder,
        outcome: Option<OrderOutcome>,
    ) -> Option<Holdings> {
        let load_time = input.document.services.iter().find_map(|s| {
            let spec = s.engine.as_ref()?;
            Some(spec.model(&order.model)?.load)
        });
        let load_time = load_time.unwrap_or(DEFAULT_LOAD_TIME);
        let is_taken = self
            .ledger
            .answered(now, endpoint, order, outcome, load_time);
        journal::write(
            "order.answered",
            &[
                ("endpoint", endpoint.into()),
                ("operation", operation_name(order.operation).into()),
                ("model", (&order.model).into()),
                ("adapter", order.adapter.as_deref().unwrap_or("").into()),
                ("expected", order.expected.into()),
                ("fence", order.fence.into()),
                ("outcome", outcome_name(outcome).into()),
            ],
        );
        order.adapter.as_ref()?;
        let view = input
            .endpoints
            .iter()
            .find(|e| e.registration.id == endpoint)?;
        is_taken.then(|| self.holdings_of(view))
    }

    /// Takes in an engine's report.
    pub fn reported(&mut self, endpoint: &str, report: &Report) {
        self.ledger.reported(endpoint, report);
    }

    /// Takes in that an engine registered anew.
    pub fn registered(&mut self, endpoint: &EndpointView) {
        let models = endpoint.registration.models.iter().flatten();
        let held: Vec<CompactString> = models.map(|r| r.model.clone()).collect();
        self.ledger.registered(&endpoint.registration.id, &held);
    }

    /// What an engine holds for requests, with the number of this announcement.
    pub fn holdings_of(&mut self, endpoint: &EndpointView) -> Holdings {
        self.announcements += 1;
        let id = &endpoint.registration.id;
        let hidden = self.hidden.iter().filter(|h| h.endpoint == *id);
        Holdings {
            endpoint: id.clone(),
            born: endpoint.registration.born,
            stamp: (self.term.fence, self.announcements),
            residents: self.ledger.residents(id).to_vec(),
            hidden: hidden.map(|h| h.model.clone()).collect(),
        }
    }
}

fn demand_of(uses: &[ModelUse], service: &str, model: &str) -> Demand {
    let mut demand = Demand::default();
    for one in uses
        .iter()
        .filter(|u| u.model == model && u.service == service)
    {
        let per_s = f64::from(one.milli_per_s) / 1_000.0;
        demand.per_s += per_s;
        demand.mean_duration_s += f64::from(one.took_ms) / 1_000.0 * per_s;
    }
    demand.mean_duration_s /= demand.per_s.max(f64::EPSILON);
    demand
}

fn operation_name(operation: Operation) -> &'static str {
    match operation {
        Operation::Load => "load",
        Operation::Unload => "unload",
    }
}

fn outcome_name(outcome: Option<OrderOutcome>) -> &'static str {
    match outcome {
        Some(OrderOutcome::Accepted) => "accepted",
        Some(OrderOutcome::Done) => "done",
        Some(OrderOutcome::Busy) => "busy",
        Some(OrderOutcome::Fenced) => "fenced",
        Some(OrderOutcome::OtherEndpoint) => "other_endpoint",
        Some(OrderOutcome::Invalid) => "invalid",
        None => "unanswered",
    }
}
