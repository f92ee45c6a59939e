//! The share ledger, event by event.

use rattanstall::bucket::WHOLE_PPM;
use rattanstall::clock::Millis;
use rattanstall::escrow::{Escrow, Limit, ShareEffect, ShareEvent, Term};
use rattanstall::wire::Member;

fn member(n: u64) -> Member {
    Member {
        name: format!("gw-{n}").into(),
        boot: n,
    }
}

fn term(number: u64, members: &[u64]) -> Term {
    Term {
        number,
        members: members.iter().copied().map(member).collect(),
        ..Term::default()
    }
}

fn read(sent_at: u64, term: Term, leased: &[u64]) -> ShareEvent {
    ShareEvent::Read {
        sent_at: Millis(sent_at),
        mod_revision: term.number,
        term,
        leased: leased.iter().copied().map(member).collect(),
    }
}

fn renewed(sent_at: u64) -> ShareEvent {
    let sent_at = Millis(sent_at);
    ShareEvent::Renewed { sent_at }
}

/// The charge deadline that the last of these effects sets, if any.
fn charge_deadline(effects: &[ShareEffect]) -> Option<Millis> {
    let deadlines = effects.iter().filter_map(|effect| match effect {
        ShareEffect::SetChargeDeadline(until) => Some(*until),
        _ => None,
    });
    deadlines.collect::<Vec<_>>().pop()
}

/// A ledger that holds the whole of one workspace as the only member of term 1.
fn sole_holder() -> Escrow {
    let mut escrow = Escrow::new(member(1));
    let limit = Limit {
        workspace: "a".into(),
        rate: 1_000,
        burst: 5_000,
    };
    escrow.reduce(Millis(0), ShareEvent::Workspaces(vec![limit]));
    escrow.reduce(Millis(10), renewed(0));
    escrow.reduce(Millis(30), read(20, term(1, &[1]), &[1]));
    let shares: Vec<u64> = escrow.shares().map(|(_, ppm)| ppm).collect();
    assert_eq!(shares, [WHOLE_PPM]);
    escrow
}

#[test]
fn a_reacquired_lease_permits_no_charge_until_the_term_is_read() {
    let mut escrow = sole_holder();
    escrow.reduce(Millis(40), read(35, term(2, &[1, 2, 3]), &[1, 2, 3]));
    escrow.reduce(Millis(1_000), renewed(990));
    // Without a renewal for 20 s: term 3 may have divided this gateway's share.
    let effects = escrow.reduce(Millis(21_000), renewed(20_990));
    assert_eq!(charge_deadline(&effects), None);
    let stale = escrow.reduce(
        Millis(21_010),
        read(20_995, term(2, &[1, 2, 3]), &[1, 2, 3]),
    );
    assert_eq!(
        charge_deadline(&stale),
        None,
        "read before the lease was known"
    );
    let fresh = escrow.reduce(
        Millis(21_030),
        read(21_020, term(2, &[1, 2, 3]), &[1, 2, 3]),
    );
    assert!(charge_deadline(&fresh).is_some_and(|until| until > Millis(25_000)));
}

#[test]
fn a_gateway_that_skipped_a_term_carries_nothing_into_the_next() {
    let mut escrow = sole_holder();
    let effects = escrow.reduce(Millis(9_000), read(8_990, term(3, &[1, 2]), &[1, 2]));
    assert!(effects.contains(&ShareEffect::SetShare {
        workspace: "a".into(),
        ppm: 0,
    }));
}

#[test]
fn a_gateway_carries_its_share_into_the_next_term() {
    let mut escrow = sole_holder();
    escrow.reduce(Millis(40), read(35, term(2, &[1, 2]), &[1, 2]));
    let shares: Vec<u64> = escrow.shares().map(|(_, ppm)| ppm).collect();
    assert_eq!(shares, [WHOLE_PPM]);
}

#[test]
fn a_term_that_leaves_a_holder_out_is_written_only_while_it_holds_no_lease() {
    let mut escrow = sole_holder();
    escrow.reduce(Millis(40), read(35, term(2, &[1, 2]), &[1, 2]));
    let effects = escrow.reduce(Millis(60), read(50, term(2, &[1, 2]), &[1]));
    let unleased = effects.iter().find_map(|effect| match effect {
        ShareEffect::WriteTerm { unleased, .. } => Some(unleased.clone()),
        _ => None,
    });
    assert_eq!(unleased, Some(vec![member(2)]));
    // A later run of the instance proves that the earlier one has ended,
    // though its lease may stay alive for some seconds more.
    let later = Member {
        boot: 9,
        ..member(2)
    };
    let event = ShareEvent::Read {
        sent_at: Millis(70),
        mod_revision: 2,
        term: term(2, &[1, 2]),
        leased: vec![member(1), later],
    };
    let effects = escrow.reduce(Millis(80), event);
    let unleased = effects.iter().find_map(|effect| match effect {
        ShareEffect::WriteTerm { unleased, .. } => Some(unleased.clone()),
        _ => None,
    });
    assert_eq!(unleased, Some(vec![]));
}
