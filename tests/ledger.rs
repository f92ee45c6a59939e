//! The memory ledger against a fake endpoint: memory is never overcommitted when
//! orders are lost, late or duplicated, or come from an earlier agent.

use proptest::prelude::*;
use rattanstall::clock::Millis;
use rattanstall::ledger::{EndpointReport, Ledger, REPORT_LAG, ReportTicket, Step};
use rattanstall::wire::{Action, Fence, Order, Residency, Resident};

const MEMORY_BYTES: u64 = 100;
/// Longer than [`REPORT_LAG`], so that neither limit hides a fault in the other.
const MAX_ORDER_DELAY: Millis = Millis(4_000);

/// An order that may still arrive at the endpoint.
#[derive(Clone, Debug)]
struct SentOrder {
    order: Order,
    agent: Fence,
    sent_at: Millis,
    /// Whether its agent knows that it was answered or has expired.
    is_settled: bool,
}

/// An endpoint that carries out each order, or rejects older agents if it obeys fencing.
#[derive(Default)]
struct Endpoint {
    obeys_fence: bool,
    fence: Fence,
    models: Vec<Resident>,
}

impl Endpoint {
    fn apply(&mut self, sent: &SentOrder) -> bool {
        if self.obeys_fence && sent.agent < self.fence {
            return false;
        }
        self.fence = self.fence.max(sent.agent);
        let model = &sent.order.model;
        self.models.retain(|m| m.model != *model);
        if sent.order.action == Action::Load {
            self.models.push(Resident {
                model: model.clone(),
                state: Residency::Ready,
                bytes: sent.order.bytes,
            });
        }
        true
    }

    fn report(&self) -> EndpointReport {
        EndpointReport {
            memory_bytes: MEMORY_BYTES,
            fence: if self.obeys_fence {
                self.fence
            } else {
                Fence::default()
            },
            models: self.models.clone(),
        }
    }

    fn used(&self) -> u64 {
        self.models.iter().map(|m| m.bytes).sum()
    }
}

struct Simulation {
    now: Millis,
    endpoint: Endpoint,
    ledger: Ledger,
    agent: Fence,
    in_flight: Vec<SentOrder>,
    /// A report that was read and not received yet.
    report: Option<(Millis, ReportTicket, EndpointReport)>,
}

impl Simulation {
    fn new(obeys_fence: bool) -> Self {
        let endpoint = Endpoint {
            obeys_fence,
            ..Endpoint::default()
        };
        Self {
            now: Millis::ZERO,
            endpoint,
            ledger: Ledger::new(Millis::ZERO, MAX_ORDER_DELAY),
            agent: Fence(1),
            in_flight: Vec::new(),
            report: None,
        }
    }

    fn step(&mut self, kind: u8, model: u64, pick: usize, span: u64) {
        match kind {
            0..=3 => self.order(Action::Load, model),
            4 | 5 => self.order(Action::Unload, model),
            6 | 7 => self.deliver(pick),
            8 => self.answer(pick),
            9 => self.read_report(),
            10 => self.receive_report(),
            11 if span > 1_200 => self.replace_agent(),
            _ => self.advance(Millis(span)),
        }
        assert!(
            self.endpoint.used() <= MEMORY_BYTES,
            "{:?}",
            self.endpoint.models
        );
    }

    fn order(&mut self, action: Action, model: u64) {
        let order = Order {
            fence: Fence(5),
            action,
            model: format!("m{model}").into(),
            bytes: 20 + model * 5,
        };
        if self.ledger.order(self.now, &order) == Ok(Step::Forward) {
            self.in_flight.push(SentOrder {
                order,
                agent: self.agent,
                sent_at: self.now,
                is_settled: false,
            });
        }
    }

    /// Delivers an order. It stays in flight, so it may be delivered again.
    fn deliver(&mut self, pick: usize) {
        let Some(at) = pick.checked_rem(self.in_flight.len()) else {
            return;
        };
        let sent = self.in_flight[at].clone();
        self.endpoint.apply(&sent);
    }

    /// Applies an order and delivers the answer to its agent.
    fn answer(&mut self, pick: usize) {
        let Some(at) = pick.checked_rem(self.in_flight.len()) else {
            return;
        };
        let sent = self.in_flight[at].clone();
        if sent.agent == self.agent && !sent.is_settled && self.endpoint.apply(&sent) {
            self.in_flight[at].is_settled = true;
            self.ledger.settled(self.now, &sent.order.model);
        }
    }

