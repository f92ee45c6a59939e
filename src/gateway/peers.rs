//! Connections between gateways.

use std::net::IpAddr;
use std::time::Duration;

use compact_str::CompactString;
use quinn::{Connection, Endpoint};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::control::Event;
use crate::error::{Error, Result};
use crate::instances::{Instance, Role};
use crate::transport::{FrameReader, connect, write_frame};
use crate::wire::{Envelope, Member, PeerMessage};

/// Delay before a lost or failed connection to a gateway is tried again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);
/// The most messages queued for one gateway; further ones are dropped.
const QUEUE_SIZE: usize = 256;

/// Keeps one outgoing connection to each other gateway and accepts theirs.
pub struct Peers {
    socket: Endpoint,
    me: Member,
    io: Handle,
    senders: Vec<PeerSender>,
}

struct PeerSender {
    name: CompactString,
    ip: IpAddr,
    port: u16,
    queue: mpsc::Sender<PeerMessage>,
    abort_handle: AbortHandle,
}

impl Peers {
    /// Must be called within the runtime that will drive the connections.
    pub fn new(socket: Endpoint, me: Member, events: UnboundedSender<Event>) -> Self {
        tokio::spawn(accept(socket.clone(), events));
        Self {
            socket,
            me,
            io: Handle::current(),
            senders: Vec::new(),
        }
    }

    /// Starts and stops connections so that they match the instance list.
    pub fn reconcile(&mut self, instances: &[Instance]) {
        let me = &self.me.name;
        let is_peer = |i: &&Instance| i.role == Role::Gateway && i.name != *me;
        let peers: Vec<&Instance> = instances.iter().filter(is_peer).collect();
        let is_kept = |s: &PeerSender| {
            let mut peers = peers.iter();
            peers.any(|i| i.name == s.name && i.ip == s.ip && i.peer_port == s.port)
        };
        for sender in self.senders.extract_if(.., |s| !is_kept(s)) {
            sender.abort_handle.abort();
        }
        for peer in peers {
            if !self.senders.iter().any(|s| s.name == peer.name) {
                self.start(peer);
            }
        }
    }

    /// Queues a message; it may be lost if there is no connection.
    pub fn send(&self, to: &str, message: PeerMessage) {
        if let Some(sender) = self.senders.iter().find(|s| s.name == to) {
            let _ = sender.queue.try_send(message);
        }
    }

    fn start(&mut self, peer: &Instance) {
        let (queue, rx) = mpsc::channel(QUEUE_SIZE);
        let task = maintain_connection(
            self.socket.clone(),
            self.me.clone(),
            (peer.ip, peer.peer_port),
            rx,
        );
        self.senders.push(PeerSender {
            name: peer.name.clone(),
            ip: peer.ip,
            port: peer.peer_port,
            queue,
            abort_handle: self.io.spawn(task).abort_handle(),
        });
    }
}

async fn maintain_connection(
    socket: Endpoint,
    me: Member,
    to: (IpAddr, u16),
    mut queue: mpsc::Receiver<PeerMessage>,
) {
    loop {
        if let Ok(connection) = connect(&socket, to.0, to.1).await {
            // Messages queued while there was no connection are out of date.
            while queue.try_recv().is_ok() {}
            let _ = send_all(&connection, &me, &mut queue).await;
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}

async fn send_all(
    connection: &Connection,
    me: &Member,
    queue: &mut mpsc::Receiver<PeerMessage>,
) -> Result<()> {
    let opened = connection.open_uni().await;
    let mut tx = opened.map_err(|e| Error::Peer(e.to_string()))?;
    while let Some(message) = queue.recv().await {
        let from = me.clone();
        write_frame(&mut tx, &Envelope { from, message }).await?;
    }
    Ok(())
}

async fn accept(socket: Endpoint, events: UnboundedSender<Event>) {
    while let Some(incoming) = socket.accept().await {
        let events = events.clone();
        tokio::spawn(async move {
            if let Ok(connection) = incoming.await {
                receive(connection, events).await;
            }
        });
    }
}

async fn receive(connection: Connection, events: UnboundedSender<Event>) {
    while let Ok(rx) = connection.accept_uni().await {
        let mut frames = FrameReader::new(rx);
        while let Ok(Some(envelope)) = frames.next::<Envelope>().await {
            if events.send(Event::Peer(envelope)).is_err() {
                return;
            }
        }
    }
}
