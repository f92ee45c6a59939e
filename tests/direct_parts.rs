//! Small parts of the straight gateway: streams that go on elsewhere, health,
//! choice of endpoints, repeats, the directory and messages between gateways.

#[path = "support/open_endpoint.rs"]
mod open_endpoint;
#[path = "support/registration.rs"]
mod registration;

use compact_str::CompactString;
use rattanstall::clock::Millis;
use rattanstall::direct::balance::{Criteria, candidates, choose};
use rattanstall::direct::dialect::{EndpointState, Item};
use rattanstall::direct::directory::{Change, Directory, Grace, Holdings};
use rattanstall::direct::document::{Document, Kind, Route};
use rattanstall::direct::fleet::Fleet;
use rattanstall::direct::gossip::{
    BadDatagram, Datagram, MAX_DATAGRAM_BYTES, Message, SECRET_BYTES, decode, encode, split_rows,
};
use rattanstall::direct::health::Health;
use rattanstall::direct::members::{Member, Members};
use rattanstall::direct::request::ModelRef;
use rattanstall::direct::resume::EventTracker;
use rattanstall::direct::retry_budget::{RetryBudget, RetryLimit};
use rattanstall::direct::sync::{ConfigurationFollower, Follower as _};
use rattanstall::direct::view::{EndpointView, Load, LoadTable, Usability, View};

use open_endpoint::open;
use registration::registration;

fn directory() -> Directory {
    Directory::new(Grace {
        drain: Millis(2_000),
        relist: Millis(2_000),
    })
}

#[test]
fn a_stream_that_breaks_within_an_event_goes_on_after_the_last_whole_one() {
    let mut tracker = EventTracker::default();
    let events = tracker.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("small");
    assert_eq!(&events[..], b"id: 1\ndata: a\n\n");
    assert_eq!(
        tracker.last_event_id().map(CompactString::as_str),
        Some("1")
    );
    assert!(tracker.has_pending());
    tracker.drop_pending();
    let events = tracker.push(b"id: 2\ndata: b\n\n").expect("small");
    assert_eq!(&events[..], b"id: 2\ndata: b\n\n");
    assert_eq!(
        tracker.last_event_id().map(CompactString::as_str),
        Some("2")
    );
}

#[test]
fn an_event_without_an_end_is_not_kept_for_ever() {
    let mut tracker = EventTracker::default();
    let part = [b'x'; 1_000];
    let ended = (0..100).find(|_| tracker.push(&part).is_err());
    assert!(ended.is_some());
}

#[test]
fn a_silent_endpoint_that_owes_answers_is_suspect_until_it_speaks() {
    let mut health = Health::default();
    health.record_sent(Millis(1_000));
    assert!(!health.is_suspect(Millis(1_500)));
    assert!(health.is_suspect(Millis(2_000)));
    health.record_data(Millis(2_100), true);
    assert!(!health.is_suspect(Millis(2_200)));
}

#[test]
fn failures_in_a_row_pause_an_endpoint_for_longer_but_not_for_ever() {
    let mut health = Health::default();
    let mut pauses = Vec::new();
    for _ in 0..8 {
        health.record_failure(Millis(10_000));
        let pause = (0..20_000).find(|ms| !health.is_suspect(Millis(10_000 + ms)));
        pauses.push(pause.expect("an end"));
    }
    assert!(pauses.windows(2).all(|p| p[0] <= p[1]));
    assert!(*pauses.last().expect("eight") <= 3_000);
    health.record_success();
    assert!(!health.is_suspect(Millis(10_000)));
}

#[test]
fn repeats_stay_within_their_part_of_the_requests() {
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 50.0,
        window: Millis(10_000),
    };
    let mut budget = RetryBudget::new(limit);
    let mut repeats = 0;
    for at in 0..1_000 {
        budget.record_first_attempt(Millis(at * 10));
        repeats += usize::from(budget.try_take(Millis(at * 10), 4));
    }
    // This gateway's fifth and its quarter of the slack.
    assert!(repeats <= 200 + 13, "{repeats}");
    assert!(repeats >= 100, "{repeats}");
}

fn fleet_of(endpoints: Vec<EndpointView>) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.sync(&View {
        generation: 1,
        document: None,
        endpoints,
    });
    fleet
}

