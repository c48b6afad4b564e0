//! The platform's configuration of a front: the file that `LB_CONFIG` names.

use crate::discovery::NodeList;
use lupinrack_front_settings::{self as settings, FrontSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The file is not JSON.
    #[error("configuration: {0}")]
    Syntax(#[from] serde_json::Error),
    /// A value has the wrong type; the error names its path.
    #[error("configuration: {0}")]
    Type(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A limit is 0.
    #[error("configuration: {0}: not a positive number")]
    Limit(&'static str),
    /// An environment variable is not an address.
    #[error("{0}: '{1}' is not an address")]
    Address(&'static str, String),
    /// The settings are invalid.
    #[error("configuration: {0}")]
    Settings(String),
}

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<NodeList>,
    #[serde(default)]
    management: Option<SocketAddr>,
    settings: serde_json::Value,
}

/// The resource limits that the platform sets for this front.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The number of file descriptors.
    pub sockets: usize,
    /// The memory in MiB.
    pub memory_mb: usize,
}

/// The file descriptors that the program itself uses: standard streams, listeners, runtime, signals, discovery.
const PROGRAM_DESCRIPTORS: usize = 24;

impl Limits {
    /// The most descriptors for HTTP clients. `reserved` descriptors are set aside for the rsync front and the management
    /// interface. Clients get two thirds of the rest, since each keeps dozens of idle connections, and their open requests
    /// use at most a third of all. The remainder is for connections to nodes.
    pub fn max_client_connections(&self, reserved: usize) -> usize {
        (self.sockets.saturating_sub(PROGRAM_DESCRIPTORS + reserved) * 2 / 3).max(1)
    }

    /// The most descriptors for connections to nodes: what the program, the reserved descriptors and the clients leave.
    pub fn max_node_connections(&self, reserved: usize) -> usize {
        self.sockets
            .saturating_sub(PROGRAM_DESCRIPTORS + reserved + self.max_client_connections(reserved))
            .max(1)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1024,
            memory_mb: 192,
        }
    }
}

/// The configuration of a front.
pub struct Config {
    /// The front's name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the policy's random numbers.
    pub seed: u64,
    /// The resource limits.
    pub limits: Limits,
    /// The node list as this front last knew it.
    pub known: Option<NodeList>,
    /// The address of the management interface. Without one there is no such interface.
    pub management: Option<SocketAddr>,
    /// The parsed JSON of the file.
    pub file: serde_json::Value,
    /// The settings.
    pub settings: FrontSettings,
}

impl Config {
    /// Reads and parses the file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| ConfigError::Read(path.display().to_string(), e))?;
        Config::parse(&text)
    }

    /// Takes the address of the management interface from `LB_MANAGEMENT`, if it is set. The environment belongs to this
    /// process alone, while the file may be shared with the process that it replaces.
    pub fn with_environment(mut self) -> Result<Config, ConfigError> {
        if let Some(value) = std::env::var_os("LB_MANAGEMENT").filter(|v| !v.is_empty()) {
            let value = value.to_string_lossy();
            let address = value
                .parse()
                .map_err(|_| ConfigError::Address("LB_MANAGEMENT", value.into()))?;
            self.management = Some(address);
        }
        Ok(self)
    }

    /// Parses the text of the file.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: serde_json::Value = serde_json::from_str(text)?;
        let raw: ConfigFile = serde_path_to_error::deserialize(&file)?;
        for (path, limit) in [
            ("limits.sockets", raw.limits.sockets),
            ("limits.memory_mb", raw.limits.memory_mb),
        ] {
            if limit == 0 {
                return Err(ConfigError::Limit(path));
            }
        }
        let settings = settings::parse_json(&raw.settings).map_err(ConfigError::Settings)?;
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(|_| {
            ConfigError::Settings(format!("seed '{}' is not hexadecimal", raw.seed))
        })?;
        Ok(Config {
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            seed,
            limits: raw.limits,
            known: raw.known,
            management: raw.management,
            file,
            settings,
        })
    }
}
