//! Client of the platform's key-value service (etcd v3 JSON gateway), which other
//! modules call the platform's service.

pub mod messages;

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::http::{HttpClient, client, exchange};

use messages::{
    Compare, DeleteRangeRequest, KeyValue, LeaseGrantRequest, LeaseRequest, LeaseResponse,
    PutRequest, RangeRequest, RangeResponse, RequestOp, TxnRequest, TxnResponse, decode, encode,
    parse_int, prefix_end,
};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The identifier of a lease granted by the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// A key and its value, as read from the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision when the key was created.
    pub create_revision: u64,
    /// The store's revision when the key was last written.
    pub mod_revision: u64,
}

/// The result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadResult {
    /// The keys in ascending order.
    pub items: Vec<Item>,
    /// The store's revision at which the keys were read.
    pub revision: u64,
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Whether all conditions held, so that the writes took effect.
    pub succeeded: bool,
    /// The store's revision.
    pub revision: u64,
    /// The keys read, in the order of the reads.
    pub items: Vec<Item>,
}

/// Builder of one transaction.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    request: TxnRequest,
}

impl Txn {
    /// An empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires that the key does not exist.
    pub fn if_absent(mut self, key: &str) -> Self {
        self.request.compare.push(Compare {
            key: encode(key.as_bytes()),
            target: "VERSION".to_owned(),
            result: "EQUAL".to_owned(),
            version: "0".to_owned(),
            ..Compare::default()
        });
        self
    }

    /// Requires that the key was last written at this revision.
    pub fn if_modified_at(mut self, key: &str, revision: u64) -> Self {
        self.request.compare.push(Compare {
            key: encode(key.as_bytes()),
            target: "MOD".to_owned(),
            result: "EQUAL".to_owned(),
            mod_revision: revision.to_string(),
            ..Compare::default()
        });
        self
    }

    /// Requires that the key has this value.
    pub fn if_value(mut self, key: &str, value: &[u8]) -> Self {
        self.request.compare.push(Compare {
            key: encode(key.as_bytes()),
            target: "VALUE".to_owned(),
            result: "EQUAL".to_owned(),
            value: encode(value),
            ..Compare::default()
        });
        self
    }

    /// Writes a key if the conditions hold.
    pub fn put(self, key: &str, value: &[u8]) -> Self {
        self.put_leased(key, value, None)
    }

    /// Writes a key if the conditions hold. With a lease, the key is deleted when the
    /// lease ends.
    pub fn put_leased(mut self, key: &str, value: &[u8], lease: Option<LeaseId>) -> Self {
        let put = PutRequest {
            key: encode(key.as_bytes()),
            value: encode(value),
            lease: lease.map_or(0, |lease| lease.0).to_string(),
        };
        self.request.success.push(RequestOp {
            request_put: Some(put),
            ..RequestOp::default()
        });
        self
    }

    /// Deletes the keys from `first` up to, but not including, `end` if the conditions hold.
    pub fn delete_range(mut self, first: &str, end: &str) -> Self {
        let delete = DeleteRangeRequest {
            key: encode(first.as_bytes()),
            range_end: encode(end.as_bytes()),
        };
        self.request.success.push(RequestOp {
            request_delete_range: Some(delete),
            ..RequestOp::default()
        });
        self
    }

    /// Reads a key if the conditions do not hold.
    pub fn else_read(mut self, key: &str) -> Self {
        let range = RangeRequest {
            key: encode(key.as_bytes()),
            range_end: String::new(),
        };
        self.request.failure.push(RequestOp {
            request_range: Some(range),
            ..RequestOp::default()
        });
        self
    }
}

/// A client of the service. Clones share their connections.
#[derive(Clone, Debug)]
pub struct Platform {
    client: HttpClient,
    base: String,
}

impl Platform {
    /// A client of the service at this address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            client: client(),
            base: format!("http://{addr}/v3"),
        }
    }

    /// Reads all keys that begin with `prefix`.
    pub async fn read_prefix(&self, prefix: &str) -> Result<ReadResult> {
        let request = RangeRequest {
            key: encode(prefix.as_bytes()),
            range_end: encode(&prefix_end(prefix.as_bytes())),
        };
        self.range(request).await
    }

    /// Reads one key.
    pub async fn read(&self, key: &str) -> Result<ReadResult> {
        let request = RangeRequest {
            key: encode(key.as_bytes()),
            range_end: String::new(),
        };
        self.range(request).await
    }

    /// Runs a transaction. After an error it is unknown whether it took effect.
    pub async fn run(&self, txn: &Txn) -> Result<TxnOutcome> {
        let response: TxnResponse = self.call("kv/txn", &txn.request).await?;
        let reads = response
            .responses
            .into_iter()
            .filter_map(|op| op.response_range);
        Ok(TxnOutcome {
            succeeded: response.succeeded,
            revision: parse_int(&response.header.revision),
            items: reads.flat_map(|read| read.kvs).map(to_item).collect(),
        })
    }

    /// Requests a lease that lasts `ttl_s` seconds without renewal.
    pub async fn grant_lease(&self, ttl_s: u64) -> Result<LeaseId> {
        let request = LeaseGrantRequest {
            ttl: ttl_s.to_string(),
        };
        let response: LeaseResponse = self.call("lease/grant", &request).await?;
        Ok(LeaseId(parse_int(&response.id)))
    }

    /// Renews a lease; `false` means that it no longer exists.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        let request = LeaseRequest {
            id: lease.0.to_string(),
        };
        let response: serde_json::Value = self.call("lease/keepalive", &request).await?;
        let ttl = response.pointer("/result/TTL").and_then(|ttl| ttl.as_str());
        Ok(ttl.is_some_and(|ttl| parse_int(ttl) > 0))
    }

    /// Revokes a lease, which deletes its keys.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<()> {
        let request = LeaseRequest {
            id: lease.0.to_string(),
        };
        let _: serde_json::Value = self.call("lease/revoke", &request).await?;
        Ok(())
    }

    async fn range(&self, request: RangeRequest) -> Result<ReadResult> {
        let response: RangeResponse = self.call("kv/range", &request).await?;
        Ok(ReadResult {
            revision: parse_int(&response.header.revision),
            items: response.kvs.into_iter().map(to_item).collect(),
        })
    }

    async fn call<T: Serialize, R: DeserializeOwned>(&self, path: &str, request: &T) -> Result<R> {
        let uri = format!("{}/{path}", self.base);
        exchange(
            &self.client,
            Method::POST,
            &uri,
            Some(request),
            CALL_TIMEOUT,
        )
        .await
        .map_err(platform_error)
    }
}

fn to_item(kv: KeyValue) -> Item {
    Item {
        key: String::from_utf8_lossy(&decode(&kv.key)).into_owned(),
        value: decode(&kv.value),
        create_revision: parse_int(&kv.create_revision),
        mod_revision: parse_int(&kv.mod_revision),
    }
}

fn platform_error(error: impl std::fmt::Display) -> Error {
    Error::Platform(error.to_string())
}
