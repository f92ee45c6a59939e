//! The requests in flight of all gateways, told through a few of them.
//!
//! In a large fleet each gateway reports its requests to one of its group, the collector.
//! Collectors tell each other the sum of the reports to them, and each gateway that reports
//! to them the total of all others. Whoever is reported to is a collector, so that the
//! gateways need not agree on one: one that gets no total reports to another.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::gossip::split_rows;
use super::view::{Load, LoadTable};
use crate::clock::Millis;

/// Age up to which a report or a sum counts: several of them are sent in this time.
const MAX_PART_AGE: Millis = Millis(500);
/// How long a collector may be silent before a gateway reports to another one.
const MAX_SILENCE: Millis = Millis(400);
/// How long a collector that was silent is not reported to.
const AVOIDED_TIME: Millis = Millis(2_000);

/// The requests in flight at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// Hash of the endpoint's identifier, which keeps messages small.
    pub endpoint: u32,
    /// The number of requests whose response has not ended.
    pub requests: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    pub unread_tokens: u32,
}

/// A part of a table that may not fit a datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadPart {
    /// Its number, from 0 on.
    pub number: u8,
    /// The number of parts of the table.
    pub count: u8,
    /// Rows of endpoints that have requests, sorted by endpoint.
    pub rows: Vec<LoadRow>,
}

/// What a message with a part of a table says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadKind {
    /// The requests of its sender, told to a collector.
    Report,
    /// The requests of all that report to its sender, told to other collectors.
    Sum,
    /// The requests of all gateways but the receiver.
    Total,
}

/// Hash that identifies an endpoint in a [`LoadRow`].
pub fn endpoint_hash(endpoint: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(endpoint.as_bytes()) as u32
}

/// Rows by endpoint.
type Rows = Vec<LoadRow>;

/// A table of one gateway, received in parts.
#[derive(Clone, Debug)]
struct Received {
    from: CompactString,
    at: Millis,
    parts: Vec<(Millis, Rows)>,
}

impl Received {
    fn put(&mut self, now: Millis, part: LoadPart) {
        self.at = now;
        self.parts
            .resize(usize::from(part.count.max(1)), (Millis::ZERO, Rows::new()));
        if let Some(known) = self.parts.get_mut(usize::from(part.number)) {
            *known = (now, part.rows);
        }
    }

    fn rows(&self, now: Millis) -> impl Iterator<Item = &LoadRow> {
        let fresh = self.parts.iter();
        let fresh = fresh.filter(move |(at, _)| now.since(*at) < MAX_PART_AGE);
        fresh.flat_map(|(_, rows)| rows)
    }
}

/// Tables by gateway.
#[derive(Clone, Debug, Default)]
struct Tables(Vec<Received>);

impl Tables {
    fn put(&mut self, now: Millis, from: &str, part: LoadPart) {
        let found = self.0.binary_search_by(|t| t.from.as_str().cmp(from));
        let at = found.unwrap_or_else(|at| {
            let table = Received {
                from: from.into(),
                at: now,
                parts: Vec::new(),
            };
            self.0.insert(at, table);
            at
        });
        self.0[at].put(now, part);
    }

    fn expire(&mut self, now: Millis) {
        self.0.retain(|t| now.since(t.at) < MAX_PART_AGE);
    }

    fn senders(&self) -> impl Iterator<Item = &CompactString> {
        self.0.iter().map(|t| &t.from)
    }
}

/// What one gateway knows of the requests in flight of the others.
#[derive(Clone, Debug, Default)]
pub struct LoadExchange {
    /// Reports to this gateway.
    reports: Tables,
    /// Sums of other collectors.
    sums: Tables,
    /// Totals of the collector that this gateway reports to.
    totals: Tables,
    /// The total of all others, if this gateway is its own collector.
    own_total: Option<(Millis, Rows)>,
    /// The collector that this gateway reports to, since when, and when it last answered.
    collector: Option<(CompactString, Millis)>,
    /// Collectors that were silent, with the time until which they are avoided.
    avoided: Vec<(CompactString, Millis)>,
    has_news: bool,
}

impl LoadExchange {
    /// Stores a part of a table of another gateway.
    pub fn receive(&mut self, now: Millis, from: &str, kind: LoadKind, part: LoadPart) {
        match kind {
            LoadKind::Report => self.reports.put(now, from, part),
            LoadKind::Sum => self.sums.put(now, from, part),
            LoadKind::Total => {
                if let Some((collector, heard_at)) = &mut self.collector
                    && collector == from
                {
                    *heard_at = now;
                    self.totals.0.retain(|t| t.from == from);
                    self.totals.put(now, from, part);
                    self.has_news = true;
                }
            }
        }
    }

    /// Whether a gateway gets no reports from this one for some time, since it sent no totals.
    pub fn is_avoided(&self, now: Millis, name: &str) -> bool {
        self.avoided
            .iter()
            .any(|(n, until)| n == name && now < *until)
    }

    /// Notes the collector that this gateway reports to from now on; `None` if it is itself.
    /// One that has been silent for too long is avoided.
    pub fn set_collector(&mut self, now: Millis, name: Option<&str>) {
        self.avoided.retain(|(_, until)| now < *until);
        match (&self.collector, name) {
            (Some((known, heard_at)), Some(name)) if known == name => {
                if now.since(*heard_at) > MAX_SILENCE {
                    self.avoided.push((name.into(), now + AVOIDED_TIME));
                }
            }
            (_, name) => self.collector = name.map(|name| (name.into(), now)),
        }
    }

