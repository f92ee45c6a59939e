//! Handles one call: waits in the queue, sends it to the endpoint, relays the response.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use quinn::SendStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::endpoint::CallError;
use super::queue::{QueueRequest, Refusal, Ticket};
use super::{Admission, Agent};
use crate::clock::Millis;
use crate::code::{Code, Ran};
use crate::settings::EndpointSettings;
use crate::transport::write_frame;
use crate::wire::{Call, Outcome, Reply, Target};

/// Retry time sent with a refusal for which the queue gave none, for instance
/// because the agent is draining or the endpoint is not reachable.
const UNAVAILABLE_RETRY_MS: u64 = 1_000;
/// Maximum number of response body bytes kept with an outcome. Chunks that do not fit
/// are left out.
const MAX_KEPT_BODY_BYTES: usize = 64 << 10;

/// Counts a call as open until it is dropped.
struct OpenCallGuard<'a>(&'a Agent);

impl<'a> OpenCallGuard<'a> {
    fn new(agent: &'a Agent) -> Self {
        agent.open_calls.set(agent.open_calls.get() + 1);
        Self(agent)
    }
}

impl Drop for OpenCallGuard<'_> {
    fn drop(&mut self) {
        let open = self.0.open_calls.get();
        self.0.open_calls.set(open.saturating_sub(1));
    }
}

/// Removes a call from the queue when it is dropped.
struct QueueGuard<'a> {
    agent: &'a Agent,
    ticket: Ticket,
    started_at: Option<Millis>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let ran_for = self.started_at.map(|at| self.agent.now().since(at));
        self.agent.queue.borrow_mut().finish(self.ticket, ran_for);
        self.agent
            .waiters
            .borrow_mut()
            .retain(|(ticket, _)| *ticket != self.ticket);
        self.agent.start_waiting_calls();
    }
}

impl Agent {
    /// Serves one call to its end.
    pub(super) async fn serve_call(self: Rc<Self>, call: Call, mut tx: SendStream) {
        let _open = OpenCallGuard::new(&self);
        if let Err(code) = self.check_call(&call) {
            send_refusal(&mut tx, &call, code, UNAVAILABLE_RETRY_MS).await;
            return;
        }
        let now = self.now();
        let req = QueueRequest {
            workspace: call.workspace.clone(),
            urgency: call.urgency,
            deadline: now + Millis(call.first_token_in_ms),
            cost: call.cost_tokens,
        };
        let max_wait = Millis(call.first_token_in_ms);
        let (ticket, rx) = match self.enqueue(req) {
            Ok(queued) => queued,
            Err(refusal) => {
                send_refusal(&mut tx, &call, refusal.code, refusal.retry_after.0).await;
                return;
            }
        };
        let mut guard = QueueGuard {
            agent: &self,
            ticket,
            started_at: None,
        };
        let admission = tokio::select! {
            admission = timeout(max_wait.as_duration(), rx) => admission,
            _ = tx.stopped() => return,
        };
        // The levels are: before the timeout, channel still open, admitted by the queue.
        match admission {
            Ok(Ok(Ok(()))) => {}
            Ok(Ok(Err(refusal))) => {
                send_refusal(&mut tx, &call, refusal.code, refusal.retry_after.0).await;
                return;
            }
            Ok(Err(_)) | Err(_) => {
                send_refusal(&mut tx, &call, Code::TargetMissed, UNAVAILABLE_RETRY_MS).await;
                return;
            }
        }
        guard.started_at = Some(self.now());
        self.run_call(&call, &mut tx).await;
    }

    fn check_call(&self, call: &Call) -> Result<(), Code> {
        if self.is_closed() || self.is_superseded.get() {
            return Err(Code::Draining);
        }
        let is_served_here = match (&call.target, &self.settings.endpoint) {
            (Target::Model(model), EndpointSettings::Engine { .. }) => {
                self.ledger.borrow().is_ready(model)
            }
            (Target::Service(name), EndpointSettings::Service { service, .. }) => name == service,
            _ => false,
        };
        match is_served_here {
            true => Ok(()),
            false => Err(Code::NoEndpoint),
        }
    }

    fn enqueue(
        &self,
        req: QueueRequest,
    ) -> Result<(Ticket, oneshot::Receiver<Admission>), Refusal> {
        let ticket = self.queue.borrow_mut().push(self.now(), req)?;
        let evicted = self.queue.borrow_mut().take_evicted();
        for (ticket, refusal) in evicted {
            self.notify_waiter(ticket, Err(refusal));
        }
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().push((ticket, tx));
        self.start_waiting_calls();
        Ok((ticket, rx))
    }

