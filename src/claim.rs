//! Claims on idempotency keys, so that a call that may not be repeated runs at most once.
//!
//! Before such a call is sent, its claim is written by compare-and-swap; after
//! it, the outcome. Many claims go in one transaction (group commit), so the
//! number of writes does not grow with the number of calls. A claim whose
//! write stays uncertain is given up: the call is refused as not run, and the
//! claim is marked so as soon as the service answers again.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};

use crate::config::digest_of;
use crate::platform::{Item, Platform, Txn};
use crate::wire::{Outcome, RequestId};

/// The prefix of all claims.
pub const CLAIM_PREFIX: &str = "claims/";
/// Claims in one transaction; etcd allows 128 operations by default.
const GROUP_SIZE: usize = 60;
/// How long a group collects claims before it is written.
const GROUP_WINDOW: Duration = Duration::from_millis(2);
/// How long a claim may wait for the service.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two attempts while the service fails.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Jobs that may wait for the committer.
const QUEUE_SIZE: usize = 10_000;
/// The largest answer that is recorded with its body, in bytes.
const MAX_RECORDED_BODY: usize = 8 << 10;

/// What is recorded under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request that claimed the key.
    pub request: RequestId,
    /// Digest of the request's method, path and body.
    pub digest: CompactString,
    /// What became of the request.
    pub outcome: Outcome,
    /// Whether the answer's body was too large to be recorded.
    pub body_omitted: bool,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The key is this request's; the call may be sent.
    Mine,
    /// The key was claimed before.
    Existing(Record),
    /// The service does not answer; the call must not be sent.
    Unavailable,
}

struct Job {
    key: CompactString,
    record: Record,
    reply: Option<oneshot::Sender<ClaimReply>>,
}

struct Pending {
    job: Job,
    deadline: Instant,
    /// The revision of a record that says "not run" and may be replaced.
    replaces: Option<u64>,
}

/// Writes claims and outcomes. Clones share one committer.
#[derive(Clone)]
pub struct Claims {
    tx: mpsc::Sender<Job>,
}

impl Claims {
    /// Starts the committer on the current runtime.
    pub fn start(platform: Platform) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_SIZE);
        tokio::spawn(commit_all(platform, rx));
        Self { tx }
    }

    /// Claims a key for a request.
    pub async fn claim(&self, key: CompactString, record: Record) -> ClaimReply {
        let (reply, answer) = oneshot::channel();
        let job = Job {
            key,
            record,
            reply: Some(reply),
        };
        if self.tx.try_send(job).is_err() {
            return ClaimReply::Unavailable;
        }
        answer.await.unwrap_or(ClaimReply::Unavailable)
    }

    /// Records the outcome under a key that this request has claimed.
    pub async fn settle(&self, key: CompactString, mut record: Record) {
        if let Outcome::Done { body, .. } = &mut record.outcome
            && body.len() > MAX_RECORDED_BODY
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
    let digest = digest_of(idempotency_key.as_bytes());
    format_compact!("{CLAIM_PREFIX}{workspace}/{digest}")
}

