//! The queue of events for the control thread.

use tokio::sync::mpsc;

use super::control::Event;
use crate::clock::{Clock, Millis};

/// An event, and when it was put into the queue.
#[derive(Debug)]
pub struct Queued {
    /// The event.
    pub event: Event,
    /// When it was sent.
    pub sent_at: Millis,
}

/// Creates the queue of one control thread.
pub fn event_queue(clock: Clock) -> (EventSender, EventQueue) {
    let (tx, rx) = mpsc::unbounded_channel();
    (EventSender { clock, tx }, EventQueue { rx })
}

/// Sends events to the control thread, from any thread.
#[derive(Clone, Debug)]
pub struct EventSender {
    clock: Clock,
    tx: mpsc::UnboundedSender<Queued>,
}

impl EventSender {
    /// Sends an event. Returns false if the control thread has stopped, which happens
    /// only while the process exits.
    pub fn send(&self, event: Event) -> bool {
        let sent_at = self.clock.now();
        self.tx.send(Queued { event, sent_at }).is_ok()
    }
}

/// The receiving end of the queue.
#[derive(Debug)]
pub struct EventQueue {
    rx: mpsc::UnboundedReceiver<Queued>,
}

impl EventQueue {
    /// Takes the next event; `None` once all senders are gone.
    pub async fn next(&mut self) -> Option<Queued> {
        self.rx.recv().await
    }

    /// The number of events that wait.
    pub fn len(&self) -> usize {
        self.rx.len()
    }

    /// Whether no event waits.
    pub fn is_empty(&self) -> bool {
        self.rx.is_empty()
    }
}
