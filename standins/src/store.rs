//! The key-value store behind the platform stand-in: etcd semantics in memory.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rattanstall::platform::messages::{
    Compare, DeleteRangeRequest, Header, KeyValue, LeaseRequest, LeaseResponse, PutRequest,
    RangeRequest, RangeResponse, RequestOp, ResponseOp, TxnRequest, TxnResponse, decode, encode,
    parse_int,
};

/// The largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The most operations in one transaction.
const MAX_TXN_OPS: usize = 128;

#[derive(Clone, Debug)]
struct StoredValue {
    value: Vec<u8>,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
    lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: u64,
    ttl_s: u64,
    expires_at: Instant,
}

/// Keys, leases and the current revision.
#[derive(Debug)]
pub struct Store {
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: Vec<Lease>,
    revision: u64,
    next_lease_id: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            leases: Vec::new(),
            revision: 1,
            next_lease_id: 1,
        }
    }
}

impl Store {
    /// Removes expired leases and their keys.
    pub fn expire_leases(&mut self) {
        let now = Instant::now();
        let is_expired = |lease: &Lease| lease.expires_at <= now;
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|l| is_expired(l))
            .map(|l| l.id)
            .collect();
        for id in expired {
            self.remove_lease(id);
        }
    }

    /// Restores every lease to its full time to live, as etcd does after an outage.
    pub fn extend_leases(&mut self) {
        for lease in &mut self.leases {
            lease.expires_at = Instant::now() + Duration::from_secs(lease.ttl_s);
        }
    }

    /// Reads a key or a range.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let (first, end) = (decode(&request.key), decode(&request.range_end));
        let kvs = match end.is_empty() {
            true => self
                .keys
                .get_key_value(&first)
                .into_iter()
                .map(to_kv)
                .collect(),
            false => self.keys.range(first..end).map(to_kv).collect(),
        };
        RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    /// Runs a transaction; the error says why it is not valid.
    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, String> {
        let ops = request.compare.len() + request.success.len().max(request.failure.len());
        if request.compare.len() > MAX_TXN_OPS || request.success.len() > MAX_TXN_OPS {
            return Err(format!("too many operations: {ops}"));
        }
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        let ops = match succeeded {
            true => &request.success,
            false => &request.failure,
        };
        validate_puts(ops)?;
        let is_write = ops
            .iter()
            .any(|op| op.request_put.is_some() || op.request_delete_range.is_some());
        self.revision += u64::from(is_write);
        let responses = ops.iter().map(|op| self.apply_op(op)).collect();
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Grants a lease.
    pub fn grant_lease(&mut self, ttl_s: u64) -> LeaseResponse {
        let id = self.next_lease_id;
        self.next_lease_id += 1;
        let expires_at = Instant::now() + Duration::from_secs(ttl_s);
        self.leases.push(Lease {
            id,
            ttl_s,
            expires_at,
        });
        LeaseResponse {
            id: id.to_string(),
            ttl: ttl_s.to_string(),
        }
    }

    /// Renews a lease; the time to live of an unknown lease is returned as zero.
    pub fn renew_lease(&mut self, request: &LeaseRequest) -> LeaseResponse {
        let id = parse_int(&request.id);
        let lease = self.leases.iter_mut().find(|lease| lease.id == id);
        let ttl_s = lease.map_or(0, |lease| {
            lease.expires_at = Instant::now() + Duration::from_secs(lease.ttl_s);
            lease.ttl_s
        });
        LeaseResponse {
            id: request.id.clone(),
            ttl: ttl_s.to_string(),
        }
    }

    /// Revokes a lease.
    pub fn revoke_lease(&mut self, request: &LeaseRequest) {
        self.remove_lease(parse_int(&request.id));
    }

    fn remove_lease(&mut self, id: u64) {
        self.leases.retain(|lease| lease.id != id);
        let before = self.keys.len();
        self.keys.retain(|_, stored| stored.lease != id);
        self.revision += u64::from(self.keys.len() != before);
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let stored = self.keys.get(&decode(&compare.key));
        match compare.target.as_str() {
            "VERSION" => stored.map_or(0, |s| s.version) == parse_int(&compare.version),
            "MOD" => stored.map_or(0, |s| s.mod_revision) == parse_int(&compare.mod_revision),
            "VALUE" => stored.is_some_and(|s| s.value == decode(&compare.value)),
            _ => false,
        }
    }

    fn apply_op(&mut self, op: &RequestOp) -> ResponseOp {
        let mut response = ResponseOp::default();
        if let Some(put) = &op.request_put {
            self.put(put);
        }
        if let Some(delete) = &op.request_delete_range {
            self.delete(delete);
        }
        response.response_range = op.request_range.as_ref().map(|r| self.range(r));
        response
    }

    fn put(&mut self, put: &PutRequest) {
        let revision = self.revision;
        let stored = self.keys.entry(decode(&put.key)).or_insert(StoredValue {
            value: Vec::new(),
            create_revision: revision,
            mod_revision: revision,
            version: 0,
            lease: 0,
        });
        stored.value = decode(&put.value);
        stored.mod_revision = revision;
        stored.version += 1;
        stored.lease = parse_int(&put.lease);
    }

    fn delete(&mut self, delete: &DeleteRangeRequest) {
        let (first, end) = (decode(&delete.key), decode(&delete.range_end));
        self.keys.retain(|key, _| *key < first || *key >= end);
    }

    fn header(&self) -> Header {
        Header {
            revision: self.revision.to_string(),
        }
    }
}

fn validate_puts(ops: &[RequestOp]) -> Result<(), String> {
    let puts: Vec<&PutRequest> = ops
        .iter()
        .filter_map(|op| op.request_put.as_ref())
        .collect();
    for (index, put) in puts.iter().enumerate() {
        if decode(&put.value).len() > MAX_VALUE_BYTES {
            return Err("a value is too large".to_owned());
        }
        if puts[..index].iter().any(|other| other.key == put.key) {
            return Err("duplicate key given in txn request".to_owned());
        }
    }
    Ok(())
}

fn to_kv((key, stored): (&Vec<u8>, &StoredValue)) -> KeyValue {
    KeyValue {
        key: encode(key),
        value: encode(&stored.value),
        create_revision: stored.create_revision.to_string(),
        mod_revision: stored.mod_revision.to_string(),
        version: stored.version.to_string(),
        lease: stored.lease.to_string(),
    }
}
