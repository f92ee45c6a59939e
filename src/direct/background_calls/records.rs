//! Records in the store that outlive all gateways. Each is one key, written only if its
//! revision is the one that the writer knows.

use std::rc::Rc;

use bytes::Bytes;
use compact_str::format_compact;

use super::{BackgroundCalls, log_store_failure};
use crate::clock::unix_now;
use crate::direct::control::Event;
use crate::direct::dialect::{Item, StoreError, Transaction};
use crate::direct::stream_records::bucket_key;
use crate::direct::streams::AgedRecord;
use crate::direct::suspects::Block;
use crate::direct::sync::{BLOCKS_KEY, VERSIONS_KEY, decode_blocks, decode_versions, log_skipped};
use crate::direct::version_record::VersionRecord;
use crate::direct::{block_record, stream_records, version_record};

impl BackgroundCalls {
    /// Writes the record of blocks, if its revision is the expected one, and otherwise
    /// reads it.
    pub async fn record_blocks(self: Rc<Self>, expected: u64, blocks: Vec<Block>) {
        let value = block_record::encode(unix_now(), &blocks).map_err(malformed);
        let written = self.write_or_read(BLOCKS_KEY, expected, value).await;
        self.send_event(match written {
            Ok(Written::At(revision)) => Event::BlocksRecorded { revision, blocks },
            Ok(Written::Not(item)) => decode_blocks(item.as_ref()),
            Err(error) => {
                log_store_failure("blocks", &error);
                Event::RecordFailed
            }
        });
    }

    /// Does the same with the record of software versions.
    pub async fn record_versions(self: Rc<Self>, expected: u64, record: VersionRecord) {
        let value = version_record::encode(unix_now(), self.store.era(), &record);
        let value = value.map_err(malformed);
        let written = self.write_or_read(VERSIONS_KEY, expected, value).await;
        self.send_event(match written {
            Ok(Written::At(revision)) => Event::VersionsRecorded { revision, record },
            Ok(Written::Not(item)) => decode_versions(self.store.era(), item.as_ref()),
            Err(error) => {
                log_store_failure("versions", &error);
                Event::VersionRecordFailed
            }
        });
    }

    /// Reads a bucket of stream records.
    pub async fn read_streams(self: Rc<Self>, bucket: u8) {
        let item = match self.store.read_key(&bucket_key(bucket)).await {
            Ok(item) => Ok(Some(item)),
            Err(StoreError::NotFound) => Ok(None),
            Err(error) => Err(error),
        };
        self.send_event(match item {
            Ok(item) => streams_read(bucket, item.as_ref()),
            Err(error) => stream_storage_failed(bucket, &error),
        });
    }

    /// Writes a bucket of stream records, if its revision is the expected one, and otherwise
    /// reads it.
    pub async fn store_streams(self: Rc<Self>, bucket: u8, expected: u64, all: Vec<AgedRecord>) {
        let value = stream_records::encode(unix_now(), &all);
        let value = value.map_err(|e| StoreError::Malformed(format_compact!("{e}")));
        let bytes = value.as_ref().map_or(0, Bytes::len);
        let key = bucket_key(bucket);
        self.send_event(match self.write_or_read(&key, expected, value).await {
            Ok(Written::At(revision)) => Event::StreamsStored {
                bucket,
                revision,
                bytes,
            },
            Ok(Written::Not(item)) => streams_read(bucket, item.as_ref()),
            Err(error) => stream_storage_failed(bucket, &error),
        });
    }

    async fn write_or_read(
        &self,
        key: &str,
        expected: u64,
        value: Result<Bytes, StoreError>,
    ) -> Result<Written, StoreError> {
        let transaction = Transaction {
            expected: vec![(key.into(), expected)],
            puts: vec![(key.into(), value?, 0)],
        };
        match self.store.commit(&transaction).await {
            Ok(revision) => Ok(Written::At(revision)),
            Err(StoreError::Conflict) => match self.store.read_key(key).await {
                Ok(item) => Ok(Written::Not(Some(item))),
                Err(StoreError::NotFound) => Ok(Written::Not(None)),
                Err(error) => Err(error),
            },
            Err(error) => Err(error),
        }
    }
}

/// What became of a record that was to be written.
enum Written {
    /// It has this revision now.
    At(u64),
    /// It had another revision than expected; this is what it holds.
    Not(Option<Item>),
}

fn streams_read(bucket: u8, item: Option<&Item>) -> Event {
    let value = item.and_then(|item| item.value.as_ref());
    let records = value.map(|value| stream_records::decode(unix_now(), value));
    let records = records.unwrap_or_else(|| Ok(Vec::new()));
    Event::StreamsRead {
        bucket,
        revision: item.map_or(0, |item| item.revision),
        records: records.unwrap_or_else(|error| {
            log_skipped(&bucket_key(bucket), &error.to_string());
            Vec::new()
        }),
    }
}

fn stream_storage_failed(bucket: u8, error: &StoreError) -> Event {
    log_store_failure("streams", error);
    Event::StreamStorageFailed(bucket)
}

fn malformed(error: serde_json::Error) -> StoreError {
    StoreError::Malformed(format_compact!("{error}"))
}
