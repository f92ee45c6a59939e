//! Notices panics, so that no process goes on that only looks alive.

use std::future::Future;

use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::clock::Millis;
use crate::journal;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Millis = Millis(500);

/// The parts of a process that must not end, and the first one that did.
#[derive(Clone)]
pub(super) struct Supervisor {
    failed: watch::Sender<Option<&'static str>>,
}

/// Reports a part as failed if it is dropped by a panic.
pub(super) struct Watched {
    supervisor: Supervisor,
    part: &'static str,
}

impl Supervisor {
    /// Creates a supervisor, and logs all panics of the process from now on.
    pub(super) fn start() -> Self {
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            let thread = std::thread::current();
            let place = panic.location().map(ToString::to_string);
            let message = panic.payload_as_str().unwrap_or_default();
            journal::write(
                "process.panicked",
                &[
                    ("thread", thread.name().unwrap_or_default().into()),
                    ("place", (&place.unwrap_or_default()).into()),
                    ("message", message.into()),
                ],
            );
            report(panic);
        }));
        Self {
            failed: watch::Sender::new(None),
        }
    }

    /// Watches a part for as long as the guard lives.
    pub(super) fn watch(&self, part: &'static str) -> Watched {
        let supervisor = self.clone();
        Watched { supervisor, part }
    }

    /// Reports a part as failed.
    pub(super) fn fail(&self, part: &'static str) {
        self.failed.send_replace(Some(part));
    }

    /// Spawns a task on the current thread whose panic is a failure of the process.
    pub(super) fn spawn(
        &self,
        part: &'static str,
        task: impl Future<Output = ()> + 'static,
    ) -> JoinHandle<()> {
        let watched = self.watch(part);
        spawn_local(async move {
            let _watched = watched;
            task.await;
        })
    }

    /// Waits until a part has failed, and returns its name.
    pub(super) async fn failure(&self) -> &'static str {
        let mut failed = self.failed.subscribe();
        loop {
            if let Some(part) = *failed.borrow_and_update() {
                return part;
            }
            // Fails only if the sender is gone, and `self` holds it.
            let _ = failed.changed().await;
        }
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.supervisor.fail(self.part);
        }
    }
}

/// Runs a task on the current thread, and starts it again if it panics.
pub(super) fn spawn_restarting<F: Future<Output = ()> + 'static>(start: impl Fn() -> F + 'static) {
    spawn_local(async move {
        while spawn_local(start()).await.is_err() {
            sleep(RESTART_DELAY.as_duration()).await;
        }
    });
}
