//! Claims on idempotency keys, so that a non-idempotent call runs at most once.
//!
//! The claim is written by compare-and-swap before the call is sent, and the
//! outcome is recorded after the call. Many claims share one transaction (group
//! commit), so the number of writes does not grow with the number of calls. If
//! it stays unknown whether a claim was written, the call is refused as not run,
//! and the claim is marked as not run once the platform's service answers again.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};

use crate::config::sha256_hex;
use crate::platform::{Item, Platform, Txn};
use crate::wire::{Outcome, RequestId};

/// The key prefix of all claims.
pub const CLAIM_PREFIX: &str = "claims/";
/// Maximum number of claims, or of outcomes, in one transaction. etcd allows 128 operations
/// by default.
const MAX_GROUP_SIZE: usize = 60;
/// How long a group collects claims before it is written.
const GROUP_WINDOW: Duration = Duration::from_millis(2);
/// How long a claim may wait for the platform's service before it is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two attempts while the platform's service fails.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of jobs that wait for the committer.
const QUEUE_CAPACITY: usize = 10_000;
/// The largest response body that is recorded.
const MAX_RECORDED_BODY_BYTES: usize = 8 << 10;

/// What is recorded under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request that claimed the key.
    pub request: RequestId,
    /// Digest of the request's method, path and body. It shows whether the key is reused
    /// for a different request.
    pub digest: CompactString,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// Whether the response body was too large to be recorded.
    pub body_omitted: bool,
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The key now belongs to this request; the call may be sent.
    Granted,
    /// The key was claimed earlier, by the request in the record.
    Existing(Record),
    /// The claim could not be recorded; the call must not be sent.
    Unavailable,
}

struct Job {
    key: CompactString,
    record: Record,
    /// Where the result of a claim is sent; `None` if the job records an outcome.
    reply: Option<oneshot::Sender<ClaimReply>>,
}

struct PendingClaim {
    job: Job,
    deadline: Instant,
    /// The revision of an existing record that is marked as not run and may be replaced.
    replaces: Option<u64>,
}

/// Writes claims and outcomes through one committer task, which all clones share.
#[derive(Clone)]
pub struct Claims {
    tx: mpsc::Sender<Job>,
}

impl Claims {
    /// Starts the committer task on the current runtime.
    pub fn start(platform: Platform) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run_committer(platform, rx));
        Self { tx }
    }

    /// Claims a key for a request.
    pub async fn claim(&self, key: CompactString, record: Record) -> ClaimReply {
        let (reply, rx) = oneshot::channel();
        let job = Job {
            key,
            record,
            reply: Some(reply),
        };
        if self.tx.try_send(job).is_err() {
            return ClaimReply::Unavailable;
        }
        rx.await.unwrap_or(ClaimReply::Unavailable)
    }

    /// Records the outcome under a key that this request has claimed.
    pub async fn record_outcome(&self, key: CompactString, mut record: Record) {
        if let Outcome::Done { body, .. } = &mut record.outcome
            && body.len() > MAX_RECORDED_BODY_BYTES
        {
            body.clear();
            record.body_omitted = true;
        }
        let reply = None;
        let _ = self.tx.send(Job { key, record, reply }).await;
    }
}

/// The key under which a workspace's idempotency key is claimed.
pub fn claim_key(workspace: &str, idempotency_key: &str) -> CompactString {
    let digest = sha256_hex(idempotency_key.as_bytes());
    format_compact!("{CLAIM_PREFIX}{workspace}/{digest}")
}

