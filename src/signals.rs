//! Signals from the operating system.
//!
//! Handlers are installed before anything else: the system's default action for most
//! signals ends the process and breaks off its open responses.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::error::{Error, Result};

/// The least time between two actions on the same signal. What arrives meanwhile counts
/// as one signal.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// What a process does on a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Ignore,
}

impl Action {
    /// The action's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ignore => "ignore",
        }
    }
}

/// Receives the name of each signal that arrived, and what the process does on it.
pub type Report = fn(&str, Action);

/// Installs the handlers of a daemon. They run on a thread of their own until the process
/// ends.
pub fn install(report: Report) -> Result<()> {
    let io_error = |e| Error::io("installing signal handlers", e);
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime: Runtime = runtime.map_err(io_error)?;
    let guard = runtime.enter();
    let hangup = signal(SignalKind::hangup()).map_err(io_error)?;
    drop(guard);
    let watches = [watch("SIGHUP", hangup, report)];
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || runtime.block_on(join_all(watches)))
        .map_err(io_error)?;
    Ok(())
}

async fn watch(name: &'static str, mut arrivals: Signal, report: Report) {
    while arrivals.recv().await.is_some() {
        report(name, Action::Ignore);
        sleep(REPEAT_INTERVAL).await;
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
