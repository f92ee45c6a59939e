//! The traffic thread's state of each endpoint: connections, load and health.

use std::cell::RefCell;
use std::rc::Rc;

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use super::balancing::endpoint_pace::{EndpointPace, StreamOutcome};
use super::balancing::pace_report::PaceReport;
use super::connection::Connection;
use super::health::Health;
use super::pace::{Arrivals, Pace};
use super::view::{EndpointView, Load, LoadTable, View};
use crate::clock::Millis;

new_key_type! {
    /// Identifies one run of an endpoint: after a restart it has another key.
    pub struct EndpointKey;
}

/// The maximum number of idle connections kept to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Idle time after which a connection is not reused. Endpoints state their idle
/// timeout in whole seconds, at least one, and this stays below the shortest.
const MAX_IDLE_AGE: Millis = Millis(900);

struct Idle {
    connection: Connection,
    since: Millis,
}

/// One run of an endpoint, which ends with the process.
pub struct Endpoint {
    /// Its state as published by the control thread.
    pub view: EndpointView,
    /// This gateway's requests in flight at the endpoint.
    pub load: Load,
    /// Its health as observed by this gateway.
    pub health: Health,
    /// How fast its streams are, as observed by this gateway.
    pub pace: EndpointPace,
    /// Whether the pace is learned: it holds models, and a route has a target for gaps.
    is_paced: bool,
    idle: Vec<Idle>,
}

/// The endpoints that the control thread published last.
#[derive(Default)]
pub struct Fleet {
    generation: u64,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_id: Vec<(CompactString, u64, EndpointKey)>,
    /// Endpoints that appeared while this gateway was running, and have no window yet.
    appeared: Vec<EndpointKey>,
    /// By service, sorted.
    paces: Vec<(CompactString, Pace)>,
    /// Requests for each model, by hash, sorted.
    arrivals: Vec<(u32, Arrivals)>,
}

/// The traffic thread's shared handle to the endpoints.
pub type FleetCell = Rc<RefCell<Fleet>>;

impl Fleet {
    /// Applies a newer view. An endpoint that restarted under the same identifier
    /// is a new endpoint: its previous load and health are discarded.
    pub fn sync(&mut self, view: &View) {
        if view.generation == self.generation {
            return;
        }
        let is_first = self.by_id.is_empty();
        self.generation = view.generation;
        let mut by_id = Vec::with_capacity(view.endpoints.len());
        for endpoint in &view.endpoints {
            let registration = &endpoint.registration;
            let key = match self.find(&registration.id, registration.started_at) {
                Some(key) => key,
                None => {
                    let key = self.endpoints.insert(Endpoint::new(endpoint.clone()));
                    if !is_first {
                        self.appeared.push(key);
                    }
                    key
                }
            };
            let document = view.document.as_ref();
            let has_gap_target =
                document.is_some_and(|d| d.has_event_gap_target(&registration.service));
            self.endpoints[key].is_paced = has_gap_target && registration.models.is_some();
            self.endpoints[key].view = endpoint.clone();
            by_id.push((registration.id.clone(), registration.started_at, key));
        }
        self.by_id = by_id;
        let listed: Vec<EndpointKey> = self.by_id.iter().map(|(_, _, key)| *key).collect();
        self.endpoints.retain(|key, _| listed.contains(&key));
    }

    /// Starts the windows of endpoints that have appeared while this gateway was running. Those
    /// of the first view may have been running for long.
    pub fn start_windows(&mut self, now: Millis) {
        for key in std::mem::take(&mut self.appeared) {
            if let Some(endpoint) = self.endpoints.get_mut(key) {
                endpoint.restart_pace(now);
            }
        }
    }

    fn find(&self, id: &str, started_at: u64) -> Option<EndpointKey> {
        let at = self.by_id.binary_search_by(|(i, _, _)| i.as_str().cmp(id));
        let (_, known, key) = self.by_id[at.ok()?];
        (known == started_at).then_some(key)
    }

