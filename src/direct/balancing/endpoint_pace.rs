//! The pace of one run of an endpoint, learned from its streams: the time between two events,
//! and a window of requests in flight.
//!
//! Nothing here does I/O.

use crate::clock::Millis;

/// Weight of the latest gap in an endpoint's mean time between two events.
const EVENT_WEIGHT: f64 = 0.01;
/// Gaps before which the mean isn't used.
const MIN_GAPS: u32 = 20;
/// Relative paces this close to 1 count as 1. Reading a prompt delays the events of all streams
/// of an endpoint at once, so that means scatter by more than a tenth where all are alike.
const DEAD_BAND: f64 = 0.2;
/// Bounds of the relative pace, so that an endpoint that slowed down is still tried.
const MIN_RELATIVE: f64 = 0.5;
const MAX_RELATIVE: f64 = 4.0;

/// The smallest window, and that of a new run, as a share of the slots.
const MIN_SHARE: f64 = 0.25;
/// The largest window. It lies above the slots, as engines queue the rest for a short time.
const MAX_SHARE: f64 = 1.25;
/// Factor of the window after a late stream.
const CUT: f64 = 0.8;
/// Streams that are late for the same reason end within this time and count once.
const CUT_INTERVAL: Millis = Millis(300);
/// Growth per second without answers, as a share of the slots, of a run that has just started:
/// in a large fleet most gateways see none of its first answers. It has its slots after 3 s.
const START_GROWTH_PER_S: f64 = 0.25;
/// The same after the first late stream.
const GROWTH_PER_S: f64 = 0.05;
/// The most gateways that the growth per stream is scaled by. What one gateway sees says less
/// about the others the more there are.
const MAX_SCALE: f64 = 32.0;

/// The pace of one run of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointPace {
    event_ms: f64,
    gaps: u32,
    /// `None` if the window has no bound.
    window: Option<Window>,
    last_cut: Option<Millis>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Window {
    /// Size as a share of the slots.
    share: f64,
    /// When `share` was computed.
    at: Millis,
    /// Whether no stream has been late since the run started.
    is_starting: bool,
}

/// How a stream went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOutcome {
    /// Whether its first event and all gaps between events were in time.
    pub is_in_time: bool,
    /// The endpoint's slots.
    pub slots: u32,
    /// Number of gateways that send to the endpoint, this one included.
    pub gateways: usize,
}

impl EndpointPace {
    /// Starts the window of a run that has just appeared, or that failed.
    pub fn restart(&mut self, now: Millis) {
        self.window = Some(Window {
            share: MIN_SHARE,
            at: now,
            is_starting: true,
        });
    }

    /// Records the time between two events of a stream.
    pub fn record_gap(&mut self, gap: Millis) {
        self.gaps = self.gaps.saturating_add(1);
        let weight = EVENT_WEIGHT.max(1.0 / f64::from(self.gaps));
        self.event_ms += (gap.0 as f64 - self.event_ms) * weight;
    }

    /// Records that a stream ended.
    pub fn record_stream(&mut self, now: Millis, outcome: StreamOutcome) {
        match outcome.is_in_time {
            true => self.grow(now, outcome),
            false => self.cut(now),
        }
    }

    fn grow(&mut self, now: Millis, outcome: StreamOutcome) {
        *self = self.at(now);
        let Some(window) = &mut self.window else {
            return;
        };
        let scale = (outcome.gateways.max(1) as f64).min(MAX_SCALE);
        let slots = f64::from(outcome.slots.max(1));
        let requests = window.share * slots;
        // One request per stream doubles the window once all of its requests have ended; the
        // other gateways see the rest of them.
        let step = match window.is_starting {
            true => scale.min(requests),
            false => (scale / requests).min(1.0),
        };
        window.share += step / slots;
        self.end_at_ceiling();
    }

    fn cut(&mut self, now: Millis) {
        let is_same = |at| now.since(at) < CUT_INTERVAL;
        if self.last_cut.is_some_and(is_same) {
            return;
        }
        self.last_cut = Some(now);
        let share = self.at(now).window.map_or(MAX_SHARE, |w| w.share);
        self.window = Some(Window {
            share: (share * CUT).max(MIN_SHARE),
            at: now,
            is_starting: false,
        });
    }

    /// The pace at a time: a bounded window also grows while no answers arrive.
    pub fn at(mut self, now: Millis) -> Self {
        if let Some(window) = &mut self.window {
            let per_s = match window.is_starting {
                true => START_GROWTH_PER_S,
                false => GROWTH_PER_S,
            };
            window.share += now.since(window.at).0 as f64 * per_s / 1_000.0;
            window.at = window.at.max(now);
        }
        self.end_at_ceiling();
        self
    }

    fn end_at_ceiling(&mut self) {
        self.window = self.window.filter(|w| w.share < MAX_SHARE);
    }

    /// The most requests in flight that the endpoint is expected to serve in time.
    pub fn window(&self, slots: u32) -> f64 {
        self.share() * f64::from(slots)
    }

    /// The window as a share of the slots.
    pub fn share(&self) -> f64 {
        self.window.map_or(MAX_SHARE, |w| w.share)
    }

    /// Whether the window is below its ceiling.
    pub fn is_bounded(&self) -> bool {
        self.window.is_some()
    }

    /// The mean time between two events, in milliseconds; `None` before there were enough.
    pub fn event_ms(&self) -> Option<f64> {
        (self.gaps >= MIN_GAPS).then_some(self.event_ms)
    }

    /// The time between two events relative to the mean of the service, above 1 if the endpoint
    /// is slower; 1 if either is unknown or they hardly differ.
    pub fn relative(&self, service_mean_ms: Option<f64>) -> f64 {
        let (Some(own), Some(mean)) = (self.event_ms(), service_mean_ms) else {
            return 1.0;
        };
        let mut relative = own / mean.max(f64::MIN_POSITIVE);
        // Events are fast while few requests are in flight. If that counted, a run that has just
        // started would be sent far more than others.
        if self.window.is_some_and(|w| w.is_starting) {
            relative = relative.max(1.0);
        }
        match (relative - 1.0).abs() < DEAD_BAND {
            true => 1.0,
            false => relative.clamp(MIN_RELATIVE, MAX_RELATIVE),
        }
    }
}
