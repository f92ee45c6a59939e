//! Chooses the endpoint for a request among those that can serve it.

use compact_str::CompactString;
use rand::random;

use super::{AttemptHistory, Forwarder};
use crate::clock::Millis;
use crate::direct::admission::urgency::Urgency;
use crate::direct::balance::{Criteria, candidates, choose, is_news_direct};
use crate::direct::balancing::endpoint_pace::EndpointPace;
use crate::direct::document::Document;
use crate::direct::fleet::{Endpoint, EndpointKey, Fleet};
use crate::direct::job::Job;
use crate::direct::notices::{Permit, RunId};
use crate::direct::request::{ModelRef, adapter_hash};
use crate::direct::resume::ResumePoint;
use crate::direct::view::{Usability, model_hash};

/// How long an endpoint that said that it takes a limited rate is used less than others. A
/// request after that finds out whether it still says so.
const LIMIT_AVOIDED: Millis = Millis(1_000);

/// What was found for a request.
pub(super) enum Choice {
    Endpoint(EndpointKey),
    /// Every endpoint that can serve the request is full.
    AllFull,
    /// Every endpoint that can serve the request wants none before this time.
    AllPaused {
        until: Millis,
        /// Whether the leader would load the request's adapter at another endpoint.
        is_movable: bool,
    },
    /// Every endpoint that could serve the request is leaving.
    AllLeaving,
    /// No endpoint can serve the request.
    NoCandidate,
}

/// The shortest target of the streams of each service, sorted, in one configuration.
#[derive(Default)]
pub(super) struct Targets {
    version: u64,
    shortest: Vec<(CompactString, Shortest)>,
}

/// The shortest targets of a service's streams.
#[derive(Clone, Copy)]
struct Shortest {
    /// Target for the first event.
    target: Option<Millis>,
    /// Target for the gap between two events.
    gap: Option<Millis>,
}

impl Targets {
    fn shortest(&mut self, document: &Document, service: &CompactString) -> Shortest {
        if self.version != document.version {
            self.version = document.version;
            self.shortest.clear();
        }
        let at = self
            .shortest
            .binary_search_by(|(name, _)| name.cmp(service));
        let at = at.unwrap_or_else(|at| {
            let shortest = Shortest {
                target: document.shortest_target(service),
                gap: document.shortest_event_gap(service),
            };
            self.shortest.insert(at, (service.clone(), shortest));
            at
        });
        self.shortest[at].1
    }
}

/// What decides whether a request is one of those for which there is room.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Admission {
    /// A random number from 0 to 1.
    draw: f64,
    /// Requests for its model that arrive here each second.
    arrivals_per_s: f64,
}

impl Forwarder {
    /// Counts a new request as an arrival. One that was attempted before is not turned away
    /// for the sake of others.
    pub(super) fn admission(&self, job: &Job, history: &AttemptHistory) -> Admission {
        let wanted = job.metadata.model.as_ref();
        let Some(wanted) = wanted.filter(|_| history.attempted.is_empty()) else {
            return Admission::default();
        };
        let (now, class) = (self.shared.now(), self.arrival_class(job, wanted));
        Admission {
            draw: random(),
            arrivals_per_s: self.fleet.borrow_mut().record_arrival(now, class),
        }
    }

    /// Draws again for a request that waits, which is not a new arrival.
    pub(super) fn readmission(&self, job: &Job) -> Admission {
        let Some(wanted) = job.metadata.model.as_ref() else {
            return Admission::default();
        };
        let (now, class) = (self.shared.now(), self.arrival_class(job, wanted));
        Admission {
            draw: random(),
            arrivals_per_s: self.fleet.borrow().arrival_rate(now, class),
        }
    }

    /// What a request is counted under: its model and whether it is deferrable. A burst of
    /// deferrable requests must not leave live ones a smaller share of the room.
    fn arrival_class(&self, job: &Job, wanted: &ModelRef) -> u32 {
        model_hash(&wanted.model) ^ u32::from(self.urgency(job).is_deferrable)
    }

    /// Whether gateways keep room for live requests, and others wait for it.
    pub(super) fn keeps_room(&self) -> bool {
        !is_news_direct(self.shared.gateway_count())
    }

    /// How urgent a request is.
    pub(super) fn urgency(&self, job: &Job) -> Urgency {
        if !self.keeps_room() {
            return Urgency::by_priority(job.priority);
        }
        job.urgency(self.shortest(job).target)
    }

    fn shortest(&self, job: &Job) -> Shortest {
        let mut targets = self.targets.borrow_mut();
        targets.shortest(&job.document, &job.service)
    }

    /// Endpoints to which no request may be sent now, as they said or as their zone is
    /// evacuated, each with the time from which one may.
    fn held_back(&self, now: Millis, fleet: &Fleet) -> Vec<(EndpointKey, Option<Millis>)> {
        let closed = self.shared.notices.zones.closed(now);
        self.shared.notices.with(|notices| {
            if notices.is_empty() && closed.is_empty() {
                return Vec::new();
            }
            let permits = fleet.iter().map(|(key, endpoint)| {
                let registration = &endpoint.view.registration;
                match closed.contains(&registration.zone) {
                    true => (key, Permit::Never),
                    false => (key, notices.permit(now, RunId::of(registration))),
                }
            });
            let held = permits.filter_map(|(key, permit)| match permit {
                Permit::Now | Permit::Ask => None,
                Permit::At(at) => Some((key, Some(at))),
                Permit::Never => Some((key, None)),
            });
            held.collect()
        })
    }

