//! The table of statements as the control and traffic threads share it.

use std::sync::{Mutex, MutexGuard};

use super::{Notice, Notices, Permit, RunId};
use crate::clock::Millis;
use crate::direct::dialect::Registration;
use crate::direct::view::{EndpointView, Usability};
use crate::journal;

/// The statements of all endpoints, shared by both threads.
#[derive(Debug, Default)]
pub struct NoticeBoard(Mutex<Notices>);

impl NoticeBoard {
    /// Records what a response of an endpoint stated. Returns whether it says for the
    /// first time that the endpoint leaves.
    pub fn hear(&self, now: Millis, endpoint: &Registration, notice: &Notice) -> bool {
        let news = self.lock().hear(now, RunId::of(endpoint), notice);
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
        news.is_leaving
    }

    /// Records that another gateway heard of endpoints that are leaving. Returns whether
    /// any of them is new here.
    pub fn learn_leaving(&self, now: Millis, runs: &[RunId]) -> bool {
        let notice = Notice {
            is_leaving: true,
            ..Notice::default()
        };
        let mut notices = self.lock();
        let news = runs.iter().map(|run| notices.hear(now, *run, &notice));
        news.filter(|news| news.is_leaving).count() > 0
    }

    /// Whether a request may be sent to an endpoint.
    pub fn permit(&self, now: Millis, endpoint: &Registration) -> Permit {
        self.lock().permit(now, RunId::of(endpoint))
    }

    /// Asks for the permit of a request that leaves now, if it is granted.
    pub fn begin(&self, now: Millis, endpoint: &Registration) -> Permit {
        self.lock().begin(now, RunId::of(endpoint))
    }

    /// Whether an endpoint said that it leaves.
    pub fn is_leaving(&self, endpoint: &Registration) -> bool {
        self.lock().is_leaving(RunId::of(endpoint))
    }

    /// All endpoints that said so.
    pub fn leaving(&self) -> Vec<RunId> {
        self.lock().leaving().collect()
    }

    /// Marks the endpoints that said that they leave, whatever their registrations say.
    pub fn mark_leaving(&self, endpoints: &mut [EndpointView]) {
        let notices = self.lock();
        for endpoint in endpoints {
            if notices.is_leaving(RunId::of(&endpoint.registration)) {
                endpoint.usability = Usability::Leaving;
            }
        }
    }

    /// Runs `work` on the table.
    pub fn with<T>(&self, work: impl FnOnce(&mut Notices) -> T) -> T {
        work(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Notices> {
        // No holder leaves the table inconsistent, so that a panic need not spread.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}
