//! What operators are told of the paces of endpoints.
//!
//! Nothing here does I/O.

use compact_str::CompactString;

use crate::clock::Millis;

/// Factor by which a pace or window has to change to be logged.
const LOGGED_FACTOR: f64 = 1.5;
/// Time between two log lines of an endpoint.
const LOG_INTERVAL: Millis = Millis(5_000);

/// The pace of one run of an endpoint, as one gateway observes it.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceReport {
    /// The endpoint's identifier.
    pub endpoint: CompactString,
    /// Its service.
    pub service: CompactString,
    /// Mean time between two events, in milliseconds; `None` before there were enough.
    pub event_ms: Option<f64>,
    /// The same relative to the service's mean.
    pub relative: f64,
    /// Its window of requests in flight.
    pub window: f64,
}

impl PaceReport {
    /// Whether the relative pace or the window differs by `LOGGED_FACTOR`.
    fn differs(&self, relative: f64, window: f64) -> bool {
        let factor = |a: f64, b: f64| (a.max(b) / a.min(b).max(f64::MIN_POSITIVE)).abs();
        factor(self.relative, relative) >= LOGGED_FACTOR
            || factor(self.window, window) >= LOGGED_FACTOR
    }
}

#[derive(Debug)]
struct Logged {
    endpoint: CompactString,
    relative: f64,
    window: f64,
    /// When a line was written; `None` if there was none yet.
    at: Option<Millis>,
}

/// Selects the reports that are logged: changes by a factor, at most one per endpoint in
/// `LOG_INTERVAL`.
#[derive(Debug, Default)]
pub struct PaceLog {
    /// Sorted by endpoint.
    logged: Vec<Logged>,
}

impl PaceLog {
    /// Returns the reports to log. An endpoint's first report is logged if its pace differs from
    /// that of its service.
    pub fn changes<'a>(&mut self, now: Millis, reports: &'a [PaceReport]) -> Vec<&'a PaceReport> {
        self.logged
            .retain(|l| reports.iter().any(|r| r.endpoint == l.endpoint));
        let changed = reports.iter().filter(|report| self.is_change(now, report));
        changed.collect()
    }

    fn is_change(&mut self, now: Millis, report: &PaceReport) -> bool {
        let found = self
            .logged
            .binary_search_by(|l| l.endpoint.cmp(&report.endpoint));
        let at = found.unwrap_or_else(|at| {
            let new = Logged {
                endpoint: report.endpoint.clone(),
                relative: 1.0,
                window: report.window,
                at: None,
            };
            self.logged.insert(at, new);
            at
        });
        let logged = &mut self.logged[at];
        let is_due = logged.at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if !is_due || !report.differs(logged.relative, logged.window) {
            return false;
        }
        logged.relative = report.relative;
        logged.window = report.window;
        logged.at = Some(now);
        true
    }
}

/// The time between two events at the slowest endpoint relative to the median of its service,
/// for the service where they differ most; `None` if no pace is known.
pub fn slowest_to_median(reports: &[PaceReport]) -> Option<f64> {
    let mut times: Vec<(&str, f64)> = reports
        .iter()
        .filter_map(|r| Some((r.service.as_str(), r.event_ms?)))
        .collect();
    times.sort_by(|a, b| a.0.cmp(b.0).then(a.1.total_cmp(&b.1)));
    let services = times.chunk_by(|a, b| a.0 == b.0);
    let ratios = services.filter_map(|times| {
        let median = times[(times.len() - 1) / 2].1;
        Some(times.last()?.1 / median.max(f64::MIN_POSITIVE))
    });
    ratios.max_by(f64::total_cmp)
}
