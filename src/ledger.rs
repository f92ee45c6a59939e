//! The memory of one endpoint: what is held, on its way, or not yet certainly gone.
//!
//! A load reserves its memory before the order leaves the agent. An unload
//! frees it only when the endpoint itself reports the model gone. Between
//! order and report the larger of both states counts, so memory is never
//! overcommitted, whatever is lost or late.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::code::Code;
use crate::wire::{Action, Fence, Order, Residency, Resident};

/// How far an endpoint's report of its memory may lag behind its answers.
pub const REPORT_LAG: Millis = Millis(2_000);

/// What the ledger wants done at the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing; the endpoint is already there.
    Nothing,
    /// Send the order to the endpoint.
    Forward,
}

/// What an endpoint reports of its own memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointReport {
    /// The endpoint's memory, in bytes.
    pub memory_bytes: u64,
    /// The highest agent number the endpoint has seen, if it keeps one.
    pub fence: Fence,
    /// The models it holds or loads.
    pub models: Vec<Resident>,
}

/// The account of one endpoint's memory.
#[derive(Clone, Debug)]
pub struct Ledger {
    memory_bytes: Option<u64>,
    /// How long after it was sent an order may still take effect.
    max_order_delay: Millis,
    /// Orders of an earlier agent may take effect until then.
    earlier_orders_until: Millis,
    floor: Fence,
    residents: Vec<Entry>,
    /// Counts orders and answers, so that a report read across one is passed over.
    change_count: u64,
}

/// Marks the moment at which a report was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportTicket {
    change_count: u64,
    asked_at: Millis,
}

#[derive(Clone, Debug)]
struct Entry {
    resident: Resident,
    /// Orders sent to the endpoint whose answer is still open.
    in_flight: u32,
    /// Until when a report without the model does not prove it gone.
    retained_until: Millis,
}

impl Ledger {
    /// A ledger that knows nothing. It accepts no order before the endpoint has
    /// reported, and before an earlier agent's last order can no longer take effect.
    pub fn new(now: Millis, max_order_delay: Millis) -> Self {
        Self {
            memory_bytes: None,
            max_order_delay,
            earlier_orders_until: now + max_order_delay,
            floor: Fence::default(),
            residents: Vec::new(),
            change_count: 0,
        }
    }

    /// Learns the lowest fencing number that may be obeyed.
    pub fn raise_floor(&mut self, fence: Fence) {
        self.floor = self.floor.max(fence);
    }

    /// The lowest fencing number that may be obeyed.
    pub fn floor(&self) -> Fence {
        self.floor
    }

    /// Checks an order and reserves what it needs, before it is sent on.
    pub fn order(&mut self, now: Millis, order: &Order) -> Result<Step, Code> {
        if order.fence < self.floor || order.fence == Fence::default() {
            return Err(Code::OldFence);
        }
        let memory_bytes = self.memory_bytes.ok_or(Code::Busy)?;
        self.floor = order.fence;
        self.change_count += 1;
        let step = match order.action {
            Action::Load => self.load(now, order, memory_bytes)?,
            Action::Unload => self.unload(order),
        };
        self.assert_within_memory();
        Ok(step)
    }

    /// Notes that an order got its answer, or that its last possible moment has passed.
    pub fn settled(&mut self, now: Millis, model: &str) {
        self.change_count += 1;
        if let Ok(at) = self.find(model) {
            let entry = &mut self.residents[at];
            entry.in_flight = entry.in_flight.saturating_sub(1);
            entry.retained_until = entry.retained_until.max(now + REPORT_LAG);
        }
    }

    /// Frees a reservation whose order the endpoint certainly refused.
    pub fn rejected(&mut self, model: &str) {
        self.change_count += 1;
        if let Ok(at) = self.find(model) {
            let entry = &mut self.residents[at];
            entry.in_flight = entry.in_flight.saturating_sub(1);
            let is_reservation = entry.resident.state == Residency::Loading;
            if is_reservation && entry.in_flight == 0 {
                self.residents.remove(at);
            }
        }
    }

