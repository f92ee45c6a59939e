//! Requests that wait at the gateway until an engine has room for them.

use crate::clock::Millis;

/// The most requests that wait at one gateway.
pub const MAX_WAITING: usize = 256;
/// The most bytes of bodies that they hold: a small part of the smallest machine's memory.
pub const MAX_WAITING_BYTES: usize = 8 << 20;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Hash of the service, the model and the adapter that it needs, and of its urgency.
    model: u64,
    /// The latest time at which it is sent.
    latest: Millis,
    /// Its number in the order of arrival.
    number: u64,
}

impl Ticket {
    /// The latest time at which the request is sent.
    pub fn latest(self) -> Millis {
        self.latest
    }
}

/// The waiting requests, in the order in which they are sent. Only the first one of each model
/// tries to be sent, so that the work doesn't grow with the number of waiting requests.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    /// By model, then by latest start; sorted.
    tickets: Vec<(Ticket, usize)>,
    bytes: usize,
    next: u64,
}

impl WaitingQueue {
    /// Adds a request with a body of this size; `None` if too many wait.
    pub fn join(&mut self, model: u64, latest: Millis, bytes: usize) -> Option<Ticket> {
        let total = self.bytes.saturating_add(bytes);
        if self.tickets.len() >= MAX_WAITING || total > MAX_WAITING_BYTES {
            return None;
        }
        let number = self.next;
        let ticket = Ticket {
            model,
            latest,
            number,
        };
        self.next += 1;
        self.bytes = total;
        let at = self.tickets.partition_point(|(t, _)| *t < ticket);
        self.tickets.insert(at, (ticket, bytes));
        Some(ticket)
    }

    /// Removes a request. Returns the one whose turn it is now, if that changed.
    pub fn leave(&mut self, ticket: Ticket) -> Option<Ticket> {
        let at = self.tickets.binary_search_by_key(&ticket, |(t, _)| *t);
        let at = at.ok()?;
        let was_first = self.is_first(ticket);
        self.bytes -= self.tickets.remove(at).1;
        self.first(ticket.model).filter(|_| was_first)
    }

    /// Whether it is the request's turn among those for its model.
    pub fn is_first(&self, ticket: Ticket) -> bool {
        self.first(ticket.model) == Some(ticket)
    }

    /// Whether a request for the model waits that has to be sent earlier.
    pub fn has_earlier(&self, model: u64, latest: Millis) -> bool {
        self.first(model).is_some_and(|first| first.latest < latest)
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    fn first(&self, model: u64) -> Option<Ticket> {
        let at = self.tickets.partition_point(|(t, _)| t.model < model);
        let first = self.tickets.get(at).map(|(ticket, _)| *ticket);
        first.filter(|ticket| ticket.model == model)
    }
}
