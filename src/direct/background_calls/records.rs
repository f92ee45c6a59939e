//! Records in the store that outlive all gateways. Each is one key, written only if its
//! revision is the one that the writer knows.

use std::rc::Rc;

use bytes::Bytes;
use compact_str::format_compact;

use super::{BackgroundCalls, log_store_failure};
use crate::clock::unix_now;
use crate::direct::control::Event;
use crate::direct::dialect::{Item, StoreError, Transaction};
use crate::direct::suspects::Block;
use crate::direct::sync::{BLOCKS_KEY, VERSIONS_KEY, decode_blocks, decode_versions};
use crate::direct::version_record::RecordedVersion;
use crate::direct::{block_record, version_record};

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
    pub async fn record_versions(self: Rc<Self>, expected: u64, versions: Vec<RecordedVersion>) {
        let value = version_record::encode(unix_now(), &versions).map_err(malformed);
        let written = self.write_or_read(VERSIONS_KEY, expected, value).await;
        self.send_event(match written {
            Ok(Written::At(revision)) => Event::VersionsRecorded { revision, versions },
            Ok(Written::Not(item)) => decode_versions(item.as_ref()),
            Err(error) => {
                log_store_failure("versions", &error);
                Event::VersionRecordFailed
            }
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

fn malformed(error: serde_json::Error) -> StoreError {
    StoreError::Malformed(format_compact!("{error}"))
}
