//! When the leader decides on placement: once for all needs reported meanwhile, and
//! with pauses that leave most of the control thread's time to other events.

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::leader::Action;
use crate::direct::ledger::EngineCall;

/// Interval at which the leader looks for work without being asked.
const DECISION_INTERVAL: Millis = Millis(100);
/// Pause after a decision, as a multiple of the time that it took.
const PAUSE_FACTOR: u64 = 4;
/// The longest pause. The time that a decision took includes suspensions of the machine.
const MAX_PAUSE: Millis = Millis(1_000);

/// The schedule of the leader's decisions.
#[derive(Clone, Debug, Default)]
pub(super) struct Decisions {
    /// The number of decisions so far.
    pub(super) count: u64,
    /// Whether a need was reported since the last decision.
    is_requested: bool,
    /// When the event for the next decision was sent.
    scheduled_at: Option<Millis>,
    /// When the last decision began.
    decided_at: Millis,
    /// The earliest time of the next decision.
    not_before: Millis,
    /// Whether the event that is being processed made a decision.
    has_decided: bool,
}

impl Control {
    /// Asks for a decision because a request waits. It is made once the events that
    /// wait now are processed.
    pub(super) fn request_decision(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.decisions.is_requested = true;
        if now >= self.decisions.not_before {
            self.schedule_decision(now, out);
        }
    }

    /// Schedules a decision if one is due or was requested during a pause.
    pub(super) fn schedule_due_decision(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let decisions = &self.decisions;
        let is_overdue = decisions
            .scheduled_at
            .is_some_and(|at| now.since(at) >= DECISION_INTERVAL);
        let is_due = decisions.is_requested || now.since(decisions.decided_at) >= DECISION_INTERVAL;
        if now < decisions.not_before {
            return;
        }
        match is_overdue {
            // Events keep arriving faster than they are processed.
            true => self.decide(now, out),
            false if is_due => self.schedule_decision(now, out),
            false => {}
        }
    }

    fn schedule_decision(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.leader.is_some() && self.decisions.scheduled_at.is_none() {
            self.decisions.scheduled_at = Some(now);
            out.push(Effect::ScheduleDecision);
        }
    }

    /// Carries out what the leader decides, while its lease is certain to be valid.
    pub(super) fn decide(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let is_scheduled = self.decisions.scheduled_at.take().is_some();
        if !is_scheduled || self.leader_term(now).is_none() {
            return;
        }
        self.decisions.count += 1;
        self.decisions.is_requested = false;
        self.decisions.decided_at = now;
        self.decisions.has_decided = true;
        let actions = self.with_leader(now, |leader, input| leader.decide(now, input));
        for action in actions.unwrap_or_default() {
            match action {
                Action::Call(EngineCall::Report(id)) if self.is_closed(now, &id) => {}
                Action::Call(call) => out.push(Effect::CallEngine(call)),
                Action::Announce(holdings) => self.announce(holdings, out),
            }
        }
    }

    /// Records how long the last event took and when it ended. A decision that took
    /// long is followed by a longer pause.
    pub fn note_processed(&mut self, ended: Millis, took: Millis) {
        if std::mem::take(&mut self.decisions.has_decided) {
            let pause = Millis(took.0 * PAUSE_FACTOR).min(MAX_PAUSE);
            self.decisions.not_before = ended + pause;
        }
    }
}
