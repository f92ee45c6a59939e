//! The record of software versions in the store: one key, which outlives all gateways. By it, a
//! gateway that starts knows of versions whose endpoints have left.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::clock::Millis;

/// A software version that endpoints of a service have or had lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedVersion {
    /// The service.
    pub service: CompactString,
    /// The version.
    pub version: CompactString,
    /// How long ago its last endpoint went; `None` while one is registered.
    pub left: Option<Millis>,
}

/// The value of the key.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// When it was written, by the wall clock of the writer, in Unix milliseconds.
    written_at: Millis,
    /// The versions, with their ages at that time.
    versions: Vec<Value>,
}

/// Encodes versions with their ages as of the wall-clock time `now`.
pub fn encode(now: Millis, versions: &[RecordedVersion]) -> Result<Bytes, serde_json::Error> {
    let versions: Result<Vec<Value>, _> = versions.iter().map(serde_json::to_value).collect();
    let record = Record {
        written_at: now,
        versions: versions?,
    };
    serde_json::to_vec(&record).map(Bytes::from)
}

/// Decodes versions with their ages as of the wall-clock time `now`. Leaves out those that
/// a later build wrote in a form that this one does not know.
pub fn decode(now: Millis, value: &[u8]) -> Result<Vec<RecordedVersion>, serde_json::Error> {
    let record: Record = serde_json::from_slice(value)?;
    let elapsed = now.since(record.written_at);
    let versions = record.versions.into_iter();
    let known = versions.filter_map(|v| serde_json::from_value::<RecordedVersion>(v).ok());
    let aged = known.map(|v| RecordedVersion {
        left: v.left.map(|age| age + elapsed),
        ..v
    });
    Ok(aged.collect())
}
