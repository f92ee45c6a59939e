//! Loans of tokens between gateways: when to ask for one, and whom.
//!
//! A gateway's part of a limit is small where there are many gateways, often
//! smaller than one request, while others have tokens that nobody asks for.
//! Whoever is short borrows: the lender gives its tokens up before it sends them,
//! so a lost message loses tokens and no message makes any.

use std::net::SocketAddr;

use crate::bucket::Bucket;
use crate::clock::Millis;

/// The smallest loan that is worth a message, in tokens: less than the prompt of
/// almost any request.
const MIN_LOAN_TOKENS: u64 = 16;

/// Part of what is missing that others must be known to have: one in this many.
/// Levels are told each 250 ms, and the rest may have accrued since.
const KNOWN_LEVEL_DIVISOR: u64 = 2;

/// What becomes of a request at its gateway's bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// Its tokens are taken.
    Taken {
        /// Tokens that the bucket is in debt by.
        debt: u64,
    },
    /// Others can lend so many, which are missing.
    Borrow(u64),
    /// Neither this gateway nor the others have enough.
    Exhausted,
}

/// Takes a request's tokens, or tells how many to borrow, given what the others
/// could lend. A request goes into debt beyond the allowance only where nobody
/// lends and the bucket is full.
pub fn take_tokens(
    bucket: &mut Bucket,
    now: Millis,
    tokens: u64,
    max_debt: u64,
    lendable: u64,
) -> TakeOutcome {
    let short = bucket.shortfall(now, tokens, max_debt);
    if short > 0 && lendable >= short / KNOWN_LEVEL_DIVISOR {
        return TakeOutcome::Borrow(short);
    }
    match bucket.take(now, tokens, max_debt) {
        Ok(()) => TakeOutcome::Taken {
            debt: bucket.debt(),
        },
        Err(_) => TakeOutcome::Exhausted,
    }
}

/// Splits what is missing over lenders, given what each had by its last report.
///
/// One that has it all is preferred, another one at each turn, so that gateways
/// that are short at the same moment do not all ask the same one. What nobody is
/// known to have is asked of all: levels grow between reports.
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
    let unknown_share = missing.saturating_sub(known) / lenders.len().max(1) as u64;
    let mut by_level: Vec<(SocketAddr, u64)> = lenders.to_vec();
    by_level.sort_unstable_by_key(|(_, level)| std::cmp::Reverse(*level));
    let mut remaining = missing;
    let mut requests = Vec::new();
    for (to, level) in by_level {
        let part = (level + unknown_share).min(remaining);
        if part < MIN_LOAN_TOKENS {
            break;
        }
        remaining -= part;
        requests.push((to, part));
    }
    requests
}
