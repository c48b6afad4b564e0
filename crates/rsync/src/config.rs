//! What `deploy/rsync.toml` says: modules and the volumes they count for, servers and the nodes they stand for.

use lupinrack_policy::*;
use lupinrack_settings::Told;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Why the file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// It is not the TOML expected.
    #[error("rsync: {0}")]
    Form(#[from] toml::de::Error),
    /// A module names something that the settings do not have, or a figure that cannot be.
    #[error("rsync: module '{0}': {1}")]
    Module(String, &'static str),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    enabled: bool,
    listen: SocketAddr,
    #[serde(default = "clients")]
    max_clients: usize,
    #[serde(default)]
    module: Vec<RawModule>,
    #[serde(default)]
    server: Vec<RawServer>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawModule {
    name: String,
    #[serde(default)]
    comment: String,
    remote: Option<String>,
    plan: String,
    volume: String,
    class: String,
    shard: u32,
    #[serde(default = "one")]
    hosts: u32,
    bytes_per_unit: u64,
    deadline_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawServer {
    node: String,
    address: SocketAddr,
}

fn clients() -> usize {
    32
}

fn one() -> u32 {
    1
}

/// A module: what clients see, and what its transfers count as.
#[derive(Clone, Debug)]
pub struct Module {
    /// Its name for clients.
    pub name: String,
    /// A line about it.
    pub comment: String,
    /// Its name on the servers.
    pub remote: String,
    /// A request of it, but for its units and its end.
    pub request: Request,
    /// Bytes that count as one unit.
    pub bytes_per_unit: u64,
    /// The most units of one request.
    pub most_units: f64,
    /// How long the list, or one file, may take.
    pub deadline: Duration,
}

/// The front's configuration.
#[derive(Clone, Debug)]
pub struct RsyncConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Clients served at once.
    pub max_clients: usize,
    /// The modules, in the order given.
    pub modules: Vec<Module>,
    /// The servers' addresses by the names of their nodes.
    pub servers: HashMap<String, SocketAddr>,
}

impl RsyncConfig {
    /// Reads the file; none where it is not there or the front is off.
    pub fn load(path: &Path, told: &Told) -> Result<Option<Self>, ConfigError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text, told),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(ConfigError::Read(path.display().to_string(), e)),
        }
    }

    /// Reads the text of such a file against the settings.
    pub fn parse(text: &str, told: &Told) -> Result<Option<Self>, ConfigError> {
        let raw: Raw = toml::from_str(text)?;
        if !raw.enabled {
            return Ok(None);
        }
        let modules = raw.module.into_iter().map(|m| module(m, told)).collect::<Result<Vec<_>, _>>()?;
        let servers = raw.server.into_iter().map(|s| (s.node, s.address)).collect();
        let max_clients = raw.max_clients.max(1);
        Ok(Some(RsyncConfig { listen: raw.listen, max_clients, modules, servers }))
    }
}

fn module(raw: RawModule, told: &Told) -> Result<Module, ConfigError> {
    let wrong = |what: &'static str| ConfigError::Module(raw.name.clone(), what);
    let class = told.classes.iter().position(|c| *c == raw.class).ok_or_else(|| wrong("unknown class"))?;
    let plan = told.plans.iter().position(|p| *p == raw.plan).ok_or_else(|| wrong("unknown plan"))?;
    let volume = u64::from_str_radix(&raw.volume, 16).map_err(|_| wrong("volume is not hexadecimal"))?;
    // A pull only reads; a class that writes would promise what a second attempt must not break.
    if told.module.classes[class].effect != Effect::Safe {
        return Err(wrong("the class must be safe to repeat"));
    }
    if raw.bytes_per_unit == 0 || raw.deadline_ms == 0 || raw.hosts == 0 {
        return Err(wrong("bytes_per_unit, deadline_ms and hosts must be above zero"));
    }
    if raw.name.is_empty() || raw.name.contains(['/', '\n', '\t', '#']) {
        return Err(wrong("not a module's name"));
    }
    let request = Request {
        class: class as u16,
        plan: plan as u32,
        volume: VolumeId(volume),
        hosts: f64::from(raw.hosts),
        shard: Some(Shard(raw.shard)),
        ..Request::default()
    };
    Ok(Module {
        remote: raw.remote.unwrap_or_else(|| raw.name.clone()),
        name: raw.name,
        comment: raw.comment,
        request,
        bytes_per_unit: raw.bytes_per_unit,
        most_units: if told.module.max_units >= 1.0 { told.module.max_units } else { 8.0 },
        deadline: Duration::from_millis(raw.deadline_ms),
    })
}
