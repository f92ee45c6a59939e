//! The pace of one endpoint, learned from the events of its streams.

use crate::clock::Millis;

const EVENT_WEIGHT: f64 = 0.02;
const GROWTH: f64 = 0.01;
const BACKOFF: f64 = 0.8;
const BACKOFF_INTERVAL: Millis = Millis(300);
const FIRST_SHARE: f64 = 0.25;
const LEAST_SHARE: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointPace {
    event_ms: Option<f64>,
    window: Option<f64>,
    is_settled: bool,
    backed_off_at: Millis,
}

impl EndpointPace {
    pub fn record_gap(&mut self, gap: Millis) {
        let gap = gap.0 as f64;
        let event_ms = self.event_ms.get_or_insert(gap);
        *event_ms += (gap - *event_ms) * EVENT_WEIGHT;
    }

    pub fn event_ms(&self) -> Option<f64> {
        self.event_ms
    }

    pub fn window(&self, slots: u32) -> f64 {
        self.window.unwrap_or(f64::from(slots))
    }

    pub fn record_stream(&mut self, now: Millis, in_time: bool, slots: u32, requests: u32, gateways: usize) {
        let slots = f64::from(slots);
        let window = self.window.get_or_insert(slots);
        if in_time {
            let step = match self.is_settled {
                true => GROWTH * slots,
                false => (gateways as f64).min(slots / 8.0),
            };
            *window = (*window + step).min(slots * 1.25);
            return;
        }
        self.is_settled = true;
        if now.since(self.backed_off_at) < BACKOFF_INTERVAL {
            return;
        }
        self.backed_off_at = now;
        *window = (window.min(f64::from(requests).max(1.0)) * BACKOFF).max(slots * LEAST_SHARE);
    }

    pub fn start(&mut self, slots: u32) {
        self.window = Some(f64::from(slots) * FIRST_SHARE);
        self.is_settled = false;
    }
}
