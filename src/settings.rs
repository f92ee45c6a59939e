//! Settings of each process, read from a TOML file and validated.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use compact_str::CompactString;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// Paths of a process's TLS certificates and key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// The certificate authority's certificate, PEM.
    pub ca: PathBuf,
    /// The process's certificate, PEM.
    pub cert: PathBuf,
    /// The process's private key, PEM.
    pub key: PathBuf,
}

/// How a process writes its log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: CompactString,
    /// Whether each line is a JSON object.
    pub json: bool,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".into(),
            json: false,
        }
    }
}

/// Settings of a gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The instance's name.
    pub name: CompactString,
    /// The instance's availability zone.
    pub zone: CompactString,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for agents and other gateways (UDP).
    pub peer: SocketAddr,
    /// The address that serves the state dump and metrics.
    pub admin: SocketAddr,
    /// The platform's key-value service.
    pub platform: SocketAddr,
    /// The platform's instance list.
    pub instances: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// Threads that serve callers, 1 to 64.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Minimum time that a shutdown waits before the gateway stops accepting
    /// connections, in milliseconds, 0 to 60,000.
    #[serde(default = "default_announce_ms")]
    pub announce_ms: u64,
    /// TLS material for peers.
    pub tls: TlsSettings,
    /// The log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// The endpoint that an agent runs beside.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase", tag = "kind")]
pub enum EndpointSettings {
    /// A model engine.
    Engine {
        /// The engine's address.
        address: SocketAddr,
    },
    /// A service without models.
    Service {
        /// The service's address.
        address: SocketAddr,
        /// The service's name, as routes give it.
        service: CompactString,
    },
}

impl EndpointSettings {
    /// The endpoint's address.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine { address } | Self::Service { address, .. } => *address,
        }
    }
}

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The instance's name.
    pub name: CompactString,
    /// The instance's availability zone.
    pub zone: CompactString,
    /// The address for gateways (UDP).
    pub peer: SocketAddr,
    /// The address that serves the state dump and metrics.
    pub admin: SocketAddr,
    /// The platform's key-value service.
    pub platform: SocketAddr,
    /// The endpoint beside the agent.
    pub endpoint: EndpointSettings,
    /// Maximum number of requests that the endpoint runs at once, 1 to 4,096.
    #[serde(default = "default_running")]
    pub max_running: usize,
    /// Maximum number of queued requests, 0 to 65,536.
    #[serde(default = "default_waiting")]
    pub max_waiting: usize,
    /// Longest time after sending in which an order may still take effect at the
    /// endpoint, in milliseconds, 100 to 600,000.
    #[serde(default = "default_last_order_ms")]
    pub last_order_ms: u64,
    /// TLS material for peers.
    pub tls: TlsSettings,
    /// The log settings.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_last_order_ms() -> u64 {
    10_000
}

fn default_threads() -> usize {
    2
}

fn default_announce_ms() -> u64 {
    500
}

fn default_running() -> usize {
    32
}

fn default_waiting() -> usize {
    256
}

/// Settings that are validated after parsing.
pub trait Validate: DeserializeOwned {
    /// Checks the values; the error names the key and what is allowed.
    fn validate(&self) -> std::result::Result<(), String>;
}

impl Validate for GatewaySettings {
    fn validate(&self) -> std::result::Result<(), String> {
        check_name("name", &self.name)?;
        check_name("zone", &self.zone)?;
        check_range("threads", self.threads, 1, 64)?;
        check_range("announce_ms", self.announce_ms as usize, 0, 60_000)?;
        check_level(&self.log)
    }
}

impl Validate for AgentSettings {
    fn validate(&self) -> std::result::Result<(), String> {
        check_name("name", &self.name)?;
        check_name("zone", &self.zone)?;
        check_range("max_running", self.max_running, 1, 4_096)?;
        check_range("max_waiting", self.max_waiting, 0, 65_536)?;
        check_range("last_order_ms", self.last_order_ms as usize, 100, 600_000)?;
        check_level(&self.log)
    }
}

/// Reads settings; errors name the file, the line or key, and what is allowed.
pub fn read<T: Validate>(file: &Path) -> Result<T> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| Error::io(format!("reading {}", file.display()), source))?;
    let wrap = |message| Error::Settings {
        file: file.to_owned(),
        message,
    };
    let settings: T = toml::from_str(&text).map_err(|e| wrap(e.to_string()))?;
    settings.validate().map_err(wrap)?;
    Ok(settings)
}

fn check_name(key: &str, name: &str) -> std::result::Result<(), String> {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if (1..=63).contains(&name.len()) && name.bytes().all(is_plain) {
        return Ok(());
    }
    Err(format!(
        "{key}: \"{name}\" is not allowed; allowed: 1 to 63 letters, digits, - and _"
    ))
}

fn check_range(key: &str, value: usize, min: usize, max: usize) -> std::result::Result<(), String> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(format!(
        "{key}: {value} is out of range; allowed: {min} to {max}"
    ))
}

fn check_level(log: &LogSettings) -> std::result::Result<(), String> {
    let levels = ["error", "warn", "info", "debug", "trace"];
    if levels.contains(&log.level.as_str()) {
        return Ok(());
    }
    let allowed = levels.join(", ");
    Err(format!(
        "log.level: \"{}\" is not a level; allowed: {allowed}",
        log.level
    ))
}
