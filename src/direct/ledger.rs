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
const REPORT_AFTER: Millis = Millis(700);
/// Time between two reports of one engine; a report is some 200 ms old.
const REPORT_INTERVAL: Millis = Millis(400);
/// How long an engine is left alone after it did not take an order.
const REST: Millis = Millis(500);

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
    Working { order: ModelOrder, until: Millis },
    /// What the engine did is to be read from its report.
    Unsure { order: ModelOrder, since: Millis },
}

#[derive(Clone, Debug)]
struct Account {
    endpoint: CompactString,
    started_at: u64,
    /// Orders that the engine has accepted.
    orders: u64,
    /// What it holds by its last report and the orders since.
    residents: Vec<Resident>,
    phase: Phase,
    rests_until: Millis,
    asked_at: Option<Millis>,
}

/// What is to be done about an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
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
    accounts: Vec<Account>,
}

impl Ledger {
    /// Takes in which endpoints there are; a new start has a new account.
    pub fn sync(&mut self, endpoints: &[EndpointView]) {
        for view in endpoints.iter().filter(|e| e.registration.models.is_some()) {
            let registration = &view.registration;
            match self.find(&registration.id) {
                Ok(at) if self.accounts[at].started_at == registration.started_at => {}
                Ok(at) => self.accounts[at] = Account::of(view),
                Err(at) => self.accounts.insert(at, Account::of(view)),
            }
        }
        self.accounts
            .retain(|a| endpoints.iter().any(|e| e.registration.id == a.endpoint));
    }

    /// Whether an engine takes an order now.
    pub fn is_free(&self, now: Millis, endpoint: &str) -> bool {
        let account = self.account(endpoint);
        account.is_some_and(|a| a.phase == Phase::Free && now >= a.rests_until)
    }

    /// The order under way at an engine.
    pub fn under_way(&self, endpoint: &str) -> Option<&ModelOrder> {
        match &self.account(endpoint)?.phase {
            Phase::Unread | Phase::Free => None,
            Phase::Sent { order, .. }
            | Phase::Working { order, .. }
            | Phase::Unsure { order, .. } => Some(order),
        }
    }

    /// Engines that take no order now, each with what it waits for.
    pub fn held_up(&self, now: Millis) -> Vec<String> {
        let held_up = self.accounts.iter().filter_map(|account| {
            let why = match &account.phase {
                Phase::Unread => "unread".to_owned(),
                Phase::Free if now < account.rests_until => "rests".to_owned(),
                Phase::Free => return None,
                Phase::Sent { order, .. } => format!("unanswered {}", order.model),
                Phase::Working { order, .. } => format!("working {}", order.model),
                Phase::Unsure { order, .. } => format!("unsure {}", order.model),
            };
            Some(format!(
                "{} {why} after {}",
                account.endpoint, account.orders
            ))
        });
        held_up.collect()
    }

    /// All orders under way.
    pub fn all_under_way(&self) -> impl Iterator<Item = &ModelOrder> {
        self.accounts
            .iter()
            .filter_map(|a| self.under_way(&a.endpoint))
    }

    /// Notes an order and returns it with the number that it must name.
    pub fn send(&mut self, now: Millis, endpoint: &str, mut order: ModelOrder) -> Option<Step> {
        let at = self.find(endpoint).ok()?;
        let account = &mut self.accounts[at];
        order.expected = account.orders;
        account.phase = Phase::Sent {
            order: order.clone(),
            at: now,
        };
        let endpoint = account.endpoint.clone();
        Some(Step::Order { endpoint, order })
    }

    /// Takes in the answer to an order; `None` stands for no answer. Returns
    /// whether the order is certainly carried out or being carried out.
    pub fn answered(
        &mut self,
        now: Millis,
        endpoint: &str,
        answered: &ModelOrder,
        outcome: Option<OrderOutcome>,
        takes: Millis,
    ) -> bool {
        let Ok(at) = self.find(endpoint) else {
            return false;
        };
        let account = &mut self.accounts[at];
        let Phase::Sent { order, .. } = &account.phase else {
            return false;
        };
        if order != answered {
            return false;
        }
        let order = order.clone();
        let is_model = order.adapter.is_none();
        match outcome {
            Some(OrderOutcome::Accepted) => {
                account.orders = order.expected + 1;
                account.apply(&order);
                account.phase = match (is_model, order.operation) {
                    (true, _) => Phase::Working {
                        order,
                        until: now + takes,
                    },
                    (false, Operation::Load) => Phase::Free,
                    // It waits for the requests that use the adapter.
                    (false, Operation::Unload) => Phase::Unsure { order, since: now },
                };
                true
            }
            Some(OrderOutcome::Done) => {
                // Unloading an adapter ends at once and counts; what held
                // already does not count.
                if !is_model && order.operation == Operation::Unload {
                    account.orders = order.expected + 1;
                }
                account.apply(&order);
                account.phase = match is_model {
                    true => Phase::Unsure { order, since: now },
                    false => Phase::Free,
                };
                true
            }
            Some(OrderOutcome::Busy) => {
                account.phase = Phase::Unsure { order, since: now };
                false
            }
            Some(OrderOutcome::Fenced | OrderOutcome::OtherEndpoint | OrderOutcome::Invalid) => {
                account.phase = Phase::Free;
                account.rests_until = now + REST;
                false
            }
            // Stays sent: the same order goes out again until one is answered.
            None => false,
        }
    }

