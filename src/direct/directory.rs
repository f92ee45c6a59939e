//! Which endpoints exist, by their registrations in the platform's store.

use std::sync::Arc;

use compact_str::CompactString;

use super::dialect::{EndpointState, Registration, Resident};
use super::view::{EndpointView, Usability};
use crate::clock::Millis;

/// How long an endpoint whose registration was removed may still get work that
/// no other endpoint can do: half of the time for which such endpoints serve on.
const LAPSE_GRACE_DIVISOR: u64 = 2;

/// What an endpoint holds, by a source that is newer than its registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holdings {
    /// The endpoint.
    pub endpoint: CompactString,
    /// Its start.
    pub born: u64,
    /// The number of orders that it had accepted.
    pub orders: u64,
    /// What it holds.
    pub residents: Vec<Resident>,
}

#[derive(Clone, Debug)]
struct Entry {
    registration: Arc<Registration>,
    holdings: Arc<Vec<Resident>>,
    orders: u64,
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
            orders: registration.orders,
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
        if entry.registration.born != registration.born {
            *entry = fresh(registration);
            return Some(Change::Appeared(id));
        }
        let was_leaving = entry.leaving_since.is_some();
        entry.is_lapsed = false;
        entry.leaving_since = match is_leaving {
            true => entry.leaving_since.or(Some(now)),
            false => None,
        };
        if registration.orders >= entry.orders {
            entry.orders = registration.orders;
            merge_holdings(entry, &registration);
        }
        entry.registration = Arc::new(registration);
        match (was_leaving, is_leaving) {
            (false, true) => Some(Change::Leaving(id)),
            (true, false) => Some(Change::Returned(id)),
            _ => None,
        }
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

    /// Takes in what an endpoint holds by a report or an order.
    pub fn set_holdings(&mut self, holdings: Holdings) -> bool {
        let Ok(at) = self.find(&holdings.endpoint) else {
            return false;
        };
        let entry = &mut self.entries[at];
        let is_older = holdings.orders < entry.orders;
        if entry.registration.born != holdings.born
            || is_older
            || *entry.holdings == holdings.residents
        {
            return false;
        }
        entry.orders = holdings.orders;
        entry.holdings = Arc::new(holdings.residents);
        true
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

/// Registrations list models, and adapters only at times: an adapter that is
/// known from an order stays known while its model stays.
fn merge_holdings(entry: &mut Entry, registration: &Registration) {
    let Some(models) = &registration.models else {
        return;
    };
    let mut merged = models.clone();
    for resident in &mut merged {
        let known = entry.holdings.iter().find(|r| r.model == resident.model);
        let Some(known) = known else { continue };
        for adapter in &known.adapters {
            if !resident.adapters.contains(adapter) {
                resident.adapters.push(adapter.clone());
            }
        }
    }
    if *entry.holdings != merged {
        entry.holdings = Arc::new(merged);
    }
}
