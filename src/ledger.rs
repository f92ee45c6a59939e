//! Memory accounting of one endpoint: models loaded, loading, or not yet
//! certainly unloaded.
//!
//! A load reserves its memory before the order leaves the agent. An unload
//! frees it only when the endpoint no longer reports the model. Between order
//! and report, the larger of both states counts, so memory is never
//! overcommitted when messages are lost or late.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::code::Code;
use crate::wire::{Action, Fence, Order, Residency, Resident};

/// How far an endpoint's report of its memory may lag behind its answers.
pub const REPORT_LAG: Millis = Millis(2_000);

/// What the ledger wants done at the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing; the endpoint is already in the ordered state.
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
    /// The highest fencing number of an agent that the endpoint has seen, if it
    /// records one.
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
    /// The time until which an earlier agent's orders may take effect.
    earlier_orders_until: Millis,
    floor: Fence,
    residents: Vec<Entry>,
    /// Counts orders and answers, so that a report read across one is ignored.
    change_count: u64,
}

/// Marks the moment at which a report was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportTicket {
    change_count: u64,
    requested_at: Millis,
}

#[derive(Clone, Debug)]
struct Entry {
    resident: Resident,
    /// Orders sent to the endpoint that have no answer yet.
    in_flight: u32,
    /// Until this time, a report that lacks the model does not prove that it is unloaded.
    retained_until: Millis,
}

impl Ledger {
    /// Creates an empty ledger. It accepts no order until the endpoint has reported
    /// at a time when an earlier agent's orders can no longer take effect.
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

    /// Raises the lowest fencing number that is accepted.
    pub fn raise_floor(&mut self, fence: Fence) {
        self.floor = self.floor.max(fence);
    }

    /// The lowest fencing number that is accepted.
    pub fn floor(&self) -> Fence {
        self.floor
    }

    /// Checks an order and reserves the memory it needs, before it is sent on.
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

    /// Records that an order was answered or can no longer take effect.
    pub fn settled(&mut self, now: Millis, model: &str) {
        self.change_count += 1;
        if let Ok(at) = self.find(model) {
            let entry = &mut self.residents[at];
            entry.in_flight = entry.in_flight.saturating_sub(1);
            entry.retained_until = entry.retained_until.max(now + REPORT_LAG);
        }
    }

    /// Records that the endpoint certainly refused an order, and frees its reservation.
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

    /// Returns the ticket to take before a report is requested.
    pub fn report_ticket(&self, now: Millis) -> ReportTicket {
        ReportTicket {
            change_count: self.change_count,
            requested_at: now,
        }
    }

    /// Applies the endpoint's own report. It is ignored if it was requested
    /// before the last order or answer, or while an earlier agent's orders could
    /// still arrive. A model with a recent order is kept even if the report lacks
    /// it, since reports lag and orders may arrive late.
    pub fn report(&mut self, now: Millis, ticket: ReportTicket, report: &EndpointReport) {
        if ticket.change_count != self.change_count
            || ticket.requested_at < self.earlier_orders_until
        {
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

    /// Models loaded, loading or unloading, sorted by name.
    pub fn residents(&self) -> Vec<Resident> {
        self.residents.iter().map(|e| e.resident.clone()).collect()
    }

    /// The endpoint's memory, once it is known, in bytes.
    pub fn memory_bytes(&self) -> Option<u64> {
        self.memory_bytes
    }

    /// The memory that is in use or reserved, in bytes.
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
                // The unload may still take effect; a new load waits for the report.
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
