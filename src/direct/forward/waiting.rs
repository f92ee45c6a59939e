//! Lets requests wait in turn while no engine has room for them.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::{AttemptHistory, Forwarder};
use crate::clock::Millis;
use crate::direct::admission::urgency::Urgency;
use crate::direct::admission::waiting::{Ticket, WaitingQueue};
use crate::direct::job::Job;
use crate::direct::resume::ResumePoint;
use crate::direct::shared::Shared;

/// Interval at which the first request of a model looks for room, in milliseconds. It is
/// random so that gateways don't all act on the same news at once.
const MIN_RETRY_MS: u64 = 20;
const MAX_RETRY_MS: u64 = 40;

/// The requests that wait at this gateway.
pub(super) struct Waiting {
    shared: Arc<Shared>,
    queue: RefCell<WaitingQueue>,
    /// Wakes each of them when its turn comes.
    wakers: RefCell<Vec<(Ticket, Rc<Notify>)>>,
}

impl Waiting {
    pub(super) fn new(shared: Arc<Shared>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            queue: RefCell::default(),
            wakers: RefCell::default(),
        })
    }

    fn record_count(&self) {
        let waiting = self.queue.borrow().len();
        self.shared.metrics.record_waiting_requests(waiting);
    }

    fn wake(&self, ticket: Ticket) {
        let wakers = self.wakers.borrow();
        if let Some((_, waker)) = wakers.iter().find(|(t, _)| *t == ticket) {
            waker.notify_one();
        }
    }
}

/// The place of a waiting request, which it gives up when this is dropped.
pub(super) struct Place {
    waiting: Rc<Waiting>,
    ticket: Ticket,
    since: Millis,
    turn: Rc<Notify>,
}

impl Place {
    /// How long the request has waited.
    pub(super) fn waited(&self) -> Millis {
        self.waiting.shared.now().since(self.since)
    }

    fn time_left(&self) -> Millis {
        let now = self.waiting.shared.now();
        self.ticket.latest().since(now)
    }

    fn is_first(&self) -> bool {
        self.waiting.queue.borrow().is_first(self.ticket)
    }

    /// Waits until it is the request's turn or the latest time to send it.
    pub(super) async fn wait_for_turn(&self) {
        while !self.is_first() && self.time_left() > Millis::ZERO {
            let turn = self.turn.notified();
            let _ = timeout(self.time_left().as_duration(), turn).await;
        }
    }

    /// Waits until the request may look for room again. Returns false if it is too late.
    pub(super) async fn wait_for_retry(&self) -> bool {
        let pause = Millis(rand::random_range(MIN_RETRY_MS..=MAX_RETRY_MS));
        if self.time_left() == Millis::ZERO {
            return false;
        }
        sleep(pause.min(self.time_left()).as_duration()).await;
        self.wait_for_turn().await;
        true
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let next = self.waiting.queue.borrow_mut().leave(self.ticket);
        self.waiting
            .wakers
            .borrow_mut()
            .retain(|(ticket, _)| *ticket != self.ticket);
        if let Some(next) = next {
            self.waiting.wake(next);
        }
        self.waiting.record_count();
    }
}

impl Forwarder {
    /// Gives a deferrable request a place if others for its model wait that have to be sent
    /// earlier. A live one tries at once, as engines keep room for it.
    pub(super) fn join_behind(
        &self,
        job: &Job,
        history: &AttemptHistory,
        resume: &ResumePoint,
    ) -> Option<Place> {
        let urgency = self.urgency(job);
        if !urgency.is_deferrable {
            return None;
        }
        let model = queue_key(job, urgency)?;
        let latest = job.latest_start(urgency);
        let has_earlier = self.waiting.queue.borrow().has_earlier(model, latest);
        has_earlier.then(|| self.join_waiting(job, history, resume))?
    }

    /// Gives a request a place among those that wait; `None` if it may not wait or too many
    /// do. One that was attempted, or that goes on with a stream, is answered at once.
    pub(super) fn join_waiting(
        &self,
        job: &Job,
        history: &AttemptHistory,
        resume: &ResumePoint,
    ) -> Option<Place> {
        let is_new = history.attempted.is_empty() && resume.last_event_id.is_none();
        if !is_new || !self.keeps_room() {
            return None;
        }
        let (now, urgency) = (self.shared.now(), self.urgency(job));
        let latest = job.latest_start(urgency);
        let model = queue_key(job, urgency).filter(|_| latest > now)?;
        let mut queue = self.waiting.queue.borrow_mut();
        let ticket = queue.join(model, latest, job.body.len())?;
        drop(queue);
        let turn = Rc::new(Notify::new());
        let mut wakers = self.waiting.wakers.borrow_mut();
        wakers.push((ticket, turn.clone()));
        drop(wakers);
        self.waiting.record_count();
        Some(Place {
            waiting: self.waiting.clone(),
            ticket,
            since: now,
            turn,
        })
    }
}

/// What a request waits for: an engine of its service with its model and adapter that has room
/// for requests as urgent. Live ones don't wait behind deferrable ones that are almost late.
fn queue_key(job: &Job, urgency: Urgency) -> Option<u64> {
    let wanted = job.metadata.model.as_ref()?;
    let adapter = wanted.adapter.as_deref().unwrap_or_default();
    let name = [&job.service, wanted.model.as_str(), adapter].join("\n");
    let class = u64::from(urgency.is_deferrable);
    Some(xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), class))
}
