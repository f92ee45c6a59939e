//! How a gateway learns of a newer configuration when the store does not deliver it.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/registration.rs"]
mod registration;

use std::net::SocketAddr;

use rattanstall::clock::Millis;
use rattanstall::direct::control::{Control, Effect, Event};

use fleet::registered_gateway;

/// The operator's bound for a configuration to be in force.
const MAX_DELAY: Millis = Millis(2_000);

/// Passes a tick each 50 ms and returns the peers that are asked for their
/// configuration.
fn asked_peers(control: &mut Control, from: Millis, until: Millis) -> Vec<SocketAddr> {
    let ticks = (from.0..until.0).step_by(50);
    let effects = ticks.flat_map(|at| control.reduce(Millis(at), Event::Tick(Vec::new())));
    let asked = effects.filter_map(|effect| match effect {
        Effect::PullConfiguration(peer) => Some(peer),
        _ => None,
    });
    asked.collect()
}

// Guards against a gateway that the store refuses and that keeps an old configuration:
// once its lease has lapsed, no peer reports its version to it any more.
#[test]
fn a_gateway_that_the_store_refuses_asks_peers_that_report_nothing() {
    let mut control = registered_gateway();
    let lost_at = Millis(10_000);
    control.reduce(lost_at, Event::StoreLost);
    for after in 0..10 {
        let from = lost_at + Millis(after * MAX_DELAY.0);
        let asked = asked_peers(&mut control, from, from + MAX_DELAY);
        assert!(
            !asked.is_empty(),
            "no peer asked for 2 s after {} ms",
            from.0
        );
    }
    control.reduce(Millis(40_000), Event::StoreAnswered);
    let asked = asked_peers(&mut control, Millis(40_000), Millis(50_000));
    assert_eq!(asked, [], "the store answers again");
}
