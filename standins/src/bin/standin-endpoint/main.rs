//! Stand-in for an endpoint that gateways call directly.

use std::net::SocketAddr;

use rattanstall::clock::Millis;
use rattanstall_standins::endpoint::{EndpointSetup, EndpointStandIn, Lifecycle};
use rattanstall_standins::options::{parse, required, value};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    rattanstall_standins::exit_on_stop()?;
    let options = [
        ("listen", "address to listen on"),
        ("version", "software version, part of every event"),
        (
            "echo",
            "request headers to copy to the response, separated by commas",
        ),
        (
            "header",
            "header of every response, as NAME=VALUE (default none)",
        ),
        (
            "parts-header",
            "request header that lists the prompt's parts, as ID:TOKENS pairs",
        ),
        (
            "crashing-parts",
            "hexadecimal identifiers of parts that end the process, separated by commas",
        ),
        ("downtime-ms", "time until it is back (default 2000)"),
    ];
    let args = parse(
        "Stands in for an endpoint; see rattanstall-experiment --name answer.",
        &options,
    );
    let listen: SocketAddr = required(&args, "listen");
    let echoed: String = value(&args, "echo", String::new());
    let header: String = value(&args, "header", String::new());
    let setup = EndpointSetup {
        headers: header
            .split_once('=')
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .into_iter()
            .collect(),
        echoed_headers: echoed
            .split(',')
            .filter(|name| !name.is_empty())
            .map(str::to_owned)
            .collect(),
        version: value(&args, "version", String::new()),
        lifecycle: Lifecycle {
            parts_header: value(&args, "parts-header", String::new()),
            downtime: Millis(value(&args, "downtime-ms", 2_000)),
            ..Lifecycle::default()
        },
        ..EndpointSetup::default()
    };
    let crashing: String = value(&args, "crashing-parts", String::new());
    let crashing = crashing.split(',').filter(|id| !id.is_empty());
    let crashing: Result<Vec<u64>, _> = crashing.map(|id| u64::from_str_radix(id, 16)).collect();
    let endpoint = EndpointStandIn::start(listen, setup)?;
    endpoint.set_crashing_parts(&crashing?);
    loop {
        std::thread::park();
    }
}
