//! Tracks the orders to engines and the models each engine may hold as a result.
//!
//! An unanswered order may still be carried out much later. Each order names the
//! number of orders that the engine must have accepted before it, so the engine
//! rejects it once it has accepted another one. Until the outcome is certain, the
//! order counts as carried out and its engine gets no other order.

use compact_str::CompactString;

use super::dialect::{ModelOrder, Operation, OrderOutcome, Report, Resident};
use super::view::EndpointView;
use crate::clock::Millis;

/// Timeout of a call to an engine. An order without an answer is sent again after
/// this time and one `REPORT_INTERVAL`.
pub const ORDER_TIMEOUT: Millis = Millis(600);
/// Time between an order, or the expected end of a load, and the request for a
/// report. Reports are a few hundred milliseconds old, and the registration
/// usually shows the end of a load earlier.
const REPORT_DELAY: Millis = Millis(700);
/// Minimum time between two report requests to one engine; a report is about
/// 200 ms old.
const REPORT_INTERVAL: Millis = Millis(400);
/// How long an engine gets no orders after it rejected one.
const REJECTION_BACKOFF: Millis = Millis(500);

/// The state of the orders to one engine.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// The engine's report must be read before the first order: an earlier leader
    /// may have changed what the engine holds.
    Unread,
    /// No order is pending.
    Free,
    /// An order was sent and has not been answered.
    Sent { order: ModelOrder, at: Millis },
    /// The engine has accepted a model order and is expected to finish it at `until`.
    InProgress { order: ModelOrder, until: Millis },
    /// The outcome of the order has to be read from the engine's report.
    Unconfirmed { order: ModelOrder, since: Millis },
}

/// What the leader knows about one engine.
#[derive(Clone, Debug)]
struct EngineRecord {
    endpoint: CompactString,
    started_at: u64,
    /// Number of orders that the engine has accepted since its start.
    accepted_orders: u64,
    /// Its models, from its last report and the orders since then.
    residents: Vec<Resident>,
    phase: Phase,
    backoff_until: Millis,
    report_requested_at: Option<Millis>,
}

/// A call that has to be made to an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineCall {
    /// Send an order.
    Order {
        /// The engine.
        endpoint: CompactString,
        /// The order.
        order: ModelOrder,
    },
    /// Read its report.
    Report(CompactString),
}

/// The leader's orders to all engines.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    records: Vec<EngineRecord>,
}

impl Ledger {
    /// Updates the set of engines. An engine that restarted gets a new record.
    pub fn sync(&mut self, endpoints: &[EndpointView]) {
        for view in endpoints.iter().filter(|e| e.registration.models.is_some()) {
            let registration = &view.registration;
            match self.find(&registration.id) {
                Ok(at) if self.records[at].started_at == registration.started_at => {}
                Ok(at) => self.records[at] = EngineRecord::from_view(view),
                Err(at) => self.records.insert(at, EngineRecord::from_view(view)),
            }
        }
        self.records
            .retain(|r| endpoints.iter().any(|e| e.registration.id == r.endpoint));
    }

    /// Whether an engine can be sent an order now.
    pub fn is_free(&self, now: Millis, endpoint: &str) -> bool {
        let record = self.record(endpoint);
        record.is_some_and(|r| r.phase == Phase::Free && now >= r.backoff_until)
    }

    /// The order that is pending at an engine.
    pub fn pending_order(&self, endpoint: &str) -> Option<&ModelOrder> {
        match &self.record(endpoint)?.phase {
            Phase::Unread | Phase::Free => None,
            Phase::Sent { order, .. }
            | Phase::InProgress { order, .. }
            | Phase::Unconfirmed { order, .. } => Some(order),
        }
    }

