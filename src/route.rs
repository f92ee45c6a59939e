//! Chooses the endpoint for a request.

use crate::wire::{AgentStatus, EndpointKind, Residency, Target};

/// A possible agent for a request: its last report and this gateway's own count.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The agent's last report.
    pub status: &'a AgentStatus,
    /// Requests that this gateway has in flight at the agent.
    pub in_flight: u32,
}

impl Candidate<'_> {
    /// Running and waiting requests, relative to how many the endpoint runs at once.
    /// Reports lag, so the load is at least what this gateway has in flight there.
    fn load(&self) -> f64 {
        let reported = self.status.running + self.status.waiting;
        let present = reported.max(self.in_flight);
        f64::from(present) / f64::from(self.status.max_running.max(1))
    }
}

/// Whether an agent can serve a target now, by its last report.
pub fn can_serve(status: &AgentStatus, target: &Target) -> bool {
    if !status.healthy {
        return false;
    }
    match (&status.kind, target) {
        (EndpointKind::Engine, Target::Model(model)) => is_ready(status, model),
        (EndpointKind::Service(name), Target::Service(wanted)) => name == wanted,
        _ => false,
    }
}

/// Removes draining agents, unless all candidates are draining.
pub fn prefer_not_draining(mut candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    if candidates.iter().any(|c| !c.status.draining) {
        candidates.retain(|c| !c.status.draining);
    }
    candidates
}

/// Picks two candidates at random and returns the less loaded one (power of two choices).
pub fn choose<'a>(candidates: &[Candidate<'a>], random: u64) -> Option<&'a AgentStatus> {
    let count = candidates.len() as u64;
    let first = &candidates[random.checked_rem(count)? as usize];
    if count == 1 {
        return Some(first.status);
    }
    // The step is never a multiple of `count`, so the second candidate differs from the first.
    let step = 1 + (random >> 32) % (count - 1);
    let second = &candidates[((random % count + step) % count) as usize];
    match second.load() < first.load() {
        true => Some(second.status),
        false => Some(first.status),
    }
}

fn is_ready(status: &AgentStatus, model: &str) -> bool {
    let found = status
        .models
        .binary_search_by(|r| r.model.as_str().cmp(model));
    found.is_ok_and(|at| status.models[at].state == Residency::Ready)
}