fn criteria<'a>(model: &'a ModelRef) -> Criteria<'a> {
    Criteria {
        service: "s",
        model: Some(model),
        zone: "z",
        excluded: &[],
        affinity: None,
        response_start_timeout: Millis(2_000),
        gateways: 2,
        sample_seed: 0,
    }
}

#[test]
fn the_least_busy_holder_of_the_model_is_chosen() {
    let model = ModelRef {
        model: "m".into(),
        adapter: None,
    };
    let fleet = fleet_of(vec![
        open(registration("a", 1, &["m"])),
        open(registration("b", 1, &["m"])),
        open(registration("c", 1, &["other"])),
    ]);
    let busy = Load {
        requests: 20,
        ..Load::default()
    };
    let others: LoadTable = vec![("a".into(), busy)];
    let criteria = criteria(&model);
    let found = candidates(Millis(0), &fleet, &others, &criteria);
    assert_eq!(found.len(), 2);
    let chosen = choose(&criteria, &found).expect("a candidate");
    assert_eq!(chosen.view.registration.id, "b");
    assert!(criteria.is_full(&found[0]));
    assert!(!criteria.is_full(chosen));
}

#[test]
fn a_leaving_endpoint_gets_only_what_no_other_can_do() {
    let model = ModelRef {
        model: "m".into(),
        adapter: None,
    };
    let mut leaving = open(registration("a", 1, &["m"]));
    leaving.usability = Usability::Leaving;
    let fleet = fleet_of(vec![leaving.clone(), open(registration("b", 1, &["m"]))]);
    let criteria = criteria(&model);
    let found = candidates(Millis(0), &fleet, &LoadTable::new(), &criteria);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].view.registration.id, "b");
    let fleet = fleet_of(vec![leaving]);
    assert_eq!(
        candidates(Millis(0), &fleet, &LoadTable::new(), &criteria).len(),
        1
    );
}

#[test]
fn registrations_that_lapse_while_the_store_is_away_prove_nothing() {
    let mut directory = directory();
    directory.replace(Millis(0), vec![registration("a", 1, &["m"])]);
    directory.store_lost();
    directory.remove(Millis(1_000), "a");
    assert_eq!(directory.expire(Millis(60_000)), Vec::new());
    directory.store_regained(Millis(60_000));
    assert_eq!(directory.views(Millis(61_000)).len(), 1);
    // Back within two seconds: it takes new work again.
    directory.put(Millis(61_500), registration("a", 1, &["m"]));
    assert_eq!(
        directory.views(Millis(61_600))[0].usability,
        Usability::Open
    );
}

#[test]
fn an_endpoint_that_stays_away_is_gone() {
    let mut directory = directory();
    directory.replace(Millis(0), vec![registration("a", 1, &["m"])]);
    assert_eq!(
        directory.remove(Millis(1_000), "a"),
        Some(Change::Lapsed("a".into()))
    );
    assert_eq!(directory.expire(Millis(1_900)), Vec::new());
    assert_eq!(
        directory.expire(Millis(2_100)),
        vec![Change::Gone("a".into())]
    );
}

#[test]
fn a_draining_endpoint_gets_no_new_work_after_half_of_its_time() {
    let mut directory = directory();
    directory.replace(Millis(0), vec![registration("a", 1, &["m"])]);
    let mut draining = registration("a", 1, &["m"]);
    draining.state = EndpointState::Draining;
    directory.put(Millis(1_000), draining);
    assert_eq!(
        directory.views(Millis(1_500))[0].usability,
        Usability::Leaving
    );
    assert!(directory.views(Millis(2_100)).is_empty());
}