    fn read_report(&mut self) {
        let ticket = self.ledger.report_ticket(self.now);
        self.report = Some((self.now, ticket, self.endpoint.report()));
    }

    fn receive_report(&mut self) {
        let Some((read_at, ticket, report)) = self.report.take() else {
            return;
        };
        if self.now.since(read_at) < REPORT_LAG {
            self.ledger.report(self.now, ticket, &report);
        }
    }

    /// A new agent takes over while orders of the earlier one are in flight.
    fn replace_agent(&mut self) {
        self.agent = Fence(self.agent.0 + 1);
        self.ledger = Ledger::new(self.now, MAX_ORDER_DELAY);
        self.report = None;
        // An endpoint that obeys fencing learns the new agent's number with its
        // first order (here at once). From then on it refuses orders of a paused
        // earlier agent, whenever they arrive.
        if self.endpoint.obeys_fence {
            self.endpoint.fence = self.agent;
        }
    }

    /// Advances time; orders older than [`MAX_ORDER_DELAY`] can no longer arrive.
    fn advance(&mut self, span: Millis) {
        self.now = self.now + span;
        let (now, agent, obeys_fence) = (self.now, self.agent, self.endpoint.obeys_fence);
        let expired: Vec<SentOrder> = self
            .in_flight
            .extract_if(.., |f| {
                let is_expired = now.since(f.sent_at) >= MAX_ORDER_DELAY;
                is_expired && (f.agent == agent || !obeys_fence)
            })
            .collect();
        for sent in expired.iter().filter(|f| f.agent == agent && !f.is_settled) {
            self.ledger.settled(self.now, &sent.order.model);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn memory_is_never_overcommitted(
        obeys_fence in any::<bool>(),
        steps in prop::collection::vec((0u8..14, 0u64..5, 0usize..8, 0u64..1_500), 1..200),
    ) {
        let mut simulation = Simulation::new(obeys_fence);
        simulation.advance(MAX_ORDER_DELAY);
        simulation.read_report();
        simulation.receive_report();
        for (kind, model, pick, span) in steps {
            simulation.step(kind, model, pick, span);
        }
    }
}

#[test]
fn an_old_fencing_number_is_refused() {
    let mut ledger = Ledger::new(Millis::ZERO, MAX_ORDER_DELAY);
    ledger.raise_floor(Fence(7));
    let ticket = ledger.report_ticket(MAX_ORDER_DELAY);
    let report = EndpointReport {
        memory_bytes: MEMORY_BYTES,
        ..EndpointReport::default()
    };
    let order = |fence| Order {
        fence: Fence(fence),
        action: Action::Load,
        model: "m".into(),
        bytes: 1,
    };
    use rattanstall::code::Code;
    assert_eq!(ledger.order(MAX_ORDER_DELAY, &order(7)), Err(Code::Busy));
    ledger.report(MAX_ORDER_DELAY, ticket, &report);
    assert_eq!(
        ledger.order(MAX_ORDER_DELAY, &order(6)),
        Err(Code::OldFence)
    );
    assert_eq!(ledger.order(MAX_ORDER_DELAY, &order(8)), Ok(Step::Forward));
    assert_eq!(
        ledger.order(MAX_ORDER_DELAY, &order(7)),
        Err(Code::OldFence)
    );
}

/// A duplicate of a load may arrive after the model was unloaded. It overcommits
/// the endpoint if the ledger has already given its memory to other models.
#[test]
fn a_load_keeps_its_memory_until_it_can_no_longer_take_effect() {
    let mut simulation = Simulation::new(false);
    simulation.advance(MAX_ORDER_DELAY);
    simulation.read_report();
    simulation.receive_report();
    for action in [Action::Load, Action::Unload] {
        simulation.order(action, 4);
        simulation.answer(simulation.in_flight.len() - 1);
    }
    // Reports no longer lag, but the load may still take effect.
    simulation.advance(REPORT_LAG + Millis(100));
    simulation.read_report();
    simulation.receive_report();
    for model in [1, 2, 3] {
        simulation.order(Action::Load, model);
        simulation.answer(simulation.in_flight.len() - 1);
    }
    simulation.deliver(0);
    assert!(
        simulation.endpoint.used() <= MEMORY_BYTES,
        "{:?}",
        simulation.endpoint.models
    );
}
