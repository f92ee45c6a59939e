//! The revision of a configuration copy never decreases, in whatever order entries arrive.

use proptest::prelude::*;
use rattanstall::clock::Millis;
use rattanstall::config::{Change, Document, Entry, Key, sha256_hex};
use rattanstall::configuration::{Configuration, Snapshot};

/// A log in which entry n adds key n and removes key n - 2.
fn log(len: u64) -> Vec<Entry> {
    let key = |n: u64| Key {
        digest: sha256_hex(&n.to_be_bytes()),
        workspace: "w".into(),
    };
    let entry = |n: u64| {
        let mut change = Change::add_key(key(n));
        if n > 2 {
            change.remove.keys.push(key(n - 2).digest);
        }
        Entry {
            revision: n,
            apply: "apply".into(),
            change,
        }
    };
    (1..=len).map(entry).collect()
}

fn document_at(log: &[Entry], revision: u64) -> Document {
    let entries = log.iter().take(revision as usize);
    entries.fold(Document::default(), |doc, e| doc.apply(&e.change))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn copies_never_revert(steps in prop::collection::vec((0u8..4, 1u64..30, 0u64..12), 1..60)) {
        let log = log(30);
        let mut copy = Configuration::default();
        let mut confirmed = None;
        for (now, (kind, from, len)) in steps.into_iter().enumerate() {
            let before = copy.revision();
            let to = (from + len).min(30);
            match kind {
                0 => drop(copy.extend(log[from as usize - 1..to as usize].to_vec())),
                1 => {
                    let document = document_at(&log, from);
                    copy.restore(Snapshot { revision: from, document });
                }
                2 => copy.note_revision(to),
                _ => copy.confirm(to, Millis(now as u64)),
            }
            prop_assert!(copy.revision() >= before);
            prop_assert_eq!(&**copy.document(), &document_at(&log, copy.revision()));
            if copy.confirmed_at() != confirmed {
                prop_assert!(kind == 3 && to <= copy.revision(), "confirmed while behind");
                confirmed = copy.confirmed_at();
            }
            if let Some(entries) = copy.entries_after(before) {
                prop_assert!(entries.iter().zip(before + 1..).all(|(e, n)| e.revision == n));
            }
        }
    }
}
