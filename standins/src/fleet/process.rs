//! A process of the fleet.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::caller::Caller;

/// How long a process may take to exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Held while a port is probed or a process is started: a new process keeps a copy of the probing
/// socket until it executes its program, so that the port would not be free for others.
static STARTS: Mutex<()> = Mutex::new(());

/// Keeps processes from being started by [`spawn`] until it is dropped.
pub(super) fn hold_starts() -> MutexGuard<'static, ()> {
    STARTS.lock().unwrap_or_else(|e| e.into_inner())
}

/// Starts a process while no port of a fleet is probed.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _held = hold_starts();
    command.spawn()
}

/// A process of the fleet, running or stopped.
pub struct Process {
    /// The instance's name.
    pub name: String,
    /// Address that the process's clients connect to.
    pub listen: SocketAddr,
    /// Address of the operators' port, for gateways and agents.
    pub admin: Option<SocketAddr>,
    program: String,
    args: Vec<String>,
    child: Option<Child>,
}

impl Process {
    pub(super) fn new(
        name: &str,
        listen: SocketAddr,
        admin: Option<SocketAddr>,
        program: &str,
        args: Vec<String>,
    ) -> Self {
        Self {
            name: name.to_owned(),
            listen,
            admin,
            program: program.to_owned(),
            args,
            child: None,
        }
    }

    /// Returns the process's state dump, if it responds.
    pub async fn state(&self) -> Option<Value> {
        Caller::new(self.admin?).get("/state").await
    }

    /// Returns the process identifier while the process runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        let deadline = Instant::now() + STOP_TIMEOUT;
        let Some(child) = &mut self.child else {
            return Err(io::Error::other(format!("{} is not running", self.name)));
        };
        loop {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(io::Error::other(format!(
                    "{} did not exit in time",
                    self.name
                )));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    pub(super) fn wait_for_success(&mut self) -> io::Result<()> {
        if self.child.is_none() {
            return Ok(());
        }
        let status = self.wait()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other(format!(
                "{} failed with {status}",
                self.name
            ))),
        }
    }

    pub(super) fn is_started(&self) -> bool {
        self.child.is_some()
    }

    pub(super) fn spawn(&mut self, dir: &Path) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(dir.join(format!("{}.log", self.name)))?;
        let mut command = Command::new(program_dir()?.join(&self.program));
        command
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        self.child = Some(spawn(&mut command)?);
        Ok(())
    }
}

/// Returns the directory of the programs: that of this executable, or its parent
/// directory for a test or an example.
pub fn program_dir() -> io::Result<PathBuf> {
    let mut dir = std::env::current_exe()?;
    dir.pop();
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir.pop();
    }
    Ok(dir)
}
