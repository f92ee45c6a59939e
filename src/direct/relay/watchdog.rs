//! The deadline of a response that is being relayed.

use std::cell::Cell;
use std::rc::Rc;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::direct::answer::UpstreamBody;

/// Closes the connection to an endpoint at a request's deadline, also while its caller
/// reads nothing.
pub(super) struct Watchdog {
    timer: JoinHandle<()>,
    has_fired: Rc<Cell<bool>>,
}

impl Watchdog {
    pub(super) fn start(left: Millis, upstream_body: &UpstreamBody) -> Self {
        let has_fired = Rc::new(Cell::new(false));
        let (fired, closer) = (has_fired.clone(), upstream_body.connection.closer());
        let timer = spawn_local(async move {
            sleep(left.as_duration()).await;
            fired.set(true);
            closer.abort();
        });
        Self { timer, has_fired }
    }

    pub(super) fn has_fired(&self) -> bool {
        self.has_fired.get()
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.timer.abort();
    }
}
