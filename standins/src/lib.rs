//! Stand-ins for the systems around rattanstall, for tests, the quick start and
//! measurements. They persist nothing and are not part of the product.

pub mod caller;
pub mod endpoint;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod limits;
pub mod load;
pub mod options;
pub mod platform;
pub mod rates;
pub mod service;
pub mod store;
pub mod usage;

use std::net::SocketAddr;
use std::sync::Arc;

use rattanstall::error::Result;
use rattanstall::http::{Respond, serve};
use rattanstall::signals::{Action, Signals};

/// Makes SIGTERM, SIGINT and SIGHUP end the program at once with code 0. To be called
/// first in `main`.
pub fn exit_on_stop() -> Result<()> {
    Signals::install(Action::Stop, |_, _| {}).map(drop)
}

/// Serves until the program ends.
pub fn run<S: Respond>(listen: SocketAddr, service: Arc<S>) -> Result<()> {
    let _server = serve(listen, 1, service)?;
    loop {
        std::thread::park();
    }
}
