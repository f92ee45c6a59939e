//! The ledger against a fake endpoint: memory is never overcommitted, whatever
//! orders are lost, late or doubled, and whichever agent sent them.

use proptest::prelude::*;
use rattanstall::clock::Millis;
use rattanstall::ledger::{EndpointReport, Ledger, REPORT_LAG, ReportTicket, Step};
use rattanstall::wire::{Action, Fence, Order, Residency, Resident};

const MEMORY: u64 = 100;
/// Longer than reports lag, so that neither hides the other.
const LAST_MOMENT: Millis = Millis(4_000);

/// An order on its way to the endpoint.
#[derive(Clone, Debug)]
struct Flying {
    order: Order,
    agent: Fence,
    sent_at: Millis,
    /// Whether its agent has learnt that it was answered or is past.
    is_settled: bool,
}

/// An endpoint that does what arrives, if it fits its rules.
#[derive(Default)]
struct Endpoint {
    obeys_fence: bool,
    fence: Fence,
    models: Vec<Resident>,
}

impl Endpoint {
    fn take(&mut self, flying: &Flying) -> bool {
        if self.obeys_fence && flying.agent < self.fence {
            return false;
        }
        self.fence = self.fence.max(flying.agent);
        let model = &flying.order.model;
        self.models.retain(|m| m.model != *model);
        if flying.order.action == Action::Load {
            self.models.push(Resident {
                model: model.clone(),
                state: Residency::Ready,
                bytes: flying.order.bytes,
            });
        }
        true
    }

    fn report(&self) -> EndpointReport {
        EndpointReport {
            memory_bytes: MEMORY,
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

struct World {
    now: Millis,
    endpoint: Endpoint,
    ledger: Ledger,
    agent: Fence,
    flying: Vec<Flying>,
    /// A report that was read and is still on its way.
    report: Option<(Millis, ReportTicket, EndpointReport)>,
}

impl World {
    fn new(obeys_fence: bool) -> Self {
        let endpoint = Endpoint {
            obeys_fence,
            ..Endpoint::default()
        };
        Self {
            now: Millis::ZERO,
            endpoint,
            ledger: Ledger::new(Millis::ZERO, LAST_MOMENT),
            agent: Fence(1),
            flying: Vec::new(),
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
            11 if span > 1_200 => self.restart(),
            _ => self.pass(Millis(span)),
        }
        assert!(self.endpoint.used() <= MEMORY, "{:?}", self.endpoint.models);
    }

    fn order(&mut self, action: Action, model: u64) {
        let order = Order {
            fence: Fence(5),
            action,
            model: format!("m{model}").into(),
            bytes: 20 + model * 5,
        };
        if self.ledger.order(self.now, &order) == Ok(Step::Forward) {
            self.flying.push(Flying {
                order,
                agent: self.agent,
                sent_at: self.now,
                is_settled: false,
            });
        }
    }

    /// An order arrives; it stays in flight, so it may arrive again.
    fn deliver(&mut self, pick: usize) {
        let Some(at) = pick.checked_rem(self.flying.len()) else {
            return;
        };
        let flying = self.flying[at].clone();
        self.endpoint.take(&flying);
    }

    /// The agent learns of an order's answer after it took effect.
    fn answer(&mut self, pick: usize) {
        let Some(at) = pick.checked_rem(self.flying.len()) else {
            return;
        };
        let flying = self.flying[at].clone();
        if flying.agent == self.agent && !flying.is_settled && self.endpoint.take(&flying) {
            self.flying[at].is_settled = true;
            self.ledger.settled(self.now, &flying.order.model);
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

    /// A new agent takes over; orders of the earlier one are still on their way.
    fn restart(&mut self) {
        self.agent = Fence(self.agent.0 + 1);
        self.ledger = Ledger::new(self.now, LAST_MOMENT);
        self.report = None;
        // The agent's number reaches an obeying endpoint with its first order,
        // a paused agent's orders may come at any time after that.
        if self.endpoint.obeys_fence {
            self.endpoint.fence = self.agent;
        }
    }

    /// Time passes; orders whose last moment is over can no longer arrive.
    fn pass(&mut self, span: Millis) {
        self.now = self.now + span;
        let (now, agent, obeys) = (self.now, self.agent, self.endpoint.obeys_fence);
        let past: Vec<Flying> = self
            .flying
            .extract_if(.., |f| {
                let is_late = now.since(f.sent_at) >= LAST_MOMENT;
                is_late && (f.agent == agent || !obeys)
            })
            .collect();
        for flying in past.iter().filter(|f| f.agent == agent && !f.is_settled) {
            self.ledger.settled(self.now, &flying.order.model);
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
        let mut world = World::new(obeys_fence);
        world.pass(LAST_MOMENT);
        world.read_report();
        world.receive_report();
        for (kind, model, pick, span) in steps {
            world.step(kind, model, pick, span);
        }
    }
}

#[test]
fn an_old_fencing_number_is_refused() {
    let mut ledger = Ledger::new(Millis::ZERO, LAST_MOMENT);
    ledger.raise_floor(Fence(7));
    let ticket = ledger.report_ticket(LAST_MOMENT);
    let report = EndpointReport {
        memory_bytes: MEMORY,
        ..EndpointReport::default()
    };
    let order = |fence| Order {
        fence: Fence(fence),
        action: Action::Load,
        model: "m".into(),
        bytes: 1,
    };
    use rattanstall::code::Code;
    assert_eq!(ledger.order(LAST_MOMENT, &order(7)), Err(Code::Busy));
    ledger.report(LAST_MOMENT, ticket, &report);
    assert_eq!(ledger.order(LAST_MOMENT, &order(6)), Err(Code::OldFence));
    assert_eq!(ledger.order(LAST_MOMENT, &order(8)), Ok(Step::Forward));
    assert_eq!(ledger.order(LAST_MOMENT, &order(7)), Err(Code::OldFence));
}

/// A load that comes twice may arrive again after its model was unloaded.
#[test]
fn a_load_keeps_its_memory_until_its_last_moment() {
    let mut world = World::new(false);
    world.pass(LAST_MOMENT);
    world.read_report();
    world.receive_report();
    for action in [Action::Load, Action::Unload] {
        world.order(action, 4);
        world.answer(world.flying.len() - 1);
    }
    // The lag of reports is over, the load's last moment is not.
    world.pass(REPORT_LAG + Millis(100));
    world.read_report();
    world.receive_report();
    for model in [1, 2, 3] {
        world.order(Action::Load, model);
        world.answer(world.flying.len() - 1);
    }
    world.deliver(0);
    assert!(
        world.endpoint.used() <= MEMORY,
        "{:?}",
        world.endpoint.models
    );
}
