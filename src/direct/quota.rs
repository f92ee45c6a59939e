//! Charging a request to its workspace's limit.

use std::sync::Arc;

use tokio::time::sleep;

use super::document::Workspace;
use super::job::Job;
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
        true => job.ask.cost(workspace.plain_tokens),
        false => 1,
    };
    let Some(bucket) = shared.bucket(&workspace.name) else {
        return Ok(charge);
    };
    let longest = Millis(job.target.0 / WAIT_DIVISOR);
    let now = shared.now();
    let reserved = bucket.with(|b| b.reserve(now, charge.tokens, longest));
    let wait = reserved.map_err(|wait| {
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
