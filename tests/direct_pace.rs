//! What gateways learn of the pace of a service's endpoints.

use rattanstall::clock::Millis;
use rattanstall::direct::document::{Document, Route, RouteKind};
use rattanstall::direct::pace::{Arrivals, Pace};

// Guards against engines that are taken for slow readers since requests wait there.
#[test]
fn waits_in_queues_are_not_taken_for_reading() {
    let mut pace = Pace::default();
    for number in 0..400 {
        let waited = [0, 300, 900, 1_500][number % 4];
        pace.record_start(2_000, Millis(60 + waited));
    }
    let read = pace.read_time(1_000).0;
    assert!(
        (20..=60).contains(&read),
        "{read} ms for half of the prompt"
    );
}

#[test]
fn nothing_is_assumed_of_reading_before_the_first_response() {
    assert_eq!(Pace::default().read_time(100_000), Millis::ZERO);
    let mut pace = Pace::default();
    pace.record_start(0, Millis(500));
    assert_eq!(pace.read_time(100_000), Millis::ZERO, "no prompt was read");
}

#[test]
fn the_duration_of_responses_follows_a_change() {
    let mut pace = Pace::default();
    (0..200).for_each(|_| pace.record_run(Millis(3_000)));
    let slow = pace.run_time().0;
    assert!((2_900..=3_000).contains(&slow), "{slow}");
    (0..200).for_each(|_| pace.record_run(Millis(100)));
    let fast = pace.run_time().0;
    assert!((100..=200).contains(&fast), "{fast}");
}

#[test]
fn the_rate_of_arrivals_leaves_out_the_request_itself() {
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.record(Millis(1_000)), 0.0);
    let mut rate = 0.0;
    for at in 0..100 {
        rate = arrivals.record(Millis(1_200 + at * 200));
    }
    assert!(
        (4.0..=5.5).contains(&rate),
        "{rate} a second, one each 200 ms"
    );
    assert!(!arrivals.is_over(Millis(22_000)));
    assert!(arrivals.is_over(Millis(60_000)));
}

fn route(name: &str, kind: RouteKind, target: u64, service: &str, weight: u32) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: "/".into(),
        kind,
        timeout: Millis(12_000),
        target: Millis(target),
        event_gap_target: Millis(250),
        priority: 1,
        is_public: false,
        max_endpoints: 2,
        services: vec![(service.into(), weight)],
    }
}

// Guards against requests that may wait long and fill the queues of those that may not.
#[test]
fn the_shortest_target_is_that_of_the_streams_that_a_service_serves() {
    let stream = RouteKind::Stream { is_resumable: true };
    let document = Document {
        routes: vec![
            route("live", stream, 250, "models", 1),
            route("batch", stream, 3_000, "models", 1),
            route("off", stream, 10, "models", 0),
            route("other", stream, 50, "others", 1),
            route("order", RouteKind::AtMostOnce, 20, "models", 1),
        ],
        ..Document::default()
    };
    assert_eq!(document.shortest_target("models"), Some(Millis(250)));
    assert_eq!(document.shortest_target("others"), Some(Millis(50)));
    assert_eq!(document.shortest_target("none"), None);
}
