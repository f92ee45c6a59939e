//! Choice of the endpoint for one request.

use crate::wire::{AgentStatus, EndpointKind, Residency, Target};

/// What a choice is made from: an agent's last report and the gateway's own count.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The agent.
    pub status: &'a AgentStatus,
    /// Requests that this gateway has in flight there.
    pub in_flight: u32,
}

impl Candidate<'_> {
    /// Requests at and before the endpoint, for each that it can run at once.
    /// The report lags, so this gateway's own requests count at least.
    fn load(&self) -> f64 {
        let reported = self.status.running + self.status.waiting;
        let present = reported.max(self.in_flight);
        f64::from(present) / f64::from(self.status.max_running.max(1))
    }
}

/// Whether an agent can serve a target now, as far as its report tells.
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

/// Drops agents that are going, unless only such are left.
pub fn prefer_not_draining(mut candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    if candidates.iter().any(|c| !c.status.draining) {
        candidates.retain(|c| !c.status.draining);
    }
    candidates
}

/// Power of two choices: of two candidates picked at random, the less loaded one.
pub fn choose<'a>(candidates: &[Candidate<'a>], random: u64) -> Option<&'a AgentStatus> {
    let count = candidates.len() as u64;
    let first = &candidates[random.checked_rem(count)? as usize];
    if count == 1 {
        return Some(first.status);
    }
    // Skips the first choice, so the second one always differs.
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
