//! Loans of tokens between gateways: when to request one, and from which gateways.
//!
//! In a large fleet, a gateway's share of a limit is often smaller than one request,
//! while other gateways have unused tokens. A gateway that is short of tokens
//! borrows them. The lender deducts the tokens before it sends them, so a lost
//! message loses tokens, and no message can create any.

use std::net::SocketAddr;

use crate::bucket::Bucket;
use crate::clock::Millis;

/// The smallest loan that is worth a message: fewer tokens than almost any prompt has.
const MIN_LOAN_TOKENS: u64 = 16;

/// Tokens are borrowed only if the other gateways are known to have at least the
/// missing tokens divided by this.
/// Levels are reported every 250 ms, and the rest may have accrued since.
const KNOWN_LEVEL_DIVISOR: u64 = 2;

/// The result of taking a request's tokens from its gateway's bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// The tokens were taken.
    Taken {
        /// The debt of the bucket after that, in tokens.
        debt: u64,
    },
    /// This many tokens are missing, and other gateways can probably lend them.
    Borrow(u64),
    /// Neither this gateway nor the others have enough tokens.
    Exhausted,
}

/// Takes a request's tokens, or returns how many to borrow if the other gateways can
/// lend them. The debt exceeds `max_debt` only if nobody can lend and the bucket is
/// full.
pub fn take_tokens(
    bucket: &mut Bucket,
    now: Millis,
    tokens: u64,
    max_debt: u64,
    lendable: u64,
) -> TakeOutcome {
    let shortfall = bucket.shortfall(now, tokens, max_debt);
    if shortfall > 0 && lendable >= shortfall / KNOWN_LEVEL_DIVISOR {
        return TakeOutcome::Borrow(shortfall);
    }
    match bucket.take(now, tokens, max_debt) {
        Ok(()) => TakeOutcome::Taken {
            debt: bucket.debt(),
        },
        Err(_) => TakeOutcome::Exhausted,
    }
}

/// Splits the missing tokens over lenders, given their last reported levels.
///
/// A lender that has all of them is preferred. `turn` selects among several such
/// lenders, so that gateways that run short at the same time do not all ask the same
/// one. Tokens that no lender is known to have are requested from all of them in
/// equal parts, since levels grow between reports.
pub fn choose_lenders(
    missing: u64,
    lenders: &[(SocketAddr, u64)],
    turn: usize,
) -> Vec<(SocketAddr, u64)> {
    let sufficient: Vec<&(SocketAddr, u64)> = lenders.iter().filter(|l| l.1 >= missing).collect();
    if let Some((to, _)) = sufficient.get(turn % sufficient.len().max(1)) {
        return vec![(*to, missing)];
    }
    let known: u64 = lenders.iter().map(|(_, level)| level).sum();
    let extra_per_lender = missing.saturating_sub(known) / lenders.len().max(1) as u64;
    let mut by_level: Vec<(SocketAddr, u64)> = lenders.to_vec();
    by_level.sort_unstable_by_key(|(_, level)| std::cmp::Reverse(*level));
    let mut remaining = missing;
    let mut requests = Vec::new();
    for (to, level) in by_level {
        let amount = (level + extra_per_lender).min(remaining);
        if amount < MIN_LOAN_TOKENS {
            break;
        }
        remaining -= amount;
        requests.push((to, amount));
    }
    requests
}
