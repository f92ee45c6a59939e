//! Checks of the table of blocked, watched and answered parts, without network.

use rattanstall::clock::Millis;
use rattanstall::direct::part_table::{PartLists, PartTable};
use rattanstall::direct::request::PromptPart;
use rattanstall::direct::suspects::PartId;

/// Entries of the table of answered parts.
const MAX_PROOFS: usize = 1 << 14;

fn prompt(ids: &[u64]) -> Vec<PromptPart> {
    let parts = ids.iter().map(|id| PromptPart { id: *id, tokens: 1 });
    parts.collect()
}

fn ids(parts: impl Iterator<Item = PartId>) -> Vec<u64> {
    parts.map(|part| part.0).collect()
}

fn blocking(blocked: &[u64], watched: &[u64]) -> PartTable {
    let table = PartTable::default();
    let parts = |ids: &[u64]| ids.iter().copied().map(PartId).collect();
    table.publish(PartLists {
        blocked: parts(blocked),
        watched: parts(watched),
        ..PartLists::default()
    });
    table
}

// Guards against a block by the last part of a prompt, which belongs to one request or
// session only.
#[test]
fn the_last_part_is_never_shared() {
    assert_eq!(ids(PartTable::shared_parts(&prompt(&[]))), [0; 0]);
    assert_eq!(ids(PartTable::shared_parts(&prompt(&[1]))), [0; 0]);
    assert_eq!(ids(PartTable::shared_parts(&prompt(&[1, 2, 3]))), [1, 2]);
    let table = blocking(&[7], &[]);
    assert_eq!(table.blocked_part(&prompt(&[1, 7])), None);
    assert_eq!(table.blocked_part(&prompt(&[7, 1])), Some(PartId(7)));
    assert_eq!(table.blocked_part(&prompt(&[1, 7, 2])), Some(PartId(7)));
}

// Guards against a block that goes on to refuse requests after it was lifted.
#[test]
fn the_lists_published_last_apply() {
    let table = PartTable::default();
    let req = prompt(&[7, 1]);
    assert_eq!(table.blocked_part(&req), None);
    for blocked in [vec![PartId(7)], vec![], vec![PartId(6), PartId(7)]] {
        let expected = blocked.contains(&PartId(7)).then_some(PartId(7));
        table.publish(PartLists {
            blocked,
            ..PartLists::default()
        });
        assert_eq!(table.blocked_part(&req), expected);
    }
}

// Guards against progress of which the control thread learns nothing, and against events
// for parts that nobody suspects.
#[test]
fn progress_returns_the_watched_parts_only() {
    let table = blocking(&[], &[2, 4]);
    let parts = [1, 2, 3, 4].map(PartId);
    let told = table.record_progress(Millis(100), &parts);
    assert_eq!(told, [PartId(2), PartId(4)]);
    for part in parts {
        assert_eq!(table.answered_at(part), Some(Millis(100)));
    }
    assert_eq!(table.answered_at(PartId(5)), None);
}

// Guards against a part that counts as answered lately for good.
#[test]
fn a_proof_expires() {
    let table = PartTable::default();
    table.record_progress(Millis(1_000), &[PartId(1)]);
    assert!(table.is_proven(Millis(1_000), PartId(1)));
    assert!(table.is_proven(Millis(10_999), PartId(1)));
    assert!(!table.is_proven(Millis(11_000), PartId(1)));
    table.record_progress(Millis(12_000), &[PartId(1)]);
    assert!(table.is_proven(Millis(13_000), PartId(1)));
    assert!(!table.is_proven(Millis(13_000), PartId(0)));
}

// Guards against a caller that invents identifiers and thereby makes sound requests
// suspects, or the gateway's memory grow.
#[test]
fn a_million_invented_parts_displace_no_popular_one() {
    let table = PartTable::default();
    let popular: Vec<PartId> = (1..=50).map(PartId).collect();
    let mut now = Millis(1_000);
    table.record_progress(now, &popular);
    table.record_progress(now, &popular);
    let invented = |number: u64| PartId(1_000 + number);
    for number in 0..1_000_000 {
        table.record_progress(now, &[invented(number)]);
        if number % 100 == 0 {
            now = now + Millis(1);
        }
        if number % 100_000 == 0 {
            table.record_progress(now, &popular);
        }
        if number % 10_000 == 0 {
            let proven = popular.iter().filter(|part| table.is_proven(now, **part));
            assert_eq!(proven.count(), popular.len(), "after {number}");
        }
    }
    let kept = (0..1_000_000).filter(|n| table.answered_at(invented(*n)).is_some());
    assert!(kept.count() <= MAX_PROOFS);
}

// Guards against popular parts of yesterday that keep those of today out.
#[test]
fn a_popular_part_gives_way_once_it_is_no_longer_answered() {
    let table = PartTable::default();
    let parts = |range: std::ops::Range<u64>| range.map(PartId).collect::<Vec<PartId>>();
    let old = parts(0..100_000);
    table.record_progress(Millis(1_000), &old);
    table.record_progress(Millis(1_000), &old);
    let new = parts(1_000_000..1_000_100);
    table.record_progress(Millis(20_000), &new);
    let proven = new
        .iter()
        .filter(|part| table.is_proven(Millis(20_000), **part));
    assert_eq!(proven.count(), new.len());
}
