//! Which endpoint gets a request.

use super::fleet::{EndpointKey, Fleet};
use super::health::Health;
use super::request::ModelRef;
use super::view::{EndpointView, Load, LoadTable, Usability, load_of};
use crate::clock::Millis;

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a str,
    /// The model, for requests to engines.
    pub model: Option<&'a ModelRef>,
    /// The gateway's availability zone.
    pub zone: &'a str,
    /// Endpoints that refused this request.
    pub excluded: &'a [EndpointKey],
    /// Hash of the session, which draws its requests to one endpoint.
    pub affinity: Option<u64>,
    /// How long the caller waits for an answer to begin.
    pub response_start_timeout: Millis,
    /// Gateways that choose among the same endpoints, this one included.
    pub gateways: usize,
    /// Number by which this request draws the endpoints that it looks at.
    pub sample_seed: u64,
}

/// Gateways up to which reports of loads are fresh enough to compare all
/// endpoints; above it they become rarer with each further one.
pub const FULL_COMPARISON_GATEWAYS: usize = 8;
/// The fewest endpoints that a request looks at where there are several: with
/// two, the longest queue grows with the logarithm of the logarithm of their
/// number (Mitzenmacher, The power of two choices, 2001).
const MIN_SAMPLE: usize = 2;

/// Time in which a busy engine answers as many requests as it has slots: an
/// answer of some three hundred tokens in a full batch.
const BATCH_DURATION: Millis = Millis(2_500);
/// Part of the caller's patience that may pass in an engine's queue, in percent.
const MAX_QUEUE_WAIT_PERCENT: u64 = 60;
/// Requests for each slot that a service without models may have: its calls
/// take tens of milliseconds.
const REQUESTS_PER_SERVICE_SLOT: u32 = 5;

impl Criteria<'_> {
    /// Requests at an endpoint with which one more still begins in time.
    fn capacity(&self, slots: u32) -> u32 {
        if self.model.is_none() {
            return slots.saturating_mul(REQUESTS_PER_SERVICE_SLOT);
        }
        let queued = u64::from(slots) * self.response_start_timeout.0 * MAX_QUEUE_WAIT_PERCENT
            / 100
            / BATCH_DURATION.0;
        slots.saturating_add(queued as u32)
    }

    /// How many of the endpoints that serve it a request looks at. Gateways with
    /// the same old reports would all choose the same endpoint at a time.
    fn sample_size(&self, candidates: usize) -> usize {
        let all = candidates * FULL_COMPARISON_GATEWAYS;
        let share = all.div_ceil(self.gateways.max(FULL_COMPARISON_GATEWAYS));
        share.max(MIN_SAMPLE)
    }

    /// Whether one more request would begin too late at an endpoint.
    pub fn is_full(&self, candidate: &Candidate<'_>) -> bool {
        candidate.load.requests >= self.capacity(candidate.view.registration.slots)
    }
}

/// One endpoint that could serve a request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its key.
    pub key: EndpointKey,
    /// What control knows of it.
    pub view: &'a EndpointView,
    /// Its load from all gateways.
    pub load: Load,
    /// The judgement of it.
    pub health: &'a Health,
}

/// Work that a request within the zone saves, in requests in flight: crossing
/// zones costs milliseconds and the bytes, while one more request of a batch
/// lengthens a step by less than a thousandth.
const ZONE_BONUS: f32 = 5.0;
/// Work that a session saves at the endpoint that read its prompt before.
const AFFINITY_BONUS: f32 = 3.0;
/// Prompt tokens that delay a newcomer as much as one running request: an engine
/// reads some forty a millisecond before it begins the newcomer's, and a full
/// batch adds a quarter of a second to fifty answers.
const UNREAD_TOKENS_PER_REQUEST: f32 = 150.0;
/// A failed request costs a retry or the answer; in requests in flight.
const FAILURE_PENALTY: f32 = 200.0;

/// Endpoints that serve a need, the suspect and the leaving ones last.
pub fn candidates<'a>(
    now: Millis,
    fleet: &'a Fleet,
    others: &LoadTable,
    criteria: &Criteria<'_>,
) -> Vec<Candidate<'a>> {
    let mut found: Vec<Candidate<'a>> = Vec::new();
    for (key, endpoint) in fleet.iter() {
        let registration = &endpoint.view.registration;
        let serves = registration.service == criteria.service
            && criteria.model.is_none_or(|m| endpoint.view.holds(m))
            && !criteria.excluded.contains(&key);
        if !serves {
            continue;
        }
        let mut load = endpoint.load.clone();
        load.add(&load_of(others, &registration.id));
        found.push(Candidate {
            key,
            view: &endpoint.view,
            load,
            health: &endpoint.health,
        });
    }
    let tier = |c: &Candidate<'_>| {
        let is_leaving = c.view.usability == Usability::Leaving;
        u8::from(is_leaving) * 2 + u8::from(c.health.is_suspect(now))
    };
    if let Some(best) = found.iter().map(tier).min() {
        found.retain(|c| tier(c) == best);
    }
    found
}

/// The candidate that is expected to answer first. A session's preferred
/// endpoint wins unless another one that is looked at is less busy by more than
/// it saves.
pub fn choose<'a, 'c>(
    criteria: &Criteria<'_>,
    candidates: &'c [Candidate<'a>],
) -> Option<&'c Candidate<'a>> {
    let preferred = criteria.affinity.and_then(|session| {
        let weight = |c: &&Candidate<'_>| rendezvous_weight(session, &c.view.registration.id);
        candidates.iter().max_by_key(weight).map(|c| c.key)
    });
    let cost = |c: &Candidate<'_>| {
        let mut cost = c.load.requests as f32;
        cost += c.load.unread_tokens as f32 / UNREAD_TOKENS_PER_REQUEST;
        cost += c.health.failure_rate() * FAILURE_PENALTY;
        if c.view.registration.zone == criteria.zone {
            cost -= ZONE_BONUS;
        }
        if preferred == Some(c.key) {
            cost -= AFFINITY_BONUS;
        }
        cost
    };
    let mut sample: Vec<&'c Candidate<'a>> = candidates.iter().collect();
    let sample_size = criteria.sample_size(candidates.len());
    if sample_size < candidates.len() {
        sample.sort_unstable_by_key(|c| {
            rendezvous_weight(criteria.sample_seed, &c.view.registration.id)
        });
        let (sampled, rest) = sample.split_at(sample_size);
        let session = rest.iter().filter(|c| preferred == Some(c.key));
        sample = sampled.iter().chain(session).copied().collect();
    }
    let chosen = sample.into_iter();
    chosen.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Weight of an endpoint for a session (rendezvous hashing): each session has
/// its own order of endpoints, and one that leaves moves only its sessions.
pub fn rendezvous_weight(session: u64, endpoint: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.as_bytes(), session)
}
