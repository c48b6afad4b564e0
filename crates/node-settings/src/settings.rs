//! The settings of a process, read whole and checked.

use crate::bounds::Bounds;
use crate::error::{Faults, SettingsError, SettingsFault};
use crate::file::SettingsLines;
use crate::limits::{FaultTolerance, MachineLimits};
use crate::reader::Reader;
use lupinrack_cluster_api::identity::PeerAddress;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "LUPINRACK_CONFIG";
/// The path where the variable is not set.
pub const DEFAULT_PATH: &str = "/etc/lupinrack/local.conf";

/// Which outside callers a process serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedInterface {
    /// Clients.
    Frontend,
    /// The server on the same machine.
    Agent,
    /// The operator.
    ControlPlane,
}

/// How servers are told what to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandDelivery {
    /// In the answers to their heartbeats.
    Heartbeat,
    /// By calls to them.
    Rpc,
}

/// The settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The name of its machine.
    pub node: String,
    /// The name of its role.
    pub role: String,
    /// The class of its machine.
    pub class: String,
    /// Whom it serves.
    pub serves: Vec<ServedInterface>,
    /// The address of its machine.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// The region of its zone.
    pub region: String,
    /// Every zone's region.
    pub zones: BTreeMap<String, String>,
    /// Where it serves clients.
    pub front: Option<SocketAddrV4>,
    /// Where it says whether it is ready.
    pub readiness: Option<SocketAddrV4>,
    /// Where it serves the operator, or the server on its machine.
    pub control: Option<SocketAddrV4>,
    /// The first port for internal traffic.
    pub internal_port_first: u16,
    /// The last port for internal traffic.
    pub internal_port_last: u16,
    /// Where it listens for others of the system: its machine's address and the first internal port.
    pub internal_address: SocketAddrV4,
    /// Control addresses by which the system is found.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// Whether its machine is one of those that the fault tolerance counts.
    pub counts_for_quorum: bool,
    /// What its machine gives it.
    pub limits: MachineLimits,
    /// Where its disk is; none for no disk.
    pub data_dir: Option<PathBuf>,
    /// Milliseconds between two heartbeats of a server.
    pub heartbeat_ms: u64,
    /// What may be lost at once.
    pub tolerance: FaultTolerance,
    /// Times to keep.
    pub bounds: Bounds,
    /// How servers are told what to do.
    pub commands: CommandDelivery,
    /// Where the server on its machine takes calls.
    pub app: Option<SocketAddrV4>,
    /// The service of the server on its machine.
    pub service: Option<String>,
    /// The parts of the rules that are in force.
    pub contracts: Vec<String>,
}

/// The path of the settings file, by the environment.
pub fn settings_path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE)
        .filter(|path| !path.is_empty())
        .map_or_else(|| DEFAULT_PATH.into(), PathBuf::from)
}

impl NodeSettings {
    /// Reads the file that the environment names.
    pub fn from_environment() -> Result<NodeSettings, SettingsError> {
        NodeSettings::load(&settings_path())
    }

