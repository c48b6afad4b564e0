//! The section `[rsync]` of the operators' file: modules with their volumes, and the rsync servers of the nodes.

use lupinrack_front_settings::FrontSettings;
use lupinrack_policy::*;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Why the section is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The text is not TOML, or not a section of this form.
    #[error("rsync: {0}")]
    Toml(#[from] toml::de::Error),
    /// Invalid values, each with its path: they contradict each other or the settings.
    #[error("rsync: {}", format_faults(.0))]
    Faults(Vec<(String, String)>),
}

fn format_faults(faults: &[(String, String)]) -> String {
    faults
        .iter()
        .map(|(path, reason)| format!("{path}: {reason}"))
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
    #[serde(default = "default_max_clients")]
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
    #[serde(default = "default_hosts")]
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

fn default_max_clients() -> usize {
    32
}

fn default_hosts() -> u32 {
    1
}

/// A module: its names, and the template of its requests.
#[derive(Clone, Debug)]
pub struct Module {
    /// Name that clients use.
    pub name: String,
    /// Line in the list of modules.
    pub comment: String,
    /// Name on the servers.
    pub remote: String,
    /// Template of its requests, without units and deadline.
    pub request: Request,
    /// Bytes that count as one unit.
    pub bytes_per_unit: u64,
    /// Most units of one request.
    pub max_units: f64,
    /// Deadline of the file list or of one file.
    pub deadline: Duration,
}

/// Configuration of the rsync front.
#[derive(Clone, Debug)]
pub struct RsyncConfig {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Most clients served at once.
    pub max_clients: usize,
    /// The modules, in the order given.
    pub modules: Vec<Module>,
    /// Addresses of the rsync servers by node name.
    pub servers: HashMap<String, SocketAddr>,
}

impl RsyncConfig {
    /// Reads the file. Returns `None` if it does not exist or the front is disabled.
    pub fn load(path: &Path, settings: &FrontSettings) -> Result<Option<Self>, ConfigError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&text, settings),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(ConfigError::Read(path.display().to_string(), e)),
        }
    }

    /// Parses the text of such a file and checks it against the settings.
    pub fn parse(text: &str, settings: &FrontSettings) -> Result<Option<Self>, ConfigError> {
        Self::new(toml::from_str(text)?, settings)
    }

    /// Checks the section against the settings. Returns `None` if the front is disabled.
    pub fn new(section: Section, settings: &FrontSettings) -> Result<Option<Self>, ConfigError> {
        if !section.enabled {
            return Ok(None);
        }
        let mut faults = section.faults();
        let mut modules = Vec::with_capacity(section.module.len());
        for (index, raw) in section.module.into_iter().enumerate() {
            match build_module(raw, settings) {
                Ok(module) => modules.push(module),
                Err(found) => faults.extend(
                    found
                        .into_iter()
                        .map(|(key, reason)| (format!("module[{index}].{key}"), reason)),
                ),
            }
        }
        if !faults.is_empty() {
            return Err(ConfigError::Faults(faults));
        }
        let servers = section
            .server
            .into_iter()
            .map(|server| (server.node, server.address))
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
    /// Checks that do not depend on the settings. Returns each fault with its path below the section.
    pub fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        if self.max_clients == 0 {
            faults.push(("max_clients".into(), "must be above zero".into()));
        }
        for (index, module) in self.module.iter().enumerate() {
            let mut add_fault = |key: &str, reason: &str| {
                faults.push((format!("module[{index}].{key}"), reason.to_string()))
            };
            if u64::from_str_radix(&module.volume, 16).is_err() {
                add_fault("volume", "volume is not hexadecimal");
            }
            for (key, is_zero) in [
                ("bytes_per_unit", module.bytes_per_unit == 0),
                ("deadline_ms", module.deadline_ms == 0),
                ("hosts", module.hosts == 0),
            ] {
                if is_zero {
                    add_fault(key, "must be above zero");
                }
            }
            if module.name.is_empty() || module.name.contains(['/', '\n', '\t', '#']) {
                add_fault(
                    "name",
                    "a module name is not empty and has no '/', '#', tab or line feed",
                );
            }
            if self.module[..index]
                .iter()
                .any(|other| other.name == module.name)
            {
                add_fault("name", "another module has this name");
            }
        }
        for (index, server) in self.server.iter().enumerate() {
            if self.server[..index]
                .iter()
                .any(|other| other.node == server.node)
            {
                faults.push((
                    format!("server[{index}].node"),
                    "another server is listed for this node".into(),
                ));
            }
        }
        faults
    }
}

fn build_module(
    raw: ModuleSection,
    settings: &FrontSettings,
) -> Result<Module, Vec<(&'static str, String)>> {
    let mut faults = Vec::new();
    let class = settings.classes.iter().position(|name| *name == raw.class);
    if class.is_none() {
        faults.push(("class", "unknown class".into()));
    }
    let plan = settings.plans.iter().position(|name| *name == raw.plan);
    if plan.is_none() {
        faults.push(("plan", "unknown plan".into()));
    }
    // A pull only reads and may be retried, so its class must be idempotent.
    if class
        .is_some_and(|index| settings.policy.classes[index].idempotence != Idempotence::Idempotent)
    {
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
        max_units: if settings.policy.max_units >= 1.0 {
            settings.policy.max_units
        } else {
            8.0
        },
        deadline: Duration::from_millis(raw.deadline_ms),
    })
}