async fn run_committer(platform: Platform, mut rx: mpsc::Receiver<Job>) {
    let mut claims: Vec<PendingClaim> = Vec::new();
    let mut outcomes: Vec<Job> = Vec::new();
    loop {
        if claims.is_empty() && outcomes.is_empty() {
            let Some(job) = rx.recv().await else {
                return;
            };
            enqueue(job, &mut claims, &mut outcomes);
        }
        collect(&mut rx, &mut claims, &mut outcomes).await;
        let is_claimed = commit_claims(&platform, &mut claims).await;
        let is_recorded = commit_outcomes(&platform, &mut outcomes).await;
        if !(is_claimed && is_recorded) {
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Collects jobs until the window ends or a group is full.
async fn collect(
    rx: &mut mpsc::Receiver<Job>,
    claims: &mut Vec<PendingClaim>,
    outcomes: &mut Vec<Job>,
) {
    let deadline = Instant::now() + GROUP_WINDOW;
    while claims.len() < MAX_GROUP_SIZE && outcomes.len() < MAX_GROUP_SIZE {
        let remaining = deadline.saturating_duration_since(Instant::now());
        match timeout(remaining, rx.recv()).await {
            Ok(Some(job)) => enqueue(job, claims, outcomes),
            Ok(None) | Err(_) => return,
        }
    }
}

fn enqueue(job: Job, claims: &mut Vec<PendingClaim>, outcomes: &mut Vec<Job>) {
    if job.reply.is_none() {
        outcomes.retain(|other| other.key != job.key);
        outcomes.push(job);
        return;
    }
    claims.push(PendingClaim {
        job,
        deadline: Instant::now() + CLAIM_TIMEOUT,
        replaces: None,
    });
}

/// Writes one group of claims. Returns `false` if the platform's service failed.
async fn commit_claims(platform: &Platform, claims: &mut Vec<PendingClaim>) -> bool {
    let group = next_group(claims);
    if group.is_empty() {
        return true;
    }
    let mut txn = Txn::new();
    for index in &group {
        txn = add_claim(txn, &claims[*index]);
    }
    match platform.run(&txn).await {
        Ok(outcome) if outcome.succeeded => {
            for index in group.iter().rev() {
                send_reply(claims.remove(*index).job, ClaimReply::Granted);
            }
            true
        }
        Ok(outcome) => {
            for index in group.iter().rev() {
                resolve_conflict(claims, *index, &outcome.items);
            }
            true
        }
        Err(error) => {
            log::warn!("writing claims to the platform's service failed; retrying: {error}");
            refuse_expired(platform, claims);
            false
        }
    }
}

/// Indices of the claims for one transaction, which has each key at most once.
fn next_group(claims: &[PendingClaim]) -> Vec<usize> {
    let mut group: Vec<usize> = Vec::new();
    for (index, pending) in claims.iter().enumerate().take(MAX_GROUP_SIZE) {
        let has_key = group.iter().any(|g| claims[*g].job.key == pending.job.key);
        if !has_key {
            group.push(index);
        }
    }
    group
}

fn add_claim(txn: Txn, pending: &PendingClaim) -> Txn {
    let key = &pending.job.key;
    let txn = match pending.replaces {
        Some(revision) => txn.if_modified_at(key, revision),
        None => txn.if_absent(key),
    };
    txn.put(key, &encode(&pending.job.record)).else_read(key)
}

/// Resolves one claim of a failed transaction by the record found under its key.
fn resolve_conflict(claims: &mut Vec<PendingClaim>, index: usize, found: &[Item]) {
    let pending = &mut claims[index];
    let item = found.iter().find(|item| item.key == pending.job.key);
    let Some(item) = item else {
        pending.replaces = None;
        return;
    };
    let Ok(record) = postcard::from_bytes::<Record>(&item.value) else {
        send_reply(claims.remove(index).job, ClaimReply::Unavailable);
        return;
    };
    if record.request == pending.job.record.request {
        send_reply(claims.remove(index).job, ClaimReply::Granted);
    } else if record.outcome == Outcome::NotRun {
        pending.replaces = Some(item.mod_revision);
    } else {
        send_reply(claims.remove(index).job, ClaimReply::Existing(record));
    }
}

/// Refuses claims whose deadline has passed. A background task marks each as not run.
fn refuse_expired(platform: &Platform, claims: &mut Vec<PendingClaim>) {
    let now = Instant::now();
    for index in (0..claims.len()).rev() {
        if claims[index].deadline > now {
            continue;
        }
        let mut job = claims.remove(index).job;
        job.record.outcome = Outcome::NotRun;
        tokio::spawn(mark_not_run(
            platform.clone(),
            job.key.clone(),
            job.record.clone(),
        ));
        send_reply(job, ClaimReply::Unavailable);
    }
}

/// Marks an expired claim as not run, whether or not its write took effect.
async fn mark_not_run(platform: Platform, key: CompactString, record: Record) {
    loop {
        sleep(RETRY_INTERVAL).await;
        let Ok(read) = platform.read(&key).await else {
            continue;
        };
        let txn = match read.items.first() {
            None => Txn::new().if_absent(&key),
            Some(item) if is_claim_of(item, record.request) => {
                Txn::new().if_modified_at(&key, item.mod_revision)
            }
            Some(_) => return,
        };
        let outcome = platform.run(&txn.put(&key, &encode(&record))).await;
        if outcome.is_ok_and(|outcome| outcome.succeeded) {
            return;
        }
    }
}

fn is_claim_of(item: &Item, request: RequestId) -> bool {
    let record = postcard::from_bytes::<Record>(&item.value);
    record.is_ok_and(|r| r.request == request && r.outcome == Outcome::Running)
}

/// Writes one group of outcomes. Returns `false` if the platform's service failed.
async fn commit_outcomes(platform: &Platform, outcomes: &mut Vec<Job>) -> bool {
    let count = outcomes.len().min(MAX_GROUP_SIZE);
    if count == 0 {
        return true;
    }
    let mut txn = Txn::new();
    for job in &outcomes[..count] {
        txn = txn.put(&job.key, &encode(&job.record));
    }
    let is_written = platform.run(&txn).await.is_ok_and(|o| o.succeeded);
    if is_written {
        outcomes.drain(..count);
    }
    is_written
}

fn send_reply(job: Job, reply: ClaimReply) {
    if let Some(tx) = job.reply {
        let _ = tx.send(reply);
    }
}

fn encode(record: &Record) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_default()
}
