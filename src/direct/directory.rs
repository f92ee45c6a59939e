//! Which endpoints exist, by their registrations in the platform's store.

use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::dialect::{EndpointState, Registration, Resident};
use super::view::{EndpointView, Usability};
use crate::clock::Millis;

/// How long an endpoint whose registration was removed may still get work that
/// no other endpoint can do: half of the time for which such endpoints serve on.
const LAPSE_GRACE_DIVISOR: u64 = 2;

/// What an engine holds, as the leader knows from its orders and reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// The engine.
    pub endpoint: CompactString,
    /// Its start.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// The leader's fencing number and the number of its announcement: a later
    /// announcement replaces an earlier one.
    pub stamp: (u64, u64),
    /// Models and adapters that it holds.
    pub residents: Vec<Resident>,
    /// Models that no request may use any more, whatever the engine registered.
    pub hidden: Vec<CompactString>,
}

#[derive(Clone, Debug)]
struct Entry {
    registration: Arc<Registration>,
    announced: Option<Holdings>,
    holdings: Arc<Vec<Resident>>,
    /// Since when it is leaving or its registration is gone.
    leaving_since: Option<Millis>,
    /// Whether the registration is gone.
    is_lapsed: bool,
}

/// A change of what is believed about an endpoint, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new, or it started anew.
    Appeared(CompactString),
    /// It takes no new work.
    Leaving(CompactString),
    /// Its registration is gone.
    Lapsed(CompactString),
    /// It is gone for good.
    Gone(CompactString),
    /// It takes work again.
    Returned(CompactString),
}

/// How long endpoints are used after they said that they leave.
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    /// After a drain was announced or a registration was removed.
    pub drain: Millis,
    /// After the store came back without a registration.
    pub relist: Millis,
}

/// The known endpoints.
#[derive(Clone, Debug)]
pub struct Directory {
    entries: Vec<Entry>,
    grace: Grace,
    /// When the store was reached again after it had been away.
    store_back_at: Option<Millis>,
    is_store_away: bool,
}

impl Directory {
    /// An empty directory.
    pub fn new(grace: Grace) -> Self {
        Self {
            entries: Vec::new(),
            grace,
            store_back_at: None,
            is_store_away: false,
        }
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Notes that the store is away: what lapses meanwhile proves nothing.
    pub fn store_lost(&mut self) {
        self.is_store_away = true;
    }

    /// Notes that the store answers again.
    pub fn store_regained(&mut self, now: Millis) {
        if std::mem::take(&mut self.is_store_away) {
            self.store_back_at = Some(now);
        }
    }

    /// Takes in all registrations of one reading.
    pub fn replace(&mut self, now: Millis, all: Vec<Registration>) -> Vec<Change> {
        let mut changes = Vec::new();
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

    /// Takes in one registration.
    pub fn put(&mut self, now: Millis, registration: Registration) -> Option<Change> {
        let id = registration.id.clone();
        let is_leaving = registration.state == EndpointState::Draining;
        let fresh = |registration: Registration| Entry {
            holdings: Arc::new(registration.models.clone().unwrap_or_default()),
            announced: None,
            leaving_since: is_leaving.then_some(now),
            is_lapsed: false,
            registration: Arc::new(registration),
        };
        let at = match self.find(&id) {
            Ok(at) => at,
            Err(at) => {
                self.entries.insert(at, fresh(registration));
                return Some(Change::Appeared(id));
            }
        };
        let entry = &mut self.entries[at];
        if entry.registration.started_at != registration.started_at {
            *entry = fresh(registration);
            return Some(Change::Appeared(id));
        }
        let was_leaving = entry.leaving_since.is_some();
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

    /// Whether a registration tells nothing new.
    pub fn knows(&self, registration: &Registration) -> bool {
        let Ok(at) = self.find(&registration.id) else {
            return false;
        };
        let entry = &self.entries[at];
        !entry.is_lapsed && *entry.registration == *registration
    }

    /// Takes in the removal of a registration.
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

    /// Takes in what the leader says that an engine holds; returns whether that
    /// changes what requests may use.
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

    /// Drops the endpoints whose time is over.
    pub fn expire(&mut self, now: Millis) -> Vec<Change> {
        let grace = self.lapse_grace(now);
        let drain = Millis(self.grace.drain.0 / LAPSE_GRACE_DIVISOR);
        let mut gone = Vec::new();
        self.entries.retain(|entry| {
            let Some(since) = entry.leaving_since else {
                return true;
            };
            let bound = if entry.is_lapsed { grace } else { drain };
            let stays = now.since(since) <= bound || (self.is_store_away && entry.is_lapsed);
            // A draining endpoint stays known until its registration goes, so
            // that the next reading does not bring it back as a new one.
            let stays = stays || !entry.is_lapsed;
            if !stays {
                gone.push(Change::Gone(entry.registration.id.clone()));
            }
            stays
        });
        gone
    }

    fn lapse_grace(&self, now: Millis) -> Millis {
        let was_away = self
            .store_back_at
            .is_some_and(|at| now.since(at) <= self.grace.relist);
        match was_away {
            true => self.grace.relist,
            false => Millis(self.grace.drain.0 / LAPSE_GRACE_DIVISOR),
        }
    }

    /// What traffic may use, in ascending order of identifier.
    pub fn views(&self, now: Millis) -> Vec<EndpointView> {
        let drain = Millis(self.grace.drain.0 / LAPSE_GRACE_DIVISOR);
        let usable = self.entries.iter().filter(|e| {
            let is_over = e.leaving_since.is_some_and(|at| now.since(at) > drain);
            !is_over || e.is_lapsed
        });
        usable
            .map(|e| EndpointView {
                registration: e.registration.clone(),
                usability: match e.leaving_since {
                    Some(_) => Usability::Leaving,
                    None => Usability::Open,
                },
                holdings: e.holdings.clone(),
            })
            .collect()
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.registration.id.as_str().cmp(id))
    }
}

impl Entry {
    /// Joins the registration with what the leader announced: an engine
    /// registers its models soon after a change and its adapters hardly ever.
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
