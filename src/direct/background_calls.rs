//! Calls of the control thread to the store, the engines and the other gateways.

mod lease;
mod records;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, StatusCode};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::connection::{CALL_LIMITS, CallClient, ExchangeError, call, call_endpoint};
use super::control::Event;
use super::dialect::{Call, ModelOrder, Registration, StoreError, Transaction};
use super::evacuation::ZoneList;
use super::gossip::{Datagram, MAX_DATAGRAM_BYTES, Message, SECRET_BYTES, Secret, decode, encode};
use super::internal::{PEER_TOKEN_HEADER, ZONES_HEADER, newer_configuration, peer_token};
use super::ledger::ORDER_TIMEOUT;
use super::queue::EventSender;
use super::shared::Shared;
use super::store::Store;
use super::supervision::Supervisor;
use super::sync::{LEADER_KEY, SECRET_KEY};
use crate::clock::Millis;
use crate::journal;

use lease::HeldLease;

/// Delay before a failed call to the store is retried.
const RETRY_DELAY: Millis = Millis(150);
/// How long a call to an engine waits for a grant, if the engine takes a limited rate.
const MAX_GRANT_WAIT: Millis = Millis(200);
/// Timeout of a request for another gateway's configuration.
const PULL_TIMEOUT: Millis = Millis(800);

/// Performs the control thread's calls as background tasks and sends the results
/// to the reducer as events.
pub struct BackgroundCalls {
    /// The client for the store.
    pub store: Rc<Store>,
    shared: Arc<Shared>,
    events: EventSender,
    boot: u64,
    lease: Cell<Option<HeldLease>>,
    secret: Cell<Option<Secret>>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    last_number: Cell<u64>,
}

impl BackgroundCalls {
    /// Creates the state without starting any task; see [`BackgroundCalls::start`].
    pub fn new(store: Rc<Store>, shared: Arc<Shared>, events: EventSender) -> Rc<Self> {
        Rc::new(Self {
            store,
            shared,
            events,
            boot: rand::random::<u64>().max(1),
            lease: Cell::new(None),
            secret: Cell::new(None),
            socket: RefCell::new(None),
            last_number: Cell::new(0),
        })
    }

    /// Starts maintaining the lease and receiving datagrams from other gateways.
    pub fn start(self: &Rc<Self>, supervisor: &Supervisor) {
        supervisor.spawn("lease", self.clone().maintain_lease());
        supervisor.spawn("datagrams", self.clone().receive_datagrams());
    }

    fn send_event(&self, event: Event) {
        self.events.send(event);
    }

