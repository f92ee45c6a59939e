//! Until when gateways use endpoints that said that they leave.

#[path = "support/registration.rs"]
mod registration;

use rattanstall::clock::Millis;
use rattanstall::direct::dialect::{EndpointState, Registration};
use rattanstall::direct::directory::{Change, Directory, GracePeriods};

use registration::registration;

const DRAIN_MS: u64 = 2_000;

fn directory() -> Directory {
    Directory::new(GracePeriods {
        drain: Millis(DRAIN_MS),
        relist: Millis(2_500),
    })
}

fn draining() -> Registration {
    Registration {
        state: EndpointState::Draining,
        ..registration("a", 1, &["m"])
    }
}

// Guards against requests to an endpoint that said that it leaves: the removal of its
// registration made it usable again until it was dropped.
#[test]
fn an_endpoint_that_left_is_not_used_again_when_its_registration_goes() {
    for removed_at in [1_100, 2_000, 3_500, 30_000] {
        let mut directory = directory();
        directory.replace(Millis(0), vec![registration("a", 1, &["m"])]);
        directory.put(Millis(50), draining());
        assert!(directory.views(Millis(removed_at)).is_empty());
        directory.remove(Millis(removed_at), "a");
        assert!(directory.views(Millis(removed_at)).is_empty());
        let gone = directory.expire(Millis(removed_at + 50));
        assert_eq!(gone, [Change::Gone("a".into())]);
    }
}

// Guards against the same while registrations may be missing because of the store.
#[test]
fn an_endpoint_that_left_is_not_used_again_while_the_store_is_away_or_has_just_returned() {
    let mut directory = directory();
    directory.replace(Millis(0), vec![registration("a", 1, &["m"])]);
    directory.put(Millis(0), draining());
    directory.store_lost();
    directory.remove(Millis(2_000), "a");
    assert!(directory.views(Millis(2_000)).is_empty());
    directory.expire(Millis(2_050));
    assert!(directory.views(Millis(2_050)).is_empty());

    let mut directory = self::directory();
    directory.replace(Millis(0), vec![registration("a", 1, &["m"])]);
    directory.store_lost();
    directory.put(Millis(0), draining());
    directory.store_regained(Millis(1_500));
    directory.remove(Millis(2_000), "a");
    assert!(directory.views(Millis(2_000)).is_empty());
    directory.expire(Millis(2_050));
    assert!(directory.views(Millis(2_050)).is_empty());
}

// Guards against requests to an endpoint that said that it leaves, from a gateway that has
// just started or dropped it: it may have said so any time ago.
#[test]
fn an_endpoint_that_is_first_seen_leaving_is_not_used() {
    let mut directory = directory();
    directory.replace(Millis(5_000), vec![draining()]);
    assert!(directory.views(Millis(5_000)).is_empty());
    directory.remove(Millis(6_000), "a");
    assert!(directory.views(Millis(6_000)).is_empty());
    assert_eq!(directory.expire(Millis(6_050)), [Change::Gone("a".into())]);
    // An older copy of the store still lists it.
    directory.store_restored(Millis(7_000));
    directory.replace(Millis(7_000), vec![draining()]);
    assert!(directory.views(Millis(7_000)).is_empty());
    // It takes requests once it says so.
    directory.put(Millis(8_000), registration("a", 1, &["m"]));
    assert_eq!(directory.views(Millis(8_000)).len(), 1);
}
