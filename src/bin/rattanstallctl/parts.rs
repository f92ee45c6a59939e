//! Commands about parts of prompts that end endpoints.

use std::path::Path;

use rattanstall::error::{Error, Result};
use rattanstall::operator::Operator;
use serde_json::{Value, json};

use crate::commands::{Args, block_on, parse_address, print, usage_error};

/// Shows the blocked parts and the suspects that one gateway knows.
pub fn list(args: &Args) -> Result<()> {
    let address = parse_address("ADDRESS", args.operand(0))?;
    let known = block_on(Operator::new(address, None).parts(address))??;
    print(args, &known, || {
        let blocks = rows(&known["blocks"]).map(block_line);
        let suspects = rows(&known["suspects"]).map(suspect_line);
        let lines: Vec<String> = blocks.chain(suspects).collect();
        match lines.is_empty() {
            true => "no blocks, no suspects".to_owned(),
            false => lines.join("\n"),
        }
    });
    Ok(())
}

/// Blocks a part at all gateways.
pub fn block(args: &Args) -> Result<()> {
    set(args, true)
}

/// Lifts the block of a part at all gateways.
pub fn unblock(args: &Args) -> Result<()> {
    set(args, false)
}

fn set(args: &Args, is_blocked: bool) -> Result<()> {
    let address = parse_address("ADDRESS", args.operand(0))?;
    let part = args.operand(1);
    if part.len() != 16 || u64::from_str_radix(part, 16).is_err() {
        return Err(usage_error("PART", "must be 16 hexadecimal digits"));
    }
    let file = args.option("token");
    let file = file.ok_or_else(|| usage_error("--token", "is missing"))?;
    let token = std::fs::read_to_string(Path::new(&file))
        .map_err(|e| Error::io(format!("reading {file}"), e))?;
    let operator = Operator::new(address, None);
    block_on(operator.set_part(address, part, is_blocked, token.trim()))??;
    let state = match is_blocked {
        true => "blocked",
        false => "lifted",
    };
    print(args, &json!({ "part": part, "state": state }), || {
        format!("{part} {state}")
    });
    Ok(())
}

fn rows(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

fn block_line(block: &Value) -> String {
    format!(
        "{:<8} {} by {}, {} s ago{}",
        text(&block["state"]),
        text(&block["part"]),
        text(&block["why"]),
        block["age_ms"].as_u64().unwrap_or(0) / 1_000,
        endpoints_of(block)
    )
}

fn suspect_line(suspect: &Value) -> String {
    format!(
        "suspect  {} in {} crashes, the last {} s ago{}",
        text(&suspect["part"]),
        suspect["crashes"],
        suspect["age_ms"].as_u64().unwrap_or(0) / 1_000,
        endpoints_of(suspect)
    )
}

fn endpoints_of(row: &Value) -> String {
    let names: Vec<&str> = rows(&row["endpoints"]).map(text).collect();
    match names.is_empty() {
        true => String::new(),
        false => format!(": {}", names.join(", ")),
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}
