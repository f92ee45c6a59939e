//! The control state of a gateway: one reducer over all events, with effects as data.

use std::sync::Arc;

use compact_str::CompactString;

use super::dialect::Registration;
use super::directory::{Change, Directory, Grace};
use super::document::Document;
use super::request::ModelRef;
use super::settings::Bounds;
use super::view::View;
use crate::clock::Millis;
use crate::journal;

/// Something that control has to know.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A configuration was read.
    Configuration(Arc<Document>),
    /// All registrations were read.
    Registrations(Vec<Registration>),
    /// A registration was written.
    Registered(Registration),
    /// A registration was removed.
    Deregistered(CompactString),
    /// The store does not answer.
    StoreLost,
    /// The store answers.
    StoreHeard,
    /// A request waits for a model that no endpoint holds.
    Wanted {
        /// The service.
        service: CompactString,
        /// The model.
        wanted: ModelRef,
    },
    /// An endpoint does not hold what it was believed to hold, or is another one.
    Misdirected {
        /// The endpoint.
        endpoint: Option<CompactString>,
        /// The model.
        wanted: ModelRef,
    },
    /// The process is told to stop.
    Drain,
}

/// Something that is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Publish the view.
    Publish,
    /// Use the limits of the configuration.
    SetLimits(Arc<Document>),
}

/// The control state of one gateway.
#[derive(Debug)]
pub struct Control {
    document: Option<Arc<Document>>,
    directory: Directory,
    is_store_away: bool,
    generation: u64,
}

impl Control {
    /// The state of a process that has just started.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            document: None,
            directory: Directory::new(Grace {
                drain: bounds.drain,
                relist: bounds.relist,
            }),
            is_store_away: false,
            generation: 0,
        }
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.document.as_ref().map(|d| d.version)
    }

    /// What traffic is to know.
    pub fn view(&mut self, now: Millis) -> View {
        self.generation += 1;
        View {
            generation: self.generation,
            document: self.document.clone(),
            endpoints: self.directory.views(now),
        }
    }

    /// Takes in one event and lists what is to be done.
    pub fn reduce(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Configuration(document) => self.configure(document, &mut out),
            Event::Registrations(all) => {
                let changes = self.directory.replace(now, all);
                log_changes(&changes);
                out.push(Effect::Publish);
            }
            Event::Registered(registration) => {
                let change = self.directory.put(now, registration);
                log_changes(change.as_slice());
                out.push(Effect::Publish);
            }
            Event::Deregistered(id) => {
                let change = self.directory.remove(now, &id);
                log_changes(change.as_slice());
                out.push(Effect::Publish);
            }
            Event::StoreLost => {
                self.directory.store_lost();
                if !std::mem::replace(&mut self.is_store_away, true) {
                    journal::write("store.lost", &[]);
                }
            }
            Event::StoreHeard => {
                self.directory.store_regained(now);
                if std::mem::take(&mut self.is_store_away) {
                    journal::write("store.regained", &[]);
                }
            }
            Event::Wanted { .. } | Event::Misdirected { .. } | Event::Drain => {}
        }
        out
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let gone = self.directory.expire(now);
        if !gone.is_empty() {
            log_changes(&gone);
            out.push(Effect::Publish);
        }
    }

    /// Takes a newer version; an older one is never taken back.
    fn configure(&mut self, document: Arc<Document>, out: &mut Vec<Effect>) {
        if self
            .version()
            .is_some_and(|version| version >= document.version)
        {
            return;
        }
        journal::write(
            "configuration.adopted",
            &[
                ("version", document.version.into()),
                ("before", self.version().unwrap_or_default().into()),
                ("routes", document.routes.len().into()),
                ("workspaces", document.workspaces.len().into()),
                ("skipped", document.skipped.join("; ").as_str().into()),
            ],
        );
        self.document = Some(document.clone());
        out.push(Effect::SetLimits(document));
        out.push(Effect::Publish);
    }
}

fn log_changes(changes: &[Change]) {
    for change in changes {
        let (event, id) = match change {
            Change::Appeared(id) => ("endpoint.appeared", id),
            Change::Leaving(id) => ("endpoint.leaving", id),
            Change::Lapsed(id) => ("endpoint.lapsed", id),
            Change::Gone(id) => ("endpoint.gone", id),
            Change::Returned(id) => ("endpoint.returned", id),
        };
        journal::write(event, &[("endpoint", id.into())]);
    }
}
