//! What a gateway knows of the other ones.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/registration.rs"]
mod registration;

use rattanstall::clock::Millis;
use rattanstall::direct::gossip::{Datagram, Message};
use rattanstall::direct::members::{Member, Members};

use fleet::{gateway, member};

fn datagram(boot: u64, number: u64) -> Datagram {
    Datagram {
        from: gateway(1),
        boot,
        number,
        message: Message::Limits(Vec::new()),
    }
}

// Guards against a gateway that gets nothing of what the others know, since it restarted
// within the time for which it counts as reachable.
#[test]
fn a_gateway_that_restarted_is_heard_anew() {
    let mut members = Members::new(gateway(0));
    let first = Member {
        boot: 1,
        ..member(1)
    };
    members.put(first.clone());
    members.receive(Millis(1_000), datagram(1, 1));
    let changes = members.take_reachability_changes(Millis(1_010));
    assert_eq!(changes, [(gateway(1), true)]);
    // Its registration and its first datagram arrive between two looks.
    members.put(Member { boot: 2, ..first });
    members.receive(Millis(1_040), datagram(2, 1));
    let changes = members.take_reachability_changes(Millis(1_060));
    assert_eq!(changes, [(gateway(1), true)]);
    let changes = members.take_reachability_changes(Millis(1_110));
    assert_eq!(changes, [], "once only");
}
