//! Of which software versions streams may be left, and what follows from that.
//!
//! A gateway that starts remembers no streams. At any time, either the store has the records of
//! the streams that callers may take up, or such a gateway may trust the only version of a
//! service. Both decisions are made here, from the same times: records are stored for a little
//! longer than any gateway doubts.

use compact_str::CompactString;

use super::RECORD_LIFETIME;
use crate::clock::Millis;

/// How much later than the others a gateway that is cut off, or stands still, may begin streams
/// at a version that left.
const DEPARTURE_TOLERANCE: Millis = Millis(20_000);
/// How far apart gateways may be in the age of what the store's record says: their wall clocks
/// differ, and may jump.
const CLOCK_TOLERANCE: Millis = Millis(5_000);
/// How long streams last, with their callers' tries, if the limits that were in force are not
/// known.
pub const UNKNOWN_LIFETIME: Millis = Millis(275_000);

/// Why a stream that nobody remembers may not go on at a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// No endpoint of the service has stated a version.
    NoVersion,
    /// Streams of another version may be left.
    OtherVersion {
        /// The other version.
        version: CompactString,
        /// How long ago an endpoint of it was last registered.
        seen_ago: Millis,
    },
    /// Versions may have been missed.
    Incomplete {
        /// How long streams of such versions may be left.
        remaining: Millis,
    },
}

impl Doubt {
    /// Its name in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::NoVersion => "no_version",
            Self::OtherVersion { .. } => "other_version",
            Self::Incomplete { .. } => "incomplete_history",
        }
    }
}

/// When the last endpoint of a version went, which may be before this process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// A time of this process's clock.
    noted_at: Millis,
    /// How long ago it was then.
    age: Millis,
}

impl Departure {
    /// It was that long ago.
    pub fn before(now: Millis, age: Millis) -> Self {
        Self { noted_at: now, age }
    }

    /// How long ago it was.
    pub fn age(self, now: Millis) -> Millis {
        self.age + now.since(self.noted_at)
    }
}

/// A software version that endpoints of a service have, or had lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenVersion {
    /// The service.
    pub service: CompactString,
    /// The version.
    pub version: CompactString,
    /// When its last endpoint went; `None` while one is registered.
    pub left: Option<Departure>,
    /// The longest time that streams last which may have begun at it, with their callers'
    /// tries, by all limits that were in force.
    pub lifetime: Millis,
}

impl SeenVersion {
    /// Its service and version, by which lists of versions are sorted.
    pub fn key(&self) -> (&str, &str) {
        (&self.service, &self.version)
    }

    /// How long ago its last endpoint went; zero while one is registered.
    fn left_ago(&self, now: Millis) -> Millis {
        self.left.map_or(Millis::ZERO, |left| left.age(now))
    }

    /// For how long after its last endpoint went streams of it may be left.
    fn stream_span(&self) -> Millis {
        self.lifetime + DEPARTURE_TOLERANCE + CLOCK_TOLERANCE
    }

    /// Whether streams of it may be left.
    fn may_have_streams(&self, now: Millis) -> bool {
        self.left_ago(now) < self.stream_span()
    }

    /// Whether a gateway may think so.
    fn may_be_doubted(&self, now: Millis) -> bool {
        self.left_ago(now) < self.stream_span() + CLOCK_TOLERANCE
    }

    /// Whether a gateway has good reason to add it to a record without it. Shortly before it is
    /// forgotten, the others may have done so already.
    fn is_worth_recording(&self, now: Millis) -> bool {
        self.left_ago(now) + DEPARTURE_TOLERANCE < self.stream_span()
    }

    /// Whether the row of a record lacks what is known here.
    fn is_understated_by(&self, now: Millis, recorded: &Self) -> bool {
        let is_later = match (self.left, recorded.left) {
            (Some(left), Some(recorded)) => left.age(now) + CLOCK_TOLERANCE < recorded.age(now),
            (left, recorded) => left.is_some() != recorded.is_some(),
        };
        is_later || recorded.lifetime < self.lifetime
    }
}

/// Whether a record of versions has to be written again, given what is known now. Both are sorted.
pub fn is_record_stale(now: Millis, known: &[SeenVersion], recorded: &[SeenVersion]) -> bool {
    let is_missing = |row: &SeenVersion| match find(recorded, row.key()) {
        Ok(at) => row.is_understated_by(now, &recorded[at]),
        Err(_) => row.is_worth_recording(now),
    };
    let is_forgotten = |row: &SeenVersion| find(known, row.key()).is_err();
    known.iter().any(is_missing) || recorded.iter().any(is_forgotten)
}

/// The software versions that endpoints of the services have, or had so lately that streams of
/// them may be left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// The versions, sorted.
    seen: Vec<SeenVersion>,
    /// How long streams last by the limits that are in force; zero before a configuration,
    /// without which none begin.
    lifetime: Millis,
    /// When the first version was recorded.
    since: Option<Millis>,
    /// From when on the versions in the store's record and those seen since are all of which
    /// streams may be left; `None` until the record has been read.
    complete_from: Option<Millis>,
    /// Until when a gateway may take the store's record for one that lacks versions.
    record_doubted_until: Millis,
}

impl VersionHistory {
    /// Sets how long streams that begin from now on last, with their callers' tries.
    pub fn set_lifetime(&mut self, lifetime: Millis) {
        self.lifetime = lifetime;
    }

    /// Whether streams are known to last as long as a caller goes on trying for one. A record
    /// is not kept for longer than [`RECORD_LIFETIME`] on a caller's word.
    pub fn covers(&self, budget: Millis) -> bool {
        self.lifetime >= budget.min(RECORD_LIFETIME)
    }

