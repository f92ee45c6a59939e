//! Connections to agents.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use compact_str::CompactString;
use quinn::{Connection, Endpoint};
use tokio::runtime::Handle;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::shared::Shared;
use crate::control::Event;
use crate::error::{Error, Result};
use crate::instances::{Instance, Role};
use crate::transport::{FrameReader, connect, write_frame};
use crate::wire::{AgentReport, AgentStatus, Hello};

/// Delay before a lost or failed connection to an agent is tried again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);

/// A connection to one agent.
pub struct Link {
    /// The agent's name.
    pub name: CompactString,
    connection: Connection,
    in_flight: AtomicU32,
}

impl Link {
    /// Opens a stream and sends the first message on it.
    pub async fn open(&self, hello: &Hello) -> Result<(quinn::SendStream, FrameReader)> {
        let opened = self.connection.open_bi().await;
        let (mut tx, rx) = opened.map_err(|e| Error::Peer(e.to_string()))?;
        write_frame(&mut tx, hello).await?;
        Ok((tx, FrameReader::new(rx)))
    }

    /// Whether the connection is closed, so that nothing sent on it can arrive.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Calls that this gateway has in flight at the agent.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a call as in flight at the agent until the guard is dropped.
    pub fn count_call(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }
}

/// A guard that counts a call as in flight at its agent.
pub struct InFlightGuard(Arc<Link>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keeps one connection to each agent of the instance list.
pub struct Links {
    socket: Endpoint,
    shared: Arc<Shared>,
    events: UnboundedSender<Event>,
    io: Handle,
    tasks: Vec<ConnectionTask>,
}

struct ConnectionTask {
    name: CompactString,
    ip: IpAddr,
    port: u16,
    abort_handle: AbortHandle,
}

impl Links {
    /// Must be called within the runtime that will drive the connections.
    pub fn new(socket: Endpoint, shared: Arc<Shared>, events: UnboundedSender<Event>) -> Self {
        Self {
            socket,
            shared,
            events,
            io: Handle::current(),
            tasks: Vec::new(),
        }
    }

    /// Starts and stops connections so that they match the instance list.
    pub fn reconcile(&mut self, instances: &[Instance]) {
        let is_agent = |i: &&Instance| i.role == Role::Agent;
        let agents: Vec<&Instance> = instances.iter().filter(is_agent).collect();
        let is_kept = |t: &ConnectionTask| {
            let mut agents = agents.iter();
            agents.any(|i| i.name == t.name && i.ip == t.ip && i.peer_port == t.port)
        };
        for task in self.tasks.extract_if(.., |t| !is_kept(t)) {
            task.abort_handle.abort();
            // Requests in flight keep using the connection; new ones no longer find it.
            let links = self.shared.links();
            if let Some(link) = links.iter().find(|link| link.name == task.name) {
                self.shared.remove_link(link);
            }
            let _ = self.events.send(Event::AgentLost(task.name));
        }
        for agent in agents {
            if !self.tasks.iter().any(|t| t.name == agent.name) {
                self.start(agent);
            }
        }
    }

    fn start(&mut self, agent: &Instance) {
        let task = maintain_connection(
            self.socket.clone(),
            self.shared.clone(),
            self.events.clone(),
            agent.clone(),
        );
        self.tasks.push(ConnectionTask {
            name: agent.name.clone(),
            ip: agent.ip,
            port: agent.peer_port,
            abort_handle: self.io.spawn(task).abort_handle(),
        });
    }
}

/// Connects to an agent, forwards its reports as events, and reconnects whenever the
/// connection ends.
async fn maintain_connection(
    socket: Endpoint,
    shared: Arc<Shared>,
    events: UnboundedSender<Event>,
    agent: Instance,
) {
    let mut reported_failure = None;
    loop {
        let connected = connect(&socket, agent.ip, agent.peer_port).await;
        log_connect_result(&agent.name, &connected, &mut reported_failure);
        if let Ok(connection) = connected {
            let link = Arc::new(Link {
                name: agent.name.clone(),
                connection,
                in_flight: AtomicU32::new(0),
            });
            shared.add_link(link.clone());
            let ended = receive_reports(&link, &events).await;
            log::info!("agent {}: connection ended: {ended:?}", agent.name);
            shared.remove_link(&link);
            let _ = events.send(Event::AgentLost(agent.name.clone()));
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}

/// Logs a successful connection, and a failure only if it differs from the last one
/// logged.
fn log_connect_result(name: &str, connected: &Result<Connection>, reported: &mut Option<String>) {
    let failure = connected.as_ref().err().map(ToString::to_string);
    if failure.is_none() || failure != *reported {
        match &failure {
            Some(error) => log::info!("agent {name}: connecting failed: {error}"),
            None => log::info!("agent {name}: connected"),
        }
        *reported = failure;
    }
}

async fn receive_reports(link: &Link, events: &UnboundedSender<Event>) -> Result<()> {
    let (_tx, mut reports) = link.open(&Hello::Watch).await?;
    let mut status: Option<AgentStatus> = None;
    while let Some(report) = reports.next::<AgentReport>().await? {
        match (report, &mut status) {
            (AgentReport::Full(full), _) => status = Some(full),
            (AgentReport::Load { running, waiting }, Some(status)) => {
                status.running = running;
                status.waiting = waiting;
            }
            (AgentReport::Load { .. }, None) => {}
        }
        if let Some(status) = &status {
            let _ = events.send(Event::Agent(status.clone()));
        }
    }
    Ok(())
}
