//! Stand-in for the platform's services.

use std::net::SocketAddr;
use std::sync::Arc;

use rattanstall_standins::options::{parse, required};
use rattanstall_standins::platform::{PlatformSetup, PlatformStandIn};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    rattanstall_standins::exit_on_stop()?;
    let options = [
        ("listen", "address to listen on"),
        ("setup", "setup file (TOML)"),
    ];
    let args = parse("Stands in for the platform's services.", &options);
    let listen: SocketAddr = required(&args, "listen");
    let setup: String = required(&args, "setup");
    let setup: PlatformSetup = toml::from_str(&std::fs::read_to_string(setup)?)?;
    rattanstall_standins::run(listen, Arc::new(PlatformStandIn::new(setup)))?;
    Ok(())
}
