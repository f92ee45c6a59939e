//! Stand-in for the platform: key-value service, instance list and weight store.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use rattanstall::http::{Request, Respond, Response, buffered, json};
use rattanstall::instances::{EndpointSliceList, Instance, LIST_PATH};
use rattanstall::platform::messages::{LeaseGrantRequest, parse_int};
use rattanstall::weights::{CATALOGUE_PATH, Catalogue, Model};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use crate::faults::{FAULTS_PATH, FaultInjector, bad_request};
use crate::store::Store;

/// The largest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Initial state of the stand-in, read from its setup file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSetup {
    /// Number of loads that run at once; further ones wait.
    #[serde(rename = "loads_at_once")]
    pub concurrent_loads: usize,
    /// Duration of a load, in milliseconds.
    pub load_ms: u64,
    /// The weight store's models.
    #[serde(rename = "model")]
    pub models: Vec<Model>,
    /// The instance list.
    #[serde(rename = "instance")]
    pub instances: Vec<Instance>,
}

/// Number of calls since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of keys.
    pub reads: u64,
    /// Transactions and lease calls.
    pub writes: u64,
}

/// A platform that keeps its state in memory.
pub struct PlatformStandIn {
    store: Mutex<Store>,
    instances: Mutex<Vec<Instance>>,
    catalogue: Catalogue,
    load_ms: u64,
    load_permits: Semaphore,
    faults: FaultInjector,
    was_down: AtomicBool,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl PlatformStandIn {
    /// Creates a platform with these models and instances.
    pub fn new(setup: PlatformSetup) -> Self {
        let mut models = setup.models;
        models.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            store: Mutex::default(),
            instances: Mutex::new(setup.instances),
            catalogue: Catalogue {
                models,
                concurrent_loads: setup.concurrent_loads,
            },
            load_ms: setup.load_ms,
            load_permits: Semaphore::new(setup.concurrent_loads.max(1)),
            faults: FaultInjector::default(),
            was_down: AtomicBool::new(false),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        let mut store = self.store.lock().unwrap_or_else(|e| e.into_inner());
        if self.was_down.swap(false, Ordering::AcqRel) {
            store.extend_leases();
        }
        store.expire_leases();
        store
    }

    fn instances(&self) -> MutexGuard<'_, Vec<Instance>> {
        self.instances.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn handle_store_call(&self, path: &str, body: &[u8]) -> Response {
        if let Err(refusal) = self.faults.before_call().await {
            self.was_down.store(true, Ordering::Release);
            return refusal;
        }
        let res = match path {
            "/v3/kv/range" => {
                self.count_and_run(&self.reads, body, |store, req| Ok(store.range(&req)))
            }
            "/v3/kv/txn" => self.count_and_run(&self.writes, body, |store, req| store.txn(&req)),
            "/v3/lease/grant" => {
                self.count_and_run(&self.writes, body, |store, req: LeaseGrantRequest| {
                    Ok(store.grant_lease(parse_int(&req.ttl)))
                })
            }
            "/v3/lease/keepalive" => self.count_and_run(&self.writes, body, |store, req| {
                Ok(serde_json::json!({ "result": store.renew_lease(&req) }))
            }),
            "/v3/lease/revoke" => self.count_and_run(&self.writes, body, |store, req| {
                store.revoke_lease(&req);
                Ok(serde_json::json!({}))
            }),
            _ => json(StatusCode::NOT_FOUND, &"no such call"),
        };
        self.faults.after_call(res).await
    }

    fn count_and_run<T: DeserializeOwned, R: Serialize>(
        &self,
        counter: &AtomicU64,
        body: &[u8],
        operation: impl FnOnce(&mut Store, T) -> Result<R, String>,
    ) -> Response {
        counter.fetch_add(1, Ordering::Relaxed);
        let request = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return bad_request(&error.to_string()),
        };
        match operation(&mut self.store(), request) {
            Ok(response) => json(StatusCode::OK, &response),
            Err(message) => bad_request(&message),
        }
    }

    /// Responds after the duration of a load; loads over the limit wait for others first.
    async fn serve_weights(&self, model: &str) -> Response {
        if !self.catalogue.has(model) {
            return json(StatusCode::NOT_FOUND, &"no such model");
        }
        let Ok(_permit) = self.load_permits.acquire().await else {
            return crate::faults::unavailable();
        };
        tokio::time::sleep(Duration::from_millis(self.load_ms)).await;
        buffered(StatusCode::OK, "application/octet-stream", Bytes::new())
    }

    fn set_instances(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(instances) => {
                *self.instances() = instances;
                json(StatusCode::OK, &"ok")
            }
            Err(error) => bad_request(&error.to_string()),
        }
    }

    fn counts(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
        }
    }
}

impl Respond for PlatformStandIn {
    async fn respond(self: Arc<Self>, mut req: Request) -> Response {
        let path = req.uri.path().to_owned();
        if path == FAULTS_PATH {
            return self.faults.respond(req).await;
        }
        let Ok(body) = req.read_body(MAX_BODY_BYTES, Duration::from_secs(5)).await else {
            return bad_request("the body did not arrive");
        };
        match (&req.method, path.as_str()) {
            (&Method::GET, LIST_PATH) => {
                let list = EndpointSliceList::from_instances(&self.instances());
                json(StatusCode::OK, &list)
            }
            (&Method::GET, CATALOGUE_PATH) => json(StatusCode::OK, &self.catalogue),
            (&Method::GET, "/control/counts") => json(StatusCode::OK, &self.counts()),
            (&Method::PUT, "/control/instances") => self.set_instances(&body),
            (&Method::GET, path) => match path.strip_prefix("/weights/") {
                Some(model) => self.serve_weights(model).await,
                None => json(StatusCode::NOT_FOUND, &"no such path"),
            },
            (_, path) => self.handle_store_call(path, &body).await,
        }
    }
}