    /// Reads a file.
    pub fn load(path: &Path) -> Result<NodeSettings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.display().to_string(),
            reason: error.to_string(),
        })?;
        NodeSettings::parse(&text)
    }

    /// Reads a file's text and checks it whole.
    pub fn parse(text: &str) -> Result<NodeSettings, SettingsError> {
        let lines = SettingsLines::parse(text)?;
        let mut reader = Reader::new(&lines);
        let settings = NodeSettings::read(&mut reader, lines.zones());
        settings.check(&mut reader);
        let faults = reader.into_faults();
        match faults.is_empty() {
            true => Ok(settings),
            false => Err(SettingsError::Invalid(Faults(faults))),
        }
    }

    /// Whether it serves these callers.
    pub fn serves(&self, callers: ServedInterface) -> bool {
        self.serves.contains(&callers)
    }

    /// Whether it may found the system: on the first start, when its own control address is one of the seeds.
    pub fn is_founder(&self) -> bool {
        self.bootstrap
            && self
                .control
                .is_some_and(|control| self.seeds.contains(&control))
    }

    /// The internal addresses of the seeds. The ports are alike on all machines.
    pub fn seed_internal(&self) -> Vec<PeerAddress> {
        let internal =
            |seed: &SocketAddrV4| SocketAddrV4::new(*seed.ip(), self.internal_port_first);
        self.seeds.iter().map(internal).map(PeerAddress).collect()
    }

    fn read(reader: &mut Reader, zones: BTreeMap<String, String>) -> NodeSettings {
        let ip = reader.address("ip").unwrap_or(Ipv4Addr::UNSPECIFIED);
        let (internal_port_first, internal_port_last) = reader.port_range("port-range");
        NodeSettings {
            node: reader.text("node"),
            role: reader.text("role"),
            class: reader.text("machine-class"),
            serves: read_serves(reader),
            ip,
            zone: reader.text("zone"),
            region: reader.text("region"),
            zones,
            front: reader.optional_address("bind-addresses.front"),
            readiness: reader.optional_address("bind-addresses.readiness"),
            control: reader.optional_address("bind-addresses.control"),
            internal_port_first,
            internal_port_last,
            internal_address: SocketAddrV4::new(ip, internal_port_first),
            seeds: reader.addresses("seeds"),
            bootstrap: reader.boolean("bootstrap", false),
            counts_for_quorum: reader.boolean("counts-for-quorum", false),
            limits: MachineLimits::read(reader),
            data_dir: reader.optional_text("data-dir").map(PathBuf::from),
            heartbeat_ms: reader.whole("heartbeat-ms"),
            tolerance: FaultTolerance::read(reader),
            bounds: Bounds::read(reader),
            commands: read_commands(reader),
            app: reader.optional_address("app"),
            service: reader.optional_text("service"),
            contracts: reader.list("contracts"),
        }
    }

    /// Reports keys that are needed because of others.
    fn check(&self, reader: &mut Reader) {
        let mut needed = |callers, present: bool, key, reason| {
            if self.serves(callers) && !present && !reader.has_fault(key) {
                reader.contradiction(key, reason);
            }
        };
        needed(
            ServedInterface::Frontend,
            self.front.is_some(),
            "bind-addresses.front",
            "needed to serve clients",
        );
        needed(
            ServedInterface::Frontend,
            self.readiness.is_some(),
            "bind-addresses.readiness",
            "needed to serve clients",
        );
        needed(
            ServedInterface::Agent,
            self.control.is_some(),
            "bind-addresses.control",
            "needed to serve a server",
        );
        needed(
            ServedInterface::ControlPlane,
            self.control.is_some(),
            "bind-addresses.control",
            "needed to serve control calls",
        );
        needed(
            ServedInterface::ControlPlane,
            self.data_dir.is_some(),
            "data-dir",
            "needed to keep the control state",
        );
        let called = self.commands == CommandDelivery::Heartbeat || self.app.is_some();
        needed(
            ServedInterface::Agent,
            called,
            "app",
            "needed to call the server",
        );
        if self.seeds.is_empty() && !reader.has_fault("seeds") {
            reader.report(SettingsFault::Lacking {
                key: "seeds".to_string(),
            });
        }
        if self.heartbeat_ms == 0 && !reader.has_fault("heartbeat-ms") {
            reader.contradiction("heartbeat-ms", "an interval of 0");
        }
    }
}

fn read_serves(reader: &mut Reader) -> Vec<ServedInterface> {
    let mut serves = Vec::new();
    for word in reader.list("serves") {
        match word.as_str() {
            "frontend" => serves.push(ServedInterface::Frontend),
            "side" => serves.push(ServedInterface::Agent),
            "control_plane" => serves.push(ServedInterface::ControlPlane),
            _ => reader.report(SettingsFault::UnknownWord {
                key: "serves".to_string(),
                value: word,
            }),
        }
    }
    serves
}

fn read_commands(reader: &mut Reader) -> CommandDelivery {
    let word = reader.optional_text("commands");
    match word.as_deref() {
        None | Some("heartbeat") => CommandDelivery::Heartbeat,
        Some("rpc") => CommandDelivery::Rpc,
        Some(other) => {
            reader.report(SettingsFault::UnknownWord {
                key: "commands".to_string(),
                value: other.to_string(),
            });
            CommandDelivery::Heartbeat
        }
    }
}
