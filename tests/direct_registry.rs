//! Registrations relayed by the leader: a gateway that misses a message falls back to the store.

#[path = "support/registration.rs"]
mod registration;

use rattanstall::clock::Millis;
use rattanstall::direct::dialect::Registration;
use rattanstall::direct::registry::{Registry, RegistryChange, RegistryPart};

use registration::registration;

fn endpoint(id: &str) -> Registration {
    Registration {
        local_models: vec!["m".into(); 8],
        ..registration(id, 1, &[])
    }
}

/// A leader and a follower that have both read the store up to revision 10.
fn leader_and_follower() -> (Registry, Registry) {
    let (mut leader, mut follower) = (Registry::default(), Registry::default());
    leader.note_read(Millis(1_000), 10, true);
    follower.note_read(Millis(1_000), 10, true);
    leader.start_term(Millis(1_000));
    (leader, follower)
}

fn deliver(follower: &mut Registry, at: u64, parts: Vec<RegistryPart>) -> usize {
    deliver_aged(follower, at, parts, 0)
}

fn deliver_aged(follower: &mut Registry, at: u64, parts: Vec<RegistryPart>, age: u64) -> usize {
    let changes = parts
        .into_iter()
        .flat_map(|part| follower.receive(Millis(at), "sender", part, Millis(age)));
    changes.count()
}

fn relayed_revision(follower: &Registry, now: u64) -> Option<u64> {
    let (revision, until) = follower.relay_progress()?;
    (Millis(now) < until).then_some(revision)
}

#[test]
fn changes_and_empty_updates_are_relayed_until_the_leader_goes_silent() {
    let (mut leader, mut follower) = leader_and_follower();
    assert_eq!(
        relayed_revision(&follower, 1_000),
        None,
        "no update received yet"
    );
    leader.queue(RegistryChange::Put(endpoint("e1")));
    leader.note_read(Millis(1_010), 12, false);
    let parts = leader.take_updates(Millis(1_010));
    assert_eq!(deliver(&mut follower, 1_012, parts), 1);
    assert_eq!(relayed_revision(&follower, 1_012), Some(12));
    // The revision advances without changes; that is relayed at the next interval.
    leader.note_read(Millis(1_100), 20, false);
    assert!(leader.take_updates(Millis(1_100)).is_empty());
    let parts = leader.take_updates(Millis(1_220));
    assert_eq!(deliver(&mut follower, 1_222, parts), 0);
    assert_eq!(relayed_revision(&follower, 1_222), Some(20));
    assert_eq!(
        relayed_revision(&follower, 2_000),
        None,
        "the leader went silent"
    );
}

#[test]
fn a_lost_update_is_repeated_by_the_next() {
    let (mut leader, mut follower) = leader_and_follower();
    leader.queue(RegistryChange::Put(endpoint("lost")));
    leader.note_read(Millis(1_010), 12, false);
    drop(leader.take_updates(Millis(1_010)));
    leader.queue(RegistryChange::Put(endpoint("e2")));
    leader.note_read(Millis(1_020), 14, false);
    let parts = leader.take_updates(Millis(1_020));
    assert_eq!(deliver(&mut follower, 1_022, parts), 2);
    assert_eq!(relayed_revision(&follower, 1_022), Some(14));
}

#[test]
fn a_gateway_that_missed_updates_for_long_watches_the_store() {
    let (mut leader, mut follower) = leader_and_follower();
    leader.queue(RegistryChange::Put(endpoint("lost")));
    for at in (1_010..1_900).step_by(100) {
        leader.note_read(Millis(at), at, false);
        drop(leader.take_updates(Millis(at)));
    }
    leader.queue(RegistryChange::Put(endpoint("e2")));
    leader.note_read(Millis(1_910), 1_910, false);
    let parts = leader.take_updates(Millis(1_910));
    assert!(!parts.is_empty());
    assert_eq!(deliver(&mut follower, 1_912, parts), 0);
    assert_eq!(relayed_revision(&follower, 1_912), None);
    // The follower watches from revision 10 and reads both changes. After that, the
    // leader's updates follow its revision again.
    follower.note_read(Millis(1_930), 1_910, false);
    leader.note_read(Millis(2_100), 1_915, false);
    let parts = leader.take_updates(Millis(2_130));
    deliver(&mut follower, 2_132, parts);
    assert_eq!(relayed_revision(&follower, 2_132), Some(1_915));
}

