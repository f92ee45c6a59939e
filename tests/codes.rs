//! The table of result codes in docs/RESULT-CODES.md matches the code.

use std::fs;
use std::path::Path;

use rattanstall::code::Code;

#[test]
fn docs_table_lists_every_result_code() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/RESULT-CODES.md");
    let text = fs::read_to_string(file).expect("the table");
    let rows: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("| "))
        .skip(1)
        .collect();
    let wanted: Vec<String> = Code::ALL
        .iter()
        .map(|code| {
            let status = code.status().as_u16();
            format!(
                "| {} | {code:?} | {status} | {} | {} |",
                code.number(),
                code.error_type(),
                code.message()
            )
        })
        .collect();
    assert_eq!(
        rows,
        wanted,
        "docs/RESULT-CODES.md should read:\n{}",
        wanted.join("\n")
    );
}

#[test]
fn numbers_ascend_and_are_unique() {
    assert!(
        Code::ALL
            .windows(2)
            .all(|pair| pair[0].number() < pair[1].number())
    );
}
