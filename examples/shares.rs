//! Two gateways enter a term and trade a share of a workspace's rate.
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
    let mut ledgers = members.clone().map(Escrow::new);
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
    for at in [0, 1] {
        let other = members[1 - at].clone();
        let read = ShareEvent::Read {
            sent_at: now,
            term: term.clone(),
            modified: 1,
            leased: members.to_vec(),
        };
        let heard = ShareEvent::Heartbeat {
            from: other,
            term: 1,
            echo: now,
        };
        for event in [
            ShareEvent::Workspaces(vec![limit.clone()]),
            ShareEvent::Renewed { sent_at: now },
            read,
            heard,
        ] {
            feed(&mut ledgers, at, now, event);
        }
    }
    feed(
        &mut ledgers,
        0,
        now + Millis(300),
        ShareEvent::Tick(Vec::new()),
    );
    show("active", &ledgers);

    let short = Usage {
        refused: 0,
        workspace: "web".into(),
        used: 0,
        largest_refused: 2_000,
        level: 0,
    };
    feed(
        &mut ledgers,
        0,
        now + Millis(400),
        ShareEvent::Tick(vec![short]),
    );
    show("east was short", &ledgers);
}

/// Carries out what a ledger asks for, messages to the other one included.
fn feed(ledgers: &mut [Escrow; 2], at: usize, now: Millis, event: ShareEvent) {
    let from = Member {
        name: ["east", "west"][at].into(),
        boot: 1,
    };
    for effect in ledgers[at].reduce(now, event) {
        match effect {
            ShareEffect::Send { message, .. } => {
                let from = from.clone();
                feed(ledgers, 1 - at, now, ShareEvent::Message { from, message });
            }
            ShareEffect::Split { to, workspace, ppm } => {
                let split = ShareEvent::Split {
                    to,
                    workspace,
                    ppm,
                    tokens: 0,
                };
                feed(ledgers, at, now, split);
            }
            _ => {}
        }
    }
}

fn show(what: &str, ledgers: &[Escrow; 2]) {
    for (name, ledger) in ["east", "west"].iter().zip(ledgers) {
        let shares: Vec<_> = ledger.shares().collect();
        println!("{what}: {name} holds {shares:?}");
    }
}
