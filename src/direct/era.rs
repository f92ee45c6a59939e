//! Positions in the history of the store.
//!
//! The store may come back from an older copy: its revisions go back then, and are given
//! out again in the next era. What the gateways call a revision is therefore the position in
//! the history of all eras: the era and the revision in it, in one number that never goes
//! back. In the first era without a number, 0, it is the revision itself. The client for the
//! store is the only place that takes positions apart.

/// Bits of a position that hold the revision. The rest holds some 16 million eras.
const REVISION_BITS: u32 = 40;
const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

/// The position of a revision in an era.
pub fn position(era: u64, revision: u64) -> u64 {
    (era << REVISION_BITS) | (revision & REVISION_MASK)
}

/// The era of a position.
pub fn era_of(position: u64) -> u64 {
    position >> REVISION_BITS
}

/// The revision of a position, as the store counts it.
pub fn revision_of(position: u64) -> u64 {
    position & REVISION_MASK
}
