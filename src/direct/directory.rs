//! The known endpoints, from their registrations in the platform's store.

use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::dialect::{EndpointState, Registration, Resident};
use super::view::{EndpointView, Usability};
use crate::clock::Millis;

/// For the drain time divided by this, a leaving endpoint still gets the requests that
/// no other endpoint can serve. It goes on serving for the whole drain time.
const ASSIGNMENT_GRACE_DIVISOR: u64 = 2;

/// How long an endpoint that left is remembered: no copy of the store is older.
const DEPARTED_LIFETIME: Millis = Millis(60_000);

/// The models that an engine holds, as the leader knows them from orders and reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// The engine.
    pub endpoint: CompactString,
    /// The start time in its registration, which distinguishes restarts.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// The leader's fencing number and the number of this announcement. An
    /// announcement with a larger stamp replaces one with a smaller stamp.
    pub stamp: (u64, u64),
    /// Models that it holds, with their adapters.
    pub residents: Vec<Resident>,
    /// Models that requests must not use, even if the engine registers them.
    pub hidden: Vec<CompactString>,
}

#[derive(Clone, Debug)]
struct Entry {
    registration: Arc<Registration>,
    /// The latest announcement of the leader.
    announced: Option<Holdings>,
    /// Models that requests may use: the registered ones merged with the announced ones.
    holdings: Arc<Vec<Resident>>,
    /// When it started to drain or its registration was removed.
    leaving_since: Option<Millis>,
    /// Whether it was seen before it started to drain. If not, that may have been any time ago.
    was_open: bool,
    /// Whether the registration was removed.
    is_lapsed: bool,
}

/// A change of an endpoint, written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new or was restarted.
    Appeared(CompactString),
    /// It is draining. It takes requests only if no other endpoint can serve them.
    Leaving(CompactString),
    /// Its registration was removed.
    Lapsed(CompactString),
    /// Its grace period ended and it was dropped.
    Gone(CompactString),
    /// It takes new requests again.
    Returned(CompactString),
}

/// How long leaving endpoints are used.
#[derive(Clone, Copy, Debug)]
pub struct GracePeriods {
    /// How long an endpoint serves after it announced a drain or its registration was removed.
    pub drain: Millis,
    /// How long an endpoint without a registration is kept if the store was
    /// unreachable, so that the endpoint has time to register again.
    pub relist: Millis,
}

/// The known endpoints, sorted by identifier.
#[derive(Clone, Debug)]
pub struct Directory {
    entries: Vec<Entry>,
    grace: GracePeriods,
    /// When the store last became reachable again.
    store_regained_at: Option<Millis>,
    is_store_lost: bool,
    /// When the store came back from a copy.
    restored_at: Option<Millis>,
    /// Endpoints that left lately, with their start time and when they were dropped.
    departed: Vec<(CompactString, u64, Millis)>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(grace: GracePeriods) -> Self {
        Self {
            entries: Vec::new(),
            grace,
            store_regained_at: None,
            is_store_lost: false,
            restored_at: None,
            departed: Vec::new(),
        }
    }

