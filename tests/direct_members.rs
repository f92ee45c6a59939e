//! What a gateway knows of the other ones.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/registration.rs"]
mod registration;

use rattanstall::clock::Millis;
use rattanstall::direct::control::{Effect, Event};
use rattanstall::direct::gossip::{Datagram, Message};
use rattanstall::direct::members::{Member, Members};
use rattanstall::direct::membership::currency::{Currency, HEARD_VALIDITY};

use fleet::{from_peer, gateway, member, registered_gateway};

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

// Guards against streams that nobody can go on with, as they began while their gateway and those
// that keep its records did not reach each other, and it ended soon after.
#[test]
fn a_gateway_that_is_heard_again_is_told_of_the_streams_that_it_missed() {
    let mut control = registered_gateway();
    let copies = |effects: Vec<Effect>| {
        let copies = effects.into_iter().filter_map(|effect| match effect {
            Effect::CopyStreams { to, since } => Some((to, since)),
            _ => None,
        });
        copies.collect::<Vec<_>>()
    };
    let heard = |number| from_peer(1, number, Message::Limits(Vec::new()));
    let tick = || Event::Tick(Vec::new());
    control.reduce(Millis(2_000), heard(1));
    assert_eq!(copies(control.reduce(Millis(2_010), tick())), []);
    assert_eq!(copies(control.reduce(Millis(6_000), tick())), []);
    control.reduce(Millis(9_000), heard(2));
    let told = copies(control.reduce(Millis(9_010), tick()));
    assert_eq!(told, [(gateway(1), Millis(1_000))]);
    assert_eq!(copies(control.reduce(Millis(9_060), tick())), [], "once");
}

// Guards against gateways that are cut off together and take each other for most of all, as long
// as those that are gone count as reachable.
#[test]
fn what_a_gateway_knows_is_current_while_it_hears_most_others_not_after() {
    let heard_until = |others: usize, heard: &[(usize, u64)]| {
        let mut members = Members::new(gateway(0));
        (1..=others).for_each(|number| {
            members.put(member(number));
        });
        for (number, at) in heard {
            let heard = Datagram {
                from: gateway(*number),
                ..datagram(1, *at)
            };
            members.receive(Millis(*at), heard);
        }
        let currency = Currency {
            lease_until: Millis(3_000),
            lease: Millis(3_000),
            is_store_lost: true,
            majority_heard_at: members.majority_heard_at(),
        };
        currency.until()
    };
    let until = |at: u64| Millis(at) + HEARD_VALIDITY;
    assert_eq!(heard_until(0, &[]), Millis::ZERO);
    assert_eq!(heard_until(1, &[(1, 900)]), until(900));
    assert_eq!(heard_until(2, &[(1, 900)]), until(900));
    assert_eq!(heard_until(3, &[(1, 900)]), Millis::ZERO);
    // Of five, another one is heard still, and the rest not any more.
    let heard = [(1, 100), (2, 110), (3, 120), (4, 1_200)];
    assert_eq!(heard_until(4, &heard), until(120));
}