    /// Writes the gateways' secret again if the store came back from a copy without it, so
    /// that gateways which start from now on use the same.
    async fn restore_secret(&self) -> Result<(), StoreError> {
        let Some(secret) = self.secret.get().filter(|_| self.store.was_restored()) else {
            return Ok(());
        };
        match self.write_secret(&secret).await {
            Ok(()) | Err(StoreError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn write_secret(&self, secret: &Secret) -> Result<(), StoreError> {
        let transaction = Transaction {
            expected: vec![(SECRET_KEY.into(), 0)],
            puts: vec![(SECRET_KEY.into(), Bytes::copy_from_slice(secret), 0)],
        };
        self.store.commit(&transaction).await.map(drop)
    }

    /// Tries to become leader by writing the leader key, if its revision is the
    /// expected one.
    pub async fn claim_leadership(self: Rc<Self>, expected: u64, is_succession: bool) {
        let Some(lease) = self.lease.get() else {
            return;
        };
        let name = self.shared.settings.name.clone();
        let transaction = Transaction {
            expected: vec![(LEADER_KEY.into(), expected)],
            puts: vec![(
                LEADER_KEY.into(),
                Bytes::copy_from_slice(name.as_bytes()),
                lease.id,
            )],
        };
        match self.store.commit(&transaction).await {
            Ok(fence) => self.send_event(Event::LeadershipClaimed {
                fence,
                is_succession,
            }),
            // The reducer tries again with the key's revision at that time.
            Err(error) => log_store_failure("claim", &error),
        }
    }

    /// Clears the leader key if this gateway holds it, so that another gateway can
    /// become leader.
    pub async fn resign_leadership(self: Rc<Self>) {
        let Ok(item) = self.store.read_key(LEADER_KEY).await else {
            return;
        };
        if item.value.as_deref() != Some(self.shared.settings.name.as_bytes()) {
            return;
        }
        let transaction = Transaction {
            expected: vec![(LEADER_KEY.into(), item.revision)],
            puts: vec![(LEADER_KEY.into(), Bytes::new(), 0)],
        };
        if let Err(error) = self.store.commit(&transaction).await {
            log_store_failure("resign", &error);
        }
    }

    /// Sends an order to an engine and passes the outcome to the reducer. An order that
    /// the engine takes none of now stays unanswered, and comes again.
    pub async fn send_order(self: Rc<Self>, endpoint: CompactString, order: ModelOrder) {
        let dialect = self.store.dialect();
        let answer = match self.registration_of(&endpoint) {
            Some(registration) => {
                let req = dialect.order(&endpoint, &order);
                let hear = |status, headers: &HeaderMap, sent_at| {
                    let head = dialect.read_response_head(status, headers);
                    self.shared.hear_endpoint(&registration, &head, sent_at);
                };
                self.call_endpoint(&registration, req, hear).await
            }
            None => Err(ExchangeError::NotSent("unknown endpoint".to_owned())),
        };
        let outcome = match answer {
            Ok(Some((status, _))) => Some(dialect.decode_order(status)),
            Ok(None) => return,
            Err(_) => None,
        };
        self.send_event(Event::OrderAnswered {
            endpoint,
            order,
            outcome,
        });
    }

    /// Requests an engine's report and passes it to the reducer.
    pub async fn fetch_report(self: Rc<Self>, endpoint: CompactString) {
        let Some(registration) = self.registration_of(&endpoint) else {
            return;
        };
        let dialect = self.store.dialect();
        let head = Cell::new(None);
        let hear = |status, headers: &HeaderMap, sent_at| {
            head.set(Some((dialect.read_response_head(status, headers), sent_at)));
        };
        let answer = self.call_endpoint(&registration, dialect.report(), hear);
        let body = match answer.await {
            Ok(Some((StatusCode::OK, body))) => body,
            Ok(None) => return,
            Ok(Some(_)) | Err(_) => {
                journal::write("report.unanswered", &[("endpoint", (&endpoint).into())]);
                return;
            }
        };
        match dialect.decode_report(&body) {
            Ok(report) => {
                // The call names no instance, so that another one may have answered.
                if report.started_at == registration.started_at
                    && let Some((head, sent_at)) = head.take()
                {
                    self.shared.hear_endpoint(&registration, &head, sent_at);
                }
                self.send_event(Event::Reported { endpoint, report });
            }
            Err(error) => journal::write(
                "report.unreadable",
                &[("endpoint", (&endpoint).into()), ("error", (&error).into())],
            ),
        }
    }

    /// Calls an engine, unless it takes nothing now.
    async fn call_endpoint(
        &self,
        endpoint: &Registration,
        req: Call,
        hear: impl FnOnce(StatusCode, &HeaderMap, Millis),
    ) -> Result<Option<(StatusCode, Bytes)>, ExchangeError> {
        let sent_at = Cell::new(Millis::ZERO);
        let may_send = async || {
            let may_send = self.shared.take_permit(endpoint, MAX_GRANT_WAIT).await;
            sent_at.set(self.shared.now());
            may_send
        };
        let answer = call_endpoint(
            endpoint.address,
            req,
            ORDER_TIMEOUT,
            may_send,
            |status, headers| {
                hear(status, headers, sent_at.get());
            },
        )
        .await;
        if let Ok(None) = answer {
            journal::write("order.held_back", &[("endpoint", (&endpoint.id).into())]);
        }
        answer
    }

    fn registration_of(&self, endpoint: &str) -> Option<Arc<Registration>> {
        let view = self.shared.view();
        let endpoints = &view.endpoints;
        let at = endpoints.binary_search_by(|e| e.registration.id.as_str().cmp(endpoint));
        at.ok().map(|at| endpoints[at].registration.clone())
    }

    /// Fetches the configuration of another gateway if it is newer than a version.
    pub async fn pull_configuration(self: Rc<Self>, peer: SocketAddr, known_version: u64) {
        let Some(secret) = self.secret.get() else {
            return;
        };
        let mut req = http::Request::new(Bytes::new());
        *req.uri_mut() = newer_configuration(known_version);
        if let Ok(token) = http::HeaderValue::from_str(&peer_token(&secret)) {
            req.headers_mut().insert(PEER_TOKEN_HEADER, token);
        }
        let client = RefCell::new(CallClient::new(peer, CALL_LIMITS));
        let res = match call(&client, req, PULL_TIMEOUT).await {
            Ok(res) => res,
            Err(error) => return log_pull_failure(peer, &error.to_string()),
        };
        // Before the configuration: no request is sent on one without the zones.
        let zones = res.headers().get(ZONES_HEADER);
        if let Some(told) = zones.and_then(|value| ZoneList::from_header(value.as_bytes())) {
            self.send_event(Event::EvacuationsPulled(told));
        }
        let body = match res.status() {
            StatusCode::OK => res.into_body(),
            StatusCode::NO_CONTENT => return,
            status => return log_pull_failure(peer, status.as_str()),
        };
        match self.store.dialect().decode_configuration(&body) {
            Ok(document) => {
                journal::write(
                    "configuration.pulled",
                    &[("version", document.version.into())],
                );
                self.send_event(Event::Configuration(Arc::new(document)));
            }
            Err(error) => journal::write("configuration.unreadable", &[("error", (&error).into())]),
        }
    }

    /// Sends a message to other gateways.
    pub fn send(&self, to: &[SocketAddr], message: Message) {
        let (Some(secret), Some(socket)) = (self.secret.get(), self.socket.borrow().clone()) else {
            return;
        };
        self.last_number.set(self.last_number.get() + 1);
        let datagram = Datagram {
            from: self.shared.settings.name.clone(),
            boot: self.boot,
            number: self.last_number.get(),
            message,
        };
        match encode(&secret, &datagram) {
            // Send errors are ignored: the next message supersedes a lost one.
            Ok(bytes) => to.iter().for_each(|to| {
                let _ = socket.try_send_to(&bytes, *to);
            }),
            Err(error) => log::warn!("cannot encode a message to other gateways: {error}"),
        }
    }

    /// Receives datagrams from other gateways and passes them to the reducer.
    async fn receive_datagrams(self: Rc<Self>) {
        let secret = self.load_secret().await;
        self.secret.set(Some(secret));
        self.shared.set_peer_token(peer_token(&secret));
        let address = self.shared.settings.internal;
        let socket = loop {
            match UdpSocket::bind(address).await {
                Ok(socket) => break Rc::new(socket),
                Err(error) => {
                    journal::write(
                        "peers.bind_failed",
                        &[("error", (&error.to_string()).into())],
                    );
                    sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        };
        *self.socket.borrow_mut() = Some(socket.clone());
        let mut buf = vec![0; MAX_DATAGRAM_BYTES * 2];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buf).await else {
                // The error is about an earlier datagram, which arrived at a closed port
                // of another gateway. The socket remains usable.
                continue;
            };
            match decode(&secret, &buf[..length]) {
                Ok(datagram) => self.send_event(Event::Datagram(datagram)),
                Err(error) => log::debug!("discarding a datagram from {from}: {error}"),
            }
        }
    }

    /// Reads the secret that the gateways share, or creates it if the store has
    /// none. Retries until that succeeds.
    async fn load_secret(&self) -> Secret {
        loop {
            match self.read_or_create_secret().await {
                Ok(secret) => return secret,
                Err(error) => {
                    log_store_failure("secret", &error);
                    sleep(RETRY_DELAY.as_duration()).await;
                }
            }
        }
    }

    async fn read_or_create_secret(&self) -> Result<Secret, StoreError> {
        match self.store.read_key(SECRET_KEY).await {
            Ok(item) => {
                let value = item.value.unwrap_or_default();
                let secret: Result<Secret, _> = value.as_ref().try_into();
                secret.map_err(|_| StoreError::Malformed("secret has the wrong length".into()))
            }
            Err(StoreError::NotFound) => {
                let secret: Secret = rand::random::<[u8; SECRET_BYTES]>();
                self.write_secret(&secret).await?;
                Ok(secret)
            }
            Err(error) => Err(error),
        }
    }
}

fn log_pull_failure(peer: SocketAddr, error: &str) {
    journal::write(
        "configuration.pull_failed",
        &[
            ("peer", (&peer.to_string()).into()),
            ("error", error.into()),
        ],
    );
}

fn log_store_failure(call: &str, error: &StoreError) {
    journal::write(
        "store.call_failed",
        &[
            ("call", call.into()),
            ("error", (&error.to_string()).into()),
        ],
    );
}