    /// Iterates over the endpoints, sorted by identifier.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        let keys = self.by_id.iter().map(|(_, _, key)| *key);
        keys.filter_map(|key| Some((key, self.endpoints.get(key)?)))
    }

    /// Returns an endpoint; `None` if it was removed.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns a mutable endpoint; `None` if it was removed.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// This gateway's requests in flight by endpoint, to report to other gateways.
    pub fn loads(&self) -> LoadTable {
        let busy = self.iter().filter(|(_, e)| e.load != Load::default());
        busy.map(|(_, e)| (e.view.registration.id.clone(), e.load.clone()))
            .collect()
    }

    /// The paces of endpoints as observed by this gateway, sorted by identifier.
    pub fn pace_reports(&self, now: Millis) -> Vec<PaceReport> {
        let paced = self.iter().filter(|(_, e)| e.is_paced);
        let reports = paced.map(|(_, endpoint)| {
            let registration = &endpoint.view.registration;
            let pace = endpoint.pace.at(now);
            let mean = self.pace(&registration.service).event_ms();
            PaceReport {
                endpoint: registration.id.clone(),
                service: registration.service.clone(),
                event_ms: pace.event_ms(),
                relative: pace.relative(mean),
                window: pace.window(registration.slots),
            }
        });
        reports.collect()
    }

    /// How fast the endpoints of a service answer this gateway.
    pub fn pace(&self, service: &str) -> Pace {
        let at = self.find_pace(service);
        at.map_or_else(|_| Pace::default(), |at| self.paces[at].1)
    }

    /// Records that a request for a model arrived. Returns how many do each second without it.
    pub fn record_arrival(&mut self, now: Millis, model: u32) -> f64 {
        let at = self.arrivals.binary_search_by_key(&model, |(m, _)| *m);
        let at = at.unwrap_or_else(|_| {
            self.arrivals.retain(|(_, arrivals)| !arrivals.is_over(now));
            let at = self.arrivals.partition_point(|(m, _)| *m < model);
            self.arrivals.insert(at, (model, Arrivals::default()));
            at
        });
        self.arrivals[at].1.record(now)
    }

    /// How many requests for a model arrive each second.
    pub fn arrival_rate(&self, now: Millis, model: u32) -> f64 {
        let at = self.arrivals.binary_search_by_key(&model, |(m, _)| *m);
        at.map_or(0.0, |at| self.arrivals[at].1.rate(now))
    }

    fn pace_mut(&mut self, service: &str) -> &mut Pace {
        let at = self.find_pace(service).unwrap_or_else(|at| {
            self.paces.insert(at, (service.into(), Pace::default()));
            at
        });
        &mut self.paces[at].1
    }

    fn find_pace(&self, service: &str) -> Result<usize, usize> {
        self.paces
            .binary_search_by(|(s, _)| s.as_str().cmp(service))
    }
}

impl Endpoint {
    fn new(view: EndpointView) -> Self {
        Self {
            view,
            load: Load::default(),
            health: Health::default(),
            pace: EndpointPace::default(),
            is_paced: false,
            idle: Vec::new(),
        }
    }

    /// Whether its pace is learned.
    pub fn is_paced(&self) -> bool {
        self.is_paced
    }

    /// Records a connection that failed or a response that broke off.
    pub fn record_failure(&mut self, now: Millis) {
        self.health.record_failure(now);
        self.restart_pace(now);
    }

    fn restart_pace(&mut self, now: Millis) {
        if self.is_paced {
            self.pace.restart(now);
        }
    }

    /// Takes an idle connection that the endpoint is unlikely to have closed.
    pub fn take_idle(&mut self, now: Millis) -> Option<Connection> {
        self.idle
            .retain(|i| !i.connection.is_closed() && now.since(i.since) < MAX_IDLE_AGE);
        self.idle.pop().map(|idle| idle.connection)
    }

    /// Keeps a connection whose response was read completely.
    pub fn put_idle(&mut self, now: Millis, connection: Connection) {
        if self.idle.len() < MAX_IDLE_CONNECTIONS {
            self.idle.push(Idle {
                connection,
                since: now,
            });
        }
    }

    /// Closes all idle connections, after one of them failed.
    pub fn close_idle(&mut self) {
        self.idle.clear();
    }
}

/// A guard that counts a request as in flight at its endpoint until it is dropped.
pub struct InFlight {
    fleet: FleetCell,
    key: EndpointKey,
    load: Load,
    version: CompactString,
    state: State,
    /// When the latest event arrived; `None` before the first.
    last_event: Option<Millis>,
    max_gap: Millis,
    /// How long the first event took; `None` before it.
    start_time: Option<Millis>,
}

