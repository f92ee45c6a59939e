//! Client of the platform's instance list.
//!
//! The list is read as a Kubernetes `discovery.k8s.io/v1` EndpointSliceList:
//! each slice has one role in the label `rattanstall/role`, each endpoint a
//! name, an address, a zone and its conditions.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;
use http::Method;
use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::http::{HttpClient, client, exchange};

/// The path of the list.
pub const LIST_PATH: &str = "/apis/discovery.k8s.io/v1/endpointslices";
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A gateway.
    Gateway,
    /// An agent beside an endpoint.
    Agent,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The instance's name.
    pub name: CompactString,
    /// What it runs.
    pub role: Role,
    /// Its availability zone.
    pub zone: CompactString,
    /// Its IP address.
    pub ip: IpAddr,
    /// The port for peers (UDP).
    pub peer_port: u16,
    /// The port of the state dump (TCP).
    pub admin_port: u16,
    /// Whether the platform is about to take it away.
    #[serde(default)]
    pub leaving: bool,
}

/// The published list format.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct EndpointSliceList {
    /// One slice for each role and port pair.
    pub items: Vec<EndpointSlice>,
}

/// Endpoints that share a role and ports.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct EndpointSlice {
    /// Name and labels.
    pub metadata: Metadata,
    /// The endpoints.
    pub endpoints: Vec<SliceEndpoint>,
    /// The ports, by name.
    pub ports: Vec<SlicePort>,
}

/// Labels of a slice.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Metadata {
    /// The labels.
    pub labels: Labels,
}

/// The labels that the system reads.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Labels {
    /// The role.
    #[serde(rename = "rattanstall/role")]
    pub role: String,
}

/// One endpoint of a slice.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct SliceEndpoint {
    /// IP addresses; the first one is used.
    pub addresses: Vec<String>,
    /// The instance's name.
    pub hostname: CompactString,
    /// The availability zone.
    pub zone: CompactString,
    /// Whether it is being taken away.
    pub conditions: Conditions,
}

/// Conditions of an endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Conditions {
    /// Whether it is being taken away.
    pub terminating: bool,
}

/// One port of a slice.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct SlicePort {
    /// `peer` or `admin`.
    pub name: String,
    /// The port's number.
    pub port: u16,
}

impl EndpointSliceList {
    /// The list that stands for these instances.
    pub fn from_instances(instances: &[Instance]) -> Self {
        let items = instances.iter().map(to_slice).collect();
        Self { items }
    }

    /// The instances of the list, sorted by name; entries without a role,
    /// address or port are left out.
    pub fn into_instances(self) -> Vec<Instance> {
        let mut instances: Vec<Instance> = self.items.iter().flat_map(from_slice).collect();
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        instances.dedup_by(|a, b| a.name == b.name);
        instances
    }
}

/// Reads the list. Clones share their connections.
#[derive(Clone, Debug)]
pub struct InstanceList {
    client: HttpClient,
    uri: String,
}

impl InstanceList {
    /// A client of the list at this address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            client: client(),
            uri: format!("http://{addr}{LIST_PATH}"),
        }
    }

    /// Reads all instances, sorted by name.
    pub async fn read(&self) -> Result<Vec<Instance>> {
        let no_body = None::<&()>;
        let read = exchange(&self.client, Method::GET, &self.uri, no_body, CALL_TIMEOUT);
        let list: EndpointSliceList = read.await?;
        Ok(list.into_instances())
    }
}

fn to_slice(instance: &Instance) -> EndpointSlice {
    let role = match instance.role {
        Role::Gateway => "gateway",
        Role::Agent => "agent",
    };
    let port = |name: &str, port| SlicePort {
        name: name.to_owned(),
        port,
    };
    EndpointSlice {
        metadata: Metadata {
            labels: Labels {
                role: role.to_owned(),
            },
        },
        endpoints: vec![SliceEndpoint {
            addresses: vec![instance.ip.to_string()],
            hostname: instance.name.clone(),
            zone: instance.zone.clone(),
            conditions: Conditions {
                terminating: instance.leaving,
            },
        }],
        ports: vec![
            port("peer", instance.peer_port),
            port("admin", instance.admin_port),
        ],
    }
}

fn from_slice(slice: &EndpointSlice) -> Vec<Instance> {
    let role = match slice.metadata.labels.role.as_str() {
        "gateway" => Role::Gateway,
        "agent" => Role::Agent,
        _ => return Vec::new(),
    };
    let port = |name: &str| slice.ports.iter().find(|p| p.name == name).map(|p| p.port);
    let (Some(peer_port), Some(admin_port)) = (port("peer"), port("admin")) else {
        return Vec::new();
    };
    let instance = |endpoint: &SliceEndpoint| {
        let ip = endpoint.addresses.first()?.parse().ok()?;
        Some(Instance {
            name: endpoint.hostname.clone(),
            role,
            zone: endpoint.zone.clone(),
            ip,
            peer_port,
            admin_port,
            leaving: endpoint.conditions.terminating,
        })
    };
    slice.endpoints.iter().filter_map(instance).collect()
}