#[test]
fn an_asked_gateway_tells_what_changed_since_a_revision() {
    let (mut asked, mut asker) = leader_and_follower();
    asked.queue(RegistryChange::Put(endpoint("e1")));
    asked.note_read(Millis(1_100), 12, false);
    asked.queue(RegistryChange::Removed("e1".into()));
    asked.note_read(Millis(1_200), 15, false);
    assert_eq!(
        asker.take_question(Millis(1_300)),
        None,
        "it knows the store as it was 300 ms ago"
    );
    let revision = asker.take_question(Millis(1_450));
    assert_eq!(revision, Some(10));
    let parts = asked.answer(Millis(1_450), 10);
    assert_eq!(deliver_aged(&mut asker, 1_452, parts, 250), 1);
    assert_eq!(relayed_revision(&asker, 1_452), Some(15));
    // Before its first list, a gateway does not know what was removed.
    assert_eq!(asked.answer(Millis(1_452), 9), Vec::new());
}

// Guards against gateways that keep old news alive by telling it to each other.
#[test]
fn news_does_not_become_fresh_again_by_being_told() {
    let (mut one, mut other) = leader_and_follower();
    let mut now = 1_000;
    while now < 3_000 {
        now += 200;
        let age = one.age(Millis(now));
        let parts = one.answer(Millis(now), 10);
        deliver_aged(&mut other, now, parts, age.0);
        (one, other) = (other, one);
    }
    assert!(one.age(Millis(now)) >= Millis(2_000));
    for gateway in [&one, &other] {
        assert_eq!(relayed_revision(gateway, now), None);
    }
}

#[test]
fn a_large_update_counts_only_with_all_its_parts() {
    for lost in [None, Some(0), Some(1)] {
        let (mut leader, mut follower) = leader_and_follower();
        for n in 0..80 {
            leader.queue(RegistryChange::Put(endpoint(&format!("e{n}"))));
        }
        leader.note_read(Millis(1_010), 60, false);
        let mut parts = leader.take_updates(Millis(1_010));
        assert!(parts.len() > 2);
        if let Some(lost) = lost {
            parts.remove(lost);
        }
        deliver(&mut follower, 1_012, parts);
        assert_eq!(relayed_revision(&follower, 1_012).is_some(), lost.is_none());
    }
}

#[test]
fn a_leader_without_a_recent_store_read_relays_nothing() {
    let (mut leader, _) = leader_and_follower();
    leader.queue(RegistryChange::Removed("e1".into()));
    assert!(leader.take_updates(Millis(1_600)).is_empty());
}

#[test]
fn after_a_full_list_the_other_gateways_watch_the_store() {
    let (mut leader, mut follower) = leader_and_follower();
    // The changes between revisions 10 and 30 are not known individually.
    leader.note_read(Millis(1_010), 30, true);
    let parts = leader.take_updates(Millis(1_010));
    deliver(&mut follower, 1_012, parts);
    assert_eq!(relayed_revision(&follower, 1_012), None);
}

#[test]
fn changes_from_a_lagging_leader_do_not_overwrite_newer_ones() {
    let (mut leader, mut follower) = leader_and_follower();
    leader.queue(RegistryChange::Put(endpoint("e1")));
    leader.note_read(Millis(1_010), 13, false);
    let late = leader.take_updates(Millis(1_010));
    // Meanwhile the follower has watched the store and knows a newer state of e1.
    follower.note_read(Millis(1_500), 20, false);
    assert_eq!(deliver(&mut follower, 1_510, late), 0);
    assert_eq!(
        relayed_revision(&follower, 1_510),
        None,
        "the leader lags behind"
    );
    // The updates are accepted again once the leader has caught up.
    leader.note_read(Millis(1_600), 25, false);
    let parts = leader.take_updates(Millis(1_600));
    deliver(&mut follower, 1_602, parts);
    assert_eq!(relayed_revision(&follower, 1_602), Some(25));
}
