//! The settings of a process.

use crate::bounds::Bounds;
use crate::command_delivery::CommandDelivery;
use crate::error::{InvalidSettings, SettingsError};
use crate::fault_tolerance::FaultTolerance;
use crate::key_values::KeyValues;
use crate::machine_limits::MachineLimits;
use crate::path::settings_path;
use crate::port_range::PortRange;
use crate::reader::Reader;
use crate::served_interface::ServedInterface;
use crate::settings_file::SettingsFile;
use lupinrack_cluster_api::identity::PeerAddress;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// The settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The name of the process's machine.
    pub node: String,
    /// The operators' name for the role of the process.
    pub role: String,
    /// The class of the process's machine.
    pub machine_class: String,
    /// The interfaces that the process serves.
    pub serves: Vec<ServedInterface>,
    /// The address of the process's machine.
    pub ip: Ipv4Addr,
    /// The zone of the process.
    pub zone: String,
    /// The region of the process's zone.
    pub region: String,
    /// The region of every zone.
    pub zones: BTreeMap<String, String>,
    /// The bind address for clients.
    pub front: Option<SocketAddrV4>,
    /// The bind address for readiness probes.
    pub readiness: Option<SocketAddrV4>,
    /// The bind address for control calls: those of the operators, or of the server on the process's machine.
    pub control: Option<SocketAddrV4>,
    /// The ports for traffic between processes of the system.
    pub internal_ports: PortRange,
    /// The listen address for other processes of the system: the machine's address and the first internal port.
    pub internal_address: SocketAddrV4,
    /// Control addresses of the processes through which a starting process discovers the system.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether this is the first start of the entire system.
    pub bootstrap: bool,
    /// Whether the process's machine counts for the fault tolerance.
    pub counts_for_quorum: bool,
    /// The resources that the machine provides to the process.
    pub limits: MachineLimits,
    /// The directory for stored data; `None` if the process has no disk.
    pub data_dir: Option<PathBuf>,
    /// The interval between two heartbeats of a server, in milliseconds.
    pub heartbeat_ms: u64,
    /// The failures that the system must tolerate at once.
    pub fault_tolerance: FaultTolerance,
    /// Time bounds.
    pub bounds: Bounds,
    /// How servers receive their commands.
    pub commands: CommandDelivery,
    /// The address of the server on the process's machine.
    pub app: Option<SocketAddrV4>,
    /// The service of the server on the process's machine.
    pub service: Option<String>,
    /// The parts of the operators' rules that are in force.
    pub contracts: Vec<String>,
}

impl NodeSettings {
    /// Loads the file whose path the environment provides (see [`settings_path`]).
    ///
    /// # Errors
    ///
    /// As [`NodeSettings::load`].
    pub fn from_environment() -> Result<NodeSettings, SettingsError> {
        NodeSettings::load(&settings_path())
    }

    /// Loads a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Unreadable`] if the file cannot be read, and otherwise as [`NodeSettings::parse`].
    pub fn load(path: &Path) -> Result<NodeSettings, SettingsError> {
        let file = SettingsFile::load(path)?;
        Ok(file.settings().clone())
    }

    /// Parses and validates the text of a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Syntax`] if the text does not consist of lines `key=value`, and
    /// [`SettingsError::Invalid`] with all settings that are missing, malformed or inconsistent.
    pub fn parse(text: &str) -> Result<NodeSettings, SettingsError> {
        let values = KeyValues::parse(text)?;
        let mut reader = Reader::new(&values);
        let settings = NodeSettings::read(&mut reader, values.zones());
        settings.check(&mut reader);
        let invalid = reader.into_invalid();
        if invalid.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Invalid(InvalidSettings(invalid)))
        }
    }

    /// Whether the process serves this interface.
    pub fn serves(&self, interface: ServedInterface) -> bool {
        self.serves.contains(&interface)
    }

    /// Whether the process may bootstrap the system: only on the first start, and if its own control address is a seed.
    pub fn is_founder(&self) -> bool {
        self.bootstrap
            && self
                .control
                .is_some_and(|control| self.seeds.contains(&control))
    }

    /// The internal addresses of the seeds. The internal ports are the same on all machines.
    pub fn seed_internal(&self) -> Vec<PeerAddress> {
        let port = self.internal_ports.first;
        self.seeds
            .iter()
            .map(|seed| PeerAddress(SocketAddrV4::new(*seed.ip(), port)))
            .collect()
    }

    fn read(reader: &mut Reader, zones: BTreeMap<String, String>) -> NodeSettings {
        let ip = reader.address("ip").unwrap_or(Ipv4Addr::UNSPECIFIED);
        let internal_ports = reader.port_range("port-range");
        NodeSettings {
            node: reader.text("node"),
            role: reader.text("role"),
            machine_class: reader.text("machine-class"),
            serves: reader.keywords("serves", ServedInterface::from_setting),
            ip,
            zone: reader.text("zone"),
            region: reader.text("region"),
            zones,
            front: reader.optional_address("bind-addresses.front"),
            readiness: reader.optional_address("bind-addresses.readiness"),
            control: reader.optional_address("bind-addresses.control"),
            internal_ports,
            internal_address: SocketAddrV4::new(ip, internal_ports.first),
            seeds: reader.addresses("seeds"),
            bootstrap: reader.boolean_or("bootstrap", false),
            counts_for_quorum: reader.boolean_or("counts-for-quorum", false),
            limits: MachineLimits::read(reader),
            data_dir: reader.optional_text("data-dir").map(PathBuf::from),
            heartbeat_ms: reader.integer("heartbeat-ms"),
            fault_tolerance: FaultTolerance::read(reader),
            bounds: Bounds::read(reader),
            commands: reader.keyword_or(
                "commands",
                CommandDelivery::from_setting,
                CommandDelivery::Heartbeat,
            ),
            app: reader.optional_address("app"),
            service: reader.optional_text("service"),
            contracts: reader.list("contracts"),
        }
    }

    /// Reports missing settings that other settings require, and settings that are inconsistent.
    fn check(&self, reader: &mut Reader) {
        if self.serves(ServedInterface::Frontend) {
            self.check_frontend(reader);
        }
        if self.serves(ServedInterface::Agent) && self.control.is_none() {
            reader.report_inconsistent("bind-addresses.control", "needed to serve a server");
        }
        if self.serves(ServedInterface::ControlPlane) {
            self.check_control_plane(reader);
        }
        let calls_server = self.commands == CommandDelivery::Rpc;
        if self.serves(ServedInterface::Agent) && calls_server && self.app.is_none() {
            reader.report_inconsistent("app", "needed to call the server");
        }
        if self.seeds.is_empty() {
            reader.report_missing("seeds");
        }
        if self.heartbeat_ms == 0 {
            reader.report_inconsistent("heartbeat-ms", "an interval of 0");
        }
    }

    fn check_frontend(&self, reader: &mut Reader) {
        const REASON: &str = "needed to serve clients";
        if self.front.is_none() {
            reader.report_inconsistent("bind-addresses.front", REASON);
        }
        if self.readiness.is_none() {
            reader.report_inconsistent("bind-addresses.readiness", REASON);
        }
    }

    fn check_control_plane(&self, reader: &mut Reader) {
        if self.control.is_none() {
            reader.report_inconsistent("bind-addresses.control", "needed to serve control calls");
        }
        if self.data_dir.is_none() {
            reader.report_inconsistent("data-dir", "needed to keep the control state");
        }
    }
}
