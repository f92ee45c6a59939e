//! Stand-in for an endpoint that gateways call directly.

use std::net::SocketAddr;

use rattanstall_standins::endpoint::{EndpointSetup, EndpointStandIn};
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
    };
    EndpointStandIn::start(listen, setup)?;
    loop {
        std::thread::park();
    }
}