    /// Takes in an engine's report.
    pub fn reported(&mut self, endpoint: &str, report: &Report) {
        let Ok(at) = self.find(endpoint) else { return };
        let account = &mut self.accounts[at];
        if account.started_at != report.started_at {
            return;
        }
        let is_trusted = match account.phase {
            // It was asked for long enough after the last order to show it.
            Phase::Unread | Phase::Unsure { .. } => true,
            _ => report.orders >= account.orders,
        };
        if !is_trusted {
            return;
        }
        account.orders = report.orders;
        account.residents.clone_from(&report.models);
        let is_sent = matches!(account.phase, Phase::Sent { .. });
        if !is_sent && !report.is_busy {
            account.phase = Phase::Free;
        }
    }

    /// Takes in which models an engine registered: a load or an unload that
    /// shows there has ended.
    pub fn registered(&mut self, endpoint: &str, held: &[CompactString]) {
        let Ok(at) = self.find(endpoint) else { return };
        let account = &mut self.accounts[at];
        let Phase::Working { order, .. } = &account.phase else {
            return;
        };
        let is_load = order.operation == Operation::Load;
        if held.contains(&order.model) != is_load {
            return;
        }
        if is_load {
            account.residents.push(Resident {
                model: order.model.clone(),
                adapters: Vec::new(),
            });
        }
        account.phase = Phase::Free;
    }

    /// Whether an engine holds an adapter, or is getting it.
    pub fn has_adapter(&self, endpoint: &str, model: &str, adapter: &str) -> bool {
        let found = self.residents(endpoint).iter().find(|r| r.model == model);
        found.is_some_and(|r| r.adapters.iter().any(|a| a == adapter))
    }

    /// What an engine holds as far as the leader knows.
    pub fn residents(&self, endpoint: &str) -> &[Resident] {
        self.account(endpoint).map_or(&[], |a| &a.residents)
    }

    /// What is due: orders that got no answer, reports that are needed.
    pub fn due(&mut self, now: Millis) -> Vec<Step> {
        self.accounts
            .iter_mut()
            .filter_map(|account| account.due(now))
            .collect()
    }

    fn account(&self, endpoint: &str) -> Option<&Account> {
        self.find(endpoint).ok().map(|at| &self.accounts[at])
    }

    fn find(&self, endpoint: &str) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|a| a.endpoint.as_str().cmp(endpoint))
    }
}

impl Account {
    fn of(view: &EndpointView) -> Self {
        Self {
            endpoint: view.registration.id.clone(),
            started_at: view.registration.started_at,
            orders: 0,
            residents: Vec::new(),
            phase: Phase::Unread,
            rests_until: Millis::ZERO,
            asked_at: None,
        }
    }

    fn due(&mut self, now: Millis) -> Option<Step> {
        match &mut self.phase {
            Phase::Free => return None,
            Phase::Sent { order, at } => {
                if now.since(*at) <= ORDER_TIMEOUT + REPORT_INTERVAL {
                    return None;
                }
                *at = now;
                return Some(Step::Order {
                    endpoint: self.endpoint.clone(),
                    order: order.clone(),
                });
            }
            Phase::Working { until, .. } if now < *until + REPORT_AFTER => return None,
            Phase::Unsure { since, .. } if now < *since + REPORT_AFTER => return None,
            Phase::Unread | Phase::Working { .. } | Phase::Unsure { .. } => {}
        }
        let was_asked = self
            .asked_at
            .is_some_and(|at| now.since(at) <= REPORT_INTERVAL);
        if was_asked {
            return None;
        }
        self.asked_at = Some(now);
        Some(Step::Report(self.endpoint.clone()))
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