    /// Engines that can be sent no order now, each with the reason, for the log.
    pub fn blocked_engines(&self, now: Millis) -> Vec<String> {
        let blocked = self.records.iter().filter_map(|record| {
            let why = match &record.phase {
                Phase::Unread => "unread".to_owned(),
                Phase::Free if now < record.backoff_until => "rests".to_owned(),
                Phase::Free => return None,
                Phase::Sent { order, .. } => format!("unanswered {}", order.model),
                Phase::InProgress { order, .. } => format!("working {}", order.model),
                Phase::Unconfirmed { order, .. } => format!("unsure {}", order.model),
            };
            Some(format!(
                "{} {why} after {}",
                record.endpoint, record.accepted_orders
            ))
        });
        blocked.collect()
    }

    /// The pending orders of all engines.
    pub fn pending_orders(&self) -> impl Iterator<Item = &ModelOrder> {
        self.records
            .iter()
            .filter_map(|r| self.pending_order(&r.endpoint))
    }

    /// Records an order as sent and returns it with the expected order number set.
    pub fn issue(
        &mut self,
        now: Millis,
        endpoint: &str,
        mut order: ModelOrder,
    ) -> Option<EngineCall> {
        let at = self.find(endpoint).ok()?;
        let record = &mut self.records[at];
        order.expected = record.accepted_orders;
        record.phase = Phase::Sent {
            order: order.clone(),
            at: now,
        };
        let endpoint = record.endpoint.clone();
        Some(EngineCall::Order { endpoint, order })
    }

    /// Handles the answer to an order; `None` stands for no answer. Returns whether
    /// the order has certainly been carried out or is being carried out.
    pub fn on_answer(
        &mut self,
        now: Millis,
        endpoint: &str,
        answered: &ModelOrder,
        outcome: Option<OrderOutcome>,
        load_time: Millis,
    ) -> bool {
        let Ok(at) = self.find(endpoint) else {
            return false;
        };
        let record = &mut self.records[at];
        let Phase::Sent { order, .. } = &record.phase else {
            return false;
        };
        if order != answered {
            return false;
        }
        let order = order.clone();
        let is_model = order.adapter.is_none();
        match outcome {
            Some(OrderOutcome::Accepted) => {
                record.accepted_orders = order.expected + 1;
                record.apply(&order);
                record.phase = match (is_model, order.operation) {
                    (true, _) => Phase::InProgress {
                        order,
                        until: now + load_time,
                    },
                    (false, Operation::Load) => Phase::Free,
                    // The unload waits for the requests that use the adapter.
                    (false, Operation::Unload) => Phase::Unconfirmed { order, since: now },
                };
                true
            }
            Some(OrderOutcome::Done) => {
                // The engine counts an adapter unload that ends at once. It does
                // not count an order whose effect was already in place.
                if !is_model && order.operation == Operation::Unload {
                    record.accepted_orders = order.expected + 1;
                }
                record.apply(&order);
                record.phase = match is_model {
                    true => Phase::Unconfirmed { order, since: now },
                    false => Phase::Free,
                };
                true
            }
            Some(OrderOutcome::Busy) => {
                record.phase = Phase::Unconfirmed { order, since: now };
                false
            }
            Some(OrderOutcome::Fenced | OrderOutcome::OtherEndpoint | OrderOutcome::Invalid) => {
                record.phase = Phase::Free;
                record.backoff_until = now + REJECTION_BACKOFF;
                false
            }
            // The phase stays `Sent`: the same order is sent again until it is answered.
            None => false,
        }
    }

    /// Handles an engine's report.
    pub fn on_report(&mut self, endpoint: &str, report: &Report) {
        let Ok(at) = self.find(endpoint) else { return };
        let record = &mut self.records[at];
        if record.started_at != report.started_at {
            return;
        }
        let is_trusted = match record.phase {
            // The report was requested late enough to reflect the last order.
            Phase::Unread | Phase::Unconfirmed { .. } => true,
            _ => report.orders >= record.accepted_orders,
        };
        if !is_trusted {
            return;
        }
        record.accepted_orders = report.orders;
        record.residents.clone_from(&report.models);
        let is_sent = matches!(record.phase, Phase::Sent { .. });
        if !is_sent && !report.is_busy {
            record.phase = Phase::Free;
        }
    }

