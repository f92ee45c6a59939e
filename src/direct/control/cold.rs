//! Endpoints that are cold: what registrations and other gateways say of that, and the news
//! that this gateway passes on.

use compact_str::CompactString;

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::dialect::Registration;
use crate::direct::document::ColdSpec;
use crate::direct::gossip::{Message, split_rows};
use crate::direct::members::Owner;
use crate::direct::notices::{ColdChange, ColdNews, RunId};
use crate::direct::rate_owner::RequestRate;
use crate::journal;

/// Interval between news of cold endpoints. All endpoints may start at the same time, and
/// each of their heartbeats says how long they are still cold.
const NEWS_INTERVAL: Millis = Millis(250);
/// How often the other gateways are told what an endpoint said in a response, as datagrams
/// may be lost. A heartbeat is followed by another one.
const TELL_COUNT: u8 = 2;
/// Number of gateways that tell all that they know to one that has become reachable.
const SPONSORS: usize = 3;
/// An owner that does not hear a gateway that ranks before it grants the rate divided by
/// this, as the other one may grant requests as well.
const DOUBT_DIVISOR: u32 = 2;

/// What a registration says of a run's cold time.
#[derive(Clone, Debug)]
pub(super) struct ColdStatement {
    run: RunId,
    service: CompactString,
    heard_at: Millis,
    /// How much longer it is cold; `None` if it has just started and states nothing.
    left: Option<Millis>,
}

/// What has yet to be done about cold endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdTasks {
    /// Whether a full list of registrations has been read, so that endpoints that are not
    /// in it have started since.
    has_list: bool,
    /// Statements that wait for the first configuration, which says what they mean.
    unresolved: Vec<ColdStatement>,
    /// Endpoints of which the other gateways are told, with the number of times left.
    outbox: Vec<(RunId, u8)>,
    told_at: Millis,
}

impl ColdTasks {
    fn tell(&mut self, run: RunId, times: u8) {
        match self.outbox.iter_mut().find(|(known, _)| *known == run) {
            Some((_, left)) => *left = times.max(*left),
            None => self.outbox.push((run, times)),
        }
    }

    /// The endpoints of which the others are told now.
    fn take_due(&mut self, now: Millis) -> Vec<RunId> {
        if self.outbox.is_empty() || now.since(self.told_at) < NEWS_INTERVAL {
            return Vec::new();
        }
        self.told_at = now;
        let due = self.outbox.iter().map(|(run, _)| *run).collect();
        self.outbox.iter_mut().for_each(|(_, left)| *left -= 1);
        self.outbox.retain(|(_, left)| *left > 0);
        due
    }
}

