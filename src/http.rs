//! Small helpers around the HTTP server and client libraries.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use xitca_web::body::{BodyExt as _, RequestBody, ResponseBody, StreamDataBody};
use xitca_web::handler::body::Body;
use xitca_web::handler::handler_service;
use xitca_web::{App, WebContext};

use crate::error::{Error, Result};

/// A response of the HTTP server.
pub type Response = http::Response<ResponseBody>;

/// An HTTP client that never retries a request by itself.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// How long a caller may take to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an idle caller connection is kept open.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);

/// How much of a body that is too large is read and discarded, in bytes.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// How long a stopping server waits for finished responses to be written.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// A request as received by the HTTP server.
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, until it is read.
    body: Option<RequestBody>,
    /// Whether the whole request was read from the connection.
    is_fully_read: bool,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It did not arrive in time.
    Timeout,
    /// The connection broke or the encoding is not valid.
    Broken,
}

impl Request {
    /// A header's value, if it is printable text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether the whole request was read. If not, the connection cannot carry
    /// another one, and the response must say so.
    pub fn is_fully_read(&self) -> bool {
        self.is_fully_read
    }

    /// Reads the whole body, limited in size and time.
    pub async fn read_body(
        &mut self,
        max_bytes: usize,
        timeout: Duration,
    ) -> std::result::Result<Bytes, BodyError> {
        let Some(body) = self.body.take() else {
            return Ok(Bytes::new());
        };
        let read = read_limited(body, max_bytes);
        let read = tokio::time::timeout(timeout, read).await;
        let body = read.map_err(|_| BodyError::Timeout)??;
        self.is_fully_read = true;
        Ok(body)
    }
}

/// Reads a body of at most `max_bytes`. The rest of a larger one is read and
/// discarded, up to a limit, so that the caller receives the refusal instead of
/// a broken connection.
async fn read_limited(
    body: RequestBody,
    max_bytes: usize,
) -> std::result::Result<Bytes, BodyError> {
    let mut body = pin!(body);
    let mut buf = BytesMut::new();
    let mut discarded = 0;
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if discarded > 0 || buf.len() + chunk.len() > max_bytes {
            discarded += chunk.len();
        } else {
            buf.extend_from_slice(&chunk);
        }
        if discarded > MAX_DISCARDED_BYTES {
            return Err(BodyError::TooLarge);
        }
    }
    match discarded {
        0 => Ok(buf.freeze()),
        _ => Err(BodyError::TooLarge),
    }
}

/// A handler of HTTP requests.
pub trait Respond: Send + Sync + 'static {
    /// Responds to one request.
    fn respond(self: Arc<Self>, req: Request) -> impl Future<Output = Response>;
}

/// A running HTTP server.
pub struct Server {
    stop: Box<dyn FnOnce() + Send>,
}

impl Server {
    /// Closes the listener and waits for finished responses to be written.
    /// The server's threads are not joined, because they would wait half a
    /// minute for idle connections. They end with the process.
    pub fn stop(self) {
        (self.stop)();
        std::thread::sleep(FLUSH_DELAY);
    }
}

/// Starts a server on its own threads.
pub fn serve<H: Respond>(addr: SocketAddr, threads: usize, handler: Arc<H>) -> Result<Server> {
    let mut server = App::new()
        .with_state(handler)
        .at("/{*}", handler_service(dispatch::<H>))
        .serve()
        .worker_threads(threads)
        .disable_signal()
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .request_head_timeout(HEAD_TIMEOUT)
        .keep_alive_timeout(IDLE_CONNECTION_TIMEOUT)
        .bind(addr)
        .map_err(|e| Error::io(format!("binding TCP {addr}"), e))?
        .run();
    let handle = server
        .handle()
        .map_err(|e| Error::io("starting the HTTP server", e))?;
    std::thread::spawn(move || server.wait());
    let stop = Box::new(move || handle.stop(true));
    Ok(Server { stop })
}