/// Targets of a stream's route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTargets {
    /// Target time to the first event.
    pub first_event: Millis,
    /// Target for the longest gap between two events; zero if there is none.
    pub gap: Millis,
}

/// How far the response to a request has come.
#[derive(Clone, Copy, Debug)]
enum State {
    /// The request was sent.
    Sent(Millis),
    /// The first event arrived.
    Begun(Millis),
}

impl InFlight {
    /// Counts a request that is about to be sent.
    pub fn start(fleet: &FleetCell, key: EndpointKey, load: Load, now: Millis) -> Self {
        let mut version = CompactString::default();
        if let Some(endpoint) = fleet.borrow_mut().get_mut(key) {
            endpoint.load.add(&load);
            endpoint.health.record_sent(now);
            version.clone_from(&endpoint.view.registration.version);
        }
        Self {
            fleet: fleet.clone(),
            key,
            load,
            version,
            state: State::Sent(now),
            last_event: None,
            max_gap: Millis::ZERO,
            start_time: None,
        }
    }

    /// The endpoint.
    pub fn key(&self) -> EndpointKey {
        self.key
    }

    /// The software version of the endpoint when the request was sent; empty if it
    /// states none.
    pub fn version(&self) -> &CompactString {
        &self.version
    }

    /// Records that the first event has arrived, which means that the endpoint has
    /// processed the prompt.
    pub fn first_event_received(&mut self, now: Millis) {
        let prompt_tokens = std::mem::take(&mut self.load.unread_tokens);
        let read = Load {
            unread_tokens: prompt_tokens,
            ..Load::default()
        };
        self.update_endpoint(|endpoint| endpoint.load.remove(&read));
        if let State::Sent(at) = std::mem::replace(&mut self.state, State::Begun(now)) {
            self.start_time = Some(now.since(at));
            self.update_pace(|pace| pace.record_start(prompt_tokens, now.since(at)));
        }
    }

    /// Records that data of a stream has arrived.
    pub fn event_received(&mut self, now: Millis) {
        let Some(last_event) = self.last_event.replace(now) else {
            return;
        };
        let gap = now.since(last_event);
        self.max_gap = self.max_gap.max(gap);
        let mut is_paced = false;
        self.update_endpoint(|endpoint| {
            is_paced = endpoint.is_paced;
            if is_paced {
                endpoint.pace.record_gap(gap);
            }
        });
        if is_paced {
            self.update_pace(|pace| pace.record_gap(gap));
        }
    }

    /// The longest gap between two events so far.
    pub fn max_gap(&self) -> Millis {
        self.max_gap
    }

    /// Records that a stream arrived to its end, with the targets of its route. A route
    /// without a target for gaps says nothing about the pace.
    pub fn stream_ended(&self, now: Millis, targets: StreamTargets, gateways: usize) {
        let Some(start_time) = self.start_time else {
            return;
        };
        if targets.gap == Millis::ZERO {
            return;
        }
        let is_in_time = start_time <= targets.first_event && self.max_gap <= targets.gap;
        self.update_endpoint(|endpoint| {
            if !endpoint.is_paced {
                return;
            }
            let outcome = StreamOutcome {
                is_in_time,
                slots: endpoint.view.registration.slots,
                gateways,
            };
            endpoint.pace.record_stream(now, outcome);
        });
    }

    /// Records that the response arrived to its end.
    pub fn completed(&mut self, now: Millis) {
        if let State::Begun(at) = self.state {
            self.update_pace(|pace| pace.record_run(now.since(at)));
        }
    }

    /// Applies `work` to the endpoint unless it was removed.
    pub fn update_endpoint(&self, work: impl FnOnce(&mut Endpoint)) {
        if let Some(endpoint) = self.fleet.borrow_mut().get_mut(self.key) {
            work(endpoint);
        }
    }

    fn update_pace(&self, work: impl FnOnce(&mut Pace)) {
        let mut fleet = self.fleet.borrow_mut();
        let registration = fleet.get(self.key).map(|e| e.view.registration.clone());
        if let Some(registration) = registration {
            work(fleet.pace_mut(&registration.service));
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.update_endpoint(|endpoint| {
            endpoint.load.remove(&self.load);
            if endpoint.load.requests == 0 {
                endpoint.health.record_idle();
            }
        });
    }
}
