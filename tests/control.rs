//! Tests of a gateway's control state, driven event by event.

use rattanstall::clock::Millis;
use rattanstall::control::{Control, Effect, Event};
use rattanstall::escrow::ShareEvent;
use rattanstall::instances::{Instance, Role};
use rattanstall::wire::{Envelope, Heartbeat, Member, PeerMessage};

fn member(n: u64) -> Member {
    Member {
        name: format!("gw-{n}").into(),
        boot: n,
    }
}

fn control() -> Control {
    let mut control = Control::new(member(0), "zone-0".into());
    let instance = |n| Instance {
        name: member(n).name,
        role: Role::Gateway,
        zone: "zone-0".into(),
        ip: std::net::Ipv4Addr::LOCALHOST.into(),
        peer_port: 1,
        admin_port: 2,
        leaving: false,
    };
    let instances = (0..3).map(instance).collect();
    control.reduce(Millis(1), Event::Instances(instances));
    control
}

/// A peer's heartbeat that echoes a heartbeat sent by this gateway at `now`.
fn heartbeat(n: u64, now: Millis) -> Event {
    Event::Peer(Envelope {
        from: member(n),
        message: PeerMessage::Heartbeat(Heartbeat {
            sent_at: now,
            echo: Some(now),
            term: 0,
            revision: 0,
            confirmed_ago: Millis(60_000),
            draining: false,
        }),
    })
}

fn keyed_routes_until(effects: Vec<Effect>) -> Option<Millis> {
    let until = |effect: &Effect| match effect {
        Effect::SetKeyedRoutesUntil(until) => Some(*until),
        _ => None,
    };
    effects.iter().rev().find_map(until)
}

#[test]
fn keyed_routes_stay_served_when_an_outage_ends() {
    let mut control = control();
    let confirmed = Event::HeadRead {
        sent_at: Millis(10),
        revision: 0,
    };
    control.reduce(Millis(10), confirmed);
    let now = Millis(9_000);
    control.reduce(now, Event::PlatformFailed);
    control.reduce(now, heartbeat(1, now));
    let until = keyed_routes_until(control.reduce(now, heartbeat(2, now)));
    let until = until.unwrap_or(now + Millis(2_000));
    assert!(until > now + Millis(1_000));
    // The service answers again: the lease is renewed before the configuration is confirmed.
    let later = now + Millis(100);
    let renewed = Event::Share(ShareEvent::Renewed { sent_at: later });
    let changed = keyed_routes_until(control.reduce(later, renewed));
    assert!(
        changed.is_none_or(|changed| changed >= until),
        "{changed:?}"
    );
}