async fn commit_all(platform: Platform, mut rx: mpsc::Receiver<Job>) {
    let mut claims: Vec<Pending> = Vec::new();
    let mut outcomes: Vec<Job> = Vec::new();
    loop {
        if claims.is_empty() && outcomes.is_empty() {
            let Some(job) = rx.recv().await else {
                return;
            };
            sort_in(job, &mut claims, &mut outcomes);
        }
        collect(&mut rx, &mut claims, &mut outcomes).await;
        let is_claimed = commit_claims(&platform, &mut claims).await;
        let is_settled = commit_outcomes(&platform, &mut outcomes).await;
        if !(is_claimed && is_settled) {
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Takes what arrives within the window, up to the size of a group.
async fn collect(rx: &mut mpsc::Receiver<Job>, claims: &mut Vec<Pending>, outcomes: &mut Vec<Job>) {
    let deadline = Instant::now() + GROUP_WINDOW;
    while claims.len() < GROUP_SIZE && outcomes.len() < GROUP_SIZE {
        let left = deadline.saturating_duration_since(Instant::now());
        match timeout(left, rx.recv()).await {
            Ok(Some(job)) => sort_in(job, claims, outcomes),
            Ok(None) | Err(_) => return,
        }
    }
}

fn sort_in(job: Job, claims: &mut Vec<Pending>, outcomes: &mut Vec<Job>) {
    if job.reply.is_none() {
        outcomes.retain(|other| other.key != job.key);
        outcomes.push(job);
        return;
    }
    claims.push(Pending {
        job,
        deadline: Instant::now() + CLAIM_TIMEOUT,
        replaces: None,
    });
}

/// Writes one group of claims; `false` means that the service failed.
async fn commit_claims(platform: &Platform, claims: &mut Vec<Pending>) -> bool {
    let group = next_group(claims);
    if group.is_empty() {
        return true;
    }
    let mut txn = Txn::new();
    for at in &group {
        txn = add_claim(txn, &claims[*at]);
    }
    match platform.run(&txn).await {
        Ok(outcome) if outcome.succeeded => {
            for at in group.iter().rev() {
                answer(claims.remove(*at).job, ClaimReply::Mine);
            }
            true
        }
        Ok(outcome) => {
            for at in group.iter().rev() {
                resolve(claims, *at, &outcome.items);
            }
            true
        }
        Err(error) => {
            log::warn!("claims not written: {error}");
            give_up_late(platform, claims);
            false
        }
    }
}

/// Indices of claims for one transaction: no key twice.
fn next_group(claims: &[Pending]) -> Vec<usize> {
    let mut group: Vec<usize> = Vec::new();
    for (at, pending) in claims.iter().enumerate().take(GROUP_SIZE) {
        let is_taken = group.iter().any(|g| claims[*g].job.key == pending.job.key);
        if !is_taken {
            group.push(at);
        }
    }
    group
}

fn add_claim(txn: Txn, pending: &Pending) -> Txn {
    let key = &pending.job.key;
    let txn = match pending.replaces {
        Some(revision) => txn.if_modified_at(key, revision),
        None => txn.if_absent(key),
    };
    txn.put(key, &encode(&pending.job.record)).else_read(key)
}

/// Decides one claim of a group that failed, from the records found.
fn resolve(claims: &mut Vec<Pending>, at: usize, found: &[Item]) {
    let pending = &mut claims[at];
    let item = found.iter().find(|item| item.key == pending.job.key);
    let Some(item) = item else {
        pending.replaces = None;
        return;
    };
    let Ok(record) = postcard::from_bytes::<Record>(&item.value) else {
        answer(claims.remove(at).job, ClaimReply::Unavailable);
        return;
    };
    if record.request == pending.job.record.request {
        answer(claims.remove(at).job, ClaimReply::Mine);
    } else if record.outcome == Outcome::NotRun {
        pending.replaces = Some(item.mod_revision);
    } else {
        answer(claims.remove(at).job, ClaimReply::Existing(record));
    }
}

/// Refuses claims that have waited too long, and marks them as not run later.
fn give_up_late(platform: &Platform, claims: &mut Vec<Pending>) {
    let now = Instant::now();
    for at in (0..claims.len()).rev() {
        if claims[at].deadline > now {
            continue;
        }
        let mut job = claims.remove(at).job;
        job.record.outcome = Outcome::NotRun;
        tokio::spawn(mark_not_run(
            platform.clone(),
            job.key.clone(),
            job.record.clone(),
        ));
        answer(job, ClaimReply::Unavailable);
    }
}

/// Marks a claim that was given up, whether or not its write took effect.
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

/// Writes one group of outcomes; `false` means that the service failed.
async fn commit_outcomes(platform: &Platform, outcomes: &mut Vec<Job>) -> bool {
    let count = outcomes.len().min(GROUP_SIZE);
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

fn answer(job: Job, reply: ClaimReply) {
    if let Some(tx) = job.reply {
        let _ = tx.send(reply);
    }
}

fn encode(record: &Record) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_default()
}
