//! Endpoints that say that they leave: what this gateway heard goes to all others.

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::gossip::{Message, split_rows};
use crate::direct::notices::RunId;
use crate::direct::view::EndpointView;
use crate::journal;

/// How often a message about a leaving endpoint is sent, as datagrams may be lost.
const TELL_COUNT: u8 = 3;
/// Number of gateways that tell all that they know to one that has become reachable.
const SPONSORS: usize = 3;

/// News for the other gateways, each with the number of times that it is still sent.
#[derive(Clone, Debug, Default)]
pub(super) struct NoticeOutbox(Vec<(RunId, u8)>);

impl NoticeOutbox {
    /// The news of one message; what has been sent often enough is dropped.
    fn take_due(&mut self) -> Vec<RunId> {
        let due = self.0.iter().map(|(run, _)| *run).collect();
        self.0.iter_mut().for_each(|(_, left)| *left -= 1);
        self.0.retain(|(_, left)| *left > 0);
        due
    }
}

impl Control {
    /// Handles an endpoint's first response that said that it leaves.
    pub(super) fn endpoint_said_leaving(&mut self, now: Millis, run: RunId, out: &mut Vec<Effect>) {
        self.notice_outbox.0.push((run, TELL_COUNT));
        self.tell_notices(out);
        self.leaving_known(now, out);
    }

    /// Handles what another gateway heard.
    pub(super) fn leaving_told(
        &mut self,
        now: Millis,
        from: &str,
        runs: &[RunId],
        out: &mut Vec<Effect>,
    ) {
        let is_new = |run: &&RunId| !self.notices.leaving().contains(run);
        let new: Vec<RunId> = runs.iter().filter(is_new).copied().collect();
        if !self.notices.learn_leaving(now, &new) {
            return;
        }
        for endpoint in &self.directory.views(now) {
            if new.contains(&RunId::of(&endpoint.registration)) {
                let id = &endpoint.registration.id;
                journal::write(
                    "endpoint.said_leaving",
                    &[("endpoint", id.into()), ("from", from.into())],
                );
            }
        }
        self.leaving_known(now, out);
    }

    /// The endpoints that requests may use, with what they said of themselves and whether
    /// their zones are evacuated.
    pub(super) fn endpoint_views(&self, now: Millis) -> Vec<EndpointView> {
        let mut endpoints = self.directory.views(now);
        self.notices.mark(&mut endpoints);
        self.notices.zones.mark(&mut endpoints);
        endpoints
    }

    /// Sends the others the news of the last ticks.
    pub(super) fn tell_notices(&mut self, out: &mut Vec<Effect>) {
        let due = self.notice_outbox.take_due();
        if !due.is_empty() {
            out.push(Effect::Broadcast(Message::Leaving(due)));
        }
    }

    /// Tells a gateway that has become reachable what endpoints said of themselves.
    pub(super) fn welcome_with_statements(&self, now: Millis, peer: &str, out: &mut Vec<Effect>) {
        self.welcome_with_notices(peer, out);
        self.welcome_with_limits(peer, out);
        self.welcome_with_cold(now, peer, out);
    }

    /// Tells a gateway that has become reachable of all endpoints that are leaving.
    fn welcome_with_notices(&self, peer: &str, out: &mut Vec<Effect>) {
        let leaving = self.notices.leaving();
        if leaving.is_empty() || !self.members.is_sponsor(peer, SPONSORS) {
            return;
        }
        let Some(to) = self.members.address_of(peer) else {
            return;
        };
        let parts = split_rows(&leaving).into_iter();
        out.extend(parts.map(|runs| Effect::Send(to, Message::Leaving(runs))));
    }

    /// Publishes the change, and lets the leader replace what the endpoint holds.
    fn leaving_known(&mut self, now: Millis, out: &mut Vec<Effect>) {
        out.push(Effect::Publish);
        self.request_decision(now, out);
    }
}
