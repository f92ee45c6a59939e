//! Client of the platform's instance list.
//!
//! The list is a Kubernetes `discovery.k8s.io/v1` EndpointSliceList. The label
//! `rattanstall/role` of a slice gives the role of all its endpoints; each
//! endpoint has a name, an address, a zone and conditions.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;
use http::Method;
use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::http::{HttpClient, client, exchange};

/// The path of the instance list.
pub const LIST_PATH: &str = "/apis/discovery.k8s.io/v1/endpointslices";
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The program that an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A gateway.
    Gateway,
    /// An agent, which runs next to an endpoint.
    Agent,
}

/// One instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The instance's name.
    pub name: CompactString,
    /// The program it runs.
    pub role: Role,
    /// Its availability zone.
    pub zone: CompactString,
    /// Its IP address.
    pub ip: IpAddr,
    /// The UDP port for connections from gateways.
    pub peer_port: u16,
    /// The TCP port of the admin server, which has the state dump.
    pub admin_port: u16,
    /// Whether the platform is about to stop it.
    #[serde(default)]
    pub leaving: bool,
}

/// The list in the format of the Kubernetes API.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct EndpointSliceList {
    /// The slices; all endpoints of a slice have the same role and ports.
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
    /// The conditions.
    pub conditions: Conditions,
}

/// Conditions of an endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Conditions {
    /// Whether the endpoint is about to be stopped.
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
    /// Builds the list from instances.
    pub fn from_instances(instances: &[Instance]) -> Self {
        let items = instances.iter().map(to_slice).collect();
        Self { items }
    }

    /// Returns the instances of the list, sorted by name. Skips entries without a
    /// known role, a valid address or both ports.
    pub fn into_instances(self) -> Vec<Instance> {
        let mut instances: Vec<Instance> = self.items.iter().flat_map(from_slice).collect();
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        instances.dedup_by(|a, b| a.name == b.name);
        instances
    }
}

/// Client of the instance list. Clones share their connections.
#[derive(Clone, Debug)]
pub struct InstanceList {
    client: HttpClient,
    uri: String,
}

impl InstanceList {
    /// Creates a client of the list at this address.
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
