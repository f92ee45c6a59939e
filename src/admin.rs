//! The admin port of each process: state dump, metrics, health check and drain.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use crate::code::Code;
use crate::error::Result;
use crate::http::{Request, Respond, Response, Server, buffered, json as json_response, serve};
use crate::metrics::Metrics;

/// A request from the admin port to the process's control thread.
#[derive(Debug)]
pub enum AdminRequest {
    /// Return the process's state.
    Dump(oneshot::Sender<Value>),
    /// Shut down gracefully.
    Drain,
    /// A configuration with this revision exists.
    Hint(u64),
}

/// Serves the requests of the admin port.
pub struct Admin {
    requests: mpsc::UnboundedSender<AdminRequest>,
    metrics: Arc<Metrics>,
}

impl Admin {
    /// Starts the admin server.
    pub fn start(
        addr: SocketAddr,
        requests: mpsc::UnboundedSender<AdminRequest>,
        metrics: Arc<Metrics>,
    ) -> Result<Server> {
        serve(addr, 1, Arc::new(Self { requests, metrics }))
    }

    async fn dump(&self) -> Response {
        let (tx, rx) = oneshot::channel();
        let _ = self.requests.send(AdminRequest::Dump(tx));
        match rx.await {
            Ok(state) => json_response(StatusCode::OK, &state),
            Err(_) => error_response(Code::Draining),
        }
    }

    fn hint(&self, revision: &str) -> Response {
        let Ok(revision) = revision.parse() else {
            return error_response(Code::BadBody);
        };
        let _ = self.requests.send(AdminRequest::Hint(revision));
        json_response(StatusCode::OK, &json!({ "ok": true }))
    }
}

impl Respond for Admin {
    async fn respond(self: Arc<Self>, req: Request) -> Response {
        match (&req.method, req.uri.path()) {
            (&Method::GET, "/state") => self.dump().await,
            (&Method::GET, "/metrics") => buffered(
                StatusCode::OK,
                "text/plain; version=0.0.4",
                self.metrics.render(),
            ),
            (&Method::GET, "/healthz") => json_response(StatusCode::OK, &json!({ "ok": true })),
            (&Method::POST, "/drain") => {
                let _ = self.requests.send(AdminRequest::Drain);
                json_response(StatusCode::ACCEPTED, &json!({ "draining": true }))
            }
            (&Method::POST, path) => match path.strip_prefix("/hint/") {
                Some(revision) => self.hint(revision),
                None => error_response(Code::NoRoute),
            },
            _ => error_response(Code::NoRoute),
        }
    }
}

fn error_response(code: Code) -> Response {
    let body = json!({ "error": { "code": code.number(), "message": code.message() } });
    json_response(code.status(), &body)
}
