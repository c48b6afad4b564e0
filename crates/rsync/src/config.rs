//! The section `[rsync]` of the operators' file: modules and the volumes they count for, servers and the nodes they
//! stand for.

use lupinrack_front_settings::FrontSettings;
use lupinrack_policy::*;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Why the section cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// It is not the TOML expected.
    #[error("rsync: {0}")]
    Form(#[from] toml::de::Error),
    /// What it says contradicts itself or the settings: each fault with its path.
    #[error("rsync: {}", list(.0))]
    Faults(Vec<(String, String)>),
}

fn list(faults: &[(String, String)]) -> String {
    faults
        .iter()
        .map(|(path, why)| format!("{path}: {why}"))
        .collect::<Vec<_>>()
        .join("; ")
}

/// The section as it is written.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "rsync")]
pub struct Section {
    /// Whether the front listens at all.
    #[serde(default)]
    pub enabled: bool,
    /// Where clients connect: address and port.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub listen: SocketAddr,
    /// Clients served at once; each may hold one further connection to a server.
    #[serde(default = "clients")]
    #[schemars(range(min = 1, max = 10_000))]
    pub max_clients: usize,
    /// The modules, as clients see them.
    #[serde(default)]
    pub module: Vec<ModuleSection>,
    /// The rsync servers of the nodes.
    #[serde(default)]
    pub server: Vec<ServerSection>,
}

/// A module, and the volume that its transfers count for.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModuleSection {
    /// Its name for clients.
    #[schemars(length(min = 1))]
    pub name: String,
    /// A line about it.
    #[serde(default)]
    pub comment: String,
    /// Its name on the servers; the same where it is not given.
    pub remote: Option<String>,
    /// The plan of the volume, as the settings name it.
    pub plan: String,
    /// The volume: up to 16 hexadecimal digits.
    #[schemars(regex(pattern = "^[0-9a-fA-F]{1,16}$"))]
    pub volume: String,
    /// The class of its requests, as the settings name it; it must be safe to repeat.
    pub class: String,
    /// The shard that holds the data.
    pub shard: u32,
    /// Through how many fronts the volume works.
    #[serde(default = "one")]
    #[schemars(range(min = 1))]
    pub hosts: u32,
    /// Bytes that count as one unit.
    #[schemars(range(min = 1))]
    pub bytes_per_unit: u64,
    /// How long the file list, or one file, may take, in milliseconds.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub deadline_ms: u64,
}

/// The rsync server of a node.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerSection {
    /// The node's name in discovery.
    pub node: String,
    /// Where its rsync server listens.
    #[schemars(with = "String", extend("format" = "socket-address"))]
    pub address: SocketAddr,
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
    pub fn load(path: &Path, told: &FrontSettings) -> Result<Option<Self>, ConfigError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text, told),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(ConfigError::Read(path.display().to_string(), e)),
        }
    }

    /// Reads the text of such a file against the settings.
    pub fn parse(text: &str, told: &FrontSettings) -> Result<Option<Self>, ConfigError> {
        Self::new(toml::from_str(text)?, told)
    }

    /// Takes the section over, checked against the settings; none where the front is off.
    pub fn new(section: Section, told: &FrontSettings) -> Result<Option<Self>, ConfigError> {
        if !section.enabled {
            return Ok(None);
        }
        let mut faults = section.faults();
        let mut modules = Vec::with_capacity(section.module.len());
        for (i, raw) in section.module.into_iter().enumerate() {
            match module(raw, told) {
                Ok(module) => modules.push(module),
                Err(whys) => faults.extend(
                    whys.into_iter()
                        .map(|(k, why)| (format!("module[{i}].{k}"), why)),
                ),
            }
        }
        if !faults.is_empty() {
            return Err(ConfigError::Faults(faults));
        }
        let servers = section
            .server
            .into_iter()
            .map(|s| (s.node, s.address))
            .collect();
        Ok(Some(RsyncConfig {
            listen: section.listen,
            max_clients: section.max_clients,
            modules,
            servers,
        }))
    }
}

impl Section {
    /// What is wrong whatever the settings say: each fault with its path below the section.
    pub fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        if self.max_clients == 0 {
            faults.push(("max_clients".into(), "must be above zero".into()));
        }
        for (i, m) in self.module.iter().enumerate() {
            let mut wrong =
                |key: &str, why: &str| faults.push((format!("module[{i}].{key}"), why.to_string()));
            if u64::from_str_radix(&m.volume, 16).is_err() {
                wrong("volume", "volume is not hexadecimal");
            }
            for (key, zero) in [
                ("bytes_per_unit", m.bytes_per_unit == 0),
                ("deadline_ms", m.deadline_ms == 0),
                ("hosts", m.hosts == 0),
            ] {
                if zero {
                    wrong(key, "must be above zero");
                }
            }
            if m.name.is_empty() || m.name.contains(['/', '\n', '\t', '#']) {
                wrong("name", "not a module's name");
            }
            if self.module[..i].iter().any(|other| other.name == m.name) {
                wrong("name", "a module of this name stands above");
            }
        }
        for (i, s) in self.server.iter().enumerate() {
            if self.server[..i].iter().any(|other| other.node == s.node) {
                faults.push((
                    format!("server[{i}].node"),
                    "a server of this node stands above".into(),
                ));
            }
        }
        faults
    }
}

fn module(raw: ModuleSection, told: &FrontSettings) -> Result<Module, Vec<(&'static str, String)>> {
    let mut faults = Vec::new();
    let class = told.classes.iter().position(|c| *c == raw.class);
    if class.is_none() {
        faults.push(("class", "unknown class".into()));
    }
    let plan = told.plans.iter().position(|p| *p == raw.plan);
    if plan.is_none() {
        faults.push(("plan", "unknown plan".into()));
    }
    // A pull only reads; a class that writes would promise what a second attempt must not break.
    if class.is_some_and(|c| told.policy.classes[c].idempotence != Idempotence::Idempotent) {
        faults.push(("class", "the class must be safe to repeat".into()));
    }
    let (Some(class), Some(plan), true) = (class, plan, faults.is_empty()) else {
        return Err(faults);
    };
    let request = Request {
        class: class as u16,
        plan: plan as u32,
        volume: VolumeId(u64::from_str_radix(&raw.volume, 16).unwrap_or(0)),
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
        most_units: if told.policy.max_units >= 1.0 {
            told.policy.max_units
        } else {
            8.0
        },
        deadline: Duration::from_millis(raw.deadline_ms),
    })
}