    /// Replaces the grace periods, also of endpoints that are leaving.
    pub fn set_grace(&mut self, grace: GracePeriods) {
        self.grace = grace;
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All registrations, also of endpoints that are leaving.
    pub fn registrations(&self) -> impl Iterator<Item = &Registration> {
        self.entries.iter().map(|e| &*e.registration)
    }

    /// Records that the store is unreachable. Endpoints whose registrations lapse in
    /// the meantime are kept, since they cannot renew them.
    pub fn store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store answers.
    pub fn store_regained(&mut self, now: Millis) {
        if std::mem::take(&mut self.is_store_lost) {
            self.store_regained_at = Some(now);
        }
    }

    /// Records that the store came back from a copy. It may list endpoints that have left;
    /// those that live write their registrations again. Others may be missing until then.
    pub fn store_restored(&mut self, now: Millis) {
        self.restored_at = Some(now);
        self.store_regained_at = Some(now);
    }

    /// Whether a list from the store may show an endpoint as it was before it left.
    fn is_outdated(&self, now: Millis, listed: &Registration) -> bool {
        let is_recent = |at: Millis| now.since(at) <= self.grace.relist;
        if !self.restored_at.is_some_and(is_recent) || listed.state == EndpointState::Draining {
            return false;
        }
        let is_same = |id: &str, started_at| id == listed.id && started_at == listed.started_at;
        let entry = self.find(&listed.id).ok().map(|at| &self.entries[at]);
        let is_leaving = entry.is_some_and(|e| {
            e.leaving_since.is_some() && is_same(&e.registration.id, e.registration.started_at)
        });
        let mut departed = self.departed.iter();
        is_leaving || departed.any(|(id, started_at, _)| is_same(id, *started_at))
    }

    /// Applies a full list of registrations; those that are missing count as removed.
    pub fn replace(&mut self, now: Millis, mut all: Vec<Registration>) -> Vec<Change> {
        let mut changes = Vec::new();
        all.retain(|listed| !self.is_outdated(now, listed));
        let ids: Vec<CompactString> = all.iter().map(|r| r.id.clone()).collect();
        for registration in all {
            changes.extend(self.put(now, registration));
        }
        let missing = self
            .entries
            .iter()
            .filter(|e| !ids.contains(&e.registration.id));
        let missing: Vec<CompactString> = missing.map(|e| e.registration.id.clone()).collect();
        for id in missing {
            changes.extend(self.remove(now, &id));
        }
        changes
    }

    /// Adds or updates one registration.
    pub fn put(&mut self, now: Millis, registration: Registration) -> Option<Change> {
        let id = registration.id.clone();
        let is_leaving = registration.state == EndpointState::Draining;
        let new_entry = |registration: Registration| Entry {
            holdings: Arc::new(registration.models.clone().unwrap_or_default()),
            announced: None,
            leaving_since: is_leaving.then_some(now),
            was_open: !is_leaving,
            is_lapsed: false,
            registration: Arc::new(registration),
        };
        let at = match self.find(&id) {
            Ok(at) => at,
            Err(at) => {
                self.entries.insert(at, new_entry(registration));
                return Some(Change::Appeared(id));
            }
        };
        let entry = &mut self.entries[at];
        if entry.registration.started_at != registration.started_at {
            *entry = new_entry(registration);
            return Some(Change::Appeared(id));
        }
        let was_leaving = entry.leaving_since.is_some();
        entry.was_open |= !is_leaving;
        entry.is_lapsed = false;
        entry.leaving_since = match is_leaving {
            true => entry.leaving_since.or(Some(now)),
            false => None,
        };
        entry.registration = Arc::new(registration);
        entry.merge_holdings();
        match (was_leaving, is_leaving) {
            (false, true) => Some(Change::Leaving(id)),
            (true, false) => Some(Change::Returned(id)),
            _ => None,
        }
    }

    /// Whether this registration equals the known one, which has not been removed.
    pub fn has_current(&self, registration: &Registration) -> bool {
        let Ok(at) = self.find(&registration.id) else {
            return false;
        };
        let entry = &self.entries[at];
        !entry.is_lapsed && *entry.registration == *registration
    }

    /// Whether a registration is of a run that was not known before.
    pub fn is_new_run(&self, registration: &Registration) -> bool {
        let is_same =
            |id: &str, started_at| id == registration.id && started_at == registration.started_at;
        let mut departed = self.departed.iter();
        match self.find(&registration.id) {
            Ok(at) if self.entries[at].registration.started_at == registration.started_at => false,
            _ => !departed.any(|(id, started_at, _)| is_same(id, *started_at)),
        }
    }

    /// Marks an endpoint as lapsed after its registration was removed.
    pub fn remove(&mut self, now: Millis, id: &str) -> Option<Change> {
        let at = self.find(id).ok()?;
        let entry = &mut self.entries[at];
        if entry.is_lapsed {
            return None;
        }
        entry.is_lapsed = true;
        entry.leaving_since.get_or_insert(now);
        Some(Change::Lapsed(entry.registration.id.clone()))
    }

    /// Applies the holdings that the leader announced for an engine. Returns whether
    /// the models that requests may use changed.
    pub fn set_holdings(&mut self, holdings: Holdings) -> bool {
        let Ok(at) = self.find(&holdings.endpoint) else {
            return false;
        };
        let entry = &mut self.entries[at];
        let is_older = entry
            .announced
            .as_ref()
            .is_some_and(|known| holdings.stamp <= known.stamp);
        if entry.registration.started_at != holdings.started_at || is_older {
            return false;
        }
        let before = entry.holdings.clone();
        entry.announced = Some(holdings);
        entry.merge_holdings();
        before != entry.holdings
    }

    /// Drops the endpoints whose registration was removed and whose grace period is over.
    pub fn expire(&mut self, now: Millis) -> Vec<Change> {
        let grace = self.lapsed_grace(now);
        let assignment = self.assignment_grace();
        let mut gone = Vec::new();
        self.entries.retain(|entry| {
            // A draining endpoint is kept until its registration is removed.
            // Otherwise the next full list would add it as a new one.
            let Some(since) = entry.leaving_since.filter(|_| entry.is_lapsed) else {
                return true;
            };
            let is_awaited = now.since(since) <= grace || self.is_store_lost;
            let is_kept = is_awaited && !entry.is_drained(now, assignment);
            if !is_kept {
                let registration = &entry.registration;
                gone.push(Change::Gone(registration.id.clone()));
                let departed = (registration.id.clone(), registration.started_at, now);
                self.departed.push(departed);
            }
            is_kept
        });
        self.departed
            .retain(|(_, _, at)| now.since(*at) < DEPARTED_LIFETIME);
        gone
    }

    /// How long an endpoint is kept after its registration was removed.
    fn lapsed_grace(&self, now: Millis) -> Millis {
        let is_relisting = self
            .store_regained_at
            .is_some_and(|at| now.since(at) <= self.grace.relist);
        match is_relisting {
            true => self.grace.relist,
            false => self.assignment_grace(),
        }
    }

    /// How long an endpoint still gets requests after it said that it leaves.
    fn assignment_grace(&self) -> Millis {
        Millis(self.grace.drain.0 / ASSIGNMENT_GRACE_DIVISOR)
    }

    /// The endpoints that requests may use, sorted by identifier.
    pub fn views(&self, now: Millis) -> Vec<EndpointView> {
        let assignment = self.assignment_grace();
        let usable = self.entries.iter();
        let usable = usable.filter(|e| !e.is_drained(now, assignment));
        usable.map(Entry::view).collect()
    }

    /// One of the endpoints that requests may use.
    pub fn view_of(&self, now: Millis, id: &str) -> Option<EndpointView> {
        let entry = &self.entries[self.find(id).ok()?];
        let is_usable = !entry.is_drained(now, self.assignment_grace());
        is_usable.then(|| entry.view())
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.registration.id.as_str().cmp(id))
    }
}

