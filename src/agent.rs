//! The agent: runs beside one endpoint and is the only way to reach it.
//!
//! Every request and every order for the endpoint passes through this process,
//! so it alone is responsible for the endpoint's memory, for calls that run at
//! most once, and for the endpoint's drain. Everything runs on one thread.

mod call;
mod endpoint;
mod outcomes;
pub mod queue;
mod reports;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quinn::{Connection, Endpoint, RecvStream, SendStream};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::admin::{Admin, AdminRequest};
use crate::clock::{Clock, Millis};
use crate::code::Code;
use crate::error::{Error, Result};
use crate::ledger::{Ledger, Step};
use crate::metrics::Metrics;
use crate::platform::{Platform, Txn};
use crate::settings::{AgentSettings, EndpointSettings};
use crate::signals::Signals;
use crate::tls::Identity;
use crate::transport::{bind, read_frame, write_frame};
use crate::wire::{Action, AgentStatus, EndpointKind, Fence, Hello, Order, OrderReply};

use endpoint::{EndpointClient, OrderResult};
use outcomes::Outcomes;
use queue::{Queue, Refusal, Ticket};

/// The key of the placement leader in the platform's service.
pub const LEADER_KEY: &str = "leader/placement";
/// How long a draining agent still accepts calls that no other endpoint can
/// serve, while its models are loaded elsewhere.
const DRAIN_GRACE_PERIOD: Millis = Millis(2_500);
/// Interval at which a draining agent checks whether its last call has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The prefix of the keys whose write gives an agent its fencing number.
const AGENT_FENCE_PREFIX: &str = "agents/";
/// Interval between two attempts to get the current fencing numbers.
const FENCE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// What a waiting call is notified of: it may run, or it was evicted from the queue.
type Admission = std::result::Result<(), Refusal>;

/// The state of one agent. Only the agent's own thread accesses it.
pub(crate) struct Agent {
    settings: AgentSettings,
    clock: Clock,
    endpoint: EndpointClient,
    metrics: Arc<Metrics>,
    queue: RefCell<Queue>,
    waiters: RefCell<Vec<(Ticket, oneshot::Sender<Admission>)>>,
    ledger: RefCell<Ledger>,
    outcomes: RefCell<Outcomes>,
    draining_since: Cell<Option<Millis>>,
    is_healthy: Cell<bool>,
    /// Number of calls that have arrived and have not ended yet.
    open_calls: Cell<usize>,
    /// This agent's own fencing number, higher than those of earlier agents of
    /// the endpoint. Zero until the platform's service has given one.
    agent_fence: Cell<Fence>,
    /// Whether a later agent has taken over the endpoint.
    is_superseded: Cell<bool>,
}

/// Runs an agent until it is told to stop and its last call has ended.
pub fn run(settings: AgentSettings, signals: Signals) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the runtime", e))?;
    LocalSet::new().block_on(&runtime, run_local(settings, signals))
}

async fn run_local(settings: AgentSettings, signals: Signals) -> Result<()> {
    let identity = Identity::load(&settings.tls)?;
    signals.begin_service();
    let socket = bind(settings.peer, &identity)?;
    let metrics = Arc::new(Metrics::new("rattanstall-agent")?);
    let (tx, admin_requests) = mpsc::unbounded_channel();
    let admin = Admin::start(settings.admin, tx.clone(), metrics.clone())?;
    let agent = Rc::new(Agent::new(settings, metrics));
    spawn_local(agent.clone().init_fences());
    spawn_local(agent.clone().poll_endpoint());
    spawn_local(agent.clone().accept(socket.clone()));
    spawn_local(forward_signals(signals, tx));
    log::info!("agent {} is up", agent.settings.name);
    agent.clone().serve_admin(admin_requests).await;
    agent.drain().await;
    socket.close(0u32.into(), b"stopped");
    socket.wait_idle().await;
    admin.stop();
    log::info!("agent {} stopped", agent.settings.name);
    Ok(())
}

impl Agent {
    fn new(settings: AgentSettings, metrics: Arc<Metrics>) -> Self {
        let queue = Queue::new(settings.max_running, settings.max_waiting);
        let clock = Clock::system();
        let ledger = Ledger::new(clock.now(), Millis(settings.last_order_ms));
        Self {
            endpoint: EndpointClient::new(settings.endpoint.address()),
            clock,
            metrics,
            queue: RefCell::new(queue),
            waiters: RefCell::default(),
            ledger: RefCell::new(ledger),
            outcomes: RefCell::default(),
            draining_since: Cell::new(None),
            is_healthy: Cell::new(false),
            open_calls: Cell::new(0),
            agent_fence: Cell::default(),
            is_superseded: Cell::new(false),
            settings,
        }
    }

