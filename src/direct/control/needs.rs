//! Models that this gateway's requests wait for, reported to the leader at a bounded
//! rate, however many requests wait for one model.

use compact_str::CompactString;

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::gossip::Message;
use crate::direct::request::ModelRef;

/// Minimum time between two reports of the same need: as often as the leader decides
/// without being asked.
const REPORT_INTERVAL: Millis = Millis(100);

/// A model or adapter that requests wait for.
#[derive(Clone, Debug)]
struct Need {
    service: CompactString,
    wanted: ModelRef,
    reported_at: Millis,
    /// Whether a request has waited for it again since the report.
    is_repeated: bool,
}

/// The needs that were reported lately, sorted by service and model.
#[derive(Clone, Debug, Default)]
pub(super) struct Needs(Vec<Need>);

impl Needs {
    /// Records that a request waits. Returns whether to report that now.
    fn record(&mut self, now: Millis, service: &CompactString, wanted: &ModelRef) -> bool {
        let key = (service, wanted);
        match self
            .0
            .binary_search_by(|n| (&n.service, &n.wanted).cmp(&key))
        {
            Ok(at) => {
                self.0[at].is_repeated = true;
                false
            }
            Err(at) => {
                let need = Need {
                    service: service.clone(),
                    wanted: wanted.clone(),
                    reported_at: now,
                    is_repeated: false,
                };
                self.0.insert(at, need);
                true
            }
        }
    }

    /// Returns the needs that have to be reported again, and forgets the others whose
    /// interval is over.
    fn take_due(&mut self, now: Millis) -> Vec<(CompactString, ModelRef)> {
        let mut due = Vec::new();
        self.0.retain_mut(|need| {
            if now.since(need.reported_at) < REPORT_INTERVAL {
                return true;
            }
            need.reported_at = now;
            if std::mem::take(&mut need.is_repeated) {
                due.push((need.service.clone(), need.wanted.clone()));
                return true;
            }
            false
        });
        due
    }
}

impl Control {
    /// Handles a request that waits for a model or adapter.
    pub(super) fn model_wanted(
        &mut self,
        now: Millis,
        service: CompactString,
        wanted: ModelRef,
        out: &mut Vec<Effect>,
    ) {
        if self.needs.record(now, &service, &wanted) {
            self.report_need(now, service, wanted, out);
        }
    }

    /// Reports the needs of requests that waited again since the last report.
    pub(super) fn repeat_needs(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for (service, wanted) in self.needs.take_due(now) {
            self.report_need(now, service, wanted, out);
        }
    }

    fn report_need(
        &mut self,
        now: Millis,
        service: CompactString,
        wanted: ModelRef,
        out: &mut Vec<Effect>,
    ) {
        if let Some(leader) = &mut self.leader {
            leader.note_wanted(now, service, wanted);
            self.request_decision(now, out);
            return;
        }
        if let Some(address) = self.leader_address() {
            let message = Message::Wanted { service, wanted };
            out.push(Effect::Send(address, message));
        }
    }
}
