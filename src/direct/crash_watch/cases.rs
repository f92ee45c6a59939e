//! Endpoints whose runs break off, and what they were about to answer.

use tokio::sync::watch;

use crate::clock::Millis;
use crate::direct::dialect::{EndpointState, Registration};
use crate::direct::part_table::PartTable;
use crate::direct::suspects::{CrashId, MAX_CRASH_PARTS, PartId};
use crate::direct::view::View;

/// How long runs that break off later count to the same crash.
const CASE_LIFETIME: Millis = Millis(10_000);
/// Shortest time between two reports of progress with one part.
const PROGRESS_INTERVAL: Millis = Millis(1_000);

/// A part that an endpoint was about to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Its place in the prompt, from 0.
    pub place: usize,
    /// The part.
    pub part: PartId,
}

/// The parts that a run that broke off leaves as suspects: those that other prompts
/// share and that were not answered here lately. A run whose answer had got under way
/// leaves none.
pub fn suspects_of(
    table: &PartTable,
    now: Millis,
    shared_parts: &[PartId],
    is_under_way: bool,
) -> Vec<Suspect> {
    if is_under_way {
        return Vec::new();
    }
    let parts = shared_parts.iter().copied().enumerate();
    let unproven = parts.filter(|(_, part)| !table.is_proven(now, *part));
    unproven
        .map(|(place, part)| Suspect { place, part })
        .collect()
}

/// Whether a request with these suspects may end the next endpoint as well: one of them
/// has not been answered here for long.
pub fn is_dangerous(table: &PartTable, now: Millis, suspects: &[Suspect]) -> bool {
    suspects.iter().any(|s| !table.is_repeatable(now, s.part))
}

/// Whether the end of an endpoint counts as a crash: it is known and did not announce that
/// it leaves. Its registration may have lapsed, which can happen before its runs break off
/// here.
pub fn is_in_use(view: &View, endpoint: &Registration) -> bool {
    let id = endpoint.id.as_str();
    let found = view
        .endpoints
        .binary_search_by(|e| e.registration.id.as_str().cmp(id));
    found.is_ok_and(|at| {
        let known = &view.endpoints[at].registration;
        known.started_at == endpoint.started_at && known.state != EndpointState::Draining
    })
}

/// What has to be done after a run broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Find out whether the endpoint has ended.
    Probe,
    /// Nothing: somebody is about to find out, or the crash does not count.
    Wait,
    /// The endpoint has ended: report these suspects, unless there are none.
    Report(Ended),
}

/// An endpoint that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// When its first run broke off.
    pub since: Millis,
    /// Suspects that have not been reported yet.
    pub suspects: Vec<Suspect>,
}

/// Whether an endpoint has ended, as soon as that is known.
#[derive(Clone, Debug)]
pub struct Verdict(watch::Receiver<Option<bool>>);

impl Verdict {
    /// Waits until it is known.
    pub async fn has_ended(mut self) -> bool {
        let known = self.0.wait_for(Option::is_some).await;
        known.is_ok_and(|has_ended| *has_ended == Some(true))
    }
}

#[derive(Debug)]
struct Case {
    id: CrashId,
    since: Millis,
    is_counted: bool,
    has_ended: watch::Sender<Option<bool>>,
    suspects: Vec<Suspect>,
}

/// The runs of endpoints of which something broke off lately, sorted by identifier.
#[derive(Debug, Default)]
pub struct Cases(Vec<Case>);

impl Cases {
    /// Whether something broke off lately at this run of an endpoint, unless it turned
    /// out to be alive.
    pub fn is_open(&self, now: Millis, id: CrashId) -> bool {
        let found = self.find(id);
        found.is_ok_and(|at| now.since(self.0[at].since) < CASE_LIFETIME)
    }

    /// Adds the suspects of a run that broke off. Whether the crash counts, so that it is
    /// reported, is decided by the first one.
    pub fn record_break(
        &mut self,
        now: Millis,
        id: CrashId,
        suspects: &[Suspect],
        is_counted: bool,
    ) -> Step {
        self.0.retain(|case| now.since(case.since) < CASE_LIFETIME);
        let at = match self.find(id) {
            Ok(at) => at,
            Err(at) => {
                let case = Case {
                    id,
                    since: now,
                    is_counted,
                    has_ended: watch::Sender::new(None),
                    suspects: suspects.to_vec(),
                };
                self.0.insert(at, case);
                return Step::Probe;
            }
        };
        let case = &mut self.0[at];
        if case.has_ended.borrow().is_none() {
            case.suspects.extend_from_slice(suspects);
            return Step::Wait;
        }
        if !case.is_counted {
            return Step::Wait;
        }
        Step::Report(Ended {
            since: case.since,
            suspects: suspects.to_vec(),
        })
    }

    /// Records the result of a probe. Returns what to report if the endpoint has ended and
    /// counts; if it is alive, the case is closed.
    pub fn conclude(&mut self, id: CrashId, has_ended: bool) -> Option<Ended> {
        let at = self.find(id).ok()?;
        self.0[at].has_ended.send_replace(Some(has_ended));
        if !has_ended {
            self.0.remove(at);
            return None;
        }
        let case = &mut self.0[at];
        case.is_counted.then(|| Ended {
            since: case.since,
            suspects: std::mem::take(&mut case.suspects),
        })
    }

    /// Whether runs that broke off there before their answers got under way left suspects.
    pub fn has_suspects(&self, id: CrashId) -> bool {
        let found = self.find(id);
        found.is_ok_and(|at| !self.0[at].suspects.is_empty())
    }

    /// Tells whether the endpoint has ended, if something broke off there.
    pub fn verdict(&self, id: CrashId) -> Option<Verdict> {
        let at = self.find(id).ok()?;
        Some(Verdict(self.0[at].has_ended.subscribe()))
    }

    fn find(&self, id: CrashId) -> Result<usize, usize> {
        self.0.binary_search_by_key(&id, |case| case.id)
    }
}

/// The parts that a report names, each once and sorted. If there are too many, those go
/// first that other crashes speak against, then those at the beginnings of prompts, so
/// that each run is heard.
pub fn reported_parts(table: &PartTable, suspects: &[Suspect]) -> Vec<PartId> {
    let ranked = suspects
        .iter()
        .map(|s| (!table.is_watched(s.part), s.place, s.part));
    let mut ranked: Vec<(bool, usize, PartId)> = ranked.collect();
    ranked.sort_unstable();
    let mut parts: Vec<PartId> = Vec::new();
    for (_, _, part) in ranked {
        if parts.len() == MAX_CRASH_PARTS {
            break;
        }
        if let Err(at) = parts.binary_search(&part) {
            parts.insert(at, part);
        }
    }
    parts
}

/// When progress with each part was last reported, sorted by part.
#[derive(Debug, Default)]
pub struct ProgressLog(Vec<(PartId, Millis)>);

impl ProgressLog {
    /// Keeps the parts whose progress is to be reported now.
    pub fn retain_due(&mut self, now: Millis, parts: &mut Vec<PartId>) {
        self.0.retain(|(_, at)| now.since(*at) < PROGRESS_INTERVAL);
        parts.retain(|part| {
            let place = self.0.binary_search_by_key(part, |(known, _)| *known);
            place.map_err(|at| self.0.insert(at, (*part, now))).is_err()
        });
    }
}