    fn status(&self) -> AgentStatus {
        let kind = match &self.settings.endpoint {
            EndpointSettings::Engine { .. } => EndpointKind::Engine,
            EndpointSettings::Service { service, .. } => EndpointKind::Service(service.clone()),
        };
        let queue = self.queue.borrow();
        let ledger = self.ledger.borrow();
        AgentStatus {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            kind,
            draining: self.draining_since.get().is_some(),
            healthy: self.is_healthy.get(),
            running: queue.running() as u32,
            waiting: queue.waiting() as u32,
            max_running: self.settings.max_running as u32,
            memory_bytes: ledger.memory_bytes().unwrap_or_default(),
            models: ledger.residents(),
        }
    }

    fn dump(&self) -> Value {
        let status = self.status();
        json!({
            "role": "agent",
            "name": status.name,
            "zone": status.zone,
            "draining": status.draining,
            "healthy": status.healthy,
            "running": status.running,
            "waiting": status.waiting,
            "open_calls": self.open_calls.get(),
            "fence_floor": self.ledger.borrow().floor(),
            "number": self.agent_fence.get(),
            "superseded": self.is_superseded.get(),
            "memory_bytes": status.memory_bytes,
            "memory_used_bytes": self.ledger.borrow().used_bytes(),
            "models": status.models,
        })
    }

    /// Gets this agent's own fencing number and the lowest one that an order of
    /// a placement leader may carry. No order is executed before that.
    async fn init_fences(self: Rc<Self>) {
        let platform = Platform::new(self.settings.platform);
        loop {
            match self.acquire_agent_fence(&platform).await {
                Ok(agent_fence) => {
                    self.agent_fence.set(agent_fence);
                    return;
                }
                Err(error) => log::warn!("could not get the fencing numbers, retrying: {error}"),
            }
            sleep(FENCE_RETRY_INTERVAL).await;
        }
    }

    async fn acquire_agent_fence(&self, platform: &Platform) -> Result<Fence> {
        let key = format!("{AGENT_FENCE_PREFIX}{}", self.settings.endpoint.address());
        let txn = Txn::new().put(&key, self.settings.name.as_bytes());
        let revision = platform.run(&txn).await?.revision;
        let read = platform.read(LEADER_KEY).await?;
        // If there is no leader, the next one's key is created after this revision.
        let leader = read.items.first();
        let floor = leader.map_or(read.revision + 1, |item| item.create_revision);
        self.ledger.borrow_mut().raise_floor(Fence(floor));
        Ok(Fence(revision))
    }

    /// Polls the report of an engine, or the health check of a service.
    async fn poll_endpoint(self: Rc<Self>) {
        let is_engine = matches!(self.settings.endpoint, EndpointSettings::Engine { .. });
        loop {
            let ticket = self.ledger.borrow().report_ticket(self.now());
            let is_up = if is_engine {
                match self.endpoint.fetch_report().await {
                    Ok(report) => {
                        let now = self.clock.now();
                        self.ledger.borrow_mut().report(now, ticket, &report);
                        self.check_superseded(report.fence);
                        !self.is_superseded.get()
                    }
                    Err(error) => {
                        log::debug!("could not read the endpoint's report: {error}");
                        false
                    }
                }
            } else {
                self.endpoint.is_up().await
            };
            if is_up != self.is_healthy.replace(is_up) {
                log::info!("endpoint healthy: {is_up}");
            }
            sleep(endpoint::REPORT_INTERVAL).await;
        }
    }

    /// Stops serving permanently if the endpoint has seen the fencing number of a later
    /// agent.
    fn check_superseded(&self, seen: Fence) {
        let agent_fence = self.agent_fence.get();
        if agent_fence != Fence::default()
            && seen > agent_fence
            && !self.is_superseded.replace(true)
        {
            log::error!(
                "a later agent serves this endpoint; this agent takes no more calls or orders"
            );
        }
    }

