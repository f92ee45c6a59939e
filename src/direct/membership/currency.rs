//! Whether what this gateway knows is current: it may stand still, or be cut off, without
//! noticing at once.

use crate::clock::Millis;

/// How long it counts as current that most other gateways were heard: several ticks.
pub const HEARD_VALIDITY: Millis = Millis(300);
/// The renewal of a lease shows for this part of its duration that the store is reached.
const RENEWAL_DIVISOR: u64 = 2;

/// What shows that this gateway is in contact with the store or the others.
#[derive(Clone, Copy, Debug)]
pub struct Currency {
    /// Until when the lease is valid by its last renewal.
    pub lease_until: Millis,
    /// The duration of a lease.
    pub lease: Millis,
    /// Whether a call of the store has failed since the last one that succeeded.
    pub is_store_lost: bool,
    /// The latest time since which each gateway of a majority was heard, if there are others.
    pub majority_heard_at: Option<Millis>,
}

impl Currency {
    /// Until when what this gateway knows counts as current.
    pub fn until(&self) -> Millis {
        let unused = Millis(self.lease.0 - self.lease.0 / RENEWAL_DIVISOR);
        let by_store = match self.is_store_lost {
            true => Millis::ZERO,
            false => self.lease_until - unused,
        };
        let by_others = self.majority_heard_at.map(|at| at + HEARD_VALIDITY);
        by_store.max(by_others.unwrap_or_default())
    }
}
