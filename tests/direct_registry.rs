//! Registrations that the leader passes on: what is missed is read from the store.

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

/// A leader and a gateway that both know all up to revision 10.
fn pair() -> (Registry, Registry) {
    let (mut leader, mut follower) = (Registry::default(), Registry::default());
    leader.read(Millis(1_000), 10, true);
    follower.read(Millis(1_000), 10, true);
    leader.begin();
    (leader, follower)
}

fn take(follower: &mut Registry, at: u64, parts: Vec<RegistryPart>) -> usize {
    let changes = parts
        .into_iter()
        .flat_map(|part| follower.receive(Millis(at), part));
    changes.count()
}

fn covered(follower: &Registry, now: u64) -> Option<u64> {
    let (revision, until) = follower.relayed()?;
    (Millis(now) < until).then_some(revision)
}

#[test]
fn changes_and_silence_are_passed_on_until_the_leader_falls_silent() {
    let (mut leader, mut follower) = pair();
    assert_eq!(covered(&follower, 1_000), None, "nothing heard yet");
    leader.note(RegistryChange::Put(endpoint("e1")));
    leader.read(Millis(1_010), 12, false);
    let parts = leader.tell(Millis(1_010), 4);
    assert_eq!(take(&mut follower, 1_012, parts), 1);
    assert_eq!(covered(&follower, 1_012), Some(12));
    // Heartbeats move the revision on; nothing else is told until it is due.
    leader.read(Millis(1_100), 20, false);
    assert!(leader.tell(Millis(1_100), 4).is_empty());
    let parts = leader.tell(Millis(1_220), 4);
    assert_eq!(take(&mut follower, 1_222, parts), 0);
    assert_eq!(covered(&follower, 1_222), Some(20));
    assert_eq!(covered(&follower, 2_000), None, "the leader fell silent");
}

#[test]
fn a_missed_message_sends_the_gateway_to_the_store() {
    let (mut leader, mut follower) = pair();
    leader.note(RegistryChange::Put(endpoint("lost")));
    leader.read(Millis(1_010), 12, false);
    drop(leader.tell(Millis(1_010), 4));
    leader.note(RegistryChange::Put(endpoint("e2")));
    leader.read(Millis(1_020), 14, false);
    let parts = leader.tell(Millis(1_020), 4);
    assert_eq!(take(&mut follower, 1_022, parts), 0);
    assert_eq!(covered(&follower, 1_022), None);
    // It watches from revision 10 and learns both; then messages fit again.
    follower.read(Millis(1_030), 14, false);
    leader.read(Millis(1_200), 15, false);
    let parts = leader.tell(Millis(1_230), 4);
    take(&mut follower, 1_232, parts);
    assert_eq!(covered(&follower, 1_232), Some(15));
}

#[test]
fn a_large_change_counts_only_with_all_its_parts() {
    for lost in [None, Some(0), Some(1)] {
        let (mut leader, mut follower) = pair();
        for n in 0..80 {
            leader.note(RegistryChange::Put(endpoint(&format!("e{n}"))));
        }
        leader.read(Millis(1_010), 60, false);
        let mut parts = leader.tell(Millis(1_010), 4);
        assert!(parts.len() > 2);
        if let Some(lost) = lost {
            parts.remove(lost);
        }
        take(&mut follower, 1_012, parts);
        assert_eq!(covered(&follower, 1_012).is_some(), lost.is_none());
    }
}

#[test]
fn a_leader_that_the_store_does_not_answer_says_nothing() {
    let (mut leader, _) = pair();
    leader.note(RegistryChange::Removed("e1".into()));
    assert!(leader.tell(Millis(1_600), 4).is_empty());
}

#[test]
fn after_a_whole_reading_the_others_read_for_themselves() {
    let (mut leader, mut follower) = pair();
    // What changed between 10 and 30 was never told as changes.
    leader.read(Millis(1_010), 30, true);
    let parts = leader.tell(Millis(1_010), 4);
    take(&mut follower, 1_012, parts);
    assert_eq!(covered(&follower, 1_012), None);
}

#[test]
fn a_leader_that_lags_takes_back_nothing_that_is_known_better() {
    let (mut leader, mut follower) = pair();
    leader.note(RegistryChange::Put(endpoint("e1")));
    leader.read(Millis(1_010), 13, false);
    let late = leader.tell(Millis(1_010), 4);
    // Meanwhile this gateway has watched for itself and knows a later state of e1.
    follower.read(Millis(1_500), 20, false);
    assert_eq!(take(&mut follower, 1_510, late), 0);
    assert_eq!(covered(&follower, 1_510), None, "the leader knows less");
    // Once the leader has caught up, its messages count again.
    leader.read(Millis(1_600), 25, false);
    let parts = leader.tell(Millis(1_600), 4);
    take(&mut follower, 1_602, parts);
    assert_eq!(covered(&follower, 1_602), Some(25));
}
