//! Terms of leadership under late answers of the store.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/registration.rs"]
mod registration;

use rattanstall::clock::Millis;
use rattanstall::direct::control::{Control, Event, LeaderRecord};

use fleet::{gateway, registered_gateway};

fn claimed(control: &mut Control, now: u64, fence: u64) -> Option<u64> {
    let claimed = Event::LeadershipClaimed {
        fence,
        is_succession: false,
    };
    control.reduce(Millis(now), claimed);
    control.leader_term(Millis(now)).map(|term| term.fence)
}

// Guards against orders with a lower fence than that of the orders before: two claims were
// under way, and the earlier one is answered last.
#[test]
fn the_answer_to_an_earlier_claim_does_not_replace_a_later_term() {
    let mut control = registered_gateway();
    assert_eq!(claimed(&mut control, 1_000, 456), Some(456));
    assert_eq!(claimed(&mut control, 1_800, 454), Some(456));
    assert_eq!(claimed(&mut control, 2_600, 470), Some(470));
}

// The same, after the term has ended: another gateway leads by then.
#[test]
fn the_answer_to_a_claim_that_was_superseded_begins_no_term() {
    let mut control = registered_gateway();
    let record = LeaderRecord {
        holder: gateway(1),
        revision: 460,
    };
    control.reduce(Millis(1_000), Event::LeaderKey(Some(record)));
    assert_eq!(claimed(&mut control, 1_100, 454), None);
    assert_eq!(claimed(&mut control, 2_000, 470), Some(470));
}
