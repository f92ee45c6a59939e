//! The command about endpoints as one gateway sees them.

use rattanstall::error::Result;
use rattanstall::operator::Operator;
use serde_json::Value;

use crate::commands::{Args, block_on, parse_address, print};

/// Shows the endpoints that a gateway knows, and what they said of themselves.
pub fn list(args: &Args) -> Result<()> {
    let address = parse_address("ADDRESS", args.operand(0))?;
    let state = block_on(Operator::new(address, None).state(address))??;
    let endpoints = &state["endpoints"];
    print(args, endpoints, || {
        let rows = endpoints.as_array().into_iter().flatten();
        let zones = state["evacuations"]["zones"].as_array();
        let zones = zones.into_iter().flatten().map(zone_line);
        let lines: Vec<String> = zones.chain(rows.map(line)).collect();
        match lines.is_empty() {
            true => "no endpoints".to_owned(),
            false => lines.join("\n"),
        }
    });
    Ok(())
}

fn zone_line(evacuated: &Value) -> String {
    let zone = evacuated["zone"].as_str().unwrap_or("?");
    let known = evacuated["known_ms"].as_u64().unwrap_or(0);
    let rest = match evacuated["is_closed"] == true {
        true => "nothing is sent there",
        false => "it gets only what no other zone can serve",
    };
    format!("zone {zone} is evacuated, known for {known} ms; {rest}")
}

fn line(endpoint: &Value) -> String {
    let text = |name: &str| endpoint[name].as_str().unwrap_or("?").to_owned();
    let number = |name: &str| endpoint[name].as_u64().unwrap_or(0);
    let mut line = format!(
        "{} {} {} in flight {} here, {} elsewhere",
        text("id"),
        text("service"),
        text("usability").to_lowercase(),
        number("in_flight_here"),
        number("in_flight_elsewhere"),
    );
    if endpoint["evacuated"] == true {
        line += &format!("; its zone {} is evacuated", text("zone"));
    }
    let said = &endpoint["said"];
    if said["leaving"] == true {
        line += "; said that it leaves";
    }
    if let Some(ms) = said["paused_ms"].as_u64() {
        line += &format!("; wants a pause for {ms} ms more");
    }
    if let Some(ms) = said["cold_ms"].as_u64() {
        line += &format!("; is cold for {ms} ms more");
    }
    if let Some(per_s) = said["limit_per_s"].as_f64() {
        line += &format!("; takes {per_s} requests a second from all gateways");
    }
    line
}
