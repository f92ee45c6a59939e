//! Lines of the structured log.

use rattanstall::journal::format_line;

// Guards against a log that loses its other lines to one text of somebody else's.
#[test]
fn a_long_text_is_cut_in_a_line() {
    for text in ["x".repeat(300_000), "\u{e6}".repeat(300_000)] {
        let line = format_line("store.entry_skipped", &[("why", text.as_str().into())]);
        assert!(line.len() <= 4_096, "{} bytes", line.len());
        let decoded: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        let why = decoded["why"].as_str().expect("a text");
        assert!(!why.is_empty() && text.starts_with(why));
    }
    let line = format_line("store.entry_skipped", &[("why", "short".into())]);
    assert!(line.contains("\"why\":\"short\""), "{line}");
}
