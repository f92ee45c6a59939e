//! Which software versions the services have, and which of them are recorded in the store.

use compact_str::{CompactString, format_compact};

use super::{Control, Effect};
use crate::clock::Millis;
use crate::direct::document::RouteKind;
use crate::direct::streams::{
    Departure, RECORD_LIFETIME, SeenVersion, UNKNOWN_LIFETIME, VersionHistory, is_record_stale,
};
use crate::direct::version_record::{RecordedVersion, VersionRecord};
use crate::journal;

/// How long a gateway waits for the leader to record a change, and the additional wait for
/// each gateway that ranks earlier.
const TAKEOVER_DELAY: Millis = Millis(1_000);
const TAKEOVER_DELAY_PER_RANK: Millis = Millis(250);
/// Delay after a failed attempt.
const RETRY_DELAY: Millis = Millis(1_000);
/// Interval at which the versions are looked through.
const LOOK_INTERVAL: Millis = Millis(1_000);
/// How long a stream and its callers' tries may last, in timeouts of its route, unless a caller
/// states a longer time.
const TIMEOUTS_PER_STREAM: u64 = 2;

/// The software versions of the services.
#[derive(Clone, Debug, Default)]
pub(super) struct Versions {
    /// Those of which streams may be left.
    pub history: VersionHistory,
    /// The revision of the record and its rows, sorted; `None` until it has been read.
    recorded: Option<(u64, Vec<SeenVersion>)>,
    /// Whether the store came back from a copy since the record was written.
    is_record_outdated: bool,
    /// Whether the store has to have the records of streams, as of the last look.
    pub needs_stored_streams: bool,
    /// The longest time that a caller has stated for all tries of a stream.
    longest_budget: Millis,
    has_changed: bool,
    next_look: Millis,
    /// Since when the record differs from what is registered.
    differs_since: Option<Millis>,
    is_writing: bool,
    next_attempt: Millis,
}

impl Versions {
    /// The registrations or the limits have changed.
    pub(super) fn note_change(&mut self) {
        self.has_changed = true;
    }
}

/// A version in the record.
fn seen_version(now: Millis, recorded: &RecordedVersion) -> SeenVersion {
    SeenVersion {
        service: recorded.service.clone(),
        version: recorded.version.clone(),
        left: recorded.left.map(|age| Departure::before(now, age)),
        lifetime: recorded.lifetime.unwrap_or(UNKNOWN_LIFETIME),
    }
}

/// Logs what the record says.
fn log_record(now: Millis, revision: u64, record: &VersionRecord) {
    let mut versions = CompactString::default();
    for row in &record.versions {
        let separator = if versions.is_empty() { "" } else { " " };
        let left = row.left.map(|age| format_compact!("-{}", age.0));
        let left = left.unwrap_or_default();
        versions += &format_compact!("{separator}{}/{}{left}", row.service, row.version);
    }
    journal::write(
        "versions.known",
        &[
            ("revision", revision.into()),
            ("versions", (&versions).into()),
            ("complete_ms", record.complete_in.into()),
            ("outdated", record.is_outdated.into()),
            ("uptime_ms", now.into()),
        ],
    );
}

impl Control {
    /// The record was read or written, or has changed.
    pub(super) fn versions_recorded(
        &mut self,
        now: Millis,
        revision: u64,
        record: &VersionRecord,
        out: &mut Vec<Effect>,
    ) {
        let rows = record.versions.iter().map(|v| seen_version(now, v));
        let mut rows: Vec<SeenVersion> = rows.collect();
        rows.sort_by(|a, b| a.key().cmp(&b.key()));
        let complete_from = now + record.complete_in;
        self.versions.history.note_record(now, complete_from, &rows);
        self.versions.is_writing = false;
        log_record(now, revision, record);
        // A slow response may be older than what is known. Then the next write fails and
        // leads to another reading.
        self.versions.recorded = Some((revision, rows));
        self.versions.is_record_outdated = record.is_outdated;
        self.versions.has_changed = true;
        out.push(Effect::Publish);
    }