    /// Starts waiting calls while the endpoint has free slots.
    fn start_waiting_calls(&self) {
        loop {
            let Some(ticket) = self.queue.borrow_mut().start_next() else {
                return;
            };
            self.notify_waiter(ticket, Ok(()));
        }
    }

    fn notify_waiter(&self, ticket: Ticket, admission: Admission) {
        let mut waiters = self.waiters.borrow_mut();
        if let Some(at) = waiters.iter().position(|(t, _)| *t == ticket) {
            let (_, tx) = waiters.swap_remove(at);
            let _ = tx.send(admission);
        }
    }

    async fn run_call(&self, call: &Call, tx: &mut SendStream) {
        if call.idempotent {
            // If the gateway stops the stream, the call to the endpoint is cancelled.
            let stopped = tx.stopped();
            tokio::select! {
                _ = stopped => {}
                _ = self.relay(call, tx) => {}
            }
            return;
        }
        let is_first = self
            .outcomes
            .borrow_mut()
            .begin(call.request, call.workspace.clone());
        assert!(
            is_first,
            "{} call {} would run twice",
            Code::InvariantBroken.number(),
            call.request,
        );
        let outcome = self.relay(call, tx).await;
        self.outcomes.borrow_mut().end(call.request, outcome);
    }

    /// Sends the call to the endpoint and relays the response to the gateway.
    async fn relay(&self, call: &Call, tx: &mut SendStream) -> Outcome {
        let res = match self.endpoint.send_call(call).await {
            Ok(res) => res,
            Err(CallError::NotSent) => {
                send_refusal(tx, call, Code::NoEndpoint, UNAVAILABLE_RETRY_MS).await;
                return Outcome::NotRun;
            }
            Err(CallError::MayHaveRun) => {
                send_failure(tx, call, Code::OutcomeUnknown, Ran::Unknown).await;
                return Outcome::Unknown;
            }
        };
        if !is_response_to(&res, call) {
            send_failure(tx, call, Code::CrossedAnswer, Ran::Unknown).await;
            return Outcome::Unknown;
        }
        self.relay_body(call, res, tx).await
    }

    async fn relay_body(
        &self,
        call: &Call,
        res: Response<Incoming>,
        tx: &mut SendStream,
    ) -> Outcome {
        let status = res.status().as_u16();
        let content_type = res.headers().get("content-type");
        let content_type = content_type.and_then(|v| v.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream");
        let content_type = compact_str::CompactString::from(content_type);
        let head = Reply::Head {
            request: call.request,
            status,
            content_type: content_type.clone(),
        };
        // A call that must not be retried continues after its gateway has disconnected,
        // so that its outcome becomes known.
        let mut is_connected = write_frame(tx, &head).await.is_ok();
        let mut kept = BytesMut::new();
        let mut body = res.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                send_failure(tx, call, Code::AnswerCut, Ran::Yes).await;
                return Outcome::Unknown;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !call.idempotent && kept.len() + data.len() <= MAX_KEPT_BODY_BYTES {
                kept.extend_from_slice(&data);
            }
            if is_connected {
                is_connected = write_frame(tx, &Reply::Chunk(data)).await.is_ok();
            }
        }
        let request = call.request;
        let _ = write_frame(tx, &Reply::End { request }).await;
        let _ = tx.finish();
        self.metrics.count_request(&call.workspace, "", 0);
        Outcome::Done {
            status,
            content_type,
            body: Bytes::from(kept),
        }
    }
}

/// Whether the response carries this call's request ID. One without an ID is accepted.
fn is_response_to(res: &Response<Incoming>, call: &Call) -> bool {
    match res.headers().get("x-request-id") {
        Some(id) => id.as_bytes() == call.request.to_string().as_bytes(),
        None => true,
    }
}

async fn send_refusal(tx: &mut SendStream, call: &Call, code: Code, retry_after_ms: u64) {
    let reply = Reply::Refused {
        request: call.request,
        code,
        retry_after_ms,
    };
    let _ = write_frame(tx, &reply).await;
    let _ = tx.finish();
}

async fn send_failure(tx: &mut SendStream, call: &Call, code: Code, ran: Ran) {
    let request = call.request;
    let reply = Reply::Failed { request, code, ran };
    let _ = write_frame(tx, &reply).await;
    let _ = tx.finish();
}