async fn dispatch<H: Respond>(
    cx: &WebContext<'_, Arc<H>>,
    Body(body): Body<RequestBody>,
) -> Response {
    let handler = cx.state().clone();
    let headers = cx.req().headers().clone();
    let content_length = headers.get(header::CONTENT_LENGTH);
    let is_empty = content_length.is_none_or(|length| length == "0")
        && !headers.contains_key(header::TRANSFER_ENCODING);
    let req = Request {
        method: cx.req().method().clone(),
        uri: cx.req().uri().clone(),
        headers,
        body: Some(body),
        is_fully_read: is_empty,
    };
    handler.respond(req).await
}

/// A response whose whole body is in memory.
pub fn buffered(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response {
    let mut res = Response::new(ResponseBody::bytes(body.into()));
    *res.status_mut() = status;
    set_header(&mut res, header::CONTENT_TYPE.as_str(), content_type);
    res
}

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    buffered(status, "application/json", body)
}

/// A response whose body is streamed. An error item aborts the connection.
pub fn streamed<S>(status: StatusCode, content_type: &str, stream: S) -> Response
where
    S: Stream<Item = std::result::Result<Bytes, std::io::Error>> + 'static,
{
    let mut res = Response::new(ResponseBody::boxed(StreamDataBody::new(stream)));
    *res.status_mut() = status;
    set_header(&mut res, header::CONTENT_TYPE.as_str(), content_type);
    res
}

/// Sets a response header. An invalid name or value is ignored.
pub fn set_header(res: &mut Response, name: &str, value: &str) {
    let name = header::HeaderName::try_from(name);
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        res.headers_mut().insert(name, value);
    }
}

/// A client with pooled connections.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(20))
        .retry_canceled_requests(false)
        .build(connector)
}

/// Whether a status can be that of a response. The library also takes 600 to 999, which HTTP does
/// not define, and 101, although no request asks for another protocol.
pub fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Sends a JSON body and reads a JSON response, within a timeout.
pub async fn exchange<T: Serialize, R: DeserializeOwned>(
    client: &HttpClient,
    method: Method,
    uri: &str,
    message: Option<&T>,
    timeout: Duration,
) -> Result<R> {
    let body = match message {
        Some(message) => serde_json::to_vec(message).map_err(http_error)?,
        None => Vec::new(),
    };
    let bytes = fetch(client, method, uri, body.into(), timeout).await?;
    serde_json::from_slice(&bytes).map_err(http_error)
}

/// Sends a body and reads the whole response, within a timeout.
/// A status other than 2xx is an error.
pub async fn fetch(
    client: &HttpClient,
    method: Method,
    uri: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Bytes> {
    fetch_request(client, build_request(method, uri, body)?, timeout).await
}

/// Sends a request and reads the whole response, within a timeout.
/// A status other than 2xx is an error.
pub async fn fetch_request(
    client: &HttpClient,
    req: http::Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Bytes> {
    let uri = req.uri().clone();
    let exchange = async {
        let res = client.request(req).await.map_err(http_error)?;
        let status = res.status();
        let bytes = res.into_body().collect().await.map_err(http_error)?;
        let bytes = bytes.to_bytes();
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes);
            return Err(Error::Http(format!("{status}: {text}")));
        }
        Ok(bytes)
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Error::Http(format!("{uri}: timeout"))),
    }
}

/// Sends a request and returns the response with its body unread.
pub async fn send(
    client: &HttpClient,
    method: Method,
    uri: &str,
    body: Bytes,
) -> Result<http::Response<Incoming>> {
    let req = build_request(method, uri, body)?;
    let res = client.request(req).await.map_err(http_error)?;
    match is_final(res.status()) {
        true => Ok(res),
        false => Err(http_error(format!("status {}", res.status().as_u16()))),
    }
}

/// Builds a request with a JSON body.
pub fn build_request(method: Method, uri: &str, body: Bytes) -> Result<http::Request<Full<Bytes>>> {
    http::Request::builder()
        .method(method)
        .uri(uri)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(http_error)
}

fn http_error(error: impl std::fmt::Display) -> Error {
    Error::Http(error.to_string())
}
