//! The sample configurations are valid, and the errors of invalid ones name file, key and range.

use std::path::Path;

use rattanstall::config::Document;

fn sample_is_valid(file: &Path) -> datatest_stable::Result<()> {
    Document::read(file)?;
    Ok(())
}

/// The first line of an invalid file is a comment with the text that the error must contain.
fn bad_file_error_names_file_and_key(file: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(file)?;
    let first = text.lines().next().unwrap_or_default();
    let wanted = first.trim_start_matches("# ");
    let error = Document::read(file)
        .expect_err("the file is invalid")
        .to_string();
    assert!(error.contains(wanted), "{error}");
    assert!(error.contains(&file.display().to_string()), "{error}");
    Ok(())
}

datatest_stable::harness! {
    { test = sample_is_valid, root = "examples", pattern = r"\.toml$" },
    { test = bad_file_error_names_file_and_key, root = "tests/bad", pattern = r"\.toml$" },
}
