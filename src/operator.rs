//! Operator actions: applying configuration, creating and withdrawing keys,
//! reading the state of the processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::{HeaderValue, Method};
use serde::Serialize;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::config::{Change, Document, Key, sha256_hex};
use crate::configuration::{Configuration, append, read_current};
use crate::direct::PEER_TOKEN_HEADER;
use crate::error::{Error, Result};
use crate::http::{HttpClient, build_request, client, fetch, fetch_request};
use crate::instances::{Instance, InstanceList, Role};
use crate::platform::Platform;

/// Timeout of one call to a process.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which gateways are polled while waiting for a revision.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum attempts to append a change that does not depend on other changes.
const APPEND_ATTEMPTS: usize = 8;

/// An operator's access to the platform and the fleet.
pub struct Operator {
    platform: Platform,
    instances: Option<InstanceList>,
    client: HttpClient,
}

/// A listed process and its state dump.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessState {
    /// The instance.
    pub name: CompactString,
    /// The role of the instance.
    pub role: Role,
    /// Its availability zone.
    pub zone: CompactString,
    /// The state dump, if the process answered.
    pub state: Option<Value>,
}

/// A newly created key. Its secret is shown once and not stored.
#[derive(Clone, Debug, Serialize)]
pub struct CreatedKey {
    /// The secret that callers send.
    pub secret: String,
    /// The digest that identifies the key when it is withdrawn.
    pub digest: CompactString,
    /// The configuration revision that added the key.
    pub revision: u64,
}

impl Operator {
    /// Connects to the platform's service. Without an instance list, no process
    /// is listed or notified of changes.
    pub fn new(platform: SocketAddr, instances: Option<SocketAddr>) -> Self {
        Self {
            platform: Platform::new(platform),
            instances: instances.map(InstanceList::new),
            client: client(),
        }
    }

    /// Reads the current configuration.
    pub async fn current(&self) -> Result<Configuration> {
        read_current(&self.platform).await
    }

    /// Replaces the configuration. The current keys stay if the document lists none.
    /// Fails with a conflict if `expect` is given and is not the current revision.
    pub async fn apply(&self, mut document: Document, expect: Option<u64>) -> Result<u64> {
        let current = self.current().await?;
        if let Some(expected) = expect
            && expected != current.revision()
        {
            let found = current.revision();
            return Err(Error::Conflict { expected, found });
        }
        if document.keys.is_empty() {
            document.keys = current.document().keys.clone();
        }
        let change = current.document().diff(&document);
        self.append(&current, &change).await
    }

    /// Creates a key for a workspace.
    pub async fn create_key(&self, workspace: &str) -> Result<CreatedKey> {
        let secret = format!("rs-{:032x}{:032x}", random_u128(), random_u128());
        let digest = sha256_hex(secret.as_bytes());
        let change = Change::add_key(Key {
            digest: digest.clone(),
            workspace: workspace.into(),
        });
        let revision = self.append_independent(&change).await?;
        Ok(CreatedKey {
            secret,
            digest,
            revision,
        })
    }

    /// Withdraws a key by its digest.
    pub async fn withdraw_key(&self, digest: &str) -> Result<u64> {
        let current = self.current().await?;
        if crate::config::find(&current.document().keys, digest).is_none() {
            return Err(Error::Config {
                key: "key".to_owned(),
                message: format!("no key has the digest {digest}"),
            });
        }
        self.append_independent(&Change::withdraw_key(digest)).await
    }