impl Entry {
    /// Whether it said that it leaves, and no request may be sent to it any more. The removal
    /// of its registration does not change that.
    fn is_drained(&self, now: Millis, assignment: Millis) -> bool {
        let is_draining = self.registration.state == EndpointState::Draining;
        let is_over = |at: Millis| !self.was_open || now.since(at) > assignment;
        is_draining && self.leaving_since.is_some_and(is_over)
    }

    fn view(&self) -> EndpointView {
        EndpointView {
            registration: self.registration.clone(),
            usability: match self.leaving_since {
                Some(_) => Usability::Leaving,
                None => Usability::Open,
            },
            holdings: self.holdings.clone(),
        }
    }

    /// Merges the registered models with those that the leader announced. The
    /// announced adapters take precedence: an engine registers its models soon after
    /// a change, but rarely its adapters.
    fn merge_holdings(&mut self) {
        let registered = self.registration.models.iter().flatten();
        let mut merged: Vec<Resident> = registered.cloned().collect();
        if let Some(announced) = &self.announced {
            for resident in &announced.residents {
                match merged.iter_mut().find(|r| r.model == resident.model) {
                    Some(known) => known.adapters.clone_from(&resident.adapters),
                    None => merged.push(resident.clone()),
                }
            }
            merged.retain(|r| !announced.hidden.contains(&r.model));
        }
        if *self.holdings != merged {
            self.holdings = Arc::new(merged);
        }
    }
}
