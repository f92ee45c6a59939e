//! Faults that a stand-in shows on request.

use std::sync::Mutex;
use std::time::Duration;

use http::StatusCode;
use rattanstall::http::{Request, Response, json};
use serde::{Deserialize, Serialize};

/// The path at which faults are set (`PUT`) .
pub const FAULTS_PATH: &str = "/control/faults";
/// How long a reply is held back so that every client has given up.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(12);

/// What goes wrong. Everything is off by default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every call before it has any effect.
    pub outage: bool,
    /// Delays every call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Calls whose replies are lost after they took effect; counts down.
    pub lost_replies: u32,
    /// Delays orders before they take effect, in milliseconds.
    pub late_orders_ms: u64,
    /// Calls that are cut in the middle of their answers; counts down.
    pub cut_answers: u32,
    /// Answers that carry another request's identifier; counts down.
    pub crossed_answers: u32,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct FaultInjector {
    faults: Mutex<Faults>,
}

impl FaultInjector {
    /// The faults as they are.
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Answers a call to [`FAULTS_PATH`].
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

    /// Waits and refuses as the faults demand, before a call takes effect.
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

    /// Holds the reply back if it is to be lost.
    pub async fn after_call(&self, res: Response) -> Response {
        if !self.try_consume(|faults| &mut faults.lost_replies) {
            return res;
        }
        tokio::time::sleep(LOST_REPLY_DELAY).await;
        unavailable()
    }

    /// Counts one fault down; `true` if it is to be shown.
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

/// A refusal with status 503.
pub fn unavailable() -> Response {
    json(StatusCode::SERVICE_UNAVAILABLE, &"unavailable")
}

/// A refusal with status 400.
pub fn bad_request(message: &str) -> Response {
    json(StatusCode::BAD_REQUEST, &message)
}