    /// The record could not be written.
    pub(super) fn version_record_failed(&mut self, now: Millis) {
        self.versions.is_writing = false;
        self.versions.next_attempt = now + RETRY_DELAY;
    }

    /// Writes the record if it differs from what is registered: the leader at once, others
    /// if nobody else does.
    pub(super) fn record_versions(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.look_at_versions_if_due(now);
        let state = &self.versions;
        let Some((expected, recorded)) = &state.recorded else {
            return;
        };
        let is_stale = is_record_stale(now, state.history.seen(), recorded);
        // Right after the start, no endpoint is known yet.
        if self.is_store_lost || state.is_writing || self.directory.is_empty() {
            return;
        }
        let expected = *expected;
        let is_too_doubtful = state.history.is_record_too_doubtful(now);
        if !is_stale && !is_too_doubtful && !state.is_record_outdated {
            self.versions.differs_since = None;
            return;
        }
        // Nobody else may know what this gateway's callers state.
        let mut present = recorded.iter().filter(|v| v.left.is_none());
        let is_budget_missing = present.any(|v| v.lifetime < state.longest_budget);
        let wait = match self.leader_term(now) {
            Some(_) => Millis::ZERO,
            None if is_budget_missing => Millis::ZERO,
            None => TAKEOVER_DELAY + Millis(TAKEOVER_DELAY_PER_RANK.0 * self.members.rank() as u64),
        };
        let state = &mut self.versions;
        let since = *state.differs_since.get_or_insert(now);
        if now.since(since) < wait || now < state.next_attempt {
            return;
        }
        state.is_writing = true;
        let versions = state.history.seen().iter().map(|row| RecordedVersion {
            service: row.service.clone(),
            version: row.version.clone(),
            left: row.left.map(|left| left.age(now)),
            lifetime: Some(row.lifetime),
        });
        let record = VersionRecord {
            versions: versions.collect(),
            complete_in: state.history.complete_in(now),
            is_outdated: false,
        };
        out.push(Effect::RecordVersions { expected, record });
    }

    /// A caller stated how long it goes on trying for one stream, which is longer than streams
    /// are known to last.
    pub(super) fn stream_budget_stated(
        &mut self,
        now: Millis,
        budget: Millis,
        out: &mut Vec<Effect>,
    ) {
        // Rounded up, so that the record seldom changes.
        let budget = budget.min(RECORD_LIFETIME).0.next_power_of_two();
        let budget = Millis(budget).min(RECORD_LIFETIME);
        if budget > self.versions.longest_budget {
            self.versions.longest_budget = budget;
            self.limits_changed(now, out);
        }
    }

    /// The configuration, or what callers state, changes how long streams last.
    pub(super) fn limits_changed(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let lifetime = self.stream_lifetime();
        self.versions.history.set_lifetime(lifetime);
        self.look_at_versions(now);
        out.push(Effect::Publish);
    }

    /// How long streams that begin now may last, with their callers' tries.
    fn stream_lifetime(&self) -> Millis {
        let routes = self.document.iter().flat_map(|d| &d.routes);
        let resumable = RouteKind::Stream { is_resumable: true };
        let routes = routes.filter(|r| r.kind == resumable);
        let longest = routes.map(|r| r.timeout.0).max().unwrap_or_default();
        let by_routes = Millis(longest.saturating_mul(TIMEOUTS_PER_STREAM));
        by_routes.max(self.versions.longest_budget)
    }

    /// Takes over which versions are registered, if that may have changed.
    fn look_at_versions_if_due(&mut self, now: Millis) {
        if self.versions.has_changed || now >= self.versions.next_look {
            self.look_at_versions(now);
        }
    }

    /// Takes over which versions are registered.
    pub(super) fn look_at_versions(&mut self, now: Millis) {
        let state = &mut self.versions;
        let registered = self.directory.registrations();
        let registered = registered.map(|r| (r.service.as_str(), r.version.as_str()));
        state.history.update(now, registered);
        let recorded = state.recorded.as_ref();
        state.needs_stored_streams =
            recorded.is_some_and(|(_, rows)| state.history.needs_stored_streams(now, rows));
        state.has_changed = false;
        state.next_look = now + LOOK_INTERVAL;
    }
}
