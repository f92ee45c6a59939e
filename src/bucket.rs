//! Token buckets that enforce a workspace's rate and burst on one gateway.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use compact_str::CompactString;
use tokio::sync::Notify;

use crate::clock::Millis;

/// The whole of a workspace's rate and burst, in parts per million.
pub const WHOLE_PPM: u64 = 1_000_000;
/// Buckets count in millionths of a token.
const MICROS_PER_TOKEN: i128 = 1_000_000;

/// A bucket that holds one gateway's share of a workspace's rate and burst.
///
/// The level grows by the share of the rate up to the share of the burst. While
/// levels and shares sum to at most the whole, all gateways together therefore
/// stay within rate and burst in any window.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: u64,
    burst: u64,
    share_ppm: u64,
    /// Negative while tokens are charged that have not accrued yet.
    level_micros: i128,
    /// Tokens of refused requests that could not yet have been served at the current
    /// share, in millionths.
    backlog_micros: i128,
    updated_at: Millis,
    used: u64,
    largest_refused: u64,
    refused: u64,
}

/// A bucket's level, and its usage counters since they were last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The workspace.
    pub workspace: CompactString,
    /// Tokens charged, less those refunded.
    pub used: u64,
    /// Size of the largest refused request, in tokens.
    pub largest_refused: u64,
    /// Tokens of all refused requests together.
    pub refused: u64,
    /// Tokens available now.
    pub level: u64,
}

