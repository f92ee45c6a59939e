//! Stand-in of a plain service.

use std::net::SocketAddr;
use std::sync::Arc;

use rattanstall_standins::options::{parse, required, value};
use rattanstall_standins::service::ServiceStandIn;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = [
        ("listen", "address"),
        ("work-ms", "time of one call, milliseconds (default 5)"),
    ];
    let args = parse("Stands in for a plain service.", &options);
    let listen: SocketAddr = required(&args, "listen");
    let service = ServiceStandIn::new(value(&args, "work-ms", 5));
    rattanstall_standins::run_until_stopped(listen, Arc::new(service))?;
    Ok(())
}
