//! A store that comes back from an older copy: what a gateway knows is not taken back.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/registration.rs"]
mod registration;

use proptest::prelude::*;
use rattanstall::clock::Millis;
use rattanstall::direct::control::{Control, Effect, Event};
use rattanstall::direct::dialect::{EndpointState, Registration};
use rattanstall::direct::directory::{Change, Directory, GracePeriods};
use rattanstall::direct::era::{era_of, position, revision_of};
use rattanstall::direct::registry::{Registry, RegistryChange};
use rattanstall::direct::view::Usability;

use fleet::{document, elected_leader, registered_gateway};
use registration::registration;

const RELIST: Millis = Millis(2_000);

fn directory() -> Directory {
    Directory::new(GracePeriods {
        drain: Millis(2_000),
        relist: RELIST,
    })
}

fn ready(id: &str) -> Registration {
    registration(id, 1, &["m"])
}

fn open(directory: &Directory, now: u64) -> Vec<String> {
    let views = directory.views(Millis(now));
    let ids = views.iter().map(|e| e.registration.id.to_string());
    ids.collect()
}

proptest! {
    #[test]
    fn positions_are_ordered_by_era_and_then_by_revision(
        one in (0u64..1 << 20, 0u64..1 << 40),
        other in (0u64..1 << 20, 0u64..1 << 40),
    ) {
        let (a, b) = (position(one.0, one.1), position(other.0, other.1));
        prop_assert_eq!(a.cmp(&b), one.cmp(&other));
        prop_assert_eq!((era_of(a), revision_of(a)), one);
    }
}

// Guards against requests to endpoints that had left when the copy was older.
#[test]
fn endpoints_that_left_are_not_revived_by_an_older_copy() {
    let mut directory = directory();
    directory.replace(
        Millis(1_000),
        vec![ready("gone"), ready("leaving"), ready("stays")],
    );
    directory.remove(Millis(2_000), "gone");
    directory.expire(Millis(4_000));
    directory.put(
        Millis(5_000),
        Registration {
            state: EndpointState::Draining,
            ..ready("leaving")
        },
    );
    directory.store_restored(Millis(8_000));
    let listed = vec![ready("gone"), ready("leaving"), ready("stays")];
    let changes = directory.replace(Millis(8_100), listed);
    assert!(
        !changes
            .iter()
            .any(|c| matches!(c, Change::Returned(_) | Change::Appeared(_))),
        "{changes:?}"
    );
    let views = directory.views(Millis(8_100));
    let usable = views.iter().filter(|e| e.usability == Usability::Open);
    let usable: Vec<&str> = usable.map(|e| e.registration.id.as_str()).collect();
    assert_eq!(usable, ["stays"]);
    // One that lives writes its registration again.
    let change = directory.put(Millis(8_300), ready("gone"));
    assert_eq!(change, Some(Change::Appeared("gone".into())));
}

#[test]
fn endpoints_that_an_older_copy_lacks_are_kept_until_they_register_again() {
    let mut directory = directory();
    directory.replace(Millis(1_000), vec![ready("old"), ready("new")]);
    directory.store_restored(Millis(8_000));
    directory.replace(Millis(8_100), vec![ready("old")]);
    let at = 8_000 + RELIST.0 - 100;
    directory.expire(Millis(at));
    assert_eq!(open(&directory, at), ["new", "old"]);
    directory.put(Millis(at), ready("new"));
    directory.expire(Millis(20_000));
    assert_eq!(open(&directory, 20_000), ["new", "old"]);
}

// Guards against news of the time before, told late by another gateway.
#[test]
fn news_of_an_earlier_era_changes_nothing() {
    let (mut old, mut new) = (Registry::default(), Registry::default());
    old.note_read(Millis(1_000), position(1, 900), true);
    old.queue(RegistryChange::Put(ready("e")));
    old.note_read(Millis(1_100), position(1, 950), false);
    new.note_read(Millis(1_050), position(2, 40), true);
    for part in old.answer(Millis(1_150), position(1, 900)) {
        let changes = new.receive(Millis(1_160), "old", part, Millis::ZERO);
        assert_eq!(changes, []);
    }
    // And what is told of the new era leads a gateway of the old one to the store.
    new.queue(RegistryChange::Put(ready("f")));
    new.note_read(Millis(1_200), position(2, 45), false);
    new.start_term(Millis(1_200));
    for part in new.take_updates(Millis(1_450)) {
        let changes = old.receive(Millis(1_460), "new", part, Millis::ZERO);
        assert_eq!(changes, []);
    }
    assert_eq!(old.relay_progress(), None);
}

fn lead(control: &mut Control, now: u64, fence: u64) -> Option<Millis> {
    let claimed = Event::LeadershipClaimed {
        fence,
        is_succession: false,
    };
    control.reduce(Millis(now), claimed);
    control
        .leader_term(Millis(now))
        .map(|term| term.orders_from)
}

// Guards against two leaders at once: the copy does not have the leader key of the one in
// office, which does not know that yet.
#[test]
fn a_leader_of_the_new_era_waits_until_that_of_the_old_one_has_lost_its_lease() {
    let mut control = registered_gateway();
    control.reduce(Millis(10_000), Event::StoreRestored);
    let orders_from = lead(&mut control, 10_200, position(2, 30));
    assert_eq!(orders_from, Some(Millis(13_000)), "the lease takes 3 s");
}

#[test]
fn a_leader_stops_when_the_store_comes_back_and_may_lead_on_with_a_new_term() {
    let mut control = elected_leader();
    assert!(control.leader_term(Millis(10_000)).is_some());
    control.reduce(Millis(10_000), Event::StoreRestored);
    assert_eq!(control.leader_term(Millis(10_000)), None);
    // It knows that nobody else led.
    let orders_from = lead(&mut control, 10_200, position(2, 30));
    assert_eq!(orders_from, Some(Millis(10_200)));
}

#[test]
fn an_older_configuration_of_the_copy_is_ignored() {
    let mut control = registered_gateway();
    control.reduce(Millis(1_000), Event::Configuration(document(7)));
    control.reduce(Millis(2_000), Event::StoreRestored);
    let effects = control.reduce(Millis(2_100), Event::Configuration(document(6)));
    assert!(!effects.iter().any(|e| matches!(e, Effect::SetLimits(_))));
    assert_eq!(control.version(), 7);
}
