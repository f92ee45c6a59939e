//! The table of statements as the control and traffic threads share it.

use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use super::{ColdChange, LimitChange, News, Notice, Notices, Permit, RunId};
use crate::clock::Millis;
use crate::direct::dialect::Registration;
use crate::direct::evacuation::ZoneBoard;
use crate::direct::rate_owner::{Grant, RequestRate};
use crate::direct::view::{EndpointView, Usability};
use crate::journal;

/// An endpoint that takes less than its usual rate, divided by this, gets no new models.
const LIMITED_DIVISOR: u64 = 2;
/// Time in which an engine that runs as many requests as it has slots completes them.
const BATCH_DURATION: Millis = Millis(2_500);

/// What a gateway heard of the rate that an endpoint takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNews {
    /// The endpoint.
    pub run: RunId,
    /// The rate; `None` if it takes any now.
    pub rate: Option<RequestRate>,
    /// The time since the request was sent whose response said so.
    pub age: Millis,
}

/// What a gateway knows of an endpoint that is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNews {
    /// The endpoint.
    pub run: RunId,
    /// The rate that it takes from all gateways together.
    pub rate: RequestRate,
    /// How much longer it is cold.
    pub left: Millis,
}

/// The statements of all endpoints, shared by both threads.
#[derive(Debug, Default)]
pub struct NoticeBoard {
    /// The zones that the operator evacuates, whatever their endpoints say.
    pub zones: ZoneBoard,
    notices: Mutex<Notices>,
    /// Wakes the requests that wait for grants.
    answered: Notify,
}

impl NoticeBoard {
    /// An empty board of the gateway with this seed.
    pub fn seeded(seed: u64) -> Self {
        Self {
            notices: Mutex::new(Notices::seeded(seed)),
            ..Self::default()
        }
    }

    /// Records that an endpoint is cold until a time, as [`Notices::set_cold`] does.
    pub fn set_cold(&self, now: Millis, run: RunId, rate: RequestRate, until: Millis) -> bool {
        self.lock().set_cold(now, run, rate, until)
    }

    /// The rate that an endpoint takes while it is cold, and until when.
    pub fn cold(&self, now: Millis, run: RunId) -> Option<(RequestRate, Millis)> {
        self.lock().cold(now, run)
    }

    /// Endpoints that have become cold or warm since the last call. Wakes the requests that
    /// wait for grants, as those to warm endpoints need none any more.
    pub fn take_cold_changes(&self, now: Millis) -> Vec<(RunId, ColdChange)> {
        let changes = self.lock().take_cold_changes(now);
        if changes
            .iter()
            .any(|(_, change)| *change == ColdChange::Ended)
        {
            self.answered.notify_waiters();
        }
        changes
    }

    /// Records what a response of an endpoint stated, to a request that was sent at
    /// `sent_at`, and logs what is new.
    pub fn hear(
        &self,
        now: Millis,
        endpoint: &Registration,
        notice: &Notice,
        sent_at: Millis,
    ) -> News {
        let news = self.lock().hear(now, RunId::of(endpoint), notice, sent_at);
        let id = &endpoint.id;
        if news.is_leaving {
            journal::write(
                "endpoint.said_leaving",
                &[("endpoint", id.into()), ("from", "".into())],
            );
        }
        if let Some(until) = news.pause_until {
            journal::write(
                "endpoint.paused",
                &[
                    ("endpoint", id.into()),
                    ("pause_ms", until.since(now).into()),
                ],
            );
        }
        if let Some(field) = news.invalid {
            journal::write(
                "endpoint.notice_invalid",
                &[("endpoint", id.into()), ("field", field.into())],
            );
        }
        match news.limit {
            Some(LimitChange::Named(rate)) => log_limit(id, rate, ""),
            Some(LimitChange::Ended) => {
                // Requests that wait for a grant need none any more.
                self.answered.notify_waiters();
                log_limit_end(id, "");
            }
            None => {}
        }
        news
    }

    /// Records that another gateway heard of endpoints that are leaving. Returns whether
    /// any of them is new here.
    pub fn learn_leaving(&self, now: Millis, runs: &[RunId]) -> bool {
        let notice = Notice {
            is_leaving: true,
            ..Notice::default()
        };
        let mut notices = self.lock();
        let news = runs
            .iter()
            .map(|run| notices.hear(now, *run, &notice, Millis::ZERO));
        news.filter(|news| news.is_leaving).count() > 0
    }

