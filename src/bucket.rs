//! Token buckets that enforce a workspace's rate and burst on one gateway.

use std::sync::Mutex;

use compact_str::CompactString;

use crate::clock::Millis;

/// The whole of a workspace's rate and burst, in parts per million.
pub const WHOLE_PPM: u64 = 1_000_000;
/// Fractions of a token that a bucket counts in.
const MICROS: i128 = 1_000_000;

/// A bucket that holds one gateway's share of a workspace's rate and burst.
///
/// The level never exceeds the share of the burst, and it grows by the share
/// of the rate. Levels and shares that sum to at most the whole therefore
/// bound what all gateways together let through in any window.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: u64,
    burst: u64,
    share_ppm: u64,
    /// Below zero while tokens are promised that have not accrued yet.
    level_micros: i128,
    /// What was refused lately and would not have been served yet.
    backlog_micros: i128,
    updated: Millis,
    used: u64,
    short: u64,
    refused: u64,
}

/// What a bucket saw since the last reading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The workspace.
    pub workspace: CompactString,
    /// Tokens charged, less those refunded.
    pub used: u64,
    /// The most tokens that one request asked for and that were not there.
    pub short: u64,
    /// Tokens that were asked for and not there, of all requests together.
    pub refused: u64,
    /// Tokens there now.
    pub level: u64,
}

impl Bucket {
    /// An empty bucket for a workspace of this rate (tokens a second) and burst (tokens).
    pub fn new(now: Millis, rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            share_ppm: 0,
            level_micros: 0,
            backlog_micros: 0,
            updated: now,
            used: 0,
            short: 0,
            refused: 0,
        }
    }

    /// Takes tokens, or tells how long it takes until they are there.
    pub fn charge(&mut self, now: Millis, tokens: u64) -> Result<(), Millis> {
        self.accrue(now);
        let wanted = i128::from(tokens) * MICROS;
        if wanted <= self.level_micros {
            self.level_micros -= wanted;
            self.used += tokens;
            return Ok(());
        }
        self.short = self.short.max(tokens);
        self.refused += tokens;
        Err(self.time_to_fill(wanted - self.level_micros))
    }

    /// Takes tokens once what was taken before is paid, and returns the time
    /// until then if it is at most `max_wait`. Requests of every size wait alike,
    /// in the order in which they asked; the bucket is in debt by at most one
    /// request and what accrues within the wait.
    ///
    /// An error is the time until all that was refused lately would have been
    /// served at this share: who comes back then comes back in that order.
    pub fn reserve(
        &mut self,
        now: Millis,
        tokens: u64,
        max_wait: Millis,
    ) -> Result<Millis, Millis> {
        self.accrue(now);
        let wanted = i128::from(tokens) * MICROS;
        let wait = match self.level_micros {
            0.. => Millis::ZERO,
            debt => self.time_at_share(-debt),
        };
        // A bucket without a share gives nothing, in debt or not.
        if wait <= max_wait && self.share_ppm > 0 {
            self.level_micros -= wanted;
            self.used += tokens;
            return Ok(wait);
        }
        self.short = self.short.max(tokens);
        self.refused += tokens;
        self.backlog_micros += wanted;
        Err(self.time_at_share(self.backlog_micros - self.level_micros))
    }

    /// Gives back tokens that were charged and not used.
    pub fn refund(&mut self, now: Millis, tokens: u64) {
        self.accrue(now);
        self.used = self.used.saturating_sub(tokens);
        self.add(i128::from(tokens) * MICROS);
    }

    /// Changes the workspace's rate and burst; returns whether they were others.
    pub fn set_limits(&mut self, now: Millis, rate: u64, burst: u64) -> bool {
        self.accrue(now);
        let has_changed = self.rate != rate || self.burst != burst;
        self.rate = rate;
        self.burst = burst;
        self.clip();
        has_changed
    }

    /// Changes the share; a smaller one loses the tokens above its burst.
    pub fn set_share(&mut self, now: Millis, share_ppm: u64) {
        self.accrue(now);
        self.share_ppm = share_ppm;
        self.clip();
    }

    /// Gives up part of the share and returns the tokens that go with it, in proportion.
    pub fn split(&mut self, now: Millis, ppm: u64) -> u64 {
        self.accrue(now);
        let ppm = ppm.min(self.share_ppm);
        let level = self.level_micros.max(0);
        let part = level * i128::from(ppm) / i128::from(self.share_ppm.max(1));
        let tokens = part / MICROS;
        self.level_micros -= tokens * MICROS;
        self.set_share(now, self.share_ppm - ppm);
        tokens as u64
    }

    /// Adds tokens that came with a share.
    pub fn deposit(&mut self, now: Millis, tokens: u64) {
        self.accrue(now);
        self.add(i128::from(tokens) * MICROS);
    }

    /// Reads and resets the counters of use.
    pub fn take_usage(&mut self, now: Millis, workspace: &str) -> Usage {
        self.accrue(now);
        Usage {
            workspace: workspace.into(),
            used: std::mem::take(&mut self.used),
            short: std::mem::take(&mut self.short),
            refused: std::mem::take(&mut self.refused),
            level: (self.level_micros.max(0) / MICROS) as u64,
        }
    }

    /// The share in parts per million.
    pub fn share_ppm(&self) -> u64 {
        self.share_ppm
    }

    fn accrue(&mut self, now: Millis) {
        let elapsed = now.since(self.updated);
        self.updated = self.updated.max(now);
        let grown = i128::from(self.rate) * i128::from(self.share_ppm) * i128::from(elapsed.0);
        self.add(grown / 1_000);
        self.backlog_micros = (self.backlog_micros - grown / 1_000).max(0);
    }

    fn add(&mut self, micros: i128) {
        self.level_micros += micros;
        self.clip();
    }

    fn clip(&mut self) {
        let cap = i128::from(self.burst) * i128::from(self.share_ppm);
        self.level_micros = self.level_micros.min(cap);
    }

    fn time_at_share(&self, missing_micros: i128) -> Millis {
        let per_ms = i128::from(self.rate) * i128::from(self.share_ppm) / 1_000;
        match per_ms {
            ..=0 => Millis(u64::MAX),
            per_ms => Millis((missing_micros / per_ms) as u64 + 1),
        }
    }

    fn time_to_fill(&self, missing_micros: i128) -> Millis {
        // A small share still learns the time at the whole rate: shares move.
        let per_ms = i128::from(self.rate) * i128::from(WHOLE_PPM) / 1_000;
        Millis((missing_micros / per_ms.max(1)) as u64 + 1)
    }
}

/// One workspace's bucket, shared between threads.
#[derive(Debug)]
pub struct BucketCell {
    /// The workspace.
    pub workspace: CompactString,
    bucket: Mutex<Bucket>,
}

impl BucketCell {
    /// Wraps a bucket for its workspace.
    pub fn new(workspace: CompactString, bucket: Bucket) -> Self {
        Self {
            workspace,
            bucket: Mutex::new(bucket),
        }
    }

    /// Works on the bucket while no other thread does.
    pub fn with<T>(&self, work: impl FnOnce(&mut Bucket) -> T) -> T {
        let mut bucket = match self.bucket.lock() {
            Ok(guard) => guard,
            Err(poisoned) => poisoned.into_inner(),
        };
        work(&mut bucket)
    }
}
