//! News of endpoints at gateways that the store refuses, and the calls of the store, in
//! fleets of different sizes.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/registration.rs"]
mod registration;
#[path = "support/relay_fleet.rs"]
mod relay_fleet;

use rattanstall::clock::Millis;
use relay_fleet::{DRAIN_MS, RelayFleet};

/// Half of the shortest drain time: for the other half, a gateway uses an endpoint that
/// leaves where no other can serve a request.
const NEWS_MS: u64 = DRAIN_MS / 2;
/// The most reads of the store that all gateways together may make in a second.
const READS_PER_S: u64 = 500;
/// The most datagrams about registrations that a gateway may send in a second, at which
/// those without a change stay within 21 KB/s.
const DATAGRAMS_PER_S: u64 = 150;

/// Refuses some gateways at 2 s, lets an endpoint leave at 4 s, and checks that all know of
/// it in time.
fn news_arrives(gateways: usize, loss: f64, refused: impl Fn(usize) -> bool) {
    let mut fleet = RelayFleet::new(gateways, loss, 1);
    fleet.run_until(2_000);
    for number in (0..gateways).filter(|number| refused(*number)) {
        fleet.refuse(number);
    }
    fleet.run_until(4_000);
    assert_eq!(fleet.unaware(7).len(), gateways);
    fleet.drain(7);
    fleet.run_until(4_000 + NEWS_MS);
    assert_eq!(fleet.unaware(7), [0; 0], "of {gateways} gateways");
}

// Guards against requests to endpoints that left, from gateways that the store refuses.
#[test]
fn gateways_that_the_store_refuses_hear_of_a_leaving_endpoint() {
    for gateways in [4, 31, 68] {
        news_arrives(gateways, 0.01, |number| number % 3 == 1);
    }
}

#[test]
fn gateways_that_the_store_refuses_hear_of_a_leaving_endpoint_in_a_fleet_of_490() {
    news_arrives(490, 0.01, |number| number % 3 == 1);
}

#[test]
fn news_arrives_while_the_store_refuses_the_leader_too() {
    for gateways in [4, 31, 68] {
        news_arrives(gateways, 0.01, |number| number % 3 == 0);
    }
}

#[test]
fn news_arrives_over_links_that_lose_packets() {
    for gateways in [4, 31, 68] {
        news_arrives(gateways, 0.1, |number| number % 3 == 1);
    }
}

// A whole zone is cut from the store: its gateways follow each other by name.
#[test]
fn news_arrives_at_neighbours_that_are_all_refused() {
    for gateways in [31, 68] {
        news_arrives(gateways, 0.01, |number| {
            (gateways / 4..gateways * 3 / 4).contains(&number)
        });
    }
}

#[test]
fn calls_of_the_store_and_datagrams_stay_few_at_any_fleet_size() {
    for gateways in [4, 31, 68, 490] {
        let mut fleet = RelayFleet::new(gateways, 0.01, 2);
        fleet.run_until(4_000);
        assert!(fleet.peak_watches(1) <= READS_PER_S, "{gateways} gateways");
        let relayed = fleet.peak_relayed(1);
        assert!(relayed <= DATAGRAMS_PER_S, "{relayed} of {gateways}");
    }
}

#[test]
fn all_gateways_together_pace_their_calls_of_the_store() {
    for gateways in [1, 4, 31, 68, 490] {
        let pauses = RelayFleet::new(gateways, 0.0, 1).pauses(gateways - 1);
        let begun_per_s = |pause: Millis| gateways as u64 * 1_000 / pause.0;
        assert!(begun_per_s(pauses.fleet) <= 1_000, "{pauses:?}");
        if gateways > 1 {
            assert!(begun_per_s(pauses.registry) <= 1_000, "{pauses:?}");
        }
        // Each reads three lists at the store's return.
        let lists = gateways as u64 * 3;
        let spread_s = pauses.return_spread.as_duration().as_secs_f64();
        assert!(
            lists as f64 <= READS_PER_S as f64 * spread_s.max(1.0),
            "{pauses:?}"
        );
    }
}

#[test]
fn a_third_of_the_gateways_may_fall_silent() {
    for gateways in [31, 68] {
        let mut fleet = RelayFleet::new(gateways, 0.01, 3);
        fleet.run_until(2_000);
        for number in (0..gateways).filter(|number| number % 3 == 1) {
            fleet.silence(number);
        }
        for number in (0..gateways).filter(|number| number % 3 == 2) {
            fleet.refuse(number);
        }
        fleet.run_until(2_500);
        fleet.drain(7);
        fleet.run_until(2_500 + NEWS_MS);
        assert_eq!(fleet.unaware(7), [0; 0], "of {gateways} gateways");
        assert!(fleet.peak_watches(1) <= READS_PER_S, "{gateways} gateways");
    }
}

/// Lets the leader and others fall silent while the store refuses some, in some fleets the
/// endpoints too, and one of these leave soon after.
fn fleet_in_trouble(gateways: usize, seed: u64) -> RelayFleet {
    let loss = [0.01, 0.1][seed as usize % 2];
    let mut fleet = RelayFleet::new(gateways, loss, seed);
    fleet.run_until(2_000 + seed * 37 % 200 / 5 * 5);
    fleet.silence(0);
    for number in (1..gateways).filter(|number| number % 6 == 2) {
        fleet.silence(number);
    }
    for number in (1..gateways).filter(|number| number % 3 == 1) {
        fleet.refuse(number);
    }
    if seed % 3 == 1 {
        fleet.silence_endpoints();
    }
    fleet.run_until(2_200 + seed * 53 % 700 / 5 * 5);
    fleet.drain(7);
    fleet
}

/// Numbers of gateways and seeds.
const FLEETS: [(usize, u64); 3] = [(4, 100), (31, 20), (68, 6)];

// Guards against requests to an endpoint that said that it leaves, from gateways that hear of
// it late.
#[test]
fn no_gateway_uses_an_endpoint_after_its_drain_time() {
    for (gateways, seeds) in FLEETS {
        for seed in 0..seeds {
            let mut fleet = fleet_in_trouble(gateways, seed);
            fleet.run_until(fleet.now() + DRAIN_MS);
            assert_eq!(fleet.users(7), [0; 0], "{gateways} gateways, seed {seed}");
        }
    }
}

// Guards against requests to an endpoint that left, at the moment at which a gateway hears
// that its registration is gone.
#[test]
fn no_gateway_uses_an_endpoint_again_when_its_registration_goes() {
    for (gateways, seeds) in FLEETS {
        for seed in 0..seeds {
            let mut fleet = fleet_in_trouble(gateways, seed);
            fleet.run_until(fleet.now() + DRAIN_MS);
            fleet.remove(7);
            for _ in 0..200 {
                fleet.run_until(fleet.now() + 5);
                assert_eq!(fleet.users(7), [0; 0], "{gateways} gateways, seed {seed}");
            }
        }
    }
}
