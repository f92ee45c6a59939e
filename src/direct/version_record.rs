//! The record of software versions in the store: one key, which outlives all gateways. By it, a
//! gateway that starts knows of versions whose endpoints have left.
//!
//! A store that comes back from a copy lacks what came since, so that the record may lack a
//! version that began streams. It says in which era of the store it was written.

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::streams::RECORD_LIFETIME;
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
    /// The longest time that streams last which may have begun at it, with their callers' tries;
    /// `None` in the record of a build that doesn't know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lifetime: Option<Millis>,
}

/// What the store says of the versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRecord {
    /// The versions with their ages.
    pub versions: Vec<RecordedVersion>,
    /// How long streams may be left of a version that it lacks.
    pub complete_in: Millis,
    /// Whether the store came back from a copy since it was written.
    pub is_outdated: bool,
}

impl VersionRecord {
    /// The record of a store in this era that has none.
    pub fn missing(era: u64) -> Self {
        Self {
            complete_in: match era <= FIRST_ERA {
                true => Millis::ZERO,
                false => RECORD_LIFETIME,
            },
            ..Self::default()
        }
    }
}

/// The era of a store that never came back from a copy.
const FIRST_ERA: u64 = 1;

/// The value of the key.
#[derive(Debug, Serialize, Deserialize)]
struct Value {
    /// When it was written, by the wall clock of the writer, in Unix milliseconds.
    written_at: Millis,
    /// The era of the store in which it was written.
    #[serde(default)]
    era: u64,
    /// How long from then on streams may be left of a version that it lacks.
    #[serde(default)]
    complete_in: Millis,
    /// The versions, with their ages at that time.
    versions: Vec<serde_json::Value>,
}

/// Encodes versions with their ages as of the wall-clock time `now`, in this era of the store.
pub fn encode(now: Millis, era: u64, record: &VersionRecord) -> Result<Bytes, serde_json::Error> {
    let versions = record.versions.iter().map(serde_json::to_value);
    let value = Value {
        written_at: now,
        era,
        complete_in: record.complete_in,
        versions: versions.collect::<Result<_, _>>()?,
    };
    serde_json::to_vec(&value).map(Bytes::from)
}

/// Decodes versions with their ages as of the wall-clock time `now`, in this era of the store.
/// Leaves out those that a later build wrote in a form that this one does not know.
pub fn decode(now: Millis, era: u64, value: &[u8]) -> Result<VersionRecord, serde_json::Error> {
    let value: Value = serde_json::from_slice(value)?;
    let elapsed = now.since(value.written_at);
    let versions = value.versions.into_iter();
    let known = versions.filter_map(|v| serde_json::from_value::<RecordedVersion>(v).ok());
    let aged = known.map(|v| RecordedVersion {
        left: v.left.map(|age| age + elapsed),
        ..v
    });
    let is_outdated = value.era < era;
    Ok(VersionRecord {
        versions: aged.collect(),
        complete_in: match is_outdated {
            true => RECORD_LIFETIME,
            false => value.complete_in - elapsed,
        },
        is_outdated,
    })
}
