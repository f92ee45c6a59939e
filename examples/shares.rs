//! Two gateways enter a term and transfer a share of a workspace's rate.
//!
//! Run with `cargo run --example shares`.

use rattanstall::bucket::Usage;
use rattanstall::clock::Millis;
use rattanstall::escrow::{Escrow, Limit, ShareEffect, ShareEvent, Term};
use rattanstall::wire::Member;

fn main() {
    let members = ["east", "west"].map(|name| Member {
        name: name.into(),
        boot: 1,
    });
    let mut gateways = members.clone().map(Escrow::new);
    let limit = Limit {
        workspace: "web".into(),
        rate: 1_000,
        burst: 5_000,
    };
    let term = Term {
        number: 1,
        members: members.to_vec(),
        ..Term::default()
    };
    let now = Millis(1_000);
    for index in [0, 1] {
        let other = members[1 - index].clone();
        let read = ShareEvent::Read {
            sent_at: now,
            term: term.clone(),
            mod_revision: 1,
            leased: members.to_vec(),
        };
        let heartbeat = ShareEvent::Heartbeat {
            from: other,
            term: 1,
            echo: now,
        };
        for event in [
            ShareEvent::Workspaces(vec![limit.clone()]),
            ShareEvent::Renewed { sent_at: now },
            read,
            heartbeat,
        ] {
            deliver(&mut gateways, index, now, event);
        }
    }
    deliver(
        &mut gateways,
        0,
        now + Millis(300),
        ShareEvent::Tick(Vec::new()),
    );
    show("active", &gateways);

    let usage = Usage {
        refused: 0,
        workspace: "web".into(),
        used: 0,
        largest_refused: 2_000,
        level: 0,
    };
    deliver(
        &mut gateways,
        0,
        now + Millis(400),
        ShareEvent::Tick(vec![usage]),
    );
    show("east was short of tokens", &gateways);
}

/// Delivers an event to a gateway and carries out the effects, including messages
/// to the other gateway.
fn deliver(gateways: &mut [Escrow; 2], index: usize, now: Millis, event: ShareEvent) {
    let from = Member {
        name: ["east", "west"][index].into(),
        boot: 1,
    };
    for effect in gateways[index].reduce(now, event) {
        match effect {
            ShareEffect::Send { message, .. } => {
                let from = from.clone();
                deliver(
                    gateways,
                    1 - index,
                    now,
                    ShareEvent::Message { from, message },
                );
            }
            ShareEffect::Split { to, workspace, ppm } => {
                let split = ShareEvent::Split {
                    to,
                    workspace,
                    ppm,
                    tokens: 0,
                };
                deliver(gateways, index, now, split);
            }
            _ => {}
        }
    }
}

fn show(label: &str, gateways: &[Escrow; 2]) {
    for (name, gateway) in ["east", "west"].iter().zip(gateways) {
        let shares: Vec<_> = gateway.shares().collect();
        println!("{label}: {name} holds {shares:?}");
    }
}
