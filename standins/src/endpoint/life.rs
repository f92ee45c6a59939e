//! The runs of an endpoint's process: its connections and slots, its end and its restart.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use rattanstall::clock::{Clock, Millis};
use serde::{Deserialize, Serialize};
use socket2::SockRef;

use super::{Shared, connection};

/// Pause between attempts to bind the address of a process that has ended.
const BIND_INTERVAL: Duration = Duration::from_millis(5);

/// When an endpoint's process ends, and how it comes back.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    /// Its name; restarts add their number to it. The first run has the plain name.
    pub name: String,
    /// Whether restarts keep the name.
    pub keeps_name: bool,
    /// The request header that names the instance that may run a request; any other
    /// answers 421. Empty if requests name none.
    pub instance_header: String,
    /// The request header that identifies a request.
    pub id_header: String,
    /// The request header that lists the parts of the prompt, as `ID:TOKENS` pairs.
    pub parts_header: String,
    /// Runs at a time; further ones wait.
    pub slots: usize,
    /// Time from the response head to the end of the process under a part.
    pub crash_delay: Millis,
    /// Time for which connections are refused after an end.
    pub downtime: Millis,
    /// The clock of the records.
    pub clock: Clock,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            name: String::new(),
            keeps_name: false,
            instance_header: String::new(),
            id_header: String::new(),
            parts_header: String::new(),
            slots: usize::MAX,
            crash_delay: Millis(30),
            downtime: Millis(2_000),
            clock: Clock::system(),
        }
    }
}

/// Why a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// It began an answer to a prompt with this part.
    Part(u64),
    /// A fault of its own.
    Fault,
    /// It was told to leave.
    Left,
}

/// One run of the endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifeRecord {
    /// Its identifier.
    pub instance: String,
    /// When it began to listen.
    pub started_at: Millis,
    /// When and why it ended.
    pub ended: Option<(Millis, EndCause)>,
}

/// One run of the process, shared by its connections.
pub(super) struct Life {
    pub(super) instance: String,
    /// Its software version.
    pub(super) version: String,
    /// Stops the acceptor when it is shut down.
    listener: TcpListener,
    state: Mutex<LifeState>,
    changed: Condvar,
}

#[derive(Default)]
struct LifeState {
    connections: Vec<(u64, TcpStream)>,
    running: usize,
    is_silent: bool,
    ended: Option<EndCause>,
}

impl LifeState {
    fn has(&self, connection: u64) -> bool {
        self.connections.iter().any(|(n, _)| *n == connection)
    }
}

/// A place among the runs that an endpoint processes at a time.
pub(super) struct Slot<'a>(&'a Life);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.state().running -= 1;
        self.0.changed.notify_all();
    }
}

impl Life {
    fn new(instance: String, version: String, listener: TcpListener) -> Self {
        Self {
            instance,
            version,
            listener,
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, LifeState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn wait_while(&self, is_waiting: impl Fn(&LifeState) -> bool) -> MutexGuard<'_, LifeState> {
        let waiting = |state: &mut LifeState| state.ended.is_none() && is_waiting(state);
        let waited = self.changed.wait_while(self.state(), waiting);
        waited.unwrap_or_else(|e| e.into_inner())
    }

    fn add_connection(&self, number: u64, stream: &TcpStream) -> bool {
        let mut state = self.state();
        let Ok(copy) = stream.try_clone() else {
            return false;
        };
        state.connections.push((number, copy));
        state.ended.is_none()
    }

    pub(super) fn remove_connection(&self, number: u64) {
        self.state().connections.retain(|(n, _)| *n != number);
    }

    /// Waits for a slot; `None` if the process has ended.
    pub(super) fn take_slot(&self, slots: usize) -> Option<Slot<'_>> {
        let mut state = self.wait_while(|state| state.running >= slots);
        if state.ended.is_some() {
            return None;
        }
        state.running += 1;
        Some(Slot(self))
    }

    /// Returns once the endpoint is not silent; fails if the connection has ended.
    pub(super) fn wait_while_silent(&self, connection: u64) -> io::Result<()> {
        let state = self.wait_while(|state| state.is_silent && state.has(connection));
        match state.has(connection) {
            true => Ok(()),
            false => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Waits for this time, or until the connection has ended.
    pub(super) fn pause(&self, connection: u64, time: Millis) {
        let waiting = |state: &mut LifeState| state.has(connection);
        let waited = self
            .changed
            .wait_timeout_while(self.state(), time.as_duration(), waiting);
        drop(waited);
    }

    pub(super) fn wait_while_running(&self) {
        drop(self.wait_while(|state| state.running > 0));
    }

    pub(super) fn set_silent(&self, is_silent: bool) {
        self.state().is_silent = is_silent;
        self.changed.notify_all();
    }

    pub(super) fn reset_connections(&self) {
        for (_, stream) in self.state().connections.drain(..) {
            // Without a shutdown for writing, the last close of the socket resets it.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Read);
        }
        self.changed.notify_all();
    }

    /// Breaks all connections and refuses new ones; `false` if that was done before.
    fn end(&self, cause: EndCause) -> bool {
        let mut state = self.state();
        if state.ended.is_some() {
            return false;
        }
        state.ended = Some(cause);
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
        for (_, stream) in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.changed.notify_all();
        true
    }
}

impl Shared {
    /// Starts the first run of the process.
    pub(super) fn start(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let life = self.begin_life(0, &listener)?;
        let (shared, address) = (self.clone(), listener.local_addr()?);
        std::thread::spawn(move || shared.run(listener, life, address));
        Ok(())
    }

    fn begin_life(&self, restarts: u64, listener: &TcpListener) -> io::Result<Arc<Life>> {
        let Lifecycle {
            name, keeps_name, ..
        } = &self.setup.lifecycle;
        let instance = match restarts {
            number if number > 0 && !keeps_name => format!("{name}-{number}"),
            _ => name.clone(),
        };
        let version = self.version().clone();
        let life = Arc::new(Life::new(instance.clone(), version, listener.try_clone()?));
        *self.current_life() = Some(life.clone());
        self.lives().push(LifeRecord {
            instance,
            started_at: self.now(),
            ended: None,
        });
        Ok(life)
    }

    /// Accepts connections, with a thread for each, over all restarts.
    fn run(self: Arc<Self>, mut listener: TcpListener, mut life: Arc<Life>, address: SocketAddr) {
        let mut numbers = 0..;
        for restarts in 1.. {
            while life.state().ended.is_none() {
                let Ok((stream, _)) = listener.accept() else {
                    continue;
                };
                let number = numbers.next().unwrap_or_default();
                if life.add_connection(number, &stream) {
                    let (shared, life) = (self.clone(), life.clone());
                    std::thread::spawn(move || connection::serve(&shared, &life, stream, number));
                }
            }
            drop(listener);
            if life.state().ended == Some(EndCause::Left) {
                return;
            }
            drop(life);
            std::thread::sleep(self.setup.lifecycle.downtime.as_duration());
            (listener, life) = loop {
                let bound = TcpListener::bind(address);
                if let Ok(listener) = bound
                    && let Ok(life) = self.begin_life(restarts, &listener)
                {
                    break (listener, life);
                }
                std::thread::sleep(BIND_INTERVAL);
            };
        }
    }

    /// Ends a run of the process. It comes back after its downtime unless it left.
    pub(super) fn end_life(&self, life: &Life, cause: EndCause) {
        if !life.end(cause) {
            return;
        }
        let now = self.now();
        let mut lives = self.lives();
        if let Some(record) = lives.iter_mut().rfind(|r| r.instance == life.instance) {
            record.ended = Some((now, cause));
        }
    }
}
