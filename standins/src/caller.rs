//! HTTP client that acts as a caller in tests and measurements.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use rattanstall::http::{HttpClient, client};
use serde_json::{Value, json};

/// A response as the caller received it.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The part of the body that arrived.
    pub body: Bytes,
    /// Whether the body arrived without an error.
    pub is_complete: bool,
}

impl ReceivedResponse {
    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The result code of an error response, zero if there is none.
    pub fn code(&self) -> u64 {
        self.json()["error"]["code"].as_u64().unwrap_or_default()
    }

    /// The `ran` field of an error response: `yes`, `no` or `unknown`; empty if there is none.
    pub fn ran(&self) -> String {
        let body = self.json();
        body["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }
}

/// Optional headers of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestOptions<'a> {
    /// The API key.
    pub key: Option<&'a str>,
    /// The idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// The class.
    pub class: Option<&'a str>,
}

/// Sends requests to one address.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    base: String,
}

impl Caller {
    /// Creates a caller that sends to this address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            client: client(),
            base: format!("http://{addr}"),
        }
    }

    /// Sends a request and returns the response with its body unread.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        options: &RequestOptions<'_>,
        body: impl Into<Bytes>,
    ) -> Result<http::Response<Incoming>, hyper_util::client::legacy::Error> {
        let mut req = http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json");
        if let Some(key) = options.key {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        if let Some(key) = options.idempotency_key {
            req = req.header("idempotency-key", key);
        }
        if let Some(class) = options.class {
            req = req.header("x-class", class);
        }
        let req = req.body(Full::new(body.into())).expect("a valid request");
        self.client.request(req).await
    }

    /// Sends a request and reads the response to its end.
    pub async fn request(
        &self,
        method: Method,
        path: &str,
        options: &RequestOptions<'_>,
        body: impl Into<Bytes>,
    ) -> Result<ReceivedResponse, hyper_util::client::legacy::Error> {
        let res = self.send(method, path, options, body).await?;
        Ok(read_response(res).await)
    }

    /// Posts JSON and reads the response to its end.
    pub async fn post(
        &self,
        path: &str,
        options: &RequestOptions<'_>,
        body: &Value,
    ) -> Result<ReceivedResponse, hyper_util::client::legacy::Error> {
        self.request(Method::POST, path, options, body.to_string())
            .await
    }

    /// Sets the faults that a stand-in injects.
    pub async fn set_faults(&self, faults: &crate::faults::Faults) {
        let body = serde_json::to_string(faults).expect("faults are JSON");
        let path = crate::faults::FAULTS_PATH;
        let res = self
            .request(Method::PUT, path, &RequestOptions::default(), body)
            .await;
        assert_eq!(res.expect("the stand-in responds").status, StatusCode::OK);
    }

    /// Reads JSON from a stand-in or an operators' port; none if the request fails.
    pub async fn get(&self, path: &str) -> Option<Value> {
        let res = self
            .request(Method::GET, path, &RequestOptions::default(), "")
            .await;
        Some(res.ok()?.json())
    }
}

/// Returns the body of a chat request.
pub fn chat(model: &str, prompt: &str, max_tokens: u64, is_streamed: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max_tokens,
        "stream": is_streamed,
    })
}

async fn read_response(res: http::Response<Incoming>) -> ReceivedResponse {
    let (head, mut body) = res.into_parts();
    let mut buf = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    buf.extend_from_slice(&data);
                }
            }
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    ReceivedResponse {
        status: head.status,
        headers: head.headers,
        body: buf.into(),
        is_complete,
    }
}
