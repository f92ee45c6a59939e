//! Charging a request to its workspace's limit.

use std::sync::Arc;

use tokio::time::{sleep, timeout};

use super::control::Event;
use super::document::Workspace;
use super::job::Job;
use super::loans::{Outcome, take};
use super::refusal::Refusal;
use super::shared::Shared;
use crate::bucket::BucketCell;
use crate::clock::{Clock, Millis};
use crate::code::Code;

/// The shortest time to come back after a refusal by the limit: a shorter one
/// costs more in repeats than it serves.
const SHORTEST_RETRY: Millis = Millis(100);

/// The longest time to come back: a third of the shortest time that streams
/// have, which is as long as callers wait.
const LONGEST_RETRY: Millis = Millis(4_000);

/// One round of loans: a round trip between zones, and a turn of each side's
/// control thread.
const LOAN_ROUND: Millis = Millis(8);
/// Rounds of loans that a request waits for: lenders' reports are older than
/// what other gateways have borrowed since.
const LOAN_ROUNDS: u32 = 3;
/// Part of the limits' slack that debts may take up: one in this many. The rest
/// is for what gateways that ended were in debt by, and for parts that sum to
/// more than the whole while they change.
const DEBT_DIVISOR: u64 = 2;

/// Part of its target that a request may wait for tokens: one in this many.
/// What is left has to do for the endpoint.
const WAIT_DIVISOR: u64 = 3;

/// What was taken from a bucket. A request that certainly did not run gives it
/// back; one that may have run has used it.
pub struct Charge {
    bucket: Option<Arc<BucketCell>>,
    clock: Clock,
    tokens: u64,
}

impl Charge {
    /// The tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Gives everything back: the request did not run.
    pub fn refund(self) {
        if let Some(bucket) = &self.bucket {
            bucket.with(|b| b.refund(self.clock.now(), self.tokens));
        }
    }
}

/// Charges a request, or tells when there will be room for it.
pub async fn charge(
    shared: &Shared,
    workspace: Option<&Workspace>,
    job: &Job,
) -> Result<Charge, Refusal> {
    let mut charge = Charge {
        bucket: None,
        clock: shared.clock.clone(),
        tokens: 0,
    };
    let Some(workspace) = workspace else {
        return Ok(charge);
    };
    charge.tokens = match workspace.counts_tokens {
        true => job.metadata.cost(workspace.plain_tokens),
        false => 1,
    };
    let Some(bucket) = shared.bucket(&workspace.name) else {
        return Ok(charge);
    };
    let allowance = match workspace.counts_tokens {
        true => shared.settings.bounds.limit_slack / DEBT_DIVISOR / shared.gateways() as u64,
        // The slack is stated in tokens.
        false => 0,
    };
    let wait = match take_or_borrow(shared, &bucket, job, charge.tokens, allowance).await {
        true => Ok(Millis::ZERO),
        false => {
            let longest = Millis(job.target.0 / WAIT_DIVISOR);
            let now = shared.now();
            bucket.with(|b| b.reserve(now, charge.tokens, allowance, longest))
        }
    };
    let wait = wait.map_err(|wait| {
        log_over_limit(job, &bucket, charge.tokens);
        let refusal = Refusal::new(Code::RateExceeded);
        refusal.retry_after(wait.clamp(SHORTEST_RETRY, LONGEST_RETRY))
    })?;
    shared.metrics.count_tokens(&workspace.name, charge.tokens);
    charge.bucket = Some(bucket);
    if wait > Millis::ZERO {
        job.log("request.waits_for_limit", &[("wait_ms", wait.into())]);
        sleep(wait.as_duration()).await;
    }
    Ok(charge)
}

/// Takes a request's tokens, borrowing from other gateways what is missing.
async fn take_or_borrow(
    shared: &Shared,
    bucket: &BucketCell,
    job: &Job,
    tokens: u64,
    allowance: u64,
) -> bool {
    let began = shared.now();
    for round in 0..=LOAN_ROUNDS {
        // Nothing more is waited for in the last round.
        let lendable = match round {
            LOAN_ROUNDS => 0,
            _ => bucket.lendable(),
        };
        match bucket.with(|b| take(b, shared.now(), tokens, allowance, lendable)) {
            Outcome::Taken { debt } => {
                if round > 0 {
                    let after = shared.now().since(began);
                    job.log("request.borrowed", &[("after_ms", after.into())]);
                }
                ask_for(shared, bucket, debt);
                return true;
            }
            Outcome::Exhausted => return false,
            Outcome::Borrow(missing) => ask_for(shared, bucket, missing),
        }
        let enough = async {
            loop {
                bucket.received().await;
                if bucket.with(|b| b.shortfall(shared.now(), tokens, allowance)) == 0 {
                    return;
                }
            }
        };
        // Without it, the next round asks for what is still missing.
        let _ = timeout(LOAN_ROUND.as_duration(), enough).await;
    }
    false
}

/// Logs what decided that a request is over its workspace's limit.
fn log_over_limit(job: &Job, bucket: &BucketCell, tokens: u64) {
    let (part, level, debt) = bucket.with(|b| (b.share_ppm(), b.level(), b.debt()));
    job.log(
        "request.over_limit",
        &[
            ("workspace", (&bucket.workspace).into()),
            ("tokens", tokens.into()),
            ("part_ppm", part.into()),
            ("level", level.into()),
            ("debt", debt.into()),
            ("lendable", bucket.lendable().into()),
        ],
    );
}

/// Asks other gateways for tokens, if they have any.
fn ask_for(shared: &Shared, bucket: &BucketCell, tokens: u64) {
    if tokens > 0 && bucket.lendable() > 0 {
        let workspace = bucket.workspace.clone();
        shared.tell(Event::Short { workspace, tokens });
    }
}
