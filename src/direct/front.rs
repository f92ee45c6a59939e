//! HTTP server for callers: accepts connections, admits requests and responds.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use http::{HeaderValue, Request, Response, Version, header};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::admission::draining::check_draining;
use super::answer::ResponseBody;
use super::caller_stream::{CallerStream, ConnectionEnd};
use super::connection::configure_tcp;
use super::document::{Document, Route, Workspace};
use super::forward::Forwarder;
use super::intake::account::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES};
use super::intake::body::{head_cost, read_body};
use super::intake::holders::{Caller, Intake, RequestHold};
use super::job::Job;
use super::part_table::PartTable;
use super::quota::{Charge, charge};
use super::refusal::{Refusal, refuse_blocked_part};
use super::relay::respond_from_endpoint;
use super::request::RequestMetadata;
use super::shared::Shared;
use crate::clock::Millis;
use crate::code::Code;
use crate::journal;

/// `Retry-After` while the gateway has no configuration: it reads the first one
/// within a few round trips to the store.
const NO_CONFIGURATION_RETRY_AFTER: Millis = Millis(300);
/// The longest wait of a request with parts for the blocks to be read after a start, and
/// the share of its time that it may take.
const MAX_BLOCKS_WAIT: Millis = Millis(300);
const BLOCKS_WAIT_DIVISOR: u64 = 6;
/// Delay after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Millis = Millis(20);
/// The shortest header field with its line end. A head of legal size may consist of these.
const MIN_FIELD_BYTES: usize = 4;

/// Serves callers' connections.
pub struct Front {
    shared: Arc<Shared>,
    forwarder: Rc<Forwarder>,
    intake: Rc<Intake>,
}

impl Front {
    /// Creates a front.
    pub fn new(shared: Arc<Shared>) -> Rc<Self> {
        let forwarder = Forwarder::new(shared.clone());
        let intake = Intake::new(shared.clone());
        Rc::new(Self {
            shared,
            forwarder,
            intake,
        })
    }

    /// The account of what callers hold.
    pub fn intake(&self) -> &Rc<Intake> {
        &self.intake
    }

