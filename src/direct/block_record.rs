//! The record of blocked parts in the store: one key, which outlives all gateways.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::suspects::Block;
use crate::clock::Millis;

/// The value of the key.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// When it was written, by the wall clock of the writer, in Unix milliseconds.
    written_at: Millis,
    /// The blocks, with their ages at that time.
    blocks: Vec<Value>,
}

/// Encodes blocks with their ages as of the wall-clock time `now`.
pub fn encode(now: Millis, blocks: &[Block]) -> Result<Bytes, serde_json::Error> {
    let blocks: Result<Vec<Value>, _> = blocks.iter().map(serde_json::to_value).collect();
    let record = Record {
        written_at: now,
        blocks: blocks?,
    };
    serde_json::to_vec(&record).map(Bytes::from)
}

/// Decodes blocks with their ages as of the wall-clock time `now`. Leaves out those that
/// a later build wrote in a form that this one does not know.
pub fn decode(now: Millis, value: &[u8]) -> Result<Vec<Block>, serde_json::Error> {
    let record: Record = serde_json::from_slice(value)?;
    let elapsed = now.since(record.written_at);
    let blocks = record.blocks.into_iter();
    let known = blocks.filter_map(|b| serde_json::from_value::<Block>(b).ok());
    Ok(known
        .map(|b| Block {
            since: b.since + elapsed,
            ..b
        })
        .collect())
}