impl Bucket {
    /// Creates an empty bucket for a workspace's rate (tokens per second) and burst (tokens).
    pub fn new(now: Millis, rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            share_ppm: 0,
            level_micros: 0,
            backlog_micros: 0,
            updated_at: now,
            used: 0,
            largest_refused: 0,
            refused: 0,
        }
    }

    /// Takes tokens, or returns the time until they are available.
    pub fn charge(&mut self, now: Millis, tokens: u64) -> Result<(), Millis> {
        self.accrue(now);
        let wanted = i128::from(tokens) * MICROS_PER_TOKEN;
        if wanted <= self.level_micros {
            self.level_micros -= wanted;
            self.used += tokens;
            return Ok(());
        }
        self.largest_refused = self.largest_refused.max(tokens);
        self.refused += tokens;
        Err(self.time_at_full_rate(wanted - self.level_micros))
    }

    /// Takes tokens if that leaves a debt of at most `max_debt` tokens, or if
    /// the bucket is full: a request may be larger than a share's burst.
    ///
    /// Otherwise returns the number of missing tokens.
    pub fn take(&mut self, now: Millis, tokens: u64, max_debt: u64) -> Result<(), u64> {
        let missing = self.missing(now, tokens, max_debt);
        if missing > 0 {
            return Err(missing);
        }
        self.level_micros -= i128::from(tokens) * MICROS_PER_TOKEN;
        self.used += tokens;
        Ok(())
    }

    /// Tokens that have to be added before [`Bucket::take`] succeeds.
    pub fn missing(&mut self, now: Millis, tokens: u64, max_debt: u64) -> u64 {
        self.accrue(now);
        whole_tokens(self.missing_micros(tokens, max_debt))
    }

    /// Tokens that have to be added before a request of this size leaves a debt of
    /// at most `max_debt`, even if it is larger than the share's burst.
    pub fn shortfall(&mut self, now: Millis, tokens: u64, max_debt: u64) -> u64 {
        self.accrue(now);
        let wanted = i128::from(tokens.saturating_sub(max_debt)) * MICROS_PER_TOKEN;
        whole_tokens(wanted - self.level_micros)
    }

    /// Tokens available at the last change.
    pub fn level(&self) -> u64 {
        (self.level_micros.max(0) / MICROS_PER_TOKEN) as u64
    }

    /// Tokens that were taken and have not accrued yet.
    pub fn debt(&self) -> u64 {
        (-self.level_micros).max(0).div_euclid(MICROS_PER_TOKEN) as u64
    }

    /// Removes up to `tokens` available tokens for another gateway; returns how many.
    pub fn lend(&mut self, now: Millis, tokens: u64) -> u64 {
        self.accrue(now);
        let lent = i128::from(tokens).min(self.level_micros.max(0) / MICROS_PER_TOKEN);
        self.level_micros -= lent * MICROS_PER_TOKEN;
        lent as u64
    }

    /// Adds tokens that another gateway gave up. They may exceed the share's burst
    /// until the share is next set.
    pub fn receive_loan(&mut self, now: Millis, tokens: u64) {
        self.accrue(now);
        self.level_micros += i128::from(tokens) * MICROS_PER_TOKEN;
    }

    /// Takes tokens at once and returns the time until [`Bucket::take`] would allow it,
    /// if that time is at most `max_wait`. Later requests wait longer for it, so requests
    /// are served in the order in which they reserve.
    ///
    /// Otherwise returns the time until all recently refused requests would have
    /// been served at this share, so that retries arrive in the order of refusal.
    pub fn reserve(
        &mut self,
        now: Millis,
        tokens: u64,
        max_debt: u64,
        max_wait: Millis,
    ) -> Result<Millis, Millis> {
        self.accrue(now);
        let wanted = i128::from(tokens) * MICROS_PER_TOKEN;
        let wait = match self.missing_micros(tokens, max_debt) {
            ..=0 => Millis::ZERO,
            missing => self.time_at_share(missing),
        };
        // A bucket without a share gives nothing, in debt or not.
        if wait <= max_wait && self.share_ppm > 0 {
            self.level_micros -= wanted;
            self.used += tokens;
            return Ok(wait);
        }
        self.largest_refused = self.largest_refused.max(tokens);
        self.refused += tokens;
        self.backlog_micros += wanted;
        Err(self.time_at_share(self.backlog_micros - self.level_micros))
    }

    /// Returns tokens that were charged and not used.
    pub fn refund(&mut self, now: Millis, tokens: u64) {
        self.accrue(now);
        self.used = self.used.saturating_sub(tokens);
        self.add(i128::from(tokens) * MICROS_PER_TOKEN);
    }

    /// Changes the workspace's rate and burst; returns whether they differ.
    pub fn set_limits(&mut self, now: Millis, rate: u64, burst: u64) -> bool {
        self.accrue(now);
        let has_changed = self.rate != rate || self.burst != burst;
        self.rate = rate;
        self.burst = burst;
        self.clamp_level();
        has_changed
    }

    /// Changes the share; tokens above the new share's burst are dropped.
    pub fn set_share(&mut self, now: Millis, share_ppm: u64) {
        self.accrue(now);
        self.share_ppm = share_ppm;
        self.clamp_level();
    }

    /// Gives up part of the share and returns the proportional part of the tokens.
    pub fn split(&mut self, now: Millis, ppm: u64) -> u64 {
        self.accrue(now);
        let ppm = ppm.min(self.share_ppm);
        let level = self.level_micros.max(0);
        let part = level * i128::from(ppm) / i128::from(self.share_ppm.max(1));
        let tokens = part / MICROS_PER_TOKEN;
        self.level_micros -= tokens * MICROS_PER_TOKEN;
        self.set_share(now, self.share_ppm - ppm);
        tokens as u64
    }

    /// Adds tokens that came with a share.
    pub fn deposit(&mut self, now: Millis, tokens: u64) {
        self.accrue(now);
        self.add(i128::from(tokens) * MICROS_PER_TOKEN);
    }

    /// Reads and resets the usage counters.
    pub fn take_usage(&mut self, now: Millis, workspace: &str) -> Usage {
        self.accrue(now);
        Usage {
            workspace: workspace.into(),
            used: std::mem::take(&mut self.used),
            largest_refused: std::mem::take(&mut self.largest_refused),
            refused: std::mem::take(&mut self.refused),
            level: self.level(),
        }
    }

    /// The share in parts per million.
    pub fn share_ppm(&self) -> u64 {
        self.share_ppm
    }

    /// Tokens, in millionths, that have to be added before a request of this size
    /// may be taken.
    fn missing_micros(&self, tokens: u64, max_debt: u64) -> i128 {
        let wanted = i128::from(tokens.saturating_sub(max_debt)) * MICROS_PER_TOKEN;
        wanted.min(self.cap_micros()) - self.level_micros
    }

    /// The share of the burst, in millionths of a token.
    fn cap_micros(&self) -> i128 {
        i128::from(self.burst) * i128::from(self.share_ppm)
    }

    fn accrue(&mut self, now: Millis) {
        let elapsed = now.since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let grown = i128::from(self.rate) * i128::from(self.share_ppm) * i128::from(elapsed.0);
        // Loans above the burst stay, but nothing accrues on top of them.
        let most = self.cap_micros().max(self.level_micros);
        self.level_micros = (self.level_micros + grown / 1_000).min(most);
        self.backlog_micros = (self.backlog_micros - grown / 1_000).max(0);
    }

    fn add(&mut self, micros: i128) {
        self.level_micros += micros;
        self.clamp_level();
    }

    fn clamp_level(&mut self) {
        self.level_micros = self.level_micros.min(self.cap_micros());
    }

    fn time_at_share(&self, missing_micros: i128) -> Millis {
        let per_ms = i128::from(self.rate) * i128::from(self.share_ppm) / 1_000;
        match per_ms {
            ..=0 => Millis(u64::MAX),
            per_ms => Millis((missing_micros / per_ms) as u64 + 1),
        }
    }

    fn time_at_full_rate(&self, missing_micros: i128) -> Millis {
        // The whole rate, because the share may grow meanwhile.
        let per_ms = i128::from(self.rate) * i128::from(WHOLE_PPM) / 1_000;
        Millis((missing_micros / per_ms.max(1)) as u64 + 1)
    }
}