    /// Handles the models in an engine's registration: a pending load or unload
    /// that shows there has ended.
    pub fn on_registration(&mut self, endpoint: &str, held: &[CompactString]) {
        let Ok(at) = self.find(endpoint) else { return };
        let record = &mut self.records[at];
        let Phase::InProgress { order, .. } = &record.phase else {
            return;
        };
        let is_load = order.operation == Operation::Load;
        if held.contains(&order.model) != is_load {
            return;
        }
        if is_load {
            record.residents.push(Resident {
                model: order.model.clone(),
                adapters: Vec::new(),
            });
        }
        record.phase = Phase::Free;
    }

    /// Whether an engine holds an adapter or is loading it.
    pub fn has_adapter(&self, endpoint: &str, model: &str, adapter: &str) -> bool {
        let found = self.residents(endpoint).iter().find(|r| r.model == model);
        found.is_some_and(|r| r.adapters.iter().any(|a| a == adapter))
    }

    /// The models that an engine holds, as far as the leader knows.
    pub fn residents(&self, endpoint: &str) -> &[Resident] {
        self.record(endpoint).map_or(&[], |r| &r.residents)
    }

    /// Returns the calls that are due: retries of unanswered orders, and report
    /// requests.
    pub fn due_calls(&mut self, now: Millis) -> Vec<EngineCall> {
        self.records
            .iter_mut()
            .filter_map(|record| record.due_call(now))
            .collect()
    }

    fn record(&self, endpoint: &str) -> Option<&EngineRecord> {
        self.find(endpoint).ok().map(|at| &self.records[at])
    }

    fn find(&self, endpoint: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|r| r.endpoint.as_str().cmp(endpoint))
    }
}

impl EngineRecord {
    fn from_view(view: &EndpointView) -> Self {
        Self {
            endpoint: view.registration.id.clone(),
            started_at: view.registration.started_at,
            accepted_orders: 0,
            residents: Vec::new(),
            phase: Phase::Unread,
            backoff_until: Millis::ZERO,
            report_requested_at: None,
        }
    }

    fn due_call(&mut self, now: Millis) -> Option<EngineCall> {
        match &mut self.phase {
            Phase::Free => return None,
            Phase::Sent { order, at } => {
                if now.since(*at) <= ORDER_TIMEOUT + REPORT_INTERVAL {
                    return None;
                }
                *at = now;
                return Some(EngineCall::Order {
                    endpoint: self.endpoint.clone(),
                    order: order.clone(),
                });
            }
            Phase::InProgress { until, .. } if now < *until + REPORT_DELAY => return None,
            Phase::Unconfirmed { since, .. } if now < *since + REPORT_DELAY => return None,
            Phase::Unread | Phase::InProgress { .. } | Phase::Unconfirmed { .. } => {}
        }
        let is_requested = self
            .report_requested_at
            .is_some_and(|at| now.since(at) <= REPORT_INTERVAL);
        if is_requested {
            return None;
        }
        self.report_requested_at = Some(now);
        Some(EngineCall::Report(self.endpoint.clone()))
    }

    /// Applies the immediate effect of an accepted order. Adapters are loaded and
    /// unloaded within milliseconds, and a model being unloaded takes no requests.
    /// A loaded model is added only when the registration or a report shows it.
    fn apply(&mut self, order: &ModelOrder) {
        let Some(adapter) = &order.adapter else {
            if order.operation == Operation::Unload {
                self.residents.retain(|r| r.model != order.model);
            }
            return;
        };
        let found = self.residents.iter_mut().find(|r| r.model == order.model);
        let Some(resident) = found else { return };
        resident.adapters.retain(|a| a != adapter);
        if order.operation == Operation::Load {
            resident.adapters.push(adapter.clone());
        }
    }
}
