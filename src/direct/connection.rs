//! HTTP connections to endpoints, the store and other gateways.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

use crate::clock::Millis;

/// Unacknowledged bytes for this long end a connection: several round trips
/// between zones and one retransmission (200 ms at least in Linux) with room.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which the kernel probes the other side, and between probes;
/// one second is the shortest that the socket option takes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// The largest answer that is read as a whole, in bytes: the store's largest
/// value in base64 and the other fields of an item.
const MAX_WHOLE_BYTES: usize = 4 << 20;

/// Why an exchange failed, as far as it matters to what may be repeated.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request left this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request, or a part of it, may have arrived.
    #[error("no answer: {0}")]
    Unanswered(String),
}

/// Sets what lets a connection notice that its other side is silent.
pub fn watch_for_silence(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    stream.set_nodelay(true)
}

/// An open connection that carries one request at a time. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects within a time; must run in a `LocalSet`.
    pub async fn open(address: SocketAddr, within: Millis) -> Result<Self, ExchangeError> {
        let not_sent = |e: String| ExchangeError::NotSent(e);
        let opening = async {
            let socket = TcpSocket::new_v4().map_err(|e| e.to_string())?;
            let stream = socket.connect(address).await.map_err(|e| e.to_string())?;
            watch_for_silence(&stream).map_err(|e| e.to_string())?;
            let io = TokioIo::new(stream);
            http1::handshake(io).await.map_err(|e| e.to_string())
        };
        let opened = timeout(within.as_duration(), opening).await;
        let opened = opened.map_err(|_| not_sent("connect timed out".to_owned()))?;
        let (sender, connection) = opened.map_err(not_sent)?;
        let task = spawn_local(async move {
            // The error also reaches whoever waits for an answer.
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Self { sender, task })
    }

    /// Whether it certainly carries no further request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        if let Err(error) = self.sender.ready().await {
            return Err(ExchangeError::NotSent(error.to_string()));
        }
        match self.sender.try_send_request(req).await {
            Ok(res) => Ok(res),
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

/// Reads an answer to its end.
pub async fn read_whole(body: Incoming) -> Result<Bytes, ExchangeError> {
    let read = Limited::new(body, MAX_WHOLE_BYTES).collect().await;
    let read = read.map_err(|e| ExchangeError::Unanswered(e.to_string()))?;
    Ok(read.to_bytes())
}

/// A client for calls whose answers are small: it keeps one idle connection.
#[derive(Debug)]
pub struct CallClient {
    address: SocketAddr,
    idle: Vec<Connection>,
}

/// Idle connections that a [`CallClient`] keeps.
const MAX_IDLE: usize = 4;

impl CallClient {
    /// A client of one address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Vec::new(),
        }
    }

    /// An idle connection, if one is left.
    pub fn take_idle(&mut self) -> Option<Connection> {
        self.idle.retain(|c| !c.is_closed());
        self.idle.pop()
    }

    /// Keeps a connection for the next call.
    pub fn put_idle(&mut self, connection: Connection) {
        if self.idle.len() < MAX_IDLE && !connection.is_closed() {
            self.idle.push(connection);
        }
    }

    /// Closes what is idle, after a call that got no answer.
    pub fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Where it connects.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Performs one call on a connection of its own or a kept one.
pub async fn call(
    client: &std::cell::RefCell<CallClient>,
    call: Request<Bytes>,
    within: Millis,
) -> Result<(StatusCode, Bytes), ExchangeError> {
    let address = client.borrow().address();
    let req = with_host(call, address);
    let kept = client.borrow_mut().take_idle();
    let exchange = async {
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(address, within).await?,
        };
        let res = connection.send(req).await?;
        let status = res.status();
        let may_stay = !says_close(res.headers());
        let body = read_whole(res.into_body()).await?;
        if may_stay {
            client.borrow_mut().put_idle(connection);
        }
        Ok((status, body))
    };
    let done = timeout(within.as_duration(), exchange).await;
    let done = done.unwrap_or_else(|_| Err(ExchangeError::Unanswered("timed out".to_owned())));
    if done.is_err() {
        client.borrow_mut().close_idle();
    }
    done
}

fn with_host(call: Request<Bytes>, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut req = call.map(Full::new);
    if let Ok(host) = http::HeaderValue::from_str(&address.to_string()) {
        req.headers_mut().insert(http::header::HOST, host);
    }
    req
}

/// Whether the other side closes the connection after this answer.
pub fn says_close(headers: &http::HeaderMap) -> bool {
    let mut values = headers.get_all(http::header::CONNECTION).iter();
    values.any(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
}