    async fn accept(self: Rc<Self>, socket: Endpoint) {
        while let Some(incoming) = socket.accept().await {
            let agent = self.clone();
            spawn_local(async move {
                match incoming.await {
                    Ok(connection) => agent.serve_connection(connection).await,
                    Err(error) => log::debug!("connection handshake failed: {error}"),
                }
            });
        }
    }

    async fn serve_connection(self: Rc<Self>, connection: Connection) {
        while let Ok((tx, rx)) = connection.accept_bi().await {
            spawn_local(self.clone().serve_stream(tx, rx));
        }
    }

    async fn serve_stream(self: Rc<Self>, mut tx: SendStream, rx: RecvStream) {
        let hello = match read_frame::<Hello>(rx).await {
            Ok(Some(hello)) => hello,
            Ok(None) => return,
            Err(error) => {
                log::warn!("could not read a message from a gateway: {error}");
                return;
            }
        };
        match hello {
            Hello::Call(call) => self.serve_call(call, tx).await,
            Hello::Watch => self.send_reports(tx).await,
            Hello::Order(order) => {
                let reply: OrderReply = self.execute_order(order).await;
                let _ = write_frame(&mut tx, &reply).await;
                let _ = tx.finish();
            }
            Hello::Outcome { request, workspace } => {
                let outcome = self.outcomes.borrow().get(request, &workspace);
                let _ = write_frame(&mut tx, &outcome).await;
                let _ = tx.finish();
            }
        }
    }

    /// Checks an order against the ledger, then sends it to the endpoint.
    async fn execute_order(self: &Rc<Self>, order: Order) -> OrderReply {
        let agent_fence = self.agent_fence.get();
        if agent_fence == Fence::default() {
            return Err(Code::PlatformDown);
        }
        if self.is_superseded.get() {
            return Err(Code::OldFence);
        }
        if self.draining_since.get().is_some() && order.action == Action::Load {
            return Err(Code::Draining);
        }
        let step = self.ledger.borrow_mut().order(self.now(), &order)?;
        if step == Step::Nothing {
            return Ok(());
        }
        match self.endpoint.send_order(&order, agent_fence).await {
            OrderResult::Accepted => self.settle(&order),
            OrderResult::Refused => {
                self.ledger.borrow_mut().rejected(&order.model);
                return Err(Code::Busy);
            }
            OrderResult::Unknown => {
                let agent = self.clone();
                spawn_local(async move {
                    sleep(Duration::from_millis(agent.settings.last_order_ms)).await;
                    agent.settle(&order);
                });
                return Err(Code::OutcomeUnknown);
            }
        }
        Ok(())
    }

    fn settle(&self, order: &Order) {
        let now = self.clock.now();
        self.ledger.borrow_mut().settled(now, &order.model);
    }

    /// Serves the admin port until the agent is told to stop.
    async fn serve_admin(self: Rc<Self>, mut requests: mpsc::UnboundedReceiver<AdminRequest>) {
        while let Some(request) = requests.recv().await {
            match request {
                AdminRequest::Dump(tx) => {
                    let _ = tx.send(self.dump());
                }
                AdminRequest::Hint(_) => {}
                AdminRequest::Drain => {
                    spawn_local(self.clone().serve_dumps(requests));
                    return;
                }
            }
        }
    }

    /// Serves state dumps while the agent drains.
    async fn serve_dumps(self: Rc<Self>, mut requests: mpsc::UnboundedReceiver<AdminRequest>) {
        while let Some(request) = requests.recv().await {
            if let AdminRequest::Dump(tx) = request {
                let _ = tx.send(self.dump());
            }
        }
    }

    /// Reports to the gateways that the agent is draining, takes no new calls
    /// after the grace period, and waits until the last call has ended.
    async fn drain(&self) {
        self.draining_since.set(Some(self.now()));
        log::info!("draining, {} calls open", self.open_calls.get());
        sleep(DRAIN_GRACE_PERIOD.as_duration()).await;
        while self.open_calls.get() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Whether the agent is draining and no longer accepts any call.
    fn is_closed(&self) -> bool {
        let since = self.draining_since.get();
        since.is_some_and(|since| self.now().since(since) >= DRAIN_GRACE_PERIOD)
    }

    fn now(&self) -> Millis {
        self.clock.now()
    }
}

/// Turns the first stop signal into a graceful shutdown.
pub(crate) async fn forward_signals(signals: Signals, tx: mpsc::UnboundedSender<AdminRequest>) {
    signals.stopped().await;
    let _ = tx.send(AdminRequest::Drain);
}
