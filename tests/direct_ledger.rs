//! Orders to engines that are lost, delayed or rejected: adapter slots are never
//! overcommitted, and no engine stays blocked.

#[path = "support/open_endpoint.rs"]
mod open_endpoint;
#[path = "support/registration.rs"]
mod registration;

use compact_str::{CompactString, format_compact};
use proptest::prelude::*;
use rattanstall::clock::Millis;
use rattanstall::direct::dialect::{ModelOrder, Operation, OrderOutcome, Report, Resident};
use rattanstall::direct::ledger::{EngineCall, Ledger};
use rattanstall::direct::view::EndpointView;

use open_endpoint::open;
use registration::registration;

const MODEL: &str = "m";
const ADAPTER_SLOTS: usize = 3;
const LOAD_TIME: Millis = Millis(1_200);

/// An engine that, like the platform's engines, accepts an order only if it names the
/// number of orders accepted so far.
#[derive(Clone, Debug, Default)]
struct Engine {
    orders: u64,
    adapters: Vec<CompactString>,
    busy_until: Millis,
}

impl Engine {
    fn handle_order(&mut self, now: Millis, order: &ModelOrder) -> OrderOutcome {
        let adapter = order.adapter.clone().unwrap_or_default();
        let is_there = self.adapters.contains(&adapter);
        if order.expected != self.orders || now < self.busy_until {
            return OrderOutcome::Busy;
        }
        match (order.operation, is_there) {
            (Operation::Load, true) | (Operation::Unload, false) => return OrderOutcome::Done,
            (Operation::Load, false) => self.adapters.push(adapter),
            (Operation::Unload, true) => self.adapters.retain(|a| *a != adapter),
        }
        self.orders += 1;
        match order.operation {
            Operation::Load => OrderOutcome::Accepted,
            Operation::Unload => OrderOutcome::Done,
        }
    }

    fn report(&self) -> Report {
        Report {
            started_at: 1,
            orders: self.orders,
            models: vec![Resident {
                model: MODEL.into(),
                adapters: self.adapters.clone(),
            }],
            ..Report::default()
        }
    }
}

fn view() -> EndpointView {
    open(registration("e", 1, &[MODEL]))
}

fn order(operation: Operation, adapter: usize) -> ModelOrder {
    ModelOrder {
        operation,
        model: MODEL.into(),
        adapter: Some(format_compact!("a{adapter}")),
        expected: 0,
        holder: "me".into(),
        fence: 1,
    }
}

/// What happens to an order on the network.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Answered,
    /// The order is carried out, but its answer is lost.
    AnswerLost,
    /// The order never arrives.
    OrderLost,
    /// The order arrives this many milliseconds later.
    Delayed(u64),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Answered),
        1 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::OrderLost),
        1 => (2_000u64..12_000).prop_map(Delivery::Delayed),
    ]
}

struct Simulation {
    now: Millis,
    engine: Engine,
    ledger: Ledger,
    delayed: Vec<(Millis, ModelOrder)>,
}

impl Simulation {
    fn new() -> Self {
        let mut sim = Self {
            now: Millis(1_000),
            engine: Engine::default(),
            ledger: Ledger::default(),
            delayed: Vec::new(),
        };
        sim.ledger.sync(&[view()]);
        sim
    }

    fn carry_out(&mut self, engine_call: EngineCall, delivery: Delivery) {
        match engine_call {
            EngineCall::Report(endpoint) => {
                let report = self.engine.report();
                self.ledger.on_report(&endpoint, &report);
            }
            EngineCall::Order { endpoint, order } => {
                let outcome = match delivery {
                    Delivery::Answered => Some(self.engine.handle_order(self.now, &order)),
                    Delivery::AnswerLost => {
                        self.engine.handle_order(self.now, &order);
                        None
                    }
                    Delivery::OrderLost => None,
                    Delivery::Delayed(by) => {
                        self.delayed.push((self.now + Millis(by), order.clone()));
                        None
                    }
                };
                self.ledger
                    .on_answer(self.now, &endpoint, &order, outcome, LOAD_TIME);
            }
        }
    }

    fn advance(&mut self, delivery: Delivery) {
        self.now = self.now + Millis(100);
        let (due, delayed) = self.delayed.drain(..).partition(|(at, _)| *at <= self.now);
        self.delayed = delayed;
        for (_, order) in due {
            self.engine.handle_order(self.now, &order);
        }
        for engine_call in self.ledger.due_calls(self.now) {
            self.carry_out(engine_call, delivery);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn adapter_slots_are_never_exceeded_when_orders_are_lost_or_late(
        orders in prop::collection::vec((0usize..6, delivery()), 1..60),
    ) {
        let mut sim = Simulation::new();
        for (adapter, delivery) in orders {
            sim.advance(delivery);
            if sim.ledger.is_free(sim.now, "e") {
                let held = sim.ledger.residents("e").iter();
                let held: usize = held.map(|r| r.adapters.len()).sum();
                let operation = match held < ADAPTER_SLOTS {
                    true => Operation::Load,
                    false => Operation::Unload,
                };
                if let Some(engine_call) = sim.ledger.issue(sim.now, "e", order(operation, adapter)) {
                    sim.carry_out(engine_call, delivery);
                }
            }
            prop_assert!(sim.engine.adapters.len() <= ADAPTER_SLOTS, "{:?}", sim.engine);
        }
        // Once orders are answered again, the engine is free within 6 s.
        for _ in 0..60 {
            sim.advance(Delivery::Answered);
        }
        prop_assert!(
            sim.ledger.is_free(sim.now, "e"),
            "{:?}",
            sim.ledger.blocked_engines(sim.now)
        );
    }
}

#[test]
fn an_order_that_the_engine_did_not_count_does_not_block_it() {
    let mut sim = Simulation::new();
    sim.advance(Delivery::Answered);
    assert!(sim.ledger.is_free(sim.now, "e"));
    // The engine accepts an adapter that it is already loading and does not count the
    // order, so its next report shows fewer orders than the ledger has recorded.
    let engine_call = sim.ledger.issue(sim.now, "e", order(Operation::Load, 0));
    let Some(EngineCall::Order { endpoint, order }) = engine_call else {
        panic!("no order");
    };
    let outcome = Some(OrderOutcome::Accepted);
    sim.ledger
        .on_answer(sim.now, &endpoint, &order, outcome, LOAD_TIME);
    let engine_call = sim
        .ledger
        .issue(sim.now, "e", self::order(Operation::Load, 1));
    sim.carry_out(engine_call.expect("an order"), Delivery::Answered);
    assert!(!sim.ledger.is_free(sim.now, "e"));
    for _ in 0..20 {
        sim.advance(Delivery::Answered);
    }
    assert!(sim.ledger.is_free(sim.now, "e"));
}

#[test]
fn a_new_leader_reads_an_engine_before_its_first_order() {
    let mut ledger = Ledger::default();
    ledger.sync(&[view()]);
    assert!(!ledger.is_free(Millis(0), "e"));
    assert_eq!(
        ledger.due_calls(Millis(0)),
        vec![EngineCall::Report("e".into())]
    );
}
