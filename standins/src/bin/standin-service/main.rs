//! Stand-in for a service without models.

use std::net::SocketAddr;
use std::sync::Arc;

use rattanstall_standins::options::{parse, required, value};
use rattanstall_standins::service::ServiceStandIn;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    rattanstall_standins::exit_on_stop()?;
    let options = [
        ("listen", "address to listen on"),
        ("work-ms", "duration of a call in milliseconds (default 5)"),
    ];
    let args = parse("Stands in for a service without models.", &options);
    let listen: SocketAddr = required(&args, "listen");
    let service = ServiceStandIn::new(value(&args, "work-ms", 5));
    rattanstall_standins::run(listen, Arc::new(service))?;
    Ok(())
}
