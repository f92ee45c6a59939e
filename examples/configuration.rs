//! Two copies of a configuration: one receives entries out of order, the other
//! pulls the entries it lacks from the first.
//!
//! Run with `cargo run --example configuration`.

use rattanstall::clock::Millis;
use rattanstall::config::{Change, Entry, Key, sha256_hex};
use rattanstall::configuration::Configuration;

fn main() {
    let entry = |revision: u64| Entry {
        revision,
        apply: "example".into(),
        change: Change::add_key(Key {
            digest: sha256_hex(&revision.to_be_bytes()),
            workspace: "web".into(),
        }),
    };
    let mut reader = Configuration::default();
    reader.extend(vec![entry(2)]);
    println!(
        "after a gap: revision {}, behind {}",
        reader.revision(),
        reader.is_behind()
    );
    reader.extend(vec![entry(1), entry(2), entry(3)]);
    reader.confirm(3, Millis(100));
    println!(
        "reader: revision {}, confirmed at {:?}",
        reader.revision(),
        reader.confirmed_at()
    );

    let mut peer = Configuration::default();
    let missing = reader.entries_after(peer.revision()).unwrap_or_default();
    peer.extend(missing);
    println!(
        "peer: revision {}, same {}",
        peer.revision(),
        peer.document() == reader.document()
    );
}