#[test]
fn a_new_start_under_an_old_identifier_knows_nothing_of_before() {
    let mut directory = directory();
    directory.replace(Millis(0), vec![registration("a", 1, &["m"])]);
    let holdings = |born, stamp, hidden: &[&str]| Holdings {
        endpoint: "a".into(),
        born,
        stamp,
        residents: Vec::new(),
        hidden: hidden.iter().map(|m| CompactString::from(*m)).collect(),
    };
    assert!(directory.set_holdings(holdings(1, (1, 1), &["m"])));
    assert!(directory.views(Millis(0))[0].holdings.is_empty());
    directory.put(Millis(10), registration("a", 2, &["m"]));
    assert_eq!(directory.views(Millis(10))[0].holdings.len(), 1);
    // Announcements about the start before, and older ones, change nothing.
    assert!(!directory.set_holdings(holdings(1, (1, 2), &["m"])));
    assert!(directory.set_holdings(holdings(2, (2, 1), &["m"])));
    assert!(!directory.set_holdings(holdings(2, (1, 9), &[])));
}

fn route(prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: Millis(1_000),
        target: Millis(100),
        gap: Millis::ZERO,
        priority: 0,
        is_open: true,
        max_endpoints: 1,
        services: vec![("a".into(), 9), ("b".into(), 1)],
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut document = Document {
        routes: vec![route("/a/"), route("/a/b/"), route("/c/")],
        ..Document::default()
    };
    document.sort();
    let found = document.route("h", "/a/b/c").expect("a route");
    assert_eq!(found.prefix, "/a/b/");
    assert_eq!(document.route("h", "/a/x").expect("a route").prefix, "/a/");
    assert_eq!(document.route("other", "/a/x"), None);
    assert_eq!(document.route("h", "/ab"), None);
}

#[test]
fn services_share_a_route_by_their_weights() {
    let route = route("/a/");
    let of_b = (0..1_000).filter(|draw| route.service(*draw).is_some_and(|s| s == "b"));
    assert_eq!(of_b.count(), 100);
}

#[test]
fn a_gateway_behind_in_a_storm_of_versions_decodes_only_the_newest() {
    let items = [3, 9, 5].map(|revision| Item {
        key: "configuration".into(),
        value: None,
        revision,
        created: 1,
    });
    let relevant = ConfigurationFollower.relevant(items.to_vec());
    assert_eq!(relevant.len(), 1);
    assert_eq!(relevant[0].revision, 9);
}

fn datagram(number: u64) -> Datagram {
    Datagram {
        from: "peer".into(),
        boot: 7,
        number,
        message: Message::Status {
            version: 3,
            is_draining: false,
            is_first: true,
            loads: LoadTable::new(),
        },
    }
}

#[test]
fn only_members_of_the_fleet_are_heard() {
    let secret = [1; SECRET_BYTES];
    let bytes = encode(&secret, &datagram(1)).expect("encoded");
    assert_eq!(decode(&secret, &bytes), Ok(datagram(1)));
    let mut forged = bytes.clone();
    forged[2] ^= 1;
    assert_eq!(decode(&secret, &forged), Err(BadDatagram::Code));
    assert_eq!(decode(&[2; SECRET_BYTES], &bytes), Err(BadDatagram::Code));
    assert_eq!(decode(&secret, &bytes[..3]), Err(BadDatagram::Code));
}

#[test]
fn old_and_unregistered_messages_change_nothing() {
    let mut members = Members::new("me".into());
    let now = Millis(10);
    assert_eq!(members.receive(now, datagram(5)), None);
    assert!(members.with_newer_version(now, 0).is_none());
    members.put(Member {
        name: "peer".into(),
        address: ([127, 0, 0, 1], 1).into(),
        boot: 7,
    });
    members.receive(now, datagram(5));
    assert!(members.with_newer_version(now, 2).is_some());
    assert!(members.with_newer_version(now, 3).is_none());
    let mut late = datagram(4);
    late.message = Message::Adapters(vec![1]);
    assert_eq!(members.receive(now, late), None);
}

#[test]
fn tables_are_split_so_that_each_part_fits_a_datagram() {
    let rows: LoadTable = (0..300)
        .map(|at| (format!("endpoint-{at:04}").into(), Load::default()))
        .collect();
    let parts = split_rows(&rows);
    assert!(parts.len() > 1);
    assert_eq!(parts.iter().map(Vec::len).sum::<usize>(), rows.len());
    for part in parts {
        let mut one = datagram(u64::MAX);
        one.message = Message::Status {
            version: u64::MAX,
            is_draining: true,
            is_first: false,
            loads: part,
        };
        let bytes = encode(&[0; SECRET_BYTES], &one).expect("encoded");
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    }
}