    /// The forwarder that sends admitted requests to endpoints.
    pub fn forwarder(&self) -> &Rc<Forwarder> {
        &self.forwarder
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        if let Err(error) = bound_socket_buffers(&listener) {
            log::warn!("failed to bound the buffers of callers' connections: {error}");
        }
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Without room the connection is closed.
                    if let Some(caller) = self.intake.open() {
                        spawn_local(self.clone().serve_connection(stream, caller));
                    }
                }
                Err(error) => {
                    log::warn!("failed to accept a connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY.as_duration()).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream, mut caller: Caller) {
        if let Err(error) = configure_tcp(&stream) {
            log::debug!("failed to set TCP options of a caller's connection: {error}");
            return;
        }
        let view = self.shared.view();
        let limits = view.document.as_ref().map(|d| d.limits).unwrap_or_default();
        let end = ConnectionEnd::default();
        let holder = caller.holder.clone();
        let io = CallerStream::new(stream, end.clone(), holder.clone());
        let begin_request = caller.request_starter();
        let service = service_fn(|req: Request<Incoming>| {
            let (front, end, holder) = (self.clone(), end.clone(), holder.clone());
            let hold = begin_request.begin(!req.body().is_end_stream());
            async move {
                let understands_chunks = req.version() > Version::HTTP_10;
                hold.wait_for_turn(req.uri(), req.headers()).await;
                let mut res = front.respond(req, hold).await;
                if holder.is_receiving() {
                    // The rest of the body is not read.
                    let close = HeaderValue::from_static("close");
                    res.headers_mut().insert(header::CONNECTION, close);
                }
                if res.body().ends_with_connection(understands_chunks) {
                    end_with_connection(&mut res, &end);
                }
                Ok::<_, Infallible>(res)
            }
        });
        let mut draining = self.shared.drain_signal();
        let mut connection = std::pin::pin!(
            http1::Builder::new()
                .timer(TokioTimer::new())
                .keep_alive(!self.shared.is_draining())
                // hyper starts this timer while the connection is still idle, before the
                // first byte of the next head.
                .header_read_timeout((limits.idle_timeout + limits.head_timeout).as_duration())
                // hyper panics at a buffer limit of less than 8 KiB.
                .max_buf_size(limits.head_bytes.max(8 << 10) * 2)
                .max_headers(limits.head_bytes / MIN_FIELD_BYTES)
                .serve_connection(TokioIo::new(io), service)
        );
        let serving = async {
            tokio::select! {
                served = connection.as_mut() => served,
                () = draining.wait() => {
                    // A request in progress runs to its end. An idle connection is closed
                    // now, so that no caller sends on it while the process exits.
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        };
        let served = tokio::select! {
            // First, so that no request begins on a connection that is to be closed.
            biased;
            () = caller.closing() => return,
            served = serving => served,
        };
        if let Err(error) = served {
            log::debug!("a caller's connection failed: {error}");
        }
    }

    async fn respond(
        self: Rc<Self>,
        req: Request<Incoming>,
        hold: RequestHold,
    ) -> Response<ResponseBody> {
        let _open = self.shared.count_open_request();
        let arrived = self.shared.now();
        let metadata = self.shared.dialect.read_request_metadata(req.headers());
        let id = metadata.id.clone();
        let is_logged = journal::should_log_request();
        let mut res = match self
            .admit_and_send(req, metadata, hold, arrived, is_logged)
            .await
        {
            Ok(res) => res,
            Err(refusal) => {
                self.log_refusal(&id, &refusal, arrived, is_logged);
                refusal.into_response()
            }
        };
        if self.shared.is_draining() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
        res
    }

    fn log_refusal(&self, id: &str, refusal: &Refusal, arrived: Millis, is_logged: bool) {
        let code = refusal.code.number();
        self.shared.metrics.count_request("", "", code);
        if is_logged {
            journal::count_request_line();
            journal::write(
                "request.refused",
                &[
                    ("request", id.into()),
                    ("code", code.into()),
                    ("reason", refusal.code.message().into()),
                    ("ran", refusal.ran().as_str().into()),
                    (
                        "retry_after_ms",
                        refusal.retry_after.unwrap_or_default().into(),
                    ),
                    ("after_ms", self.shared.now().since(arrived).into()),
                ],
            );
        }
    }

    async fn admit_and_send(
        &self,
        req: Request<Incoming>,
        metadata: RequestMetadata,
        mut hold: RequestHold,
        arrived: Millis,
        is_logged: bool,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let view = self.shared.view();
        let Some(document) = view.document.clone() else {
            let stale = Refusal::new(Code::ConfigurationStale);
            return Err(stale.retry_after(NO_CONFIGURATION_RETRY_AFTER));
        };
        check_draining(self.shared.draining_for())?;
        if metadata.id.is_empty() {
            return Err(Refusal::new(Code::NoRequestId));
        }
        let route = find_route(&document, &req)?;
        let workspace = admit(&document, route, &metadata)?;
        let priority = workspace.and_then(|w| w.priority).unwrap_or(route.priority);
        // A stream that is taken up goes on at the service that began it.
        let service = route.service(hash_of(metadata.first_attempt())).cloned();
        let request_timeout = metadata.timeout.unwrap_or(route.timeout).min(route.timeout);
        let (parts, body) = req.into_parts();
        hold.resize(head_cost(&parts.uri, &parts.headers))?;
        let max_bytes = document.limits.body_bytes;
        let body = read_body(body, &mut hold, max_bytes, request_timeout).await?;
        check_draining(self.shared.draining_for())?;
        let max_wait = MAX_BLOCKS_WAIT.min(Millis(request_timeout.0 / BLOCKS_WAIT_DIVISOR));
        self.wait_for_blocks(&metadata, max_wait, is_logged).await;
        // Before it counts as demand for its model.
        refuse_blocked_part(&self.shared, &metadata, is_logged)?;
        let service = service.ok_or(Refusal::new(Code::NoEndpoint))?;
        let wanted = metadata.model.as_ref();
        let job = Job {
            route: route.name.clone(),
            kind: route.kind,
            _demand: wanted.map(|wanted| self.shared.count_demand(&service, wanted)),
            service,
            workspace: workspace.map(|w| w.name.clone()),
            priority,
            max_endpoints: route.max_endpoints,
            arrived,
            target: route.target,
            event_gap_target: route.event_gap_target,
            deadline: arrived + request_timeout,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            is_logged,
            document: document.clone(),
            metadata,
            _hold: hold,
        };
        let charge = charge(&self.shared, workspace, &job).await?;
        self.send(job, charge).await
    }

    /// Lets a request with shared parts wait until the blocks have been read after a
    /// start.
    async fn wait_for_blocks(&self, metadata: &RequestMetadata, max_wait: Millis, is_logged: bool) {
        let table = &self.shared.parts;
        let has_shared = PartTable::shared_parts(&metadata.parts).next().is_some();
        if !has_shared || table.are_blocks_known() {
            return;
        }
        let since = self.shared.now();
        let waited = timeout(max_wait.as_duration(), table.wait_for_blocks()).await;
        if is_logged {
            journal::count_request_line();
            journal::write(
                "request.waited_for_blocks",
                &[
                    ("request", (&metadata.id).into()),
                    ("known", waited.is_ok().into()),
                    ("waited_ms", self.shared.now().since(since).into()),
                ],
            );
        }
    }

    async fn send(&self, job: Job, charge: Charge) -> Result<Response<ResponseBody>, Refusal> {
        job.log(
            "request.admitted",
            &[
                ("route", (&job.route).into()),
                ("service", (&job.service).into()),
                ("workspace", job.workspace.as_deref().unwrap_or("").into()),
                ("version", job.document.version.into()),
                ("priority", u32::from(job.priority).into()),
                ("cost", charge.tokens().into()),
                ("time_ms", job.deadline.since(job.arrived).into()),
                (
                    "resumes",
                    job.metadata.resumes.as_deref().unwrap_or("").into(),
                ),
                (
                    "after_event",
                    job.metadata.last_event_id.as_deref().unwrap_or("").into(),
                ),
            ],
        );
        self.forwarder.record_first_attempt(&job);
        respond_from_endpoint(self.forwarder.clone(), job, charge).await
    }
}

/// Sends a response without length and chunks. hyper adds chunks to one of HTTP/1.1.
fn end_with_connection(res: &mut Response<ResponseBody>, end: &ConnectionEnd) {
    *res.version_mut() = Version::HTTP_10;
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
    res.body_mut().bind(end);
}

/// Bounds what the kernel holds for each caller. Accepted connections take these sizes over.
fn bound_socket_buffers(listener: &TcpListener) -> std::io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)
}

fn find_route<'a>(document: &'a Document, req: &Request<Incoming>) -> Result<&'a Route, Refusal> {
    let host = req.headers().get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let name = name.to_ascii_lowercase();
    let route = document.route(&name, req.uri().path());
    route.ok_or(Refusal::new(Code::NoRoute))
}

/// Returns the workspace of the caller's key: `None` on public routes, and if the
/// configuration has no workspaces.
fn admit<'a>(
    document: &'a Document,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<&'a Workspace>, Refusal> {
    if route.is_public || document.workspaces.is_empty() {
        return Ok(None);
    }
    let key = metadata.key.as_ref().ok_or(Refusal::new(Code::BadKey))?;
    let workspace = document.workspace_of(key);
    workspace.map(Some).ok_or(Refusal::new(Code::BadKey))
}

fn hash_of(id: &CompactString) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}
