//! The HTTP server for the load balancer, operators and other gateways. What a crowd of
//! callers may hold there is bounded: connections, bytes and requests a second.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until};

use crate::error::{Error, Result};

/// Connections that a server keeps; a further one takes the place of another.
const MAX_CONNECTIONS: usize = 64;
/// The largest request head. Bodies are not read.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Capacity of the kernel's buffer of received bytes that were not read.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Bytes of responses that callers have yet to read. A state dump of a large fleet has
/// some hundred kilobytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The time of one request, with the wait for it on an idle connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// The shortest time between two requests of a connection, for each connection that is open:
/// it bounds the rate of a crowd to 200 a second, and a check each second never waits.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
/// Delay after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Answers requests without their bodies.
pub trait Answer: Send + Sync + 'static {
    /// Answers a request.
    fn answer(&self, req: &Parts) -> Response<Bytes>;
}

/// A response with a body of this type.
pub fn buffered(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Bytes> {
    let mut res = Response::new(body.into());
    *res.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    res.headers_mut().insert(header::CONTENT_TYPE, content_type);
    res
}

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Bytes> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    buffered(status, "application/json", body)
}

/// Starts a server on its own thread. It ends with the process.
pub fn serve(address: SocketAddr, handler: Arc<dyn Answer>) -> Result<()> {
    let binding = |e| Error::io(format!("binding TCP {address}"), e);
    let listener = std::net::TcpListener::bind(address).map_err(binding)?;
    listener.set_nonblocking(true).map_err(binding)?;
    let buffer = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    buffer.map_err(binding)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| Error::io("starting an HTTP server", e))?;
    let run = move || {
        let server = Rc::new(SideServer {
            handler,
            connections: RefCell::default(),
            response_bytes: Cell::default(),
        });
        LocalSet::new().block_on(&runtime, server.accept(listener));
    };
    let thread = std::thread::Builder::new().name("side-server".to_owned());
    thread
        .spawn(run)
        .map_err(|e| Error::io("starting an HTTP server", e))?;
    Ok(())
}

struct SideServer {
    handler: Arc<dyn Answer>,
    connections: RefCell<Vec<Connection>>,
    response_bytes: Cell<usize>,
}

struct Connection {
    progress: Rc<Progress>,
    task: AbortHandle,
}

struct Progress {
    server: Rc<SideServer>,
    /// The time of the last request, of which it has had one, or of the connection.
    last: Cell<(bool, Instant)>,
    /// Bytes of its last response.
    response_bytes: Cell<usize>,
}

impl Progress {
    fn hold(&self, bytes: usize) {
        let held = &self.server.response_bytes;
        held.set(held.get() + bytes - self.response_bytes.replace(bytes));
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.hold(0);
    }
}

impl SideServer {
    async fn accept(self: Rc<Self>, listener: std::net::TcpListener) {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!("failed to listen: {error}");
                return;
            }
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.add(stream),
                Err(error) => {
                    log::warn!("failed to accept a connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
            // A request that has arrived is answered before the next connection may take
            // the place of this one.
            yield_now().await;
        }
    }

    fn add(self: &Rc<Self>, stream: TcpStream) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.task.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            // The one that has had no request for longest, first of those without any.
            let order = connections.iter().enumerate();
            let oldest = order.min_by_key(|(_, connection)| connection.progress.last.get());
            if let Some((at, _)) = oldest {
                connections.swap_remove(at).task.abort();
            }
        }
        let progress = Rc::new(Progress {
            server: self.clone(),
            last: Cell::new((false, Instant::now())),
            response_bytes: Cell::default(),
        });
        let task = spawn_local(self.clone().serve(stream, progress.clone())).abort_handle();
        connections.push(Connection { progress, task });
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, progress: Rc<Progress>) {
        let service = service_fn(|req: Request<Incoming>| {
            let (server, progress) = (self.clone(), progress.clone());
            async move { Ok::<_, Infallible>(server.respond(req, &progress).await) }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(REQUEST_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = served.await {
            log::debug!("a connection of the load balancer, an operator or a peer failed: {error}");
        }
        progress.hold(0);
    }

    async fn respond(&self, req: Request<Incoming>, progress: &Progress) -> Response<Full<Bytes>> {
        let (has_had_one, last) = progress.last.replace((true, Instant::now()));
        if has_had_one {
            let open = self.connections.borrow().len() as u32;
            sleep_until(last + MIN_INTERVAL * open).await;
        }
        let has_body = !req.body().is_end_stream();
        let (parts, _body) = req.into_parts();
        let mut res = self.handler.answer(&parts);
        if self.response_bytes.get() + res.body().len() > MAX_RESPONSE_BYTES {
            res = buffered(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "");
        }
        progress.hold(res.body().len());
        if has_body {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
        res.map(Full::new)
    }
}
