//! Checks that the table of log events in the docs lists exactly the events in the code.

use std::fs;
use std::path::{Path, PathBuf};

fn collect_sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("a readable directory") {
        let path = entry.expect("a readable directory entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Finds quoted event names such as `store.lost`.
fn event_names(text: &str) -> Vec<String> {
    let quoted = text.split('"').skip(1).step_by(2);
    let is_event = |name: &&str| {
        let parts: Vec<&str> = name.split('.').collect();
        let is_word =
            |p: &&str| !p.is_empty() && p.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
        parts.len() == 2 && parts.iter().all(is_word)
    };
    quoted.filter(is_event).map(str::to_owned).collect()
}

#[test]
fn the_table_lists_every_event() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = vec![root.join("src/journal.rs"), root.join("src/direct.rs")];
    collect_sources(&root.join("src/direct"), &mut files);
    let mut written = vec!["log".to_owned()];
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file");
        let code: Vec<&str> = text
            .lines()
            .filter(|l| !l.trim_start().starts_with("//"))
            .collect();
        written.extend(event_names(&code.join("\n")));
    }
    written.sort();
    written.dedup();
    let table = fs::read_to_string(root.join("docs/LOGS.md")).expect("the table");
    let rows = table.lines().filter_map(|line| line.strip_prefix("| `"));
    let listed: Vec<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect();
    assert_eq!(listed, written);
}
