//! The records of streams in the store: the value of one bucket.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use super::streams::{AgedRecord, StreamId, StreamRecord};
use crate::clock::Millis;

/// The prefix of the buckets' keys. It is not among those that all gateways follow.
const PREFIX: &str = "rattanstall-streams/";

/// The key of a bucket.
pub fn bucket_key(bucket: u8) -> CompactString {
    format_compact!("{PREFIX}{bucket}")
}

/// The value of a bucket's key.
#[derive(Debug, Serialize, Deserialize)]
struct Bucket {
    /// When it was written, by the wall clock of the writer, in Unix milliseconds.
    written_at: Millis,
    /// All versions that the records name.
    versions: Vec<CompactString>,
    /// Each stream with the place of its version and its age at that time.
    streams: Vec<(StreamId, u16, Millis)>,
}

/// Encodes records with their ages as of the wall-clock time `now`.
pub fn encode(now: Millis, records: &[AgedRecord]) -> Result<Bytes, postcard::Error> {
    let mut versions: Vec<CompactString> = Vec::new();
    let streams = records.iter().map(|(record, age)| {
        let known = versions.iter().position(|v| *v == record.version);
        let place = known.unwrap_or_else(|| {
            versions.push(record.version.clone());
            versions.len() - 1
        });
        (record.id, place as u16, *age)
    });
    let streams = streams.collect();
    let bucket = Bucket {
        written_at: now,
        versions,
        streams,
    };
    postcard::to_stdvec(&bucket).map(Bytes::from)
}

/// Decodes records with their ages as of the wall-clock time `now`.
pub fn decode(now: Millis, value: &[u8]) -> Result<Vec<AgedRecord>, postcard::Error> {
    let bucket: Bucket = postcard::from_bytes(value)?;
    let elapsed = now.since(bucket.written_at);
    let records = bucket.streams.into_iter().filter_map(|(id, place, age)| {
        let version = bucket.versions.get(usize::from(place))?.clone();
        Some((StreamRecord { id, version }, age + elapsed))
    });
    Ok(records.collect())
}
