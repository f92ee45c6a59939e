//! Hashes that identify one run of an endpoint.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The longest identifier that xxh3 combines with its seed by a plain sum or exclusive or, so
/// that those of neighbours may cancel out the difference between their start times.
const MAX_SHORT: usize = 8;

/// Identifies the run of an endpoint that began at `started_at`.
pub fn run_hash(endpoint: &str, started_at: u64) -> u64 {
    let id = endpoint.as_bytes();
    if id.len() > MAX_SHORT {
        return xxh3_64_with_seed(id, started_at);
    }
    let mut buf = [0; MAX_SHORT + size_of::<u64>()];
    let (text, start) = buf[..id.len() + size_of::<u64>()].split_at_mut(id.len());
    text.copy_from_slice(id);
    start.copy_from_slice(&started_at.to_le_bytes());
    xxh3_64(&buf[..id.len() + size_of::<u64>()])
}
