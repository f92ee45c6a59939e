//! Which software versions the gateways record in the store, and what a gateway concludes from
//! the record.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/registration.rs"]
mod registration;

use std::sync::Arc;

use rattanstall::clock::Millis;
use rattanstall::direct::control::{Control, Effect, Event};
use rattanstall::direct::dialect::Registration;
use rattanstall::direct::streams::RECORD_LIFETIME;
use rattanstall::direct::version_record::{RecordedVersion, decode, encode};

use fleet::settings;
use registration::registration;

fn endpoint(id: &str, version: &str) -> Registration {
    Registration {
        version: version.into(),
        ..registration(id, 1, &["m"])
    }
}

fn recorded(version: &str, left: Option<u64>) -> RecordedVersion {
    RecordedVersion {
        service: "s".into(),
        version: version.into(),
        left: left.map(Millis),
    }
}

/// A gateway that has read the endpoints and the record, and leads or not.
fn gateway(
    now: u64,
    endpoints: &[Registration],
    leads: bool,
    record: &[RecordedVersion],
) -> Control {
    let mut control = Control::new(Arc::new(settings(0)));
    let mut events = vec![
        Event::LeaseHeld(Millis(u64::MAX)),
        Event::Registrations(endpoints.to_vec()),
        Event::VersionsRecorded {
            revision: 7,
            versions: record.to_vec(),
        },
    ];
    if leads {
        events.push(Event::LeadershipClaimed {
            fence: 1,
            is_succession: false,
        });
    }
    for event in events {
        control.reduce(Millis(now), event);
    }
    control
}

/// What a gateway writes in a tick.
fn written(control: &mut Control, now: u64) -> Option<(u64, Vec<RecordedVersion>)> {
    let effects = control.reduce(Millis(now), Event::Tick(Vec::new()));
    effects.into_iter().find_map(|effect| match effect {
        Effect::RecordVersions { expected, versions } => Some((expected, versions)),
        _ => None,
    })
}

fn only_version(control: &mut Control, now: u64) -> Option<String> {
    let versions = control.view(Millis(now)).versions;
    let is_complete = versions.is_complete(Millis(now));
    let only = versions.only_version("s").filter(|_| is_complete);
    only.map(|version| version.to_string())
}

#[test]
fn the_leader_records_versions_that_come_and_go_at_once() {
    let mut leader = gateway(
        1_000,
        &[endpoint("a", "v1"), endpoint("b", "v1")],
        true,
        &[],
    );
    let first = vec![recorded("v1", None)];
    assert_eq!(written(&mut leader, 1_050), Some((7, first.clone())));
    // Once only, until the store has answered.
    assert_eq!(written(&mut leader, 1_100), None);
    let is_written = Event::VersionsRecorded {
        revision: 8,
        versions: first,
    };
    leader.reduce(Millis(1_110), is_written);
    assert_eq!(written(&mut leader, 1_150), None);
    leader.reduce(
        Millis(2_000),
        Event::Registrations(vec![endpoint("c", "v2")]),
    );
    // What left is registered until its grace period is over.
    let both = vec![recorded("v1", None), recorded("v2", None)];
    assert_eq!(written(&mut leader, 2_050), Some((8, both.clone())));
    let is_written = Event::VersionsRecorded {
        revision: 9,
        versions: both,
    };
    leader.reduce(Millis(2_060), is_written);
    let (_, rows) = (0..100)
        .find_map(|tick| written(&mut leader, 2_100 + tick * 50))
        .expect("a record");
    assert!(rows[0].left.is_some() && rows[1].left.is_none(), "{rows:?}");
}

#[test]
fn another_gateway_records_what_no_leader_does() {
    let mut other = gateway(1_000, &[endpoint("a", "v1")], false, &[]);
    assert_eq!(written(&mut other, 1_050), None);
    assert_eq!(written(&mut other, 1_900), None);
    assert!(written(&mut other, 2_100).is_some());
}

#[test]
fn a_failed_write_is_repeated() {
    let mut leader = gateway(1_000, &[endpoint("a", "v1")], true, &[]);
    assert!(written(&mut leader, 1_050).is_some());
    leader.reduce(Millis(1_100), Event::VersionRecordFailed);
    assert_eq!(written(&mut leader, 1_150), None);
    assert!(written(&mut leader, 2_150).is_some());
}

// Guards against a gateway that takes the registered versions for all that there were.
#[test]
fn a_gateway_that_starts_knows_of_versions_that_left_from_the_record() {
    let endpoints = [endpoint("a", "v2")];
    let mut started = Control::new(Arc::new(settings(0)));
    started.reduce(Millis(1_000), Event::Registrations(endpoints.to_vec()));
    assert_eq!(only_version(&mut started, 1_100), None);
    let record = [recorded("v1", Some(5_000)), recorded("v2", None)];
    let mut started = gateway(1_000, &endpoints, false, &record);
    assert_eq!(only_version(&mut started, 1_100), None);
    let later = 1_000 + RECORD_LIFETIME.0;
    assert_eq!(only_version(&mut started, later), Some("v2".into()));
    let mut started = gateway(1_000, &endpoints, false, &record[1..]);
    assert_eq!(only_version(&mut started, 1_100), Some("v2".into()));
}

#[test]
fn a_record_grows_older_in_the_store() {
    let rows = vec![recorded("v1", Some(5_000)), recorded("v2", None)];
    let value = encode(Millis(100_000), &rows).expect("encoded");
    let read = decode(Millis(160_000), &value).expect("decoded");
    assert_eq!(read, [recorded("v1", Some(65_000)), recorded("v2", None)]);
    // The clock of the reader may be behind.
    assert_eq!(decode(Millis(90_000), &value).expect("decoded"), rows);
    assert!(decode(Millis(0), b"other").is_err());
}