impl Control {
    /// Takes what registrations say of cold times out of them. Those whose run is new and
    /// that say nothing are cold as long as the configuration says, unless this gateway
    /// has read no list before: then they may have started any time ago.
    pub(super) fn take_cold<'a>(
        &mut self,
        now: Millis,
        registrations: impl Iterator<Item = &'a mut Registration>,
    ) -> Vec<ColdStatement> {
        let mut statements = Vec::new();
        for registration in registrations {
            let left = registration.cold_left.take();
            let has_started = || self.cold.has_list && self.directory.is_new_run(registration);
            if left.is_some() || has_started() {
                statements.push(ColdStatement {
                    run: RunId::of(registration),
                    service: registration.service.clone(),
                    heard_at: now,
                    left,
                });
            }
        }
        statements
    }

    /// Records that a full list of registrations was read.
    pub(super) fn note_list(&mut self) {
        self.cold.has_list = true;
    }

    /// Applies what registrations said. The leader, which alone watches them, tells the
    /// others.
    pub(super) fn apply_cold(&mut self, now: Millis, statements: Vec<ColdStatement>) {
        if self.document.is_none() {
            let unresolved = &mut self.cold.unresolved;
            unresolved.retain(|known| statements.iter().all(|s| s.run != known.run));
            unresolved.extend(statements);
            return;
        }
        for statement in statements {
            let Some(spec) = self.cold_spec(&statement.service) else {
                continue;
            };
            let until = statement.heard_at + statement.left.unwrap_or(spec.time);
            if until <= now {
                continue;
            }
            self.notices.set_cold(now, statement.run, spec.rate, until);
            if self.leader.is_some() {
                self.cold.tell(statement.run, 1);
            }
        }
    }

    /// Applies what was heard before the first configuration, and the rates of a new one.
    pub(super) fn reapply_cold(&mut self, now: Millis) {
        let unresolved = std::mem::take(&mut self.cold.unresolved);
        self.apply_cold(now, unresolved);
        for registration in self.directory.registrations() {
            let run = RunId::of(registration);
            if let Some(spec) = self.cold_spec(&registration.service)
                && let Some((_, until)) = self.notices.cold(now, run)
            {
                self.notices.set_cold(now, run, spec.rate, until);
            }
        }
    }

    pub(super) fn cold_spec(&self, service: &str) -> Option<ColdSpec> {
        self.document.as_ref()?.service(service)?.cold
    }

    /// Handles an endpoint's response that said that it is cold, which was not known.
    pub(super) fn cold_heard(&mut self, now: Millis, run: RunId, out: &mut Vec<Effect>) {
        self.cold.tell(run, TELL_COUNT);
        self.tell_cold(now, out);
    }

    /// Handles what another gateway knows.
    pub(super) fn cold_told(&mut self, now: Millis, news: &[ColdNews]) {
        for ColdNews { run, rate, left } in news {
            self.notices.set_cold(now, *run, *rate, now + *left);
        }
    }

    /// Logs which endpoints have become cold or warm, and sends the news that are due.
    pub(super) fn tend_cold(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let changes = self.notices.take_cold_changes(now);
        for registration in self
            .directory
            .registrations()
            .filter(|_| !changes.is_empty())
        {
            let run = RunId::of(registration);
            let change = changes.iter().find(|(changed, _)| *changed == run);
            if let Some((_, change)) = change {
                log_change(now, &registration.id, *change);
            }
        }
        self.tell_cold(now, out);
    }

    fn tell_cold(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let due = self.cold.take_due(now).into_iter();
        let news: Vec<ColdNews> = due.filter_map(|run| self.cold_news(now, run)).collect();
        if !news.is_empty() {
            let parts = split_rows(&news).into_iter();
            out.extend(parts.map(|news| Effect::Broadcast(Message::ColdEndpoints(news))));
        }
    }

    /// What this gateway knows of an endpoint, if that is cold.
    pub(super) fn cold_news(&self, now: Millis, run: RunId) -> Option<ColdNews> {
        let (rate, until) = self.notices.cold(now, run)?;
        let left = until.since(now);
        Some(ColdNews { run, rate, left })
    }

    /// Tells a gateway that has become reachable of all endpoints that are cold.
    pub(super) fn welcome_with_cold(&self, now: Millis, peer: &str, out: &mut Vec<Effect>) {
        let registrations = self.directory.registrations().map(RunId::of);
        let news = registrations.filter_map(|run| self.cold_news(now, run));
        let news: Vec<ColdNews> = news.collect();
        if news.is_empty() || !self.members.is_sponsor(peer, SPONSORS) {
            return;
        }
        let Some(to) = self.members.address_of(peer) else {
            return;
        };
        let parts = split_rows(&news).into_iter();
        out.extend(parts.map(|news| Effect::Send(to, Message::ColdEndpoints(news))));
    }

    /// The rate of a cold endpoint that this gateway grants as its owner; `None` if it
    /// grants none. Most gateways must hear it: among the others, each that cannot ask
    /// sends half of an even share.
    pub(super) fn granted_cold_rate(
        &self,
        now: Millis,
        run: RunId,
        rate: RequestRate,
    ) -> Option<RequestRate> {
        if !self.members.hears_majority(now) {
            return None;
        }
        match self.members.may_be_preceded(now, run.0) {
            true => Some(RequestRate(rate.0 / DOUBT_DIVISOR)),
            false => Some(rate),
        }
    }

    /// Tells the owner that an endpoint is cold, before it is asked for grants: it may have
    /// missed that.
    pub(super) fn tell_owner_of_cold(
        &self,
        now: Millis,
        run: RunId,
        owner: Owner,
        out: &mut Vec<Effect>,
    ) {
        if let Owner::Other(to) = owner
            && let Some(news) = self.cold_news(now, run)
        {
            out.push(Effect::Send(to, Message::ColdEndpoints(vec![news])));
        }
    }
}

fn log_change(now: Millis, endpoint: &CompactString, change: ColdChange) {
    match change {
        ColdChange::Began(rate, until) => {
            let per_s = f64::from(rate.0) / 1_000.0;
            journal::write(
                "endpoint.cold",
                &[
                    ("endpoint", endpoint.into()),
                    ("per_s", per_s.to_string().as_str().into()),
                    ("left_ms", until.since(now).into()),
                ],
            );
        }
        ColdChange::Ended => journal::write("endpoint.warm", &[("endpoint", endpoint.into())]),
    }
}
