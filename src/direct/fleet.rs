//! The endpoints as the traffic thread sees them: connections, load, health.

use std::cell::RefCell;
use std::rc::Rc;

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use super::connection::Connection;
use super::health::Health;
use super::view::{EndpointView, Load, LoadTable, View};
use crate::clock::Millis;

new_key_type! {
    /// Identifies one start of an endpoint.
    pub struct EndpointKey;
}

/// Idle connections kept to one endpoint.
const MAX_IDLE: usize = 16;
/// Age at which an idle connection is not used again. Endpoints close idle
/// connections after a time that they state in whole seconds, one at least.
const IDLE_LIMIT: Millis = Millis(900);

struct Idle {
    connection: Connection,
    since: Millis,
}

/// One start of an endpoint.
pub struct Endpoint {
    /// What control knows of it.
    pub view: EndpointView,
    /// What this gateway has in flight there.
    pub load: Load,
    /// The judgement of it.
    pub health: Health,
    idle: Vec<Idle>,
}

/// All endpoints.
#[derive(Default)]
pub struct Fleet {
    generation: u64,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_id: Vec<(CompactString, u64, EndpointKey)>,
}

/// The traffic thread's handle of its fleet.
pub type FleetCell = Rc<RefCell<Fleet>>;

impl Fleet {
    /// Takes in a newer view. An endpoint that started anew under its
    /// identifier is a new one: nothing that was learnt of it counts.
    pub fn sync(&mut self, view: &View) {
        if view.generation == self.generation {
            return;
        }
        self.generation = view.generation;
        let mut by_id = Vec::with_capacity(view.endpoints.len());
        for endpoint in &view.endpoints {
            let registration = &endpoint.registration;
            let key = match self.find(&registration.id, registration.born) {
                Some(key) => key,
                None => self.endpoints.insert(Endpoint {
                    view: endpoint.clone(),
                    load: Load::default(),
                    health: Health::default(),
                    idle: Vec::new(),
                }),
            };
            self.endpoints[key].view = endpoint.clone();
            by_id.push((registration.id.clone(), registration.born, key));
        }
        self.by_id = by_id;
        let listed: Vec<EndpointKey> = self.by_id.iter().map(|(_, _, key)| *key).collect();
        self.endpoints.retain(|key, _| listed.contains(&key));
    }

    fn find(&self, id: &str, born: u64) -> Option<EndpointKey> {
        let at = self.by_id.binary_search_by(|(i, _, _)| i.as_str().cmp(id));
        let (_, known, key) = self.by_id[at.ok()?];
        (known == born).then_some(key)
    }

    /// The endpoints in ascending order of identifier.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = self.by_id.iter().map(|(_, _, key)| *key);
        keys.filter_map(|key| Some((key, self.endpoints.get(key)?)))
    }

    /// One endpoint; `None` once it is gone.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// One endpoint to change; `None` once it is gone.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// What this gateway has in flight, for the other gateways.
    pub fn loads(&self) -> LoadTable {
        let busy = self.iter().filter(|(_, e)| e.load != Load::default());
        busy.map(|(_, e)| (e.view.registration.id.clone(), e.load.clone()))
            .collect()
    }
}

impl Endpoint {
    /// An idle connection that is young enough to be alive.
    pub fn take_idle(&mut self, now: Millis) -> Option<Connection> {
        self.idle
            .retain(|i| !i.connection.is_closed() && now.since(i.since) < IDLE_LIMIT);
        self.idle.pop().map(|idle| idle.connection)
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put_idle(&mut self, now: Millis, connection: Connection) {
        if self.idle.len() < MAX_IDLE {
            self.idle.push(Idle {
                connection,
                since: now,
            });
        }
    }

    /// Closes idle connections after one of them failed.
    pub fn forget_idle(&mut self) {
        self.idle.clear();
    }
}

/// Counts a request at its endpoint until it is dropped.
pub struct InFlight {
    fleet: FleetCell,
    key: EndpointKey,
    load: Load,
}

impl InFlight {
    /// Counts a request that is about to be sent.
    pub fn start(fleet: &FleetCell, key: EndpointKey, load: Load, now: Millis) -> Self {
        if let Some(endpoint) = fleet.borrow_mut().get_mut(key) {
            endpoint.load.add(&load);
            endpoint.health.record_sent(now);
        }
        Self {
            fleet: fleet.clone(),
            key,
            load,
        }
    }

    /// The endpoint.
    pub fn key(&self) -> EndpointKey {
        self.key
    }

    /// Notes that the prompt was read: the first event is here.
    pub fn began(&mut self) {
        let read = Load {
            unread_tokens: std::mem::take(&mut self.load.unread_tokens),
            ..Load::default()
        };
        self.with(|endpoint| endpoint.load.remove(&read));
    }

    /// Works on the endpoint, unless it is gone.
    pub fn with(&self, work: impl FnOnce(&mut Endpoint)) {
        if let Some(endpoint) = self.fleet.borrow_mut().get_mut(self.key) {
            work(endpoint);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.with(|endpoint| {
            endpoint.load.remove(&self.load);
            if endpoint.load.requests == 0 {
                endpoint.health.record_idle();
            }
        });
    }
}
