//! The queue before an endpoint: chooses which waiting request runs next and
//! refuses those that cannot run in time.
//!
//! Interactive requests run before batch. Within an urgency the workspace that
//! was served least goes first (a virtual token counter, after Sheng et al.,
//! "Fairness in Serving Large Language Models", 2024), so a workspace that
//! sends several times its share delays only itself. Within a workspace the
//! earliest deadline goes first.

use compact_str::CompactString;

use crate::clock::Millis;
use crate::code::Code;
use crate::config::Urgency;

/// Identifies one entry of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A request to be queued.
#[derive(Clone, Debug)]
pub struct QueueRequest {
    /// Its workspace.
    pub workspace: CompactString,
    /// Its urgency.
    pub urgency: Urgency,
    /// When its first token is due.
    pub deadline: Millis,
    /// The upper bound of its cost, in tokens.
    pub cost: u64,
}

/// Why a request was refused, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// How long to wait before retrying.
    pub retry_after: Millis,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    req: QueueRequest,
}

#[derive(Clone, Debug)]
struct WorkspaceCounter {
    workspace: CompactString,
    /// Virtual token counter: tokens served, raised to the floor after idle periods.
    served_tokens: u64,
}

/// The queue before one endpoint.
#[derive(Clone, Debug)]
pub struct Queue {
    max_running: usize,
    max_waiting: usize,
    running: Vec<Ticket>,
    waiting: Vec<Waiting>,
    evicted: Vec<(Ticket, Refusal)>,
    counters: Vec<WorkspaceCounter>,
    next_ticket: u64,
    /// A moving average of the time that a request runs, in milliseconds; zero before
    /// the first one has ended.
    average_run_ms: u64,
}

impl Queue {
    /// An empty queue.
    pub fn new(max_running: usize, max_waiting: usize) -> Self {
        Self {
            max_running,
            max_waiting,
            running: Vec::new(),
            waiting: Vec::new(),
            evicted: Vec::new(),
            counters: Vec::new(),
            next_ticket: 0,
            average_run_ms: 0,
        }
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request, or refuses it at once if it cannot run in time.
    ///
    /// A full queue makes room by evicting the request that would run last, or
    /// refuses the new one if that would run last. Evicted requests are returned
    /// by [`Queue::take_evicted`].
    pub fn push(&mut self, now: Millis, req: QueueRequest) -> Result<Ticket, Refusal> {
        self.raise_counter_to_floor(&req.workspace);
        if self.running.len() >= self.max_running {
            let wait = self.expected_wait(&req);
            let refusal = |code| Refusal {
                code,
                retry_after: wait.max(Millis(1)),
            };
            if now + wait > req.deadline {
                return Err(refusal(Code::TargetMissed));
            }
            if self.waiting.len() >= self.max_waiting && !self.make_room(&req, refusal(Code::Busy))
            {
                return Err(refusal(Code::Busy));
            }
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(Waiting { ticket, req });
        Ok(ticket)
    }

    /// Takes the requests that were evicted to make room, each with its refusal.
    pub fn take_evicted(&mut self) -> Vec<(Ticket, Refusal)> {
        std::mem::take(&mut self.evicted)
    }

    /// Evicts the request that would run last, if it would run after `req`.
    /// Returns whether one was evicted.
    fn make_room(&mut self, req: &QueueRequest, refusal: Refusal) -> bool {
        let last = self.waiting.iter().enumerate();
        let Some((at, last)) = last.max_by_key(|(_, w)| self.rank(&w.req)) else {
            return false;
        };
        if self.rank(&last.req) <= self.rank(req) {
            return false;
        }
        let evicted = self.waiting.remove(at);
        self.evicted.push((evicted.ticket, refusal));
        true
    }

    /// Sort key of the order in which requests run, lowest first.
    fn rank(&self, req: &QueueRequest) -> (Urgency, u64, Millis) {
        (
            req.urgency,
            self.served_tokens(&req.workspace),
            req.deadline,
        )
    }

    /// Starts the next waiting request, if the endpoint has a free slot.
    pub fn start_next(&mut self) -> Option<Ticket> {
        if self.running.len() >= self.max_running {
            return None;
        }
        let (at, _) = self
            .waiting
            .iter()
            .enumerate()
            .min_by_key(|(_, w)| self.rank(&w.req))?;
        let next = self.waiting.remove(at);
        if let Ok(at) = self.find_counter(&next.req.workspace) {
            self.counters[at].served_tokens += next.req.cost.max(1);
        }
        self.running.push(next.ticket);
        Some(next.ticket)
    }

    /// Removes a running or waiting request. `ran_for` updates the average run time.
    pub fn finish(&mut self, ticket: Ticket, ran_for: Option<Millis>) {
        self.running.retain(|t| *t != ticket);
        self.waiting.retain(|w| w.ticket != ticket);
        if let Some(ran_for) = ran_for {
            self.average_run_ms = match self.average_run_ms {
                0 => ran_for.0,
                average => (average * 7 + ran_for.0) / 8,
            };
        }
    }

    /// Estimates how long a new request would wait behind those that run before it.
    fn expected_wait(&self, req: &QueueRequest) -> Millis {
        let rank = self.rank(req);
        let ahead = self.waiting.iter().filter(|w| self.rank(&w.req) <= rank);
        let ahead = ahead.count() as u64 + 1;
        Millis(self.average_run_ms * ahead / self.max_running as u64)
    }

    /// Raises the counter of a workspace without waiting requests to the lowest
    /// counter among the waiting workspaces, so that an idle workspace does not
    /// accumulate priority.
    fn raise_counter_to_floor(&mut self, workspace: &str) {
        let waiting = self.waiting.iter();
        let floor = waiting.map(|w| self.served_tokens(&w.req.workspace)).min();
        let is_waiting = self.waiting.iter().any(|w| w.req.workspace == workspace);
        match self.find_counter(workspace) {
            Ok(at) if !is_waiting => {
                let counter = &mut self.counters[at];
                counter.served_tokens = counter.served_tokens.max(floor.unwrap_or_default());
            }
            Ok(_) => {}
            Err(at) => {
                let counter = WorkspaceCounter {
                    workspace: workspace.into(),
                    served_tokens: floor.unwrap_or_default(),
                };
                self.counters.insert(at, counter);
            }
        }
    }

    fn served_tokens(&self, workspace: &str) -> u64 {
        match self.find_counter(workspace) {
            Ok(at) => self.counters[at].served_tokens,
            Err(_) => 0,
        }
    }

    fn find_counter(&self, workspace: &str) -> Result<usize, usize> {
        self.counters
            .binary_search_by(|c| c.workspace.as_str().cmp(workspace))
    }
}
