//! Orders to engines that are lost, late, doubled or refused: memory and places
//! for adapters are never overcommitted, and no engine is held up for ever.

#[path = "support/open_endpoint.rs"]
mod open_endpoint;
#[path = "support/registration.rs"]
mod registration;

use compact_str::{CompactString, format_compact};
use proptest::prelude::*;
use rattanstall::clock::Millis;
use rattanstall::direct::dialect::{ModelOrder, Operation, OrderOutcome, Report, Resident};
use rattanstall::direct::ledger::{Ledger, Step};
use rattanstall::direct::view::EndpointView;

use open_endpoint::open;
use registration::registration;

const MODEL: &str = "m";
const PLACES: usize = 3;
const LOAD_TIME: Millis = Millis(1_200);

/// An engine that accepts orders by their expected number, as the platform's do.
#[derive(Clone, Debug, Default)]
struct Engine {
    orders: u64,
    adapters: Vec<CompactString>,
    busy_until: Millis,
}

impl Engine {
    fn take(&mut self, now: Millis, order: &ModelOrder) -> OrderOutcome {
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

/// What becomes of one order.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// Carried out, the answer is lost.
    Unheard,
    /// Never arrives.
    Lost,
    /// Arrives so much later.
    Late(u64),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::Unheard),
        1 => Just(Fate::Lost),
        1 => (2_000u64..12_000).prop_map(Fate::Late),
    ]
}

struct World {
    now: Millis,
    engine: Engine,
    ledger: Ledger,
    late: Vec<(Millis, ModelOrder)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Millis(1_000),
            engine: Engine::default(),
            ledger: Ledger::default(),
            late: Vec::new(),
        };
        world.ledger.sync(&[view()]);
        world
    }

    fn carry_out(&mut self, step: Step, fate: Fate) {
        match step {
            Step::Report(endpoint) => {
                let report = self.engine.report();
                self.ledger.reported(&endpoint, &report);
            }
            Step::Order { endpoint, order } => {
                let outcome = match fate {
                    Fate::Answered => Some(self.engine.take(self.now, &order)),
                    Fate::Unheard => {
                        self.engine.take(self.now, &order);
                        None
                    }
                    Fate::Lost => None,
                    Fate::Late(by) => {
                        self.late.push((self.now + Millis(by), order.clone()));
                        None
                    }
                };
                self.ledger
                    .answered(self.now, &endpoint, &order, outcome, LOAD_TIME);
            }
        }
    }

    fn advance(&mut self, fate: Fate) {
        self.now = self.now + Millis(100);
        let (due, late) = self.late.drain(..).partition(|(at, _)| *at <= self.now);
        self.late = late;
        for (_, order) in due {
            self.engine.take(self.now, &order);
        }
        for step in self.ledger.due(self.now) {
            self.carry_out(step, fate);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn places_for_adapters_hold_whatever_orders_are_lost_or_late(
        wishes in prop::collection::vec((0usize..6, fate()), 1..60),
    ) {
        let mut world = World::new();
        for (adapter, fate) in wishes {
            world.advance(fate);
            if world.ledger.is_free(world.now, "e") {
                let held = world.ledger.residents("e").iter();
                let held: usize = held.map(|r| r.adapters.len()).sum();
                let operation = match held < PLACES {
                    true => Operation::Load,
                    false => Operation::Unload,
                };
                if let Some(step) = world.ledger.send(world.now, "e", order(operation, adapter)) {
                    world.carry_out(step, fate);
                }
            }
            prop_assert!(world.engine.adapters.len() <= PLACES, "{:?}", world.engine);
        }
        // Once orders arrive again, the engine takes orders within seconds.
        for _ in 0..60 {
            world.advance(Fate::Answered);
        }
        prop_assert!(
            world.ledger.is_free(world.now, "e"),
            "{:?}",
            world.ledger.held_up(world.now)
        );
    }
}

#[test]
fn an_order_that_did_not_count_does_not_hold_up_its_engine() {
    let mut world = World::new();
    world.advance(Fate::Answered);
    assert!(world.ledger.is_free(world.now, "e"));
    // The engine accepts an adapter that is on its way already and does not
    // count that; its next report shows fewer orders than were accepted.
    let step = world.ledger.send(world.now, "e", order(Operation::Load, 0));
    let Some(Step::Order { endpoint, order }) = step else {
        panic!("no order");
    };
    let outcome = Some(OrderOutcome::Accepted);
    world
        .ledger
        .answered(world.now, &endpoint, &order, outcome, LOAD_TIME);
    let step = world
        .ledger
        .send(world.now, "e", self::order(Operation::Load, 1));
    world.carry_out(step.expect("an order"), Fate::Answered);
    assert!(!world.ledger.is_free(world.now, "e"));
    for _ in 0..20 {
        world.advance(Fate::Answered);
    }
    assert!(world.ledger.is_free(world.now, "e"));
}

#[test]
fn a_new_leader_reads_an_engine_before_its_first_order() {
    let mut ledger = Ledger::default();
    ledger.sync(&[view()]);
    assert!(!ledger.is_free(Millis(0), "e"));
    assert_eq!(ledger.due(Millis(0)), vec![Step::Report("e".into())]);
}
