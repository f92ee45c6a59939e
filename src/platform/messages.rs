//! The subset of the etcd v3 JSON gateway that the system uses.
//!
//! Keys and values are encoded in base64 and 64-bit integers as strings, as in
//! the published mapping of `etcdserverpb` to JSON.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

macro_rules! messages {
    ($($(#[$doc:meta])* $name:ident { $($(#[$fdoc:meta])* $field:ident: $ty:ty,)* })*) => {
        $($(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(default)]
        pub struct $name {
            $($(#[$fdoc])* pub $field: $ty,)*
        })*
    };
}

/// A 64-bit integer written as a string.
pub type Int = String;

messages! {
    /// The header of every response.
    Header {
        /// The store's revision.
        revision: Int,
    }
    /// A key with its value.
    KeyValue {
        /// The key, base64.
        key: String,
        /// The value, base64.
        value: String,
        /// The store's revision when the key was created.
        create_revision: Int,
        /// The store's revision when the key was last written.
        mod_revision: Int,
        /// The number of writes since the key was created.
        version: Int,
        /// The lease that the key is attached to, zero for none.
        lease: Int,
    }
    /// Reads one key or a range of keys.
    RangeRequest {
        /// The first key, base64.
        key: String,
        /// The key after the last one, base64; empty for one key.
        range_end: String,
    }
    /// The keys found.
    RangeResponse {
        /// The response header.
        header: Header,
        /// The keys in ascending order.
        kvs: Vec<KeyValue>,
    }
    /// Writes a key.
    PutRequest {
        /// The key, base64.
        key: String,
        /// The value, base64.
        value: String,
        /// The lease to attach the key to, zero or empty for none.
        lease: Int,
    }
    /// Deletes one key or a range of keys.
    DeleteRangeRequest {
        /// The first key, base64.
        key: String,
        /// The key after the last one, base64; empty for one key.
        range_end: String,
    }
    /// One condition of a transaction.
    Compare {
        /// The key, base64.
        key: String,
        /// `VERSION`, `MOD` or `VALUE`.
        target: String,
        /// `EQUAL`.
        result: String,
        /// The expected version, with target `VERSION`.
        #[serde(skip_serializing_if = "String::is_empty")]
        version: Int,
        /// The expected revision, with target `MOD`.
        #[serde(skip_serializing_if = "String::is_empty")]
        mod_revision: Int,
        /// The expected value, base64, with target `VALUE`.
        #[serde(skip_serializing_if = "String::is_empty")]
        value: String,
    }
    /// One operation of a transaction; exactly one field is set.
    RequestOp {
        /// A read.
        request_range: Option<RangeRequest>,
        /// A write.
        request_put: Option<PutRequest>,
        /// A deletion.
        request_delete_range: Option<DeleteRangeRequest>,
    }
    /// A transaction.
    TxnRequest {
        /// Conditions that must all hold for `success` to run.
        compare: Vec<Compare>,
        /// Operations to run if all conditions hold.
        success: Vec<RequestOp>,
        /// Operations to run otherwise.
        failure: Vec<RequestOp>,
    }
    /// The result of one operation.
    ResponseOp {
        /// The result of a read.
        response_range: Option<RangeResponse>,
    }
    /// The result of a transaction.
    TxnResponse {
        /// The response header.
        header: Header,
        /// Whether all conditions held.
        succeeded: bool,
        /// One result for each operation that ran.
        responses: Vec<ResponseOp>,
    }
    /// Requests a lease.
    LeaseGrantRequest {
        /// How long it lasts without renewal, in seconds.
        #[serde(rename = "TTL")]
        ttl: Int,
    }
    /// A granted or renewed lease.
    LeaseResponse {
        /// The lease.
        #[serde(rename = "ID")]
        id: Int,
        /// How long it lasts, in seconds; zero if it no longer exists.
        #[serde(rename = "TTL")]
        ttl: Int,
    }
    /// Renews or revokes a lease.
    LeaseRequest {
        /// The lease.
        #[serde(rename = "ID")]
        id: Int,
    }
}

/// Encodes bytes in base64, as the JSON gateway does.
pub fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes base64; invalid text gives an empty result.
pub fn decode(text: &str) -> Vec<u8> {
    STANDARD.decode(text).unwrap_or_default()
}

/// The end of the range of all keys that begin with `prefix`.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Parses an integer written as a string; invalid text gives zero.
pub fn parse_int(text: &str) -> u64 {
    text.parse().unwrap_or_default()
}
