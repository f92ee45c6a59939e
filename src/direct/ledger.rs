//! Orders to engines, and what each engine may hold because of them.
//!
//! An order that got no answer may be carried out much later. It names the
//! number of orders that the engine must have accepted before, so it is void as
//! soon as the engine accepts another one. Until that is certain, its effect
//! counts as if it had happened and its engine gets no other order.

use compact_str::CompactString;

use super::dialect::{ModelOrder, Operation, OrderOutcome, Report, Resident};
use super::view::EndpointView;
use crate::clock::Millis;

/// How long an order may go unanswered before it is sent once more.
pub const ORDER_TIMEOUT: Millis = Millis(600);
/// How long after an order, or after the expected end of a load, a report is
/// asked for: reports are some hundred milliseconds old, and a registration
/// usually tells of a load earlier.
const REPORT_DELAY: Millis = Millis(700);
/// Time between two reports of one engine; a report is some 200 ms old.
const REPORT_INTERVAL: Millis = Millis(400);
/// How long an engine is left alone after it did not take an order.
const REFUSAL_BACKOFF: Millis = Millis(500);

/// Where the orders to one engine stand.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// What the engine holds is to be read before any order: an earlier leader
    /// may have changed it.
    Unread,
    /// No order is under way.
    Free,
    /// An order was sent; nothing is known of it.
    Sent { order: ModelOrder, at: Millis },
    /// The engine carries out an order about a model.
    InProgress { order: ModelOrder, until: Millis },
    /// What the engine did is to be read from its report.
    Unconfirmed { order: ModelOrder, since: Millis },
}

#[derive(Clone, Debug)]
struct EngineRecord {
    endpoint: CompactString,
    started_at: u64,
    /// Orders that the engine has accepted.
    accepted_orders: u64,
    /// What it holds by its last report and the orders since.
    residents: Vec<Resident>,
    phase: Phase,
    backoff_until: Millis,
    report_requested_at: Option<Millis>,
}

/// What is to be done about an engine.
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

/// The leader's orders.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    records: Vec<EngineRecord>,
}

impl Ledger {
    /// Takes in which endpoints there are; a new start has a new account.
    pub fn sync(&mut self, endpoints: &[EndpointView]) {
        for view in endpoints.iter().filter(|e| e.registration.models.is_some()) {
            let registration = &view.registration;
            match self.find(&registration.id) {
                Ok(at) if self.records[at].started_at == registration.born => {}
                Ok(at) => self.records[at] = EngineRecord::from_view(view),
                Err(at) => self.records.insert(at, EngineRecord::from_view(view)),
            }
        }
        self.records
            .retain(|r| endpoints.iter().any(|e| e.registration.id == r.endpoint));
    }

    /// Whether an engine takes an order now.
    pub fn is_free(&self, now: Millis, endpoint: &str) -> bool {
        let record = self.record(endpoint);
        record.is_some_and(|r| r.phase == Phase::Free && now >= r.backoff_until)
    }

    /// The order under way at an engine.
    pub fn pending_order(&self, endpoint: &str) -> Option<&ModelOrder> {
        match &self.record(endpoint)?.phase {
            Phase::Unread | Phase::Free => None,
            Phase::Sent { order, .. }
            | Phase::InProgress { order, .. }
            | Phase::Unconfirmed { order, .. } => Some(order),
        }
    }

    /// Engines that take no order now, each with what it waits for.
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

    /// All orders under way.
    pub fn pending_orders(&self) -> impl Iterator<Item = &ModelOrder> {
        self.records
            .iter()
            .filter_map(|r| self.pending_order(&r.endpoint))
    }

    /// Notes an order and returns it with the number that it must name.
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

    /// Takes in the answer to an order; `None` stands for no answer. Returns
    /// whether the order is certainly carried out or being carried out.
    pub fn answered(
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
                    // It waits for the requests that use the adapter.
                    (false, Operation::Unload) => Phase::Unconfirmed { order, since: now },
                };
                true
            }
            Some(OrderOutcome::Done) => {
                // Unloading an adapter ends at once and counts; what held
                // already does not count.
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
                record.backoff_until = now + REFUSAL_BACKOFF;
                false
            }
            // Stays sent: the same order goes out again until one is answered.
            None => false,
        }
    }

    /// Takes in an engine's report.
    pub fn reported(&mut self, endpoint: &str, report: &Report) {
        let Ok(at) = self.find(endpoint) else { return };
        let record = &mut self.records[at];
        if record.started_at != report.born {
            return;
        }
        let is_trusted = match record.phase {
            // It was asked for long enough after the last order to show it.
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

    /// Takes in which models an engine registered: a load or an unload that
    /// shows there has ended.
    pub fn registered(&mut self, endpoint: &str, held: &[CompactString]) {
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

    /// Whether an engine holds an adapter, or is getting it.
    pub fn has_adapter(&self, endpoint: &str, model: &str, adapter: &str) -> bool {
        let found = self.residents(endpoint).iter().find(|r| r.model == model);
        found.is_some_and(|r| r.adapters.iter().any(|a| a == adapter))
    }

    /// What an engine holds as far as the leader knows.
    pub fn residents(&self, endpoint: &str) -> &[Resident] {
        self.record(endpoint).map_or(&[], |r| &r.residents)
    }

    /// What is due: orders that got no answer, reports that are needed.
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
            started_at: view.registration.born,
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

    /// Notes what an accepted order changes at once: adapters come and go
    /// within milliseconds, and a model that is unloaded takes no request.
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
