//! The leader's work: the gateway that holds the leader key decides which engines
//! load which models and adapters.

mod adapters;
mod models;

use compact_str::CompactString;

use super::control::Need;
use super::dialect::{ModelOrder, Operation, OrderOutcome, Report};
use super::directory::Holdings;
use super::document::Document;
use super::gossip::ModelUsage;
use super::ledger::{EngineCall, Ledger};
use super::placement::{Demand, LoadBudget};
use super::view::{EndpointView, LoadTable};
use crate::clock::Millis;
use crate::journal;

/// How long a reported need for a model is kept. Requests that still wait report
/// it again within this time.
const WANTED_LIFETIME: Millis = Millis(1_000);
/// Expected load time of a model that the configuration does not list. The
/// engine's report is read once this time has passed.
const DEFAULT_LOAD_TIME: Millis = Millis(1_500);
/// An adapter is evicted only after it has been unused for this long. Unloading
/// an adapter that requests still use blocks its engine until they end.
const ADAPTER_MIN_IDLE: Millis = Millis(2_500);
/// Time until an ordered adapter is loaded: 10 ms for the load itself and a few
/// milliseconds for the order.
pub const ADAPTER_LOAD_TIME: Millis = Millis(12);

/// How long an unloaded model stays hidden from requests, and the room that it leaves
/// stays reserved. An unload waits for the requests that already run, and the
/// engine's registration may lag behind.
const HIDDEN_LIFETIME: Millis = Millis(10_000);

/// Minimum time between two `placement.state` log lines.
const STATE_LOG_INTERVAL: Millis = Millis(1_000);
/// Number of models that a `placement.state` log line lists.
const MAX_LOGGED_MODELS: usize = 6;

/// A term of leadership, during which the leader may send orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The fencing number of the term's orders.
    pub fence: u64,
    /// No order is sent before this time, so that orders of the previous leader
    /// that are still on their way arrive first.
    pub orders_from: Millis,
}

/// A model or adapter that requests wait for.
#[derive(Clone, Debug)]
struct WantedModel {
    need: Need,
    /// When a request last reported it.
    at: Millis,
}

impl WantedModel {
    /// Whether an endpoint could serve the requests if it held the model.
    fn fits(&self, endpoint: &EndpointView) -> bool {
        let registration = &endpoint.registration;
        let version = self.need.version.as_ref();
        registration.service == self.need.service
            && version.is_none_or(|version| *version == registration.version)
    }
}

/// When the load of an adapter was last ordered at an engine.
#[derive(Clone, Debug)]
struct AdapterOrder {
    endpoint: CompactString,
    /// The adapter's hash.
    hash: u32,
    at: Millis,
}

/// An action that the leader requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order or read a report.
    Call(EngineCall),
    /// Announce an engine's current models and adapters to all gateways.
    Announce(Holdings),
}

/// The state that the leader's decisions are based on.
#[derive(Clone, Copy, Debug)]
pub struct LeaderInput<'a> {
    /// The configuration.
    pub document: &'a Document,
    /// The endpoints.
    pub endpoints: &'a [EndpointView],
    /// Requests in flight at each endpoint, from all gateways.
    pub loads: &'a LoadTable,
    /// Demand by gateway and model.
    pub demand: &'a [ModelUsage],
}

/// The state of a leader during its term.
#[derive(Clone, Debug)]
pub struct Leader {
    /// This gateway's name, which its orders carry.
    holder: CompactString,
    term: LeaderTerm,
    ledger: Ledger,
    budgets: Vec<(CompactString, LoadBudget)>,
    wanted_models: Vec<WantedModel>,
    adapter_orders: Vec<AdapterOrder>,
    /// When requests last used each adapter, in ascending order of its hash.
    adapters_last_used: Vec<(u32, Millis)>,
    /// Models that are being unloaded and get no requests.
    hidden: Vec<ModelAtEngine>,
    /// Loads that this leader ordered; they give the age of a copy.
    ordered_loads: Vec<ModelAtEngine>,
    /// Models for which an unload at an engine makes room.
    reservations: Vec<ModelAtEngine>,
    /// When requests for each model arrived last, sorted by service and model.
    asked_at: Vec<(CompactString, CompactString, Millis)>,
    /// Number of announcements in this term.
    announcements: u64,
    state_logged_at: Millis,
    load_window: Millis,
}

/// The age and the load of one copy.
struct CopyUsage {
    age: Millis,
    open_requests: u32,
}

/// A model at one engine, and when it was recorded there.
#[derive(Clone, Debug)]
struct ModelAtEngine {
    endpoint: CompactString,
    model: CompactString,
    since: Millis,
}

impl Leader {
    /// Creates the state of a leader that has just been elected.
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
            asked_at: Vec::new(),
            announcements: 0,
            state_logged_at: Millis::ZERO,
            load_window,
        }
    }

    /// Replaces the window over which loads are limited.
    pub fn set_load_window(&mut self, window: Millis) {
        self.load_window = window;
    }

    /// The term of this leader.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Records that a request waits for a model or an adapter.
    pub fn note_wanted(&mut self, now: Millis, need: Need) {
        match self.wanted_models.iter_mut().find(|w| w.need == need) {
            Some(known) => known.at = now,
            None => self.wanted_models.push(WantedModel { need, at: now }),
        }
    }

    /// Returns the actions that are due now.
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

    /// Handles the answer to an order. Returns whether the engine carries it out, or has
    /// carried it out.
    pub fn on_answer(
        &mut self,
        now: Millis,
        document: &Document,
        endpoint: &str,
        order: &ModelOrder,
        outcome: Option<OrderOutcome>,
    ) -> bool {
        let load_time = document.services.iter().find_map(|s| {
            let spec = s.engine.as_ref()?;
            Some(spec.model(&order.model)?.load_time)
        });
        let load_time = load_time.unwrap_or(DEFAULT_LOAD_TIME);
        let is_accepted = self
            .ledger
            .on_answer(now, endpoint, order, outcome, load_time);
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
        is_accepted
    }

    /// Handles an engine's report.
    pub fn on_report(&mut self, endpoint: &str, report: &Report) {
        self.ledger.on_report(endpoint, report);
    }

    /// Handles a changed registration of an engine.
    pub fn on_registration(&mut self, endpoint: &EndpointView) {
        let models = endpoint.registration.models.iter().flatten();
        let held: Vec<CompactString> = models.map(|r| r.model.clone()).collect();
        self.ledger
            .on_registration(&endpoint.registration.id, &held);
    }

    /// Returns the models that an engine offers to requests, stamped with the next
    /// announcement number.
    pub fn holdings_of(&mut self, endpoint: &EndpointView) -> Holdings {
        self.announcements += 1;
        let id = &endpoint.registration.id;
        let hidden = self.hidden.iter().filter(|h| h.endpoint == *id);
        Holdings {
            endpoint: id.clone(),
            started_at: endpoint.registration.started_at,
            stamp: (self.term.fence, self.announcements),
            residents: self.ledger.residents(id).to_vec(),
            hidden: hidden.map(|h| h.model.clone()).collect(),
        }
    }
}

/// The demand for a model at all gateways. Durations are weighted by arrival rate.
fn demand_of(usage: &[ModelUsage], service: &str, model: &str) -> Demand {
    let mut demand = Demand::default();
    for one in usage
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
