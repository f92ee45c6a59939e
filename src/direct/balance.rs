//! Selects the endpoint for a request.

use super::fleet::{Endpoint, EndpointKey, Fleet};
use super::health::Health;
use super::request::ModelRef;
use super::view::{EndpointView, Load, LoadTable, Usability, load_of};
use crate::clock::Millis;

/// What a request requires of an endpoint, and how to choose among several.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// The service that the endpoint must belong to.
    pub service: &'a str,
    /// The model that the endpoint must hold; `None` for services without models.
    pub model: Option<&'a ModelRef>,
    /// The software version that the endpoint must have, if a stream goes on there.
    pub version: Option<&'a str>,
    /// The gateway's availability zone.
    pub zone: &'a str,
    /// Endpoints at which this request was already attempted, or that take none now.
    pub excluded: &'a [EndpointKey],
    /// Endpoints that take a limited rate of requests.
    pub limited: &'a [EndpointKey],
    /// Identifier of the session: its requests prefer the same endpoint.
    pub affinity: Option<u64>,
    /// How long the caller waits for the response to start.
    pub response_start_timeout: Millis,
    /// Number of gateways that send to the same endpoints, this one included.
    pub gateways: usize,
    /// Seed that selects which endpoints are compared if not all of them are.
    pub sample_seed: u64,
}

/// The most gateways with which a request compares all endpoints. Above this
/// number load reports become less frequent with each further gateway, and are
/// too old to compare all endpoints by.
pub const FULL_COMPARISON_GATEWAYS: usize = 8;
/// The fewest endpoints that a request compares if there are several. With two
/// random choices the longest queue grows only with log log n for n endpoints
/// (Mitzenmacher, The power of two choices, 2001).
const MIN_SAMPLE: usize = 2;

/// Time in which a busy engine completes as many requests as it has slots: the
/// time to generate about 300 tokens in a full batch.
pub const BATCH_DURATION: Millis = Millis(2_500);
/// Share of the response start timeout that a request may spend in an engine's
/// queue, in percent.
const MAX_QUEUE_WAIT_PERCENT: u64 = 60;
/// Permitted requests in flight per slot at a service without models. Its calls
/// take tens of milliseconds, so that a short queue adds little delay.
const REQUESTS_PER_SERVICE_SLOT: u32 = 5;

impl Criteria<'_> {
    /// The number of requests in flight at which an endpoint with this many slots
    /// is full: a further request would start too late.
    fn capacity(&self, slots: u32) -> u32 {
        if self.model.is_none() {
            return slots.saturating_mul(REQUESTS_PER_SERVICE_SLOT);
        }
        let queued = u64::from(slots) * self.response_start_timeout.0 * MAX_QUEUE_WAIT_PERCENT
            / 100
            / BATCH_DURATION.0;
        slots.saturating_add(queued as u32)
    }

    /// How many of the candidates to compare. If many gateways compared all
    /// endpoints by the same old load reports, they would all choose the same one
    /// at the same time.
    fn sample_size(&self, candidates: usize) -> usize {
        let all = candidates * FULL_COMPARISON_GATEWAYS;
        let share = all.div_ceil(self.gateways.max(FULL_COMPARISON_GATEWAYS));
        share.max(MIN_SAMPLE)
    }

    /// Whether an endpoint can serve the request, whatever its load.
    pub fn serves(&self, endpoint: &Endpoint) -> bool {
        let registration = &endpoint.view.registration;
        registration.service == self.service
            && self.model.is_none_or(|m| endpoint.view.holds(m))
            && self.version.is_none_or(|v| registration.version == v)
    }

    /// Whether a further request would start too late at this endpoint.
    pub fn is_full(&self, candidate: &Candidate<'_>) -> bool {
        candidate.load.requests >= self.capacity(candidate.view.registration.slots)
    }
}

/// An endpoint that can serve a request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its key.
    pub key: EndpointKey,
    /// Its registration and state as published by the control thread.
    pub view: &'a EndpointView,
    /// Its load from all gateways together.
    pub load: Load,
    /// Its health as observed by this gateway.
    pub health: &'a Health,
}

/// Advantage of an endpoint in the gateway's own zone, in requests in flight.
/// Crossing zones costs milliseconds and traffic, while one more request in
/// a batch lengthens a decoding step by less than a thousandth.
const ZONE_BONUS: f32 = 5.0;
/// Advantage of the session's preferred endpoint, in requests in flight: it is
/// likely to have the prompt's prefix in its cache.
const AFFINITY_BONUS: f32 = 3.0;
/// Prompt tokens waiting for prefill that delay a new request as much as one
/// running request does. An engine prefills about 40 tokens per millisecond
/// before it starts the new prompt, and a full batch adds a quarter of a second
/// to 50 responses.
const UNREAD_TOKENS_PER_REQUEST: f32 = 150.0;
/// Cost of a failure rate of 1, in requests in flight. A failed request costs a
/// retry or the response itself.
const FAILURE_PENALTY: f32 = 200.0;

/// Cost of an endpoint that takes a limited rate, in requests in flight. A request there
/// waits for a grant, and uses up what requests need that no other endpoint can serve.
const LIMITED_PENALTY: f32 = 30.0;

/// Returns the endpoints that meet the criteria and are in the best tier that has
/// any. The tiers are, best first: open and healthy, open and suspect, leaving and
/// healthy, leaving and suspect.
pub fn candidates<'a>(
    now: Millis,
    fleet: &'a Fleet,
    peer_loads: &LoadTable,
    criteria: &Criteria<'_>,
) -> Vec<Candidate<'a>> {
    let mut found: Vec<Candidate<'a>> = Vec::new();
    for (key, endpoint) in fleet.iter() {
        if criteria.excluded.contains(&key) || !criteria.serves(endpoint) {
            continue;
        }
        let mut load = endpoint.load.clone();
        load.add(&load_of(peer_loads, &endpoint.view.registration.id));
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

/// Returns the candidate that is expected to respond first, that is the one with
/// the lowest cost. The session's preferred endpoint is always compared, with
/// `AFFINITY_BONUS` subtracted from its cost.
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
        if criteria.limited.contains(&c.key) {
            cost += LIMITED_PENALTY;
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

/// Weight of an endpoint for a seed, such as a session (rendezvous hashing): each
/// seed has its own order of endpoints, and when an endpoint leaves, only the
/// sessions that preferred it move.
pub fn rendezvous_weight(seed: u64, endpoint: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.as_bytes(), seed)
}
