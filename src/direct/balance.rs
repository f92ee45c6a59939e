//! Selects the endpoint for a request.

use super::balancing::endpoint_pace::EndpointPace;
use super::fleet::{Endpoint, EndpointKey, Fleet};
use super::health::Health;
use super::pace::Pace;
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
    /// Target time to the response or, for a stream, to its first event.
    pub target: Millis,
    /// The shortest target of requests to the service: a queue at an endpoint delays them all.
    pub queue_target: Millis,
    /// The shortest target for the gap between two events of the service's streams: reading
    /// a prompt pauses all of them.
    pub gap_target: Millis,
    /// Whether it may wait much longer than other requests to the service.
    pub is_deferrable: bool,
    /// How fast the service's endpoints answer.
    pub pace: Pace,
    /// Tokens of the request's prompt.
    pub prompt_tokens: u32,
    /// Requests for the model that arrive at this gateway each second.
    pub arrivals_per_s: f64,
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
/// Weight of an endpoint without room among those that are compared.
const MIN_SAMPLE_WEIGHT: f64 = 0.01;

/// Share of the target that a request may wait at an engine before it begins, in percent.
const MAX_WAIT_PERCENT: u64 = 60;
/// The same where the news of loads is older: what arrived meanwhile adds to the wait.
const MAX_UNCERTAIN_WAIT_PERCENT: u64 = 25;
/// Age of the news of loads that collectors pass on, see [`super::load_exchange`].
const NEWS_AGE: Millis = Millis(250);
/// Age of the news of loads in fleets whose gateways tell each other directly.
const DIRECT_NEWS_AGE: Millis = Millis(100);
/// Share of an engine's slots that deferrable requests fill up. The rest is left for live ones,
/// which come in bursts of 1.3 to 1.7 times their usual rate.
const DEFERRABLE_SLOTS: f64 = 0.7;
/// Share of the time for reading prompts that deferrable requests fill up.
const DEFERRABLE_READING: f64 = 0.5;
/// Permitted requests in flight per slot at a service without models. Its calls
/// take tens of milliseconds, so that a short queue adds little delay.
const REQUESTS_PER_SERVICE_SLOT: u32 = 5;

/// Whether this number of gateways tell each other their loads without a collector. They see
/// what others send in time, so that engines need no room kept for it.
pub fn is_news_direct(gateways: usize) -> bool {
    gateways <= FULL_COMPARISON_GATEWAYS
}

