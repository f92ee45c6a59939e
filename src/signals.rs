//! Signals from the operating system.
//!
//! Handlers are installed before anything else: the system's default action for most
//! signals ends the process and breaks off its open responses.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use rustix::process::Signal;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal as Arrivals, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::error::{Error, Result};

/// The least time between two actions on the same signal. What arrives meanwhile counts
/// as one signal.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// What a process does on a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Stops gracefully.
    Stop,
    /// Exits at once with code 0, because it does not serve yet.
    Exit,
    /// Reads the settings file again.
    Reload,
    /// Nothing.
    Ignore,
}

impl Action {
    /// The action's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Exit => "exit",
            Self::Reload => "reload",
            Self::Ignore => "ignore",
        }
    }
}

/// Receives the name of each signal that arrived, and what the process does on it.
pub type Report = fn(&str, Action);

/// The signals that a process handles besides SIGHUP, with what it does on them.
///
/// Not among them: SIGPIPE, which the standard library ignores; SIGABRT and those that
/// report a fault of the process, which must end it; and real-time signals, which belong
/// to the libraries that use them.
const HANDLED: [(&str, SignalKind, Action); 13] = [
    ("SIGINT", SignalKind::interrupt(), Action::Stop),
    ("SIGQUIT", SignalKind::quit(), Action::Stop),
    ("SIGTERM", SignalKind::terminate(), Action::Stop),
    ("SIGUSR1", SignalKind::user_defined1(), Action::Ignore),
    ("SIGUSR2", SignalKind::user_defined2(), Action::Ignore),
    ("SIGALRM", SignalKind::alarm(), Action::Ignore),
    ("SIGIO", SignalKind::io(), Action::Ignore),
    ("SIGSTKFLT", kind(Signal::STKFLT), Action::Ignore),
    ("SIGXCPU", kind(Signal::XCPU), Action::Ignore),
    ("SIGXFSZ", kind(Signal::XFSZ), Action::Ignore),
    ("SIGVTALRM", kind(Signal::VTALARM), Action::Ignore),
    ("SIGPROF", kind(Signal::PROF), Action::Ignore),
    ("SIGPWR", kind(Signal::POWER), Action::Ignore),
];

const fn kind(signal: Signal) -> SignalKind {
    SignalKind::from_raw(signal.as_raw())
}

/// The signals that have arrived at this process.
#[derive(Clone)]
pub struct Signals {
    state: Arc<State>,
}

struct State {
    report: Report,
    is_stopping: watch::Sender<bool>,
    /// Whether a stop signal is left to the code that serves. Held while acting on a
    /// stop signal, so that none arrives between an exit and the start of service.
    is_serving: Mutex<bool>,
    is_reload_due: Mutex<bool>,
    reload_requested: Condvar,
}

impl Signals {
    /// Installs the handlers. They run on a thread of their own until the process ends.
    /// Until [`Signals::begin_service`], a stop signal ends the process at once.
    ///
    /// On SIGHUP, daemons and programs that a terminal runs differ.
    pub fn install(on_hangup: Action, report: Report) -> Result<Self> {
        let io_error = |e| Error::io("installing signal handlers", e);
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime: Runtime = runtime.map_err(io_error)?;
        let state = Arc::new(State {
            report,
            is_stopping: watch::Sender::new(false),
            is_serving: Mutex::new(false),
            is_reload_due: Mutex::new(false),
            reload_requested: Condvar::new(),
        });
        let guard = runtime.enter();
        let hangup = ("SIGHUP", SignalKind::hangup(), on_hangup);
        let mut watches = Vec::with_capacity(HANDLED.len() + 1);
        for (name, kind, action) in HANDLED.into_iter().chain([hangup]) {
            let arrivals = signal(kind).map_err(io_error)?;
            watches.push(state.clone().watch(name, arrivals, action));
        }
        drop(guard);
        std::thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || runtime.block_on(join_all(watches)))
            .map_err(io_error)?;
        Ok(Self { state })
    }

    /// Leaves stop signals to the caller, who waits for them with [`Signals::stopped`].
    pub fn begin_service(&self) {
        *lock(&self.state.is_serving) = true;
    }

    /// Waits for a reload signal, at most for `timeout`. Returns whether one arrived since
    /// the last call.
    pub fn wait_for_reload(&self, timeout: Duration) -> bool {
        let state = &self.state;
        let waited = state.reload_requested.wait_timeout_while(
            lock(&state.is_reload_due),
            timeout,
            |is_due| !*is_due,
        );
        let (mut is_due, _) = waited.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *is_due)
    }

    /// Waits for a stop signal; returns at once if one has arrived.
    pub async fn stopped(&self) {
        let mut is_stopping = self.state.is_stopping.subscribe();
        // Fails only if the sender is gone, and `self` holds it.
        let _ = is_stopping.wait_for(|is_stopping| *is_stopping).await;
    }
}

impl State {
    async fn watch(self: Arc<Self>, name: &'static str, mut arrivals: Arrivals, action: Action) {
        while arrivals.recv().await.is_some() {
            match action {
                Action::Stop => self.stop(name),
                Action::Reload => self.reload(name),
                Action::Exit | Action::Ignore => (self.report)(name, action),
            }
            sleep(REPEAT_INTERVAL).await;
        }
    }

    fn stop(&self, name: &str) {
        let is_serving = lock(&self.is_serving);
        if !*is_serving {
            (self.report)(name, Action::Exit);
            std::process::exit(0);
        }
        let action = match self.is_stopping.send_replace(true) {
            false => Action::Stop,
            true => Action::Ignore,
        };
        (self.report)(name, action);
    }

    fn reload(&self, name: &str) {
        (self.report)(name, Action::Reload);
        *lock(&self.is_reload_due) = true;
        self.reload_requested.notify_all();
    }
}

fn lock(mutex: &Mutex<bool>) -> MutexGuard<'_, bool> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
