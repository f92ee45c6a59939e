//! A ledger that refuses the orders of a replaced leader.
//!
//! Run with `cargo run --example fencing`.

use rattanstall::clock::Millis;
use rattanstall::ledger::{EndpointReport, Ledger};
use rattanstall::wire::{Action, Fence, Order};

fn main() {
    let max_order_delay = Millis(1_000);
    let mut ledger = Ledger::new(Millis::ZERO, max_order_delay);
    // The ledger accepts orders once an earlier agent's last order can no longer take effect.
    let ticket = ledger.report_ticket(max_order_delay);
    let report = EndpointReport {
        memory_bytes: 100,
        ..EndpointReport::default()
    };
    ledger.report(max_order_delay, ticket, &report);

    let load = |model: &str, fence, bytes| Order {
        fence: Fence(fence),
        action: Action::Load,
        model: model.into(),
        bytes,
    };
    let orders = [
        ("leader 7 loads a", load("a", 7, 60)),
        ("leader 9 loads b", load("b", 9, 30)),
        ("leader 7, paused meanwhile, loads c", load("c", 7, 5)),
        ("leader 9 loads d, too large", load("d", 9, 30)),
    ];
    for (description, order) in orders {
        println!("{description}: {:?}", ledger.order(max_order_delay, &order));
    }
    println!("held or reserved: {} of 100 bytes", ledger.used_bytes());
}