    /// Whether a request may be sent to an endpoint.
    pub fn permit(&self, now: Millis, endpoint: &Registration) -> Permit {
        match self.zones.is_closed(now, &endpoint.zone) {
            true => Permit::Never,
            false => self.lock().permit(now, RunId::of(endpoint)),
        }
    }

    /// Asks for the permit of a request that leaves now, if it is granted.
    pub fn begin(&self, now: Millis, endpoint: &Registration, gateways: usize) -> Permit {
        if self.zones.is_closed(now, &endpoint.zone) {
            return Permit::Never;
        }
        self.lock().begin(now, RunId::of(endpoint), gateways)
    }

    /// Records the answer to a question for this many requests, and wakes those that wait.
    pub fn granted(&self, now: Millis, run: RunId, grant: Grant, wanted: u32) {
        self.lock().granted(now, run, grant, wanted);
        self.answered.notify_waiters();
    }

    /// Completes when the next answer has been recorded.
    pub fn answered(&self) -> Notified<'_> {
        self.answered.notified()
    }

    /// Records what another gateway heard of the rates that endpoints take. Returns the
    /// endpoints of which it is news.
    pub fn learn_limits(&self, now: Millis, news: &[LimitNews]) -> Vec<LimitNews> {
        let mut notices = self.lock();
        let learnt = news.iter().filter(|news| {
            let sent_at = Millis(now.0.saturating_sub(news.age.0));
            notices.learn_limit(now, news.run, news.rate, sent_at)
        });
        learnt.copied().collect()
    }

    /// All endpoints that name a rate.
    pub fn limits(&self) -> Vec<LimitNews> {
        let notices = self.lock();
        let limits = notices.limits().map(|(run, rate)| LimitNews {
            run,
            rate: Some(rate),
            age: Millis::ZERO,
        });
        limits.collect()
    }

    /// Whether an endpoint said that it leaves.
    pub fn is_leaving(&self, endpoint: &Registration) -> bool {
        self.lock().is_leaving(RunId::of(endpoint))
    }

    /// All endpoints that said so.
    pub fn leaving(&self) -> Vec<RunId> {
        self.lock().leaving().collect()
    }

    /// Marks the endpoints that said that they leave, or that they take much less than
    /// usual, whatever their registrations say.
    pub fn mark(&self, endpoints: &mut [EndpointView]) {
        let notices = self.lock();
        if notices.is_empty() {
            return;
        }
        for endpoint in endpoints {
            let run = RunId::of(&endpoint.registration);
            let limit = notices.limit(run).map(|(rate, _)| rate);
            let usual = u64::from(endpoint.registration.slots) * 1_000_000 / BATCH_DURATION.0;
            if notices.is_leaving(run) {
                endpoint.usability = Usability::Leaving;
            } else if let Some(rate) = limit
                && u64::from(rate.0) * LIMITED_DIVISOR < usual
                && endpoint.usability == Usability::Open
            {
                endpoint.usability = Usability::Limited(rate);
            }
        }
    }

    /// Runs `work` on the table.
    pub fn with<T>(&self, work: impl FnOnce(&mut Notices) -> T) -> T {
        work(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Notices> {
        // No holder leaves the table inconsistent, so that a panic need not spread.
        self.notices.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// A guard that counts a request as waiting for a grant until it is dropped.
pub struct WaitingRequest<'a> {
    board: &'a NoticeBoard,
    run: RunId,
}

impl<'a> WaitingRequest<'a> {
    /// Counts a request that waits for a grant of an endpoint's rate.
    pub fn begin(board: &'a NoticeBoard, run: RunId) -> Self {
        board.lock().begin_wait(run);
        Self { board, run }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.board.lock().end_wait(self.run);
    }
}

/// Logs that an endpoint names a rate; `from` is the gateway that heard it, empty if this
/// one.
pub fn log_limit(endpoint: &str, rate: RequestRate, from: &str) {
    let per_s = f64::from(rate.0) / 1_000.0;
    journal::write(
        "endpoint.limited",
        &[
            ("endpoint", endpoint.into()),
            ("per_s", per_s.to_string().as_str().into()),
            ("from", from.into()),
        ],
    );
}

/// Logs that an endpoint takes any rate again.
pub fn log_limit_end(endpoint: &str, from: &str) {
    journal::write(
        "endpoint.limit_ended",
        &[("endpoint", endpoint.into()), ("from", from.into())],
    );
}