    /// Whether this gateway reports to another one.
    pub fn has_collector(&self) -> bool {
        self.collector.is_some()
    }

    /// Whether other gateways report to this one.
    pub fn is_collector(&self) -> bool {
        self.collector.is_none() || !self.reports.0.is_empty()
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Millis) {
        self.reports.expire(now);
        self.sums.expire(now);
    }

    /// The sum of this gateway's requests and the reports to it.
    pub fn sum(&self, now: Millis, own: &[LoadRow]) -> Vec<LoadRow> {
        let mut all: Rows = own.to_vec();
        all.extend(self.reports.0.iter().flat_map(|t| t.rows(now)));
        merge(all)
    }

    /// The total of a sum and those of other collectors.
    pub fn total(&self, now: Millis, sum: &[LoadRow]) -> Vec<LoadRow> {
        let mut all: Rows = sum.to_vec();
        all.extend(self.sums.0.iter().flat_map(|t| t.rows(now)));
        merge(all)
    }

    /// The gateways that report to this one, each with its part of a total removed.
    pub fn totals_for_reporters(
        &self,
        now: Millis,
        total: &[LoadRow],
    ) -> Vec<(CompactString, Vec<LoadRow>)> {
        let rest = |table: &Received| {
            let own: Rows = table.rows(now).copied().collect();
            (table.from.clone(), without(total, &merge(own)))
        };
        self.reports.0.iter().map(rest).collect()
    }

    /// Collectors that lately sent their sums.
    pub fn known_collectors(&self) -> impl Iterator<Item = &CompactString> {
        self.sums.senders()
    }

    /// Notes the total of all gateways, own requests included, if this gateway is its own
    /// collector.
    pub fn set_own_total(&mut self, now: Millis, total: &[LoadRow], own: &[LoadRow]) {
        self.own_total = Some((now, without(total, own)));
        self.has_news = true;
    }

    /// The requests of all other gateways, if they are known; otherwise their own reports
    /// have to do.
    pub fn known(&self, now: Millis) -> Option<Vec<LoadRow>> {
        if self.collector.is_none() {
            if self.reports.0.is_empty() && self.sums.0.is_empty() {
                return None;
            }
            let fresh = self.own_total.iter();
            let mut fresh = fresh.filter(|(at, _)| now.since(*at) < MAX_PART_AGE);
            return fresh.next().map(|(_, rows)| rows.clone());
        }
        let table = self.totals.0.first()?;
        let rows: Rows = table.rows(now).copied().collect();
        (now.since(table.at) < MAX_PART_AGE).then(|| merge(rows))
    }

    /// Whether anything has changed since the last call.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }
}

/// The rows of a gateway's own requests.
pub fn rows_of(loads: &LoadTable) -> Vec<LoadRow> {
    let rows = loads.iter().map(|(endpoint, load)| LoadRow {
        endpoint: endpoint_hash(endpoint),
        requests: load.requests,
        unread_tokens: load.unread_tokens,
    });
    merge(rows.collect())
}

/// The loads of endpoints that rows tell of.
pub fn loads_of<'a>(
    rows: &[LoadRow],
    endpoints: impl Iterator<Item = &'a CompactString>,
) -> LoadTable {
    let loads = endpoints.filter_map(|endpoint| {
        let hash = endpoint_hash(endpoint);
        let row = rows[rows.binary_search_by_key(&hash, |r| r.endpoint).ok()?];
        let load = Load {
            requests: row.requests,
            unread_tokens: row.unread_tokens,
            ..Load::default()
        };
        Some((endpoint.clone(), load))
    });
    loads.collect()
}

/// Splits a table into parts that fit datagrams.
pub fn split(rows: &[LoadRow]) -> Vec<LoadPart> {
    let parts = split_rows(rows);
    let count = parts.len().min(usize::from(u8::MAX)) as u8;
    let numbered = (0..count).zip(parts);
    numbered
        .map(|(number, rows)| LoadPart {
            number,
            count,
            rows,
        })
        .collect()
}

/// Sums the rows of each endpoint, sorted by endpoint.
fn merge(mut rows: Rows) -> Rows {
    rows.sort_unstable_by_key(|r| r.endpoint);
    rows.dedup_by(|row, sum| {
        let is_same = row.endpoint == sum.endpoint;
        if is_same {
            sum.requests = sum.requests.saturating_add(row.requests);
            sum.unread_tokens = sum.unread_tokens.saturating_add(row.unread_tokens);
        }
        is_same
    });
    rows
}

/// Rows less those that some of the requests make up.
fn without(total: &[LoadRow], part: &[LoadRow]) -> Rows {
    let rest = total.iter().map(|row| {
        let at = part.binary_search_by_key(&row.endpoint, |r| r.endpoint);
        let own = at.map_or_else(|_| LoadRow::default(), |at| part[at]);
        LoadRow {
            requests: row.requests.saturating_sub(own.requests),
            unread_tokens: row.unread_tokens.saturating_sub(own.unread_tokens),
            ..*row
        }
    });
    rest.filter(|r| r.requests > 0 || r.unread_tokens > 0)
        .collect()
}
