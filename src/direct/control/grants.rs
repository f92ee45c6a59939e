//! Grants of requests to endpoints that take a limited rate, and news of such rates.

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::gossip::{Message, split_rows};
use crate::direct::members::Owner;
use crate::direct::notices::{LimitNews, RunId, log_limit, log_limit_end};
use crate::direct::rate_owner::{Grant, NamedRate};

/// A question for grants: the endpoint, its rate as the asking gateway knows it, and the
/// number of requests.
pub(super) type Question = (RunId, NamedRate, u32);

impl Control {
    /// Handles requests of this gateway that wait for grants.
    pub(super) fn grants_wanted(&mut self, now: Millis, asked: Question, out: &mut Vec<Effect>) {
        let (run, named, wanted) = asked;
        let owner = self.members.owner_of(now, run.0, self.is_draining);
        self.tell_owner_of_cold(now, run, owner, out);
        match owner {
            Owner::Own => {
                if let Some(grant) = self.grant(now, asked) {
                    self.notices.granted(now, run, grant, wanted);
                }
            }
            Owner::Other(to) => {
                let message = Message::GrantsWanted {
                    run,
                    rate: named.rate,
                    sent_age: now.since(named.sent_at),
                    heard_age: now.since(named.heard_at),
                    wanted,
                };
                out.push(Effect::Send(to, message));
            }
        }
    }

    /// Grants requests as the owner, if this gateway may act as such.
    fn grant(&mut self, now: Millis, asked: Question) -> Option<Grant> {
        let (run, named, wanted) = asked;
        if !self.authority(now).may_own() {
            return None;
        }
        let Some((rate, _)) = self.notices.cold(now, run) else {
            return Some(self.rate_owner.grant(now, run, named, wanted));
        };
        let rate = self.granted_cold_rate(now, run, rate)?;
        Some(self.rate_owner.grant_cold(now, run, named, rate, wanted))
    }

    /// Handles a question of another gateway. One that takes another gateway for the
    /// owner gets no answer: two owners would grant twice the rate.
    pub(super) fn grants_asked(
        &mut self,
        now: Millis,
        from: &str,
        asked: Question,
        out: &mut Vec<Effect>,
    ) {
        let (run, _, wanted) = asked;
        if self.members.owner_of(now, run.0, self.is_draining) != Owner::Own {
            return;
        }
        let Some(to) = self.members.address_of(from) else {
            return;
        };
        let Some(grant) = self.grant(now, asked) else {
            return;
        };
        let message = Message::Grants {
            run,
            requests: grant.requests,
            next_in: grant.next_in,
            wanted,
        };
        out.push(Effect::Send(to, message));
    }

    /// Lets the owner of rates know of gateways that came or went.
    pub(super) fn note_membership(&mut self, now: Millis) {
        let membership = self.members.membership(now, self.is_draining);
        self.rate_owner.set_membership(membership);
    }

    /// Tells the others what an endpoint said of its rate.
    pub(super) fn limit_changed(&mut self, news: LimitNews, out: &mut Vec<Effect>) {
        out.push(Effect::Publish);
        out.push(Effect::Broadcast(Message::RateLimits(vec![news])));
    }

    /// Handles what another gateway heard.
    pub(super) fn limits_told(
        &mut self,
        now: Millis,
        from: &str,
        news: &[LimitNews],
        out: &mut Vec<Effect>,
    ) {
        let learnt = self.notices.learn_limits(now, news);
        if learnt.is_empty() {
            return;
        }
        out.push(Effect::Publish);
        for endpoint in &self.directory.views(now) {
            let run = RunId::of(&endpoint.registration);
            let Some(news) = learnt.iter().find(|news| news.run == run) else {
                continue;
            };
            match news.rate {
                Some(rate) => log_limit(&endpoint.registration.id, rate, from),
                None => log_limit_end(&endpoint.registration.id, from),
            }
        }
    }

    /// Tells a gateway that has become reachable of all rates.
    pub(super) fn welcome_with_limits(&self, peer: &str, out: &mut Vec<Effect>) {
        let limits = self.notices.limits();
        let Some(to) = self.members.address_of(peer).filter(|_| !limits.is_empty()) else {
            return;
        };
        let parts = split_rows(&limits).into_iter();
        out.extend(parts.map(|news| Effect::Send(to, Message::RateLimits(news))));
    }
}
