//! Models that this gateway's requests wait for, reported to the leader at a bounded
//! rate, however many requests wait for one model.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::gossip::Message;
use crate::direct::request::ModelRef;

/// Minimum time between two reports of the same need: as often as the leader decides
/// without being asked.
const REPORT_INTERVAL: Millis = Millis(100);

/// A model or adapter that requests wait for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Need {
    /// The service.
    pub service: CompactString,
    /// The model.
    pub wanted: ModelRef,
    /// The software version that the endpoint must have, if a stream goes on there.
    pub version: Option<CompactString>,
}

impl Need {
    /// A model that is needed at any endpoint of a service.
    pub fn new(service: CompactString, wanted: ModelRef) -> Self {
        Self {
            service,
            wanted,
            version: None,
        }
    }
}

#[derive(Clone, Debug)]
struct ReportedNeed {
    need: Need,
    reported_at: Millis,
    /// Whether a request has waited for it again since the report.
    is_repeated: bool,
}

/// The needs that were reported lately, sorted.
#[derive(Clone, Debug, Default)]
pub(super) struct Needs(Vec<ReportedNeed>);

impl Needs {
    /// Records that a request waits. Returns whether to report that now.
    fn record(&mut self, now: Millis, need: &Need) -> bool {
        match self.0.binary_search_by(|n| n.need.cmp(need)) {
            Ok(at) => {
                self.0[at].is_repeated = true;
                false
            }
            Err(at) => {
                let reported = ReportedNeed {
                    need: need.clone(),
                    reported_at: now,
                    is_repeated: false,
                };
                self.0.insert(at, reported);
                true
            }
        }
    }

    /// Returns the needs that have to be reported again, and forgets the others whose
    /// interval is over.
    fn take_due(&mut self, now: Millis) -> Vec<Need> {
        let mut due = Vec::new();
        self.0.retain_mut(|reported| {
            if now.since(reported.reported_at) < REPORT_INTERVAL {
                return true;
            }
            reported.reported_at = now;
            if std::mem::take(&mut reported.is_repeated) {
                due.push(reported.need.clone());
                return true;
            }
            false
        });
        due
    }
}

impl Control {
    /// Handles a request that waits for a model or adapter.
    pub(super) fn model_wanted(&mut self, now: Millis, need: Need, out: &mut Vec<Effect>) {
        if self.needs.record(now, &need) {
            self.report_need(now, need, out);
        }
    }

    /// Reports the needs of requests that waited again since the last report.
    pub(super) fn repeat_needs(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for need in self.needs.take_due(now) {
            self.report_need(now, need, out);
        }
    }

    /// Notes a need that another gateway reported, if this one leads.
    pub(super) fn need_reported(&mut self, now: Millis, need: Need, out: &mut Vec<Effect>) {
        if let Some(leader) = &mut self.leader {
            leader.note_wanted(now, need);
            self.request_decision(now, out);
        }
    }

    fn report_need(&mut self, now: Millis, need: Need, out: &mut Vec<Effect>) {
        if self.leader.is_some() {
            self.need_reported(now, need, out);
            return;
        }
        if let Some(address) = self.leader_address() {
            let message = match need.version {
                Some(_) => Message::WantedAtVersion(need),
                None => Message::Wanted {
                    service: need.service,
                    wanted: need.wanted,
                },
            };
            out.push(Effect::Send(address, message));
        }
    }
}