    /// Takes over which versions are registered, as services and versions, and forgets those of
    /// which no stream can be left.
    pub fn update<'a>(
        &mut self,
        now: Millis,
        registered: impl Iterator<Item = (&'a str, &'a str)>,
    ) {
        for row in &mut self.seen {
            row.left.get_or_insert(Departure::before(now, Millis::ZERO));
        }
        for (service, version) in registered {
            self.since.get_or_insert(now);
            let lifetime = self.lifetime;
            let row = self.row(service, version);
            row.left = None;
            row.lifetime = row.lifetime.max(lifetime);
        }
        self.seen.retain(|row| row.may_be_doubted(now));
    }

    /// Records the versions that services had by the record in the store. No streams of others
    /// are left from `complete_from` on.
    pub fn note_record(&mut self, now: Millis, complete_from: Millis, record: &[SeenVersion]) {
        let known = self.complete_from.unwrap_or(complete_from);
        self.complete_from = Some(known.min(complete_from));
        self.record_doubted_until = match complete_from > now {
            true => complete_from + CLOCK_TOLERANCE,
            false => Millis::ZERO,
        };
        for recorded in record {
            let is_new = find(&self.seen, recorded.key()).is_err();
            let left = Departure::before(now, recorded.left_ago(now));
            let row = self.row(&recorded.service, &recorded.version);
            row.left = match row.left {
                _ if is_new => Some(left),
                Some(known) if known.age(now) > left.age => Some(left),
                known => known,
            };
            row.lifetime = row.lifetime.max(recorded.lifetime);
        }
    }

    /// Versions may have been missed until now.
    pub fn interrupt(&mut self, now: Millis) {
        self.since = Some(now);
        self.complete_from = None;
    }

    /// The versions of which streams may be left, sorted.
    pub fn seen(&self) -> &[SeenVersion] {
        &self.seen
    }

    /// The longest time that streams of any version last, with their callers' tries.
    pub fn longest_lifetime(&self) -> Millis {
        let of_rows = self.seen.iter().map(|row| row.lifetime);
        of_rows.fold(self.lifetime, Millis::max)
    }

    /// Whether the history reaches back to the beginning of all streams.
    pub fn is_complete(&self, now: Millis) -> bool {
        self.complete_in(now) == Millis::ZERO
    }

    /// How long streams may be left that began before the history.
    pub fn complete_in(&self, now: Millis) -> Millis {
        let watched = self.since.unwrap_or(now) + RECORD_LIFETIME;
        let complete_from = self.complete_from.unwrap_or(watched);
        complete_from.min(watched).since(now)
    }

    /// The version at which a stream of a service may go on that nobody remembers: the only one
    /// of which streams may be left.
    pub fn trusted(&self, now: Millis, service: &str) -> Result<&CompactString, Doubt> {
        let rows = || self.seen.iter().filter(|row| row.service == service);
        let latest = rows().min_by_key(|row| row.left_ago(now));
        let latest = latest.filter(|row| !row.version.is_empty());
        let latest = latest.ok_or(Doubt::NoVersion)?;
        let mut others = rows().filter(|row| row.version != latest.version);
        if let Some(other) = others.find(|row| row.may_have_streams(now)) {
            return Err(Doubt::OtherVersion {
                version: other.version.clone(),
                seen_ago: other.left_ago(now),
            });
        }
        match self.complete_in(now) {
            Millis::ZERO => Ok(&latest.version),
            remaining => Err(Doubt::Incomplete { remaining }),
        }
    }

    /// Whether the store's record has to be written again, since it says that it may lack
    /// versions although none are missing.
    pub fn is_record_too_doubtful(&self, now: Millis) -> bool {
        self.is_complete(now) && now < self.record_doubted_until
    }

    /// Whether streams of several versions of one service may be left.
    pub fn has_several(&self, now: Millis) -> bool {
        have_several(self.seen.iter().filter(|row| row.may_have_streams(now)))
    }

    /// Whether a gateway that starts now, and knows this record, may doubt the only version of a
    /// service, so that the records of streams have to be in the store.
    pub fn needs_stored_streams(&self, now: Millis, recorded: &[SeenVersion]) -> bool {
        if now < self.record_doubted_until {
            return true;
        }
        // Both lists hold versions that the other one lacks while the record is being written.
        let doubted = self.seen.iter().filter(|row| row.may_be_doubted(now));
        let mut rows: Vec<&SeenVersion> = doubted.chain(recorded).collect();
        rows.sort_by_key(|row| row.key());
        rows.dedup_by_key(|row| row.key());
        have_several(rows.into_iter())
    }

    /// The row of a version, which may be new.
    fn row(&mut self, service: &str, version: &str) -> &mut SeenVersion {
        let at = find(&self.seen, (service, version)).unwrap_or_else(|at| {
            let new = SeenVersion {
                service: service.into(),
                version: version.into(),
                left: None,
                lifetime: Millis::ZERO,
            };
            self.seen.insert(at, new);
            at
        });
        &mut self.seen[at]
    }
}

fn find(rows: &[SeenVersion], key: (&str, &str)) -> Result<usize, usize> {
    rows.binary_search_by(|row| row.key().cmp(&key))
}

/// Whether sorted versions name a service twice.
fn have_several<'a>(rows: impl Iterator<Item = &'a SeenVersion>) -> bool {
    let mut services = rows.map(|row| &row.service);
    let mut last = services.next();
    services.any(|service| last.replace(service) == Some(service))
}