/// Millionths of a token rounded up to whole tokens; zero if negative.
fn whole_tokens(micros: i128) -> u64 {
    (micros.max(0) as u128).div_ceil(MICROS_PER_TOKEN as u128) as u64
}

/// One workspace's bucket, shared between threads.
#[derive(Debug)]
pub struct BucketCell {
    /// The workspace.
    pub workspace: CompactString,
    bucket: Mutex<Bucket>,
    /// Tokens that other gateways could lend by their last reports.
    lendable: AtomicU64,
    loan_received: Notify,
}

impl BucketCell {
    /// Wraps a bucket for its workspace.
    pub fn new(workspace: CompactString, bucket: Bucket) -> Self {
        Self {
            workspace,
            bucket: Mutex::new(bucket),
            lendable: AtomicU64::new(0),
            loan_received: Notify::new(),
        }
    }

    /// Tokens that other gateways could lend by their last reports.
    pub fn lendable(&self) -> u64 {
        self.lendable.load(Ordering::Relaxed)
    }

    /// Sets the tokens that other gateways could lend.
    pub fn set_lendable(&self, tokens: u64) {
        self.lendable.store(tokens, Ordering::Relaxed);
    }

    /// Adds a loan and wakes the requests that wait for one.
    pub fn receive_loan(&self, now: Millis, tokens: u64) {
        self.with(|b| b.receive_loan(now, tokens));
        self.loan_received.notify_waiters();
    }

    /// Returns when the next loan arrives.
    pub async fn wait_for_loan(&self) {
        self.loan_received.notified().await;
    }

    /// Runs `work` on the locked bucket.
    pub fn with<T>(&self, work: impl FnOnce(&mut Bucket) -> T) -> T {
        let mut bucket = match self.bucket.lock() {
            Ok(guard) => guard,
            Err(poisoned) => poisoned.into_inner(),
        };
        work(&mut bucket)
    }
}