    /// Endpoints that said lately that they take a limited rate.
    fn limited(&self, now: Millis, fleet: &Fleet) -> Vec<EndpointKey> {
        self.shared.notices.with(|notices| {
            if notices.is_empty() {
                return Vec::new();
            }
            let limited = fleet.iter().filter(|(_, endpoint)| {
                let limit = notices.limit(RunId::of(&endpoint.view.registration));
                limit.is_some_and(|(_, heard_at)| now.since(heard_at) < LIMIT_AVOIDED)
            });
            limited.map(|(key, _)| key).collect()
        })
    }

    /// Whether the leader would load the adapter of a request elsewhere: an endpoint holds its
    /// model, and those with the adapter take a limited rate. The leader knows of no pauses.
    fn is_adapter_movable(
        &self,
        fleet: &Fleet,
        criteria: &Criteria<'_>,
        excluded: &[EndpointKey],
    ) -> bool {
        let Some(wanted) = criteria.model.filter(|model| model.adapter.is_some()) else {
            return false;
        };
        let base = ModelRef {
            adapter: None,
            ..wanted.clone()
        };
        let with_base = Criteria {
            model: Some(&base),
            ..criteria.clone()
        };
        let is_limited =
            |endpoint: &Endpoint| matches!(endpoint.view.usability, Usability::Limited(_));
        let mut holders = fleet.iter().filter(|(_, e)| criteria.serves(e));
        let mut others = fleet.iter().filter(|(_, e)| with_base.serves(e));
        holders.all(|(_, e)| e.view.usability != Usability::Open)
            && others.any(|(key, e)| !excluded.contains(&key) && !is_limited(e))
    }

    /// Whether there are endpoints of the request's service, and none of them will take
    /// it, even if it loads the model.
    fn are_all_leaving(&self, now: Millis, fleet: &Fleet, job: &Job, resume: &ResumePoint) -> bool {
        let notices = &self.shared.notices;
        let registrations = fleet.iter().map(|(_, e)| &e.view.registration);
        let mut able = registrations.filter(|r| {
            let version = resume.version.as_ref();
            r.service == job.service && version.is_none_or(|v| r.version == *v)
        });
        let mut are_any = false;
        let is_leaving = able.all(|registration| {
            are_any = true;
            notices.is_leaving(registration) || notices.zones.is_closed(now, &registration.zone)
        });
        is_leaving && are_any
    }

    /// The target that a queue at an engine has to allow for: a request that may wait longer
    /// would make others late that may not.
    fn queue_target(&self, job: &Job) -> Millis {
        let shortest = self.shortest(job).target;
        shortest.map_or(job.target, |shortest| shortest.min(job.target))
    }

    pub(super) fn choose_endpoint(
        &self,
        job: &Job,
        history: &AttemptHistory,
        resume: &ResumePoint,
        admission: Admission,
    ) -> Choice {
        let now = self.shared.now();
        let is_deferrable = self.urgency(job).is_deferrable;
        let peer_loads = self.shared.peer_loads();
        let mut fleet = self.fleet.borrow_mut();
        fleet.sync(&self.shared.view());
        fleet.start_windows(now);
        let held = self.held_back(now, &fleet);
        let mut excluded = history.attempted.clone();
        excluded.extend(held.iter().map(|(key, _)| *key));
        let limited = self.limited(now, &fleet);
        let load = job.load();
        let criteria = Criteria {
            service: &job.service,
            model: job.metadata.model.as_ref(),
            version: resume.version.as_deref(),
            zone: &self.shared.settings.zone,
            excluded: &excluded,
            limited: &limited,
            affinity: job.metadata.session(),
            target: job.target,
            queue_target: self.queue_target(job),
            gap_target: self.shortest(job).gap.unwrap_or(job.target),
            is_deferrable,
            pace: fleet.pace(&job.service),
            prompt_tokens: load.unread_tokens,
            arrivals_per_s: admission.arrivals_per_s,
            gateways: self.shared.gateway_count(),
            sample_seed: random(),
        };
        let mut found = candidates(now, &fleet, &peer_loads, &criteria);
        if found.is_empty() {
            let able = |key: &EndpointKey| fleet.get(*key).is_some_and(|e| criteria.serves(e));
            let paused = held.iter().filter(|(key, _)| able(key));
            return match paused.filter_map(|(_, at)| *at).min() {
                Some(until) => Choice::AllPaused {
                    until,
                    is_movable: self.is_adapter_movable(&fleet, &criteria, &excluded),
                },
                None if self.are_all_leaving(now, &fleet, job, resume) => Choice::AllLeaving,
                None => Choice::NoCandidate,
            };
        }
        if !self.keeps_room() {
            // The loads, which are fresh there, show a slow endpoint soon enough.
            found
                .iter_mut()
                .for_each(|c| c.pace = EndpointPace::default());
        }
        found.retain(|c| !criteria.is_full(c));
        if !criteria.admits(&found, admission.draw) {
            return Choice::AllFull;
        }
        let Some(chosen) = choose(&criteria, &found) else {
            return Choice::AllFull;
        };
        job.log(
            "request.sent",
            &[
                ("endpoint", (&chosen.view.registration.id).into()),
                ("software", (&chosen.view.registration.version).into()),
                ("candidates", found.len().into()),
                ("in_flight", chosen.load.requests.into()),
                ("unread_tokens", chosen.load.unread_tokens.into()),
                ("suspect", chosen.health.is_suspect(now).into()),
                ("waited_ms", now.since(job.arrived).into()),
            ],
        );
        if let Some(wanted) = job.metadata.model.as_ref().filter(|m| m.adapter.is_some()) {
            self.shared.record_adapter_use(adapter_hash(wanted));
        }
        Choice::Endpoint(chosen.key)
    }
}
