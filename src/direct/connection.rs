//! HTTP client connections to endpoints, the store and other gateways.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{AbortHandle, JoinHandle, spawn_local};
use tokio::time::timeout;

use crate::clock::Millis;
use crate::http::is_final;

/// A connection is closed when sent bytes stay unacknowledged for this long. It
/// covers several round trips between zones and one retransmission, which Linux
/// sends after 200 ms at the earliest.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first keepalive probe, and between probes. One second is
/// the shortest time that the socket options take.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Limits of responses, which a server in trouble may exceed without end.
#[derive(Clone, Copy, Debug)]
pub struct ResponseLimits {
    /// The most bytes of a head, and the most that are read ahead of the caller.
    pub buffer_bytes: usize,
    /// The largest body that [`call`] reads.
    pub body_bytes: usize,
}

/// Limits of endpoints, many of which may be in trouble at once. A body is an
/// engine's report, which lists its models, adapters and runs.
pub const ENDPOINT_LIMITS: ResponseLimits = ResponseLimits {
    buffer_bytes: 16 << 10,
    body_bytes: 256 << 10,
};
/// Limits of the store and of other gateways, of which a few calls are made at once.
/// A body holds the store's largest value in base64 and the other fields of an item.
pub const CALL_LIMITS: ResponseLimits = ResponseLimits {
    buffer_bytes: 256 << 10,
    body_bytes: 4 << 20,
};

/// Why a request got no response. The variants tell whether it is safe to send
/// the request again.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request left this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request, or a part of it, may have reached the server.
    #[error("no answer: {0}")]
    Unanswered(String),
}

/// Sets `TCP_NODELAY`, and the keepalive and user timeouts by which the kernel
/// detects an unreachable peer.
pub fn configure_tcp(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    stream.set_nodelay(true)
}

/// A client connection that carries one request at a time; dropped, it closes.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    is_reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects within the given time. Must be called in a `LocalSet`.
    pub async fn open(
        address: SocketAddr,
        within: Millis,
        limits: ResponseLimits,
    ) -> Result<Self, ExchangeError> {
        let not_sent = |e: String| ExchangeError::NotSent(e);
        let opening = async {
            let socket = TcpSocket::new_v4().map_err(|e| e.to_string())?;
            let stream = socket.connect(address).await.map_err(|e| e.to_string())?;
            configure_tcp(&stream).map_err(|e| e.to_string())?;
            let io = TokioIo::new(stream);
            let mut client = http1::Builder::new();
            client.max_buf_size(limits.buffer_bytes);
            client.handshake(io).await.map_err(|e| e.to_string())
        };
        let opened = timeout(within.as_duration(), opening).await;
        let opened = opened.map_err(|_| not_sent("connect timed out".to_owned()))?;
        let (sender, connection) = opened.map_err(not_sent)?;
        let task = spawn_local(async move {
            // Whoever waits for a response gets the error as well.
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Self {
            sender,
            task,
            is_reused: false,
        })
    }

    /// A handle that closes the connection.
    pub fn closer(&self) -> AbortHandle {
        self.task.abort_handle()
    }

    /// Whether the connection is closed. `false` does not mean that the next
    /// request will succeed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection has carried a request.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Waits until the connection takes a request.
    pub async fn ready(&mut self) -> Result<(), ExchangeError> {
        let ready = self.sender.ready().await;
        ready.map_err(|e| ExchangeError::NotSent(e.to_string()))
    }

    /// Sends a request and waits for the head of the response. One with a status that HTTP does
    /// not define is no response.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.ready().await?;
        self.is_reused = true;
        match self.sender.try_send_request(req).await {
            Ok(res) if is_final(res.status()) => Ok(res),
            Ok(res) => {
                let status = res.status().as_u16();
                Err(ExchangeError::Unanswered(format!("status {status}")))
            }
            Err(mut error) => {
                let was_sent = error.take_message().is_none();
                let text = error.into_error().to_string();
                Err(match was_sent {
                    true => ExchangeError::Unanswered(text),
                    false => ExchangeError::NotSent(text),
                })
            }
        }
    }
}

