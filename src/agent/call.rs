//! One call's way through the agent: queue, endpoint, answer.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use quinn::SendStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::endpoint::CallProblem;
use super::queue::{QueueRequest, Refusal, Ticket};
use super::{Agent, Grant};
use crate::clock::Millis;
use crate::code::{Code, Ran};
use crate::settings::EndpointSettings;
use crate::transport::write_frame;
use crate::wire::{Call, Outcome, Reply, Target};

/// When to come back to an endpoint that is going or not there.
const GONE_RETRY_MS: u64 = 1_000;
/// The largest answer kept as an outcome, in bytes.
const MAX_KEPT_BODY: usize = 64 << 10;

/// Counts a call as open until it is dropped.
struct OpenCall<'a>(&'a Agent);

impl<'a> OpenCall<'a> {
    fn new(agent: &'a Agent) -> Self {
        agent.open_calls.set(agent.open_calls.get() + 1);
        Self(agent)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        let open = self.0.open_calls.get();
        self.0.open_calls.set(open.saturating_sub(1));
    }
}

/// Gives a place in the queue back when it is dropped.
struct Place<'a> {
    agent: &'a Agent,
    ticket: Ticket,
    started: Option<Millis>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let ran_for = self.started.map(|at| self.agent.now().since(at));
        self.agent.queue.borrow_mut().finish(self.ticket, ran_for);
        self.agent
            .grants
            .borrow_mut()
            .retain(|(ticket, _)| *ticket != self.ticket);
        self.agent.start_waiting();
    }
}

impl Agent {
    /// Serves one call to its end.
    pub(super) async fn serve_call(self: Rc<Self>, call: Call, mut tx: SendStream) {
        let _open = OpenCall::new(&self);
        if let Err(code) = self.check(&call) {
            refuse(&mut tx, &call, code, GONE_RETRY_MS).await;
            return;
        }
        let now = self.now();
        let req = QueueRequest {
            workspace: call.workspace.clone(),
            urgency: call.urgency,
            due: now + Millis(call.first_token_in_ms),
            cost: call.cost_tokens,
        };
        let due_in = Millis(call.first_token_in_ms);
        let (ticket, granted) = match self.enqueue(req) {
            Ok(queued) => queued,
            Err(refusal) => {
                refuse(&mut tx, &call, refusal.code, refusal.retry_after.0).await;
                return;
            }
        };
        let mut place = Place {
            agent: &self,
            ticket,
            started: None,
        };
        let granted = tokio::select! {
            granted = timeout(due_in.as_duration(), granted) => granted,
            _ = tx.stopped() => return,
        };
        match granted {
            Ok(Ok(Ok(()))) => {}
            Ok(Ok(Err(refusal))) => {
                refuse(&mut tx, &call, refusal.code, refusal.retry_after.0).await;
                return;
            }
            Ok(Err(_)) | Err(_) => {
                refuse(&mut tx, &call, Code::TargetMissed, GONE_RETRY_MS).await;
                return;
            }
        }
        place.started = Some(self.now());
        self.run_call(&call, &mut tx).await;
    }

    fn check(&self, call: &Call) -> Result<(), Code> {
        if self.is_closed() || self.superseded.get() {
            return Err(Code::Draining);
        }
        let is_here = match (&call.target, &self.settings.endpoint) {
            (Target::Model(model), EndpointSettings::Engine { .. }) => {
                self.ledger.borrow().is_ready(model)
            }
            (Target::Service(name), EndpointSettings::Service { service, .. }) => name == service,
            _ => false,
        };
        match is_here {
            true => Ok(()),
            false => Err(Code::NoEndpoint),
        }
    }

    fn enqueue(&self, req: QueueRequest) -> Result<(Ticket, oneshot::Receiver<Grant>), Refusal> {
        let ticket = self.queue.borrow_mut().push(self.now(), req)?;
        let evicted = self.queue.borrow_mut().take_evicted();
        for (ticket, refusal) in evicted {
            self.answer_waiting(ticket, Err(refusal));
        }
        let (grant, granted) = oneshot::channel();
        self.grants.borrow_mut().push((ticket, grant));
        self.start_waiting();
        Ok((ticket, granted))
    }

    /// Lets waiting calls run while there is room.
    fn start_waiting(&self) {
        loop {
            let Some(ticket) = self.queue.borrow_mut().start_next() else {
                return;
            };
            self.answer_waiting(ticket, Ok(()));
        }
    }

    fn answer_waiting(&self, ticket: Ticket, answer: Grant) {
        let mut grants = self.grants.borrow_mut();
        if let Some(at) = grants.iter().position(|(t, _)| *t == ticket) {
            let (_, grant) = grants.swap_remove(at);
            let _ = grant.send(answer);
        }
    }

    async fn run_call(&self, call: &Call, tx: &mut SendStream) {
        if call.idempotent {
            // A caller who leaves cancels the work at the endpoint.
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

    /// Sends the call to the endpoint and its answer to the gateway.
    async fn relay(&self, call: &Call, tx: &mut SendStream) -> Outcome {
        let res = match self.endpoint.call(call).await {
            Ok(res) => res,
            Err(CallProblem::NotSent) => {
                refuse(tx, call, Code::NoEndpoint, GONE_RETRY_MS).await;
                return Outcome::NotRun;
            }
            Err(CallProblem::MayHaveRun) => {
                fail(tx, call, Code::OutcomeUnknown, Ran::Unknown).await;
                return Outcome::Unknown;
            }
        };
        if !answers_to(&res, call) {
            fail(tx, call, Code::CrossedAnswer, Ran::Unknown).await;
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
        // A call that may not be repeated goes on without its gateway, to learn its outcome.
        let mut is_connected = write_frame(tx, &head).await.is_ok();
        let mut kept = BytesMut::new();
        let mut body = res.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                fail(tx, call, Code::AnswerCut, Ran::Yes).await;
                return Outcome::Unknown;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !call.idempotent && kept.len() + data.len() <= MAX_KEPT_BODY {
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

/// Whether the endpoint says that this answer belongs to this call.
fn answers_to(res: &Response<Incoming>, call: &Call) -> bool {
    match res.headers().get("x-request-id") {
        Some(id) => id.as_bytes() == call.request.to_string().as_bytes(),
        None => true,
    }
}

async fn refuse(tx: &mut SendStream, call: &Call, code: Code, retry_after_ms: u64) {
    let reply = Reply::Refused {
        request: call.request,
        code,
        retry_after_ms,
    };
    let _ = write_frame(tx, &reply).await;
    let _ = tx.finish();
}

async fn fail(tx: &mut SendStream, call: &Call, code: Code, ran: Ran) {
    let request = call.request;
    let reply = Reply::Failed { request, code, ran };
    let _ = write_frame(tx, &reply).await;
    let _ = tx.finish();
}
