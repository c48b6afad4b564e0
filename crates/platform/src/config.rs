//! What the platform tells a front: the file that `LB_CONFIG` names.

use crate::discovery::List;
use lupinrack_front_settings::{self as settings, Told};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// It is no JSON.
    #[error("configuration: {0}")]
    Form(#[from] serde_json::Error),
    /// Something in it is of another kind; the path says where.
    #[error("configuration: {0}")]
    Kind(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A limit is none.
    #[error("configuration: {0}: not a positive number")]
    Limit(&'static str),
    /// An address in the environment cannot be read.
    #[error("{0}: '{1}' is not an address")]
    Address(&'static str, String),
    /// Its settings cannot be used.
    #[error("configuration: {0}")]
    Settings(String),
}

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<List>,
    #[serde(default)]
    management: Option<SocketAddr>,
    settings: serde_json::Value,
}

/// The limits that the platform holds this front to.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory.
    pub memory_mb: usize,
}

/// Descriptors of the program's own: standard streams, listeners, the runtime's, signals, discovery.
const OWN: usize = 24;

impl Limits {
    /// How many descriptors clients of the platform's front may hold, with `others` promised to the rsync front and the door.
    /// Two thirds of what is left: they keep idle connections by the dozen, and a third of all is what their open
    /// requests hold at most. The rest is for connections to nodes.
    pub fn clients(&self, others: usize) -> usize {
        (self.sockets.saturating_sub(OWN + others) * 2 / 3).max(1)
    }

    /// How many descriptors connections to nodes may hold: what clients, the rsync front, the door and the program leave.
    pub fn nodes(&self, others: usize) -> usize {
        self.sockets
            .saturating_sub(OWN + others + self.clients(others))
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

/// A front's configuration.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// DiscoveryMode's address.
    pub discovery: SocketAddr,
    /// The seed of the module's random numbers.
    pub seed: u64,
    /// The platform's limits.
    pub limits: Limits,
    /// The list of nodes as this front last had it.
    pub known: Option<List>,
    /// Where operators ask; without it there is no door.
    pub management: Option<SocketAddr>,
    /// The file as it was read.
    pub file: serde_json::Value,
    /// The settings.
    pub told: Told,
}

impl Config {
    /// Reads the file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| ConfigError::Read(path.display().to_string(), e))?;
        Config::parse(&text)
    }

    /// Takes the address of the door from `LB_MANAGEMENT`, where it is set: the environment belongs to this process
    /// alone, the file may be shared with the one before it.
    pub fn with_environment(mut self) -> Result<Config, ConfigError> {
        if let Some(said) = std::env::var_os("LB_MANAGEMENT").filter(|v| !v.is_empty()) {
            let said = said.to_string_lossy();
            let address = said
                .parse()
                .map_err(|_| ConfigError::Address("LB_MANAGEMENT", said.into()))?;
            self.management = Some(address);
        }
        Ok(self)
    }

    /// Reads the text of such a file.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: serde_json::Value = serde_json::from_str(text)?;
        let raw: Raw = serde_path_to_error::deserialize(&file)?;
        for (path, limit) in [
            ("limits.sockets", raw.limits.sockets),
            ("limits.memory_mb", raw.limits.memory_mb),
        ] {
            if limit == 0 {
                return Err(ConfigError::Limit(path));
            }
        }
        let told = settings::parse_json(&raw.settings).map_err(ConfigError::Settings)?;
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
            told,
        })
    }
}