    /// Waits until every gateway that the platform lists has a revision in force.
    /// Calls `progress` with the number of gateways that have it and their total.
    pub async fn wait_for_revision(
        &self,
        revision: u64,
        timeout: Duration,
        mut progress: impl FnMut(usize, usize),
    ) -> Result<()> {
        let deadline = Instant::now() + timeout;
        loop {
            let processes = self.states().await?;
            let gateways: Vec<_> = processes
                .iter()
                .filter(|p| p.role == Role::Gateway)
                .collect();
            let has_revision = |p: &&&ProcessState| revision_of(p).is_some_and(|r| r >= revision);
            let done = gateways.iter().filter(has_revision).count();
            progress(done, gateways.len());
            if done == gateways.len() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let message =
                    format!("timed out with revision {revision} in force on only {done} gateways");
                return Err(Error::Platform(message));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads the state of every process that the platform lists.
    pub async fn states(&self) -> Result<Vec<ProcessState>> {
        let mut states = Vec::new();
        for instance in self.list_instances().await? {
            let admin = SocketAddr::new(instance.ip, instance.admin_port);
            states.push(ProcessState {
                state: self.state(admin).await.ok(),
                name: instance.name,
                role: instance.role,
                zone: instance.zone,
            });
        }
        Ok(states)
    }

    /// Reads the state dump of one process.
    pub async fn state(&self, admin: SocketAddr) -> Result<Value> {
        let uri = format!("http://{admin}/state");
        let body = fetch(&self.client, Method::GET, &uri, Bytes::new(), CALL_TIMEOUT).await?;
        serde_json::from_slice(&body).map_err(|e| Error::Http(e.to_string()))
    }

    /// Tells one process to shut down gracefully.
    pub async fn drain(&self, admin: SocketAddr) -> Result<()> {
        self.post(admin, "/drain").await
    }

    /// Reads which parts of prompts one gateway knows as blocked or suspect.
    pub async fn parts(&self, address: SocketAddr) -> Result<Value> {
        let uri = format!("http://{address}/parts");
        let body = fetch(&self.client, Method::GET, &uri, Bytes::new(), CALL_TIMEOUT).await?;
        serde_json::from_slice(&body).map_err(|e| Error::Http(e.to_string()))
    }

    /// Blocks a part of prompts at all gateways, or lifts its block, through one of them.
    pub async fn set_part(
        &self,
        address: SocketAddr,
        part: &str,
        is_blocked: bool,
        token: &str,
    ) -> Result<()> {
        let method = match is_blocked {
            true => Method::PUT,
            false => Method::DELETE,
        };
        let uri = format!("http://{address}/parts/{part}");
        let mut req = build_request(method, &uri, Bytes::new())?;
        let token = HeaderValue::from_str(token).map_err(|e| Error::Http(e.to_string()))?;
        req.headers_mut().insert(PEER_TOKEN_HEADER, token);
        fetch_request(&self.client, req, CALL_TIMEOUT)
            .await
            .map(drop)
    }

    async fn append_independent(&self, change: &Change) -> Result<u64> {
        let mut last_conflict = None;
        for _ in 0..APPEND_ATTEMPTS {
            let current = self.current().await?;
            match self.append(&current, change).await {
                Err(conflict @ Error::Conflict { .. }) => last_conflict = Some(conflict),
                other => return other,
            }
        }
        Err(last_conflict.unwrap_or_else(|| Error::Platform("no append was attempted".to_owned())))
    }

    async fn append(&self, current: &Configuration, change: &Change) -> Result<u64> {
        if change.is_empty() {
            return Ok(current.revision());
        }
        let apply_id = format_compact!("{:032x}", random_u128());
        let revision = append(&self.platform, current, &apply_id, change).await?;
        self.hint(revision).await;
        Ok(revision)
    }

    /// Tells every gateway at once that a revision exists. A gateway that cannot read
    /// the change stops serving routes that require an API key.
    async fn hint(&self, revision: u64) {
        let instances = self.list_instances().await.unwrap_or_default();
        for instance in instances.iter().filter(|i| i.role == Role::Gateway) {
            let admin = SocketAddr::new(instance.ip, instance.admin_port);
            let _ = self.post(admin, &format!("/hint/{revision}")).await;
        }
    }

    async fn post(&self, admin: SocketAddr, path: &str) -> Result<()> {
        let uri = format!("http://{admin}{path}");
        let posted = fetch(&self.client, Method::POST, &uri, Bytes::new(), CALL_TIMEOUT);
        posted.await.map(drop)
    }

    async fn list_instances(&self) -> Result<Vec<Instance>> {
        match &self.instances {
            Some(instances) => instances.read().await,
            None => Ok(Vec::new()),
        }
    }
}

fn revision_of(process: &ProcessState) -> Option<u64> {
    process.state.as_ref()?.get("revision")?.as_u64()
}

fn random_u128() -> u128 {
    rand::random()
}
