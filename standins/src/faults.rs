//! Fault injection for the stand-ins.

use std::sync::Mutex;
use std::time::Duration;

use http::StatusCode;
use rattanstall::http::{Request, Response, json};
use serde::{Deserialize, Serialize};

/// The path that sets the faults (`PUT`).
pub const FAULTS_PATH: &str = "/control/faults";
/// How long a lost reply is held back; by then every client has timed out.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(12);

/// Faults to inject. All are off by default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every call before it has any effect.
    pub outage: bool,
    /// Delays every call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of calls whose replies are lost after they took effect; counts down.
    pub lost_replies: u32,
    /// Delays orders before they take effect, in milliseconds.
    pub late_orders_ms: u64,
    /// Number of calls whose responses are truncated; counts down.
    pub cut_answers: u32,
    /// Number of responses that carry another request's identifier; counts down.
    pub crossed_answers: u32,
}

/// The faults that a stand-in injects at present.
#[derive(Debug, Default)]
pub struct FaultInjector {
    faults: Mutex<Faults>,
}

impl FaultInjector {
    /// Returns the current faults.
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Handles a call to [`FAULTS_PATH`].
    pub async fn respond(&self, mut req: Request) -> Response {
        let Ok(body) = req.read_body(1 << 16, Duration::from_secs(1)).await else {
            return bad_request("the body did not arrive");
        };
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                *self.lock() = faults;
                json(StatusCode::OK, &self.get())
            }
            Err(error) => bad_request(&error.to_string()),
        }
    }

    /// Applies delay and outage before a call takes effect.
    pub async fn before_call(&self) -> Result<(), Response> {
        let faults = self.get();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        match self.get().outage {
            true => Err(unavailable()),
            false => Ok(()),
        }
    }

    /// Returns the reply. If it is to be lost, holds it back until the client has timed
    /// out, and then returns a refusal instead.
    pub async fn after_call(&self, res: Response) -> Response {
        if !self.try_consume(|faults| &mut faults.lost_replies) {
            return res;
        }
        tokio::time::sleep(LOST_REPLY_DELAY).await;
        unavailable()
    }

    /// Decrements a fault's counter; returns whether the fault is to be injected.
    pub fn try_consume(&self, counter: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.lock();
        let counter = counter(&mut faults);
        let is_due = *counter > 0;
        *counter = counter.saturating_sub(1);
        is_due
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Returns a refusal with status 503.
pub fn unavailable() -> Response {
    json(StatusCode::SERVICE_UNAVAILABLE, &"unavailable")
}

/// Returns a refusal with status 400.
pub fn bad_request(message: &str) -> Response {
    json(StatusCode::BAD_REQUEST, &message)
}
