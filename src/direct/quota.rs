//! Charges requests to the limit of their workspace.

use std::sync::Arc;

use tokio::time::{sleep, timeout};

use super::control::Event;
use super::document::Workspace;
use super::job::Job;
use super::loans::{TakeOutcome, take_tokens};
use super::refusal::Refusal;
use super::shared::Shared;
use crate::bucket::BucketCell;
use crate::clock::{Clock, Millis};
use crate::code::Code;

/// Lower bound of the retry delay after a refusal by the limit. Shorter delays cost
/// more in retries than they gain.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// Upper bound of the retry delay: a third of the shortest stream timeout, which is
/// as long as callers wait.
const MAX_RETRY_AFTER: Millis = Millis(4_000);

/// Timeout of one round of loans: a round trip between zones and one iteration of
/// the control loop on each side.
const LOAN_ROUND_TIMEOUT: Millis = Millis(8);
/// Number of loan rounds that a request waits for. One round may not be enough,
/// because other gateways may have borrowed from the lenders since their last report.
const MAX_LOAN_ROUNDS: u32 = 3;
/// Debts may use up the limit's slack divided by this. The rest covers the debts of
/// gateways that ended, and shares that sum to more than the limit while they change.
const DEBT_DIVISOR: u64 = 2;

/// A request may wait for tokens for its target time divided by this. The remaining
/// time is left for the endpoint.
const WAIT_DIVISOR: u64 = 3;

/// The tokens that a request took from a bucket. They are refunded only if the
/// request certainly did not run.
pub struct Charge {
    bucket: Option<Arc<BucketCell>>,
    clock: Clock,
    tokens: u64,
}

impl Charge {
    /// The number of tokens charged.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Refunds all tokens, for a request that did not run.
    pub fn refund(self) {
        if let Some(bucket) = &self.bucket {
            bucket.with(|b| b.refund(self.clock.now(), self.tokens));
        }
    }
}

/// Charges a request, waiting for its tokens if necessary, or refuses it with a
/// retry delay.
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
        true => job.metadata.cost(workspace.default_tokens),
        false => 1,
    };
    let Some(bucket) = shared.bucket(&workspace.name) else {
        return Ok(charge);
    };
    let max_debt = match workspace.counts_tokens {
        true => shared.bounds().limit_slack / DEBT_DIVISOR / shared.gateway_count() as u64,
        // The slack is configured in tokens, so it does not apply to limits that
        // count requests.
        false => 0,
    };
    let wait = match take_or_borrow(shared, &bucket, job, charge.tokens, max_debt).await {
        true => Ok(Millis::ZERO),
        false => {
            let max_wait = Millis(job.target.0 / WAIT_DIVISOR);
            let now = shared.now();
            bucket.with(|b| b.reserve(now, charge.tokens, max_debt, max_wait))
        }
    };
    let wait = wait.map_err(|wait| {
        log_over_limit(job, &bucket, charge.tokens);
        let refusal = Refusal::new(Code::RateExceeded);
        refusal.retry_after(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    })?;
    shared.metrics.count_tokens(&workspace.name, charge.tokens);
    charge.bucket = Some(bucket);
    if wait > Millis::ZERO {
        job.log("request.waits_for_limit", &[("wait_ms", wait.into())]);
        sleep(wait.as_duration()).await;
    }
    Ok(charge)
}

/// Takes a request's tokens and borrows missing ones from other gateways. Returns
/// whether the tokens were taken.
async fn take_or_borrow(
    shared: &Shared,
    bucket: &BucketCell,
    job: &Job,
    tokens: u64,
    max_debt: u64,
) -> bool {
    let started_at = shared.now();
    for round in 0..=MAX_LOAN_ROUNDS {
        // The last round does not wait for further loans.
        let lendable = match round {
            MAX_LOAN_ROUNDS => 0,
            _ => bucket.lendable(),
        };
        match bucket.with(|b| take_tokens(b, shared.now(), tokens, max_debt, lendable)) {
            TakeOutcome::Taken { debt } => {
                if round > 0 {
                    let after = shared.now().since(started_at);
                    job.log("request.borrowed", &[("after_ms", after.into())]);
                }
                // A loan covers the debt.
                request_loan(shared, bucket, debt);
                return true;
            }
            TakeOutcome::Exhausted => return false,
            TakeOutcome::Borrow(missing) => request_loan(shared, bucket, missing),
        }
        let has_enough = async {
            loop {
                bucket.wait_for_loan().await;
                if bucket.with(|b| b.shortfall(shared.now(), tokens, max_debt)) == 0 {
                    return;
                }
            }
        };
        // After a timeout, the next round asks for the tokens that are still missing.
        let _ = timeout(LOAN_ROUND_TIMEOUT.as_duration(), has_enough).await;
    }
    false
}

/// Logs the state of the bucket for a request over its workspace's limit.
fn log_over_limit(job: &Job, bucket: &BucketCell, tokens: u64) {
    let (share, level, debt) = bucket.with(|b| (b.share_ppm(), b.level(), b.debt()));
    job.log(
        "request.over_limit",
        &[
            ("workspace", (&bucket.workspace).into()),
            ("tokens", tokens.into()),
            ("part_ppm", share.into()),
            ("level", level.into()),
            ("debt", debt.into()),
            ("lendable", bucket.lendable().into()),
        ],
    );
}

/// Asks the other gateways for tokens if they can lend any.
fn request_loan(shared: &Shared, bucket: &BucketCell, tokens: u64) {
    if tokens > 0 && bucket.lendable() > 0 {
        let workspace = bucket.workspace.clone();
        shared.send_event(Event::TokensNeeded { workspace, tokens });
    }
}
