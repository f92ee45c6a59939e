//! HTTP client of the endpoint beside the agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

use crate::error::{Error, Result};
use crate::http::{HttpClient, client, fetch, is_final, send};
use crate::ledger::EndpointReport;
use crate::wire::{Action, Call, Fence, Order};

/// Interval at which the endpoint's report or health check is polled.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long the endpoint may take to respond to a report request, a health check or an order.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The result of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The endpoint accepted it.
    Accepted,
    /// The endpoint certainly did not accept it.
    Refused,
    /// No definite response: it may still take effect.
    Unknown,
}

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so the endpoint did not receive it.
    NotSent,
    /// The endpoint may have received it.
    MayHaveRun,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    model: &'a str,
    fence: Fence,
    bytes: u64,
}

/// A client of one endpoint.
pub struct EndpointClient {
    base: String,
    pooled: HttpClient,
    /// Opens a new connection for each request, because a pooled one may close
    /// while a call that must not be retried is written to it.
    unpooled: HttpClient,
}

impl EndpointClient {
    /// A client of the endpoint at this address.
    pub fn new(addr: SocketAddr) -> Self {
        let mut connector = hyper_util::client::legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let unpooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            base: format!("http://{addr}"),
            pooled: client(),
            unpooled,
        }
    }

    /// Reads the endpoint's report of its memory.
    pub async fn fetch_report(&self) -> Result<EndpointReport> {
        let uri = format!("{}/status", self.base);
        let body = fetch(
            &self.pooled,
            Method::GET,
            &uri,
            Bytes::new(),
            RESPONSE_TIMEOUT,
        )
        .await?;
        serde_json::from_slice(&body).map_err(|e| Error::Http(e.to_string()))
    }

    /// Whether the health check of the endpoint succeeds.
    pub async fn is_up(&self) -> bool {
        let uri = format!("{}/healthz", self.base);
        let res = fetch(
            &self.pooled,
            Method::GET,
            &uri,
            Bytes::new(),
            RESPONSE_TIMEOUT,
        )
        .await;
        res.is_ok()
    }

    /// Sends an order with the agent's own fencing number, which increases from
    /// one agent of the endpoint to the next.
    pub async fn send_order(&self, order: &Order, agent_fence: Fence) -> OrderResult {
        let action = match order.action {
            Action::Load => "load",
            Action::Unload => "unload",
        };
        let uri = format!("{}/models/{action}", self.base);
        let body = OrderBody {
            model: &order.model,
            fence: agent_fence,
            bytes: order.bytes,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let res = send(&self.unpooled, Method::POST, &uri, body.into());
        match tokio::time::timeout(RESPONSE_TIMEOUT, res).await {
            Ok(Ok(res)) if res.status().is_success() => OrderResult::Accepted,
            // A gateway timeout leaves open whether the order takes effect.
            Ok(Ok(res)) if res.status() != StatusCode::GATEWAY_TIMEOUT => OrderResult::Refused,
            _ => OrderResult::Unknown,
        }
    }

    /// Sends a call and waits for the response head.
    pub async fn send_call(
        &self,
        call: &Call,
    ) -> std::result::Result<Response<Incoming>, CallError> {
        let uri = format!("{}{}", self.base, call.path);
        let req = Request::builder()
            .method(call.method.as_str())
            .uri(uri)
            .header("content-type", call.content_type.as_str())
            .header("x-request-id", call.request.to_string())
            .header("x-workspace", call.workspace.as_str())
            .body(Full::new(call.body.clone()))
            .map_err(|_| CallError::NotSent)?;
        let client = match call.idempotent {
            true => &self.pooled,
            false => &self.unpooled,
        };
        let res = client.request(req).await.map_err(|error| {
            log::info!(
                "request {}: call to the endpoint failed: {error}",
                call.request
            );
            match error.is_connect() {
                true => CallError::NotSent,
                false => CallError::MayHaveRun,
            }
        })?;
        if !is_final(res.status()) {
            log::info!(
                "request {}: the endpoint answered with status {}",
                call.request,
                res.status().as_u16()
            );
            return Err(CallError::MayHaveRun);
        }
        Ok(res)
    }
}