impl Criteria<'_> {
    /// How many further requests would begin in time at an engine: before a slot is free for
    /// them, and before their prompts are read, others have to end or to be read.
    fn room(&self, candidate: &Candidate<'_>) -> f64 {
        let load = &candidate.load;
        let slots = f64::from(candidate.view.registration.slots);
        let requests = f64::from(load.requests);
        let unread = self.pace.read_time(load.unread_tokens).0 as f64;
        let reading = self.max_wait_ms(match self.is_news_direct() {
            true => self.target,
            false => self.target.min(self.gap_target),
        });
        if self.is_deferrable {
            let by_slots = slots * DEFERRABLE_SLOTS - requests;
            let by_reading = 1.0 + (reading * DEFERRABLE_READING - unread) / self.read_ms();
            return by_slots.min(by_reading).max(0.0);
        }
        let queued = slots * self.max_wait_ms(self.queue_target) / self.run_ms();
        let by_slots = slots + queued - requests;
        let by_reading = 1.0 + (reading - unread) / self.read_ms();
        (by_slots.min(by_reading) + self.completed_meanwhile(candidate)).max(0.0)
    }

    /// How many requests an engine completes while news of it is on its way.
    fn completed_meanwhile(&self, candidate: &Candidate<'_>) -> f64 {
        let by_slots = f64::from(candidate.load.requests) * self.news_age_ms() / self.run_ms();
        by_slots.min(self.news_age_ms() / self.read_ms())
    }

    /// How long a request with a target may wait at an engine, in milliseconds.
    fn max_wait_ms(&self, target: Millis) -> f64 {
        let percent = match self.is_news_direct() {
            true => MAX_WAIT_PERCENT,
            false => MAX_UNCERTAIN_WAIT_PERCENT,
        };
        (target.0 * percent / 100) as f64
    }

    fn news_age_ms(&self) -> f64 {
        match self.is_news_direct() {
            true => DIRECT_NEWS_AGE.0 as f64,
            false => NEWS_AGE.0 as f64,
        }
    }

    /// Whether the gateways tell each other their loads without a collector.
    fn is_news_direct(&self) -> bool {
        is_news_direct(self.gateways)
    }

    fn run_ms(&self) -> f64 {
        self.pace.run_time().0 as f64
    }

    fn read_ms(&self) -> f64 {
        (self.pace.read_time(self.prompt_tokens).0 as f64).max(1.0)
    }

    /// Whether a request is one of those for which the engines with room have room, given a
    /// random number from 0 to 1. Other gateways choose by the same news at the same time, so
    /// that all of them together would send more.
    pub fn admits(&self, with_room: &[Candidate<'_>], draw: f64) -> bool {
        self.model.is_none() || draw * self.arriving() <= self.total_room(with_room)
    }

    /// The requests for the model that arrive at all gateways while news is on its way.
    fn arriving(&self) -> f64 {
        self.arrivals_per_s * self.gateways as f64 * self.news_age_ms() / 1_000.0
    }

    fn total_room(&self, candidates: &[Candidate<'_>]) -> f64 {
        candidates.iter().map(|c| self.room(c)).sum()
    }

    /// How many of the candidates to compare: one, drawn by their room, if more requests arrive
    /// than there is room for. If many gateways compared all endpoints by the same old load
    /// reports, they would all choose the same one at the same time.
    fn sample_size(&self, candidates: &[Candidate<'_>]) -> usize {
        let is_overloaded = self.arriving() > self.total_room(candidates);
        if self.model.is_some() && is_overloaded && self.gateways > FULL_COMPARISON_GATEWAYS {
            return 1;
        }
        let all = candidates.len() * FULL_COMPARISON_GATEWAYS;
        let share = all.div_ceil(self.gateways.max(FULL_COMPARISON_GATEWAYS));
        share.max(MIN_SAMPLE)
    }

    /// Sorts endpoints at random, those with more room first on average (Efraimidis and
    /// Spirakis, Weighted random sampling with a reservoir, 2006).
    fn sample_key(&self, candidate: &Candidate<'_>) -> u64 {
        let hash = rendezvous_weight(self.sample_seed, &candidate.view.registration.id);
        let weight = match self.model {
            Some(_) => self.room(candidate).max(MIN_SAMPLE_WEIGHT),
            None => 1.0,
        };
        let draw = (hash as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        // Positive floating-point numbers sort as their bits do.
        (-draw.ln() / weight).to_bits()
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
        let requests = candidate.load.requests;
        if self.model.is_none() {
            let slots = candidate.view.registration.slots;
            return requests >= slots.saturating_mul(REQUESTS_PER_SERVICE_SLOT);
        }
        requests > 0 && self.room(candidate) <= 0.0
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
    /// Its pace as observed by this gateway; unknown where the service has no target for gaps.
    pub pace: EndpointPace,
}

impl Candidate<'_> {
    /// The most requests in flight that it is expected to serve in time.
    pub fn window(&self) -> f64 {
        self.pace.window(self.view.registration.slots)
    }

    /// By how many requests a further one would exceed its window.
    fn beyond_window(&self) -> f32 {
        if !self.pace.is_bounded() {
            return 0.0;
        }
        (f64::from(self.load.requests) + 1.0 - self.window()).max(0.0) as f32
    }
}

/// Advantage of an endpoint in the gateway's own zone, as a share of its slots. Crossing zones
/// costs milliseconds and traffic, while one more request in a batch lengthens a decoding step
/// by less than a thousandth.
const ZONE_BONUS: f32 = 0.1;
/// Advantage of the session's preferred endpoint, as a share of its slots: it is likely to have
/// the prompt's prefix in its cache.
const AFFINITY_BONUS: f32 = 0.06;
/// Cost of a failure rate of 1, in requests in flight. A failed request costs a
/// retry or the response itself.
const FAILURE_PENALTY: f32 = 200.0;

/// Cost of an endpoint that takes a limited rate, in requests in flight. A request there
/// waits for a grant, and uses up what requests need that no other endpoint can serve.
const LIMITED_PENALTY: f32 = 30.0;

/// Cost of each request beyond an endpoint's window, in requests in flight: a window is exceeded
/// by a few requests at most while other endpoints have room.
const BEYOND_WINDOW_PENALTY: f32 = 4.0;

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
            pace: endpoint.pace.at(now),
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
        let slots = c.view.registration.slots as f32;
        // A slow endpoint takes longer for each request, the new one included.
        let relative = c.pace.relative(criteria.pace.event_ms()) as f32;
        let mut cost = c.load.requests as f32 * relative + (relative - 1.0);
        cost += c.beyond_window() * BEYOND_WINDOW_PENALTY;
        // What delays the request, in requests that delay it as long.
        let delay = criteria.pace.read_time(c.load.unread_tokens);
        cost += slots * delay.0 as f32 / criteria.pace.run_time().0 as f32;
        cost += c.health.failure_rate() * FAILURE_PENALTY;
        if c.view.registration.zone == criteria.zone {
            cost -= ZONE_BONUS * slots;
        }
        if criteria.limited.contains(&c.key) {
            cost += LIMITED_PENALTY;
        }
        if preferred == Some(c.key) {
            cost -= AFFINITY_BONUS * slots;
        }
        cost
    };
    let mut sample: Vec<&'c Candidate<'a>> = candidates.iter().collect();
    let sample_size = criteria.sample_size(candidates);
    if sample_size < candidates.len() {
        sample.sort_by_cached_key(|c| criteria.sample_key(c));
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