/// Reads a whole response body; a longer one is an error.
async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, ExchangeError> {
    let read = Limited::new(body, max_bytes).collect().await;
    let read = read.map_err(|e| ExchangeError::Unanswered(e.to_string()))?;
    Ok(read.to_bytes())
}

/// A client of one server for calls with small responses; it pools idle
/// connections.
#[derive(Debug)]
pub struct CallClient {
    address: SocketAddr,
    limits: ResponseLimits,
    idle: Vec<Connection>,
}

/// The most idle connections that a [`CallClient`] keeps.
const MAX_IDLE_CONNECTIONS: usize = 4;

impl CallClient {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, limits: ResponseLimits) -> Self {
        Self {
            address,
            limits,
            idle: Vec::new(),
        }
    }

    /// Takes an idle connection that is still open, if there is one.
    pub fn take_idle(&mut self) -> Option<Connection> {
        self.idle.retain(|c| !c.is_closed());
        self.idle.pop()
    }

    /// Keeps a connection for a later call.
    pub fn put_idle(&mut self, connection: Connection) {
        if self.idle.len() < MAX_IDLE_CONNECTIONS && !connection.is_closed() {
            self.idle.push(connection);
        }
    }

    /// Closes all idle connections, after a call that got no response.
    pub fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Sends a call on an idle connection, or on a new one if none is left, and
/// reads the whole response.
pub async fn call(
    client: &std::cell::RefCell<CallClient>,
    call: Request<Bytes>,
    within: Millis,
) -> Result<Response<Bytes>, ExchangeError> {
    let (address, limits) = (client.borrow().address(), client.borrow().limits);
    let req = with_host(call, address);
    let idle_connection = client.borrow_mut().take_idle();
    let exchange = async {
        let mut connection = match idle_connection {
            Some(connection) => connection,
            None => Connection::open(address, within, limits).await?,
        };
        let (head, body) = connection.send(req).await?.into_parts();
        let is_reusable = !has_connection_close(&head.headers);
        let body = read_body(body, limits.body_bytes).await?;
        if is_reusable {
            client.borrow_mut().put_idle(connection);
        }
        Ok(Response::from_parts(head, body))
    };
    let result = timeout(within.as_duration(), exchange).await;
    let result = result.unwrap_or_else(|_| Err(ExchangeError::Unanswered("timed out".to_owned())));
    if result.is_err() {
        client.borrow_mut().close_idle();
    }
    result
}

/// Sends a call to an endpoint on a new connection and reads the whole response.
/// `may_send` is asked once the connection takes the request; `None` if it is not sent.
/// `hear` gets the head of the response, even if its body breaks off.
pub async fn call_endpoint(
    address: SocketAddr,
    call: Request<Bytes>,
    within: Millis,
    may_send: impl AsyncFnOnce() -> bool,
    hear: impl FnOnce(StatusCode, &HeaderMap),
) -> Result<Option<(StatusCode, Bytes)>, ExchangeError> {
    let limits = ENDPOINT_LIMITS;
    let exchange = async {
        let mut connection = Connection::open(address, within, limits).await?;
        connection.ready().await?;
        if !may_send().await {
            return Ok(None);
        }
        let res = connection.send(with_host(call, address)).await?;
        let status = res.status();
        hear(status, res.headers());
        let body = read_body(res.into_body(), limits.body_bytes).await?;
        Ok(Some((status, body)))
    };
    let result = timeout(within.as_duration(), exchange).await;
    result.unwrap_or_else(|_| Err(ExchangeError::Unanswered("timed out".to_owned())))
}

fn with_host(call: Request<Bytes>, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut req = call.map(Full::new);
    if let Ok(host) = http::HeaderValue::from_str(&address.to_string()) {
        req.headers_mut().insert(http::header::HOST, host);
    }
    req
}

/// Whether the headers announce that the server closes the connection after this
/// response.
pub fn has_connection_close(headers: &http::HeaderMap) -> bool {
    let mut values = headers.get_all(http::header::CONNECTION).iter();
    values.any(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}
