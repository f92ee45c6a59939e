//! How a gateway learns of a newer configuration when the store does not deliver it.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/registration.rs"]
mod registration;

use std::net::SocketAddr;

use rattanstall::clock::Millis;
use rattanstall::direct::control::{Control, Effect, Event};
use rattanstall::direct::gossip::Message;

use fleet::{GATEWAYS, from_peer, registered_gateway};

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

// Guards against asking the same peer again and again for a newer configuration while
// that peer does not answer.
#[test]
fn an_unanswered_request_for_the_configuration_goes_to_another_peer_next() {
    let mut control = registered_gateway();
    for at in (0..4_000).step_by(100) {
        for peer in 1..GATEWAYS {
            let status = Message::Status {
                version: 2,
                is_draining: false,
                is_first: true,
                loads: Vec::new(),
            };
            control.reduce(Millis(at), from_peer(peer, at + 1, status));
        }
        control.reduce(Millis(at), Event::Tick(Vec::new()));
    }
    let mut asked = asked_peers(&mut control, Millis(4_000), Millis(5_200));
    let requests = asked.len();
    asked.sort();
    asked.dedup();
    assert!(requests >= 2, "{requests} requests");
    assert_eq!(asked.len(), requests, "some peer was asked twice");
}
