//! Requests while the process stops.

use crate::clock::Millis;
use crate::code::Code;
use crate::direct::refusal::Refusal;

/// Time after the start of a drain from which no request is passed on for the first time. By
/// then the load balancer has taken the process out, and a request that an endpoint gets later
/// might not complete before the process exits.
const REFUSAL_DELAY: Millis = Millis(2_800);
/// `Retry-After` while draining: short, as the retry goes to another gateway.
const RETRY_AFTER: Millis = Millis(50);

/// Refuses a request that no endpoint has got, if the process has drained for so long that it
/// may exit before the request completes.
pub fn check_draining(draining_for: Millis) -> Result<(), Refusal> {
    match draining_for > REFUSAL_DELAY {
        true => Err(Refusal::new(Code::Draining).retry_after(RETRY_AFTER)),
        false => Ok(()),
    }
}
