//! The queue of events for the control thread.
//!
//! Events that change what requests are allowed, or whether this gateway may act, come
//! first, then those that change the set of endpoints, then all others. The order
//! within each group is kept.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::yield_now;

use super::control::Event;
use crate::clock::{Clock, Millis};

/// How long events are processed before the other tasks of the thread get a turn.
/// Those read the responses of the store, and a response takes many turns.
const MAX_RUN: Millis = Millis(5);

/// An event, and when it was put into the queue.
#[derive(Debug)]
pub struct Queued {
    /// The event.
    pub event: Event,
    /// When it was sent.
    pub sent_at: Millis,
}

/// The group of events that an event is queued with, in order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lane {
    /// The configuration, evacuated zones, this gateway's lease and registration, the leader,
    /// the set of gateways, and what an operator orders.
    Fleet,
    /// Registrations and crashes of endpoints.
    Endpoints,
    /// Everything else: it may be late, and much of it supersedes what came before.
    Other,
}

fn lane_of(event: &Event) -> Lane {
    match event {
        Event::Configuration(_)
        | Event::EvacuationsRead { .. }
        | Event::EvacuationsWatched { .. }
        | Event::EvacuationsPulled(_)
        | Event::Members(_)
        | Event::MemberPut(_)
        | Event::MemberRemoved(_)
        | Event::LeaderKey(_)
        | Event::LeadershipClaimed { .. }
        | Event::LeaseOpened(_)
        | Event::LeaseHeld(_)
        | Event::LeaseLost
        | Event::RegistrationWritten { .. }
        | Event::RegistrationConflicted { .. }
        | Event::RegistrationFailed(_)
        | Event::RegistrationSeen(_)
        | Event::Bounds(_)
        | Event::BlockOrdered { .. }
        | Event::Drain
        | Event::Stop => Lane::Fleet,
        // Whether the store answers decides how a removed registration is understood, so
        // both stay in one order.
        Event::Registrations(_)
        | Event::Registered(_)
        | Event::Deregistered(_)
        | Event::RegistryRead { .. }
        | Event::StoreLost
        | Event::StoreAnswered
        | Event::StoreRestored
        | Event::EndpointSaidLeaving(_)
        | Event::LimitChanged(_)
        | Event::ColdHeard(_)
        | Event::GrantsWanted { .. }
        | Event::EndpointCrashed(_)
        | Event::PartsProgressed(_)
        | Event::PartsChecked(_)
        | Event::BlocksRecorded { .. }
        | Event::RecordFailed
        | Event::VersionsRecorded { .. }
        | Event::VersionRecordFailed => Lane::Endpoints,
        Event::Datagram(datagram) if datagram.message.is_urgent() => Lane::Endpoints,
        Event::Tick(_)
        | Event::Usage(_)
        | Event::Datagram(_)
        | Event::ModelWanted(_)
        | Event::StreamBegan
        | Event::StreamBudgetStated(_)
        | Event::StreamsNoted
        | Event::StreamSought { .. }
        | Event::StreamsRead { .. }
        | Event::StreamsStored { .. }
        | Event::StreamStorageFailed(_)
        | Event::TokensNeeded { .. }
        | Event::OrderAnswered { .. }
        | Event::Reported { .. }
        | Event::HoldingsReady(_)
        | Event::Decide => Lane::Other,
    }
}

/// Creates the queue of one control thread.
pub fn event_queue(clock: Clock) -> (EventSender, EventQueue) {
    let (fleet_tx, fleet) = unbounded_channel();
    let (endpoints_tx, endpoints) = unbounded_channel();
    let (other_tx, other) = unbounded_channel();
    let sender = EventSender {
        clock: clock.clone(),
        fleet: fleet_tx,
        endpoints: endpoints_tx,
        other: other_tx,
    };
    let queue = EventQueue {
        run_began: clock.now(),
        clock,
        fleet,
        endpoints,
        other,
    };
    (sender, queue)
}

/// Sends events to the control thread, from any thread.
#[derive(Clone, Debug)]
pub struct EventSender {
    clock: Clock,
    fleet: UnboundedSender<Queued>,
    endpoints: UnboundedSender<Queued>,
    other: UnboundedSender<Queued>,
}

impl EventSender {
    /// Sends an event. Returns false if the control thread has stopped, which happens
    /// only while the process exits.
    pub fn send(&self, event: Event) -> bool {
        let sent_at = self.clock.now();
        let lane = match lane_of(&event) {
            Lane::Fleet => &self.fleet,
            Lane::Endpoints => &self.endpoints,
            Lane::Other => &self.other,
        };
        lane.send(Queued { event, sent_at }).is_ok()
    }
}

/// The receiving end of the queue.
#[derive(Debug)]
pub struct EventQueue {
    clock: Clock,
    /// When the other tasks of the thread had their last turn.
    run_began: Millis,
    fleet: UnboundedReceiver<Queued>,
    endpoints: UnboundedReceiver<Queued>,
    other: UnboundedReceiver<Queued>,
}

impl EventQueue {
    /// Takes the next event; `None` once all senders are gone. Lets the other tasks of
    /// the thread run first if events have been processed for a while.
    pub async fn next(&mut self) -> Option<Queued> {
        let is_waiting = self.is_empty();
        if !is_waiting && self.clock.now().since(self.run_began) >= MAX_RUN {
            yield_now().await;
            self.run_began = self.clock.now();
        }
        let next = tokio::select! {
            biased;
            Some(queued) = self.fleet.recv() => Some(queued),
            Some(queued) = self.endpoints.recv() => Some(queued),
            Some(queued) = self.other.recv() => Some(queued),
            else => None,
        };
        if is_waiting {
            self.run_began = self.clock.now();
        }
        next
    }

    /// The number of events that wait.
    pub fn len(&self) -> usize {
        self.fleet.len() + self.endpoints.len() + self.other.len()
    }

    /// Whether no event waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
