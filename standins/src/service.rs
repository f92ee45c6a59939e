//! Stand-in for a service without models. It records every run.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use rattanstall::http::{Request, Respond, Response, json, set_header, streamed};
use serde::{Deserialize, Serialize};

use crate::faults::{FAULTS_PATH, FaultInjector, bad_request};

/// One run of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRun {
    /// The request's identifier.
    pub request: String,
    /// The workspace.
    pub workspace: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: String,
    /// Names of all headers that the service saw.
    pub headers: Vec<String>,
}

/// A service that takes a fixed time for each call.
pub struct ServiceStandIn {
    work_ms: u64,
    runs: Mutex<Vec<ServiceRun>>,
    faults: FaultInjector,
}

impl ServiceStandIn {
    /// Creates a service whose calls take this long, in milliseconds.
    pub fn new(work_ms: u64) -> Self {
        Self {
            work_ms,
            runs: Mutex::default(),
            faults: FaultInjector::default(),
        }
    }

    fn record(&self, run: ServiceRun) -> usize {
        let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
        runs.push(run);
        runs.len()
    }

    async fn handle_call(&self, mut req: Request) -> Response {
        let Ok(body) = req.read_body(4 << 20, Duration::from_secs(5)).await else {
            return bad_request("the body did not arrive");
        };
        if let Err(refusal) = self.faults.before_call().await {
            return refusal;
        }
        let request_id = req.header("x-request-id").unwrap_or_default().to_owned();
        let number = self.record(ServiceRun {
            request: request_id.clone(),
            workspace: req.header("x-workspace").unwrap_or_default().to_owned(),
            path: req.uri.path().to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
            headers: req.headers.keys().map(|k| k.to_string()).collect(),
        });
        if self.work_ms > 0 {
            tokio::time::sleep(Duration::from_millis(self.work_ms)).await;
        }
        if self.faults.try_consume(|faults| &mut faults.cut_answers) {
            let truncated = async { Err(std::io::Error::other("cut")) };
            let chunks = futures_util::stream::once(truncated);
            return streamed(StatusCode::OK, "application/json", chunks);
        }
        let outcome = serde_json::json!({ "ok": true, "number": number, "request": request_id });
        let mut res = json(StatusCode::OK, &outcome);
        let id = match self
            .faults
            .try_consume(|faults| &mut faults.crossed_answers)
        {
            true => "00000000000000000000000000000000",
            false => &request_id,
        };
        set_header(&mut res, "x-request-id", id);
        self.faults.after_call(res).await
    }
}

impl Respond for ServiceStandIn {
    async fn respond(self: Arc<Self>, req: Request) -> Response {
        match req.uri.path() {
            FAULTS_PATH => self.faults.respond(req).await,
            "/healthz" => json(StatusCode::OK, &"ok"),
            "/control/runs" => {
                let runs = self.runs.lock().unwrap_or_else(|e| e.into_inner()).clone();
                json(StatusCode::OK, &runs)
            }
            _ => self.handle_call(req).await,
        }
    }
}