    /// To be taken before a report is asked for.
    pub fn report_ticket(&self, now: Millis) -> ReportTicket {
        ReportTicket {
            change_count: self.change_count,
            asked_at: now,
        }
    }

    /// Takes in the endpoint's own report. One that was asked for before the
    /// last order or answer is passed over, and one that was asked for while an
    /// earlier agent's orders could still arrive. So is a lagging report's
    /// silence about a model that was ordered a moment ago.
    pub fn report(&mut self, now: Millis, ticket: ReportTicket, report: &EndpointReport) {
        if ticket.change_count != self.change_count || ticket.asked_at < self.earlier_orders_until {
            return;
        }
        self.memory_bytes = Some(report.memory_bytes);
        let in_report = |entry: &Entry| {
            report
                .models
                .iter()
                .any(|m| m.model == entry.resident.model)
        };
        self.residents
            .retain(|entry| entry.in_flight > 0 || now < entry.retained_until || in_report(entry));
        for reported in &report.models {
            self.record_reported(now, reported);
        }
    }

    /// Models held or on their way, sorted by name.
    pub fn residents(&self) -> Vec<Resident> {
        self.residents.iter().map(|e| e.resident.clone()).collect()
    }

    /// The endpoint's memory, once it is known, in bytes.
    pub fn memory_bytes(&self) -> Option<u64> {
        self.memory_bytes
    }

    /// The memory that is held or reserved, in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.residents.iter().map(|e| e.resident.bytes).sum()
    }

    /// Whether a request for the model may be sent to the endpoint.
    pub fn is_ready(&self, model: &str) -> bool {
        match self.find(model) {
            Ok(at) => self.residents[at].resident.state == Residency::Ready,
            Err(_) => false,
        }
    }

    fn load(&mut self, now: Millis, order: &Order, memory_bytes: u64) -> Result<Step, Code> {
        match self.find(&order.model) {
            Ok(at) => match self.residents[at].resident.state {
                Residency::Ready | Residency::Loading => Ok(Step::Nothing),
                // It may still be going; a new load must wait for the report.
                Residency::Unloading => Err(Code::Busy),
            },
            Err(at) => {
                if self.used_bytes().saturating_add(order.bytes) > memory_bytes {
                    return Err(Code::NoRoom);
                }
                let resident = Resident {
                    model: order.model.clone(),
                    state: Residency::Loading,
                    bytes: order.bytes,
                };
                let entry = Entry {
                    resident,
                    in_flight: 1,
                    retained_until: now + self.max_order_delay,
                };
                self.residents.insert(at, entry);
                Ok(Step::Forward)
            }
        }
    }

    fn unload(&mut self, order: &Order) -> Step {
        let Ok(at) = self.find(&order.model) else {
            return Step::Nothing;
        };
        let entry = &mut self.residents[at];
        entry.resident.state = Residency::Unloading;
        entry.in_flight += 1;
        Step::Forward
    }

    fn record_reported(&mut self, now: Millis, reported: &Resident) {
        match self.find(&reported.model) {
            Ok(at) => {
                let entry = &mut self.residents[at];
                entry.resident.bytes = entry.resident.bytes.max(reported.bytes);
                let is_unloading = entry.resident.state == Residency::Unloading;
                let may_still_unload = entry.in_flight > 0 || now < entry.retained_until;
                if !(is_unloading && may_still_unload) {
                    entry.resident.state = reported.state;
                }
            }
            Err(at) => {
                let resident = reported.clone();
                let entry = Entry {
                    resident,
                    in_flight: 0,
                    retained_until: Millis::ZERO,
                };
                self.residents.insert(at, entry);
            }
        }
    }

    fn assert_within_memory(&self) {
        let Some(memory_bytes) = self.memory_bytes else {
            return;
        };
        assert!(
            self.used_bytes() <= memory_bytes,
            "{} memory overcommitted: {} of {memory_bytes} bytes",
            Code::InvariantBroken.number(),
            self.used_bytes(),
        );
    }

    fn find(&self, model: &str) -> Result<usize, usize> {
        self.residents
            .binary_search_by(|entry| entry.resident.model.as_str().cmp(model))
    }
}
