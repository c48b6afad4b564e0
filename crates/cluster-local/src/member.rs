//! Which processes there are, at which addresses, and their settings files.

use crate::ports::Ports;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;

/// How many core processes there are.
pub const CORES: u8 = 3;
/// How many fronts there are.
pub const FRONTS: u8 = 2;
/// How many agents, each with a worker, there are.
pub const AGENTS: u8 = 4;
/// Milliseconds between two heartbeats of a worker.
pub const HEARTBEAT_MS: u64 = 1_000;
/// The longest hold of a worker, in milliseconds.
pub const LEASE_MOST_MS: u64 = 5_000;
/// How long a worker takes to stop a run, in milliseconds.
pub const STOP_MS: u64 = 300;
/// How long a member of a gang waits for the others, in milliseconds.
pub const GANG_MS: u64 = 3_000;
/// The zone of all processes.
pub const ZONE: &str = "loopback";

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A core process.
    Core,
    /// A front.
    Front,
    /// An agent.
    Agent,
}

/// A process of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// What it is.
    pub class: Class,
    /// Its number among its like, from 1.
    pub number: u8,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = match self.class {
            Class::Core => "core",
            Class::Front => "front",
            Class::Agent => "agent",
        };
        write!(f, "{class}-{}", self.number)
    }
}

impl Member {
    /// Every process of the cluster, core processes first.
    pub fn all() -> Vec<Member> {
        let of = |class, count| (1..=count).map(move |number| Member { class, number });
        of(Class::Core, CORES)
            .chain(of(Class::Front, FRONTS))
            .chain(of(Class::Agent, AGENTS))
            .collect()
    }

    /// Every process of a class.
    pub fn of(class: Class) -> impl Iterator<Item = Member> {
        Member::all()
            .into_iter()
            .filter(move |member| member.class == class)
    }

    /// The loopback address that stands for its machine.
    pub fn ip(self) -> Ipv4Addr {
        let tens = match self.class {
            Class::Core => 10,
            Class::Front => 20,
            Class::Agent => 30,
        };
        Ipv4Addr::new(127, 0, 0, tens + self.number)
    }

    fn at(self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(), port)
    }

    /// Where it takes control calls or heartbeats.
    pub fn control(self, ports: &Ports) -> SocketAddrV4 {
        self.at(ports.control)
    }

    /// Where a front takes clients' calls.
    pub fn front(self, ports: &Ports) -> SocketAddrV4 {
        self.at(ports.front)
    }

    /// Where a front says whether it is ready.
    pub fn readiness(self, ports: &Ports) -> SocketAddrV4 {
        self.at(ports.readiness)
    }

    /// The text of its settings file. `first` is true for the first start on an empty disk.
    pub fn settings(self, ports: &Ports, folder: &Path, first: bool) -> String {
        let (class, serves) = match self.class {
            Class::Core => ("core", "control_plane"),
            Class::Front => ("frontend", "frontend"),
            Class::Agent => ("side", "side"),
        };
        let seeds: Vec<String> = Member::of(Class::Core)
            .map(|core| core.control(ports).to_string())
            .collect();
        let mut lines = vec![
            format!("node={self}"),
            format!("role={class}"),
            format!("machine-class={class}"),
            format!("serves={serves}"),
            format!("ip={}", self.ip()),
            format!("zone={ZONE}"),
            format!("region={ZONE}"),
            format!("zones.{ZONE}={ZONE}"),
            format!("port-range={},{}", ports.internal, ports.internal),
            format!("seeds={}", seeds.join(",")),
            format!("bootstrap={first}"),
            format!("counts-for-quorum={}", self.class == Class::Core),
            format!("heartbeat-ms={HEARTBEAT_MS}"),
            "fault-tolerance.machines=1".to_owned(),
            format!("bounds.hold-max-ms={LEASE_MOST_MS}"),
            format!("bounds.stop_ms={STOP_MS}"),
            format!("bounds.gang_ms={GANG_MS}"),
            "commands=heartbeat".to_owned(),
        ];
        match self.class {
            Class::Core => {
                lines.push(format!("bind-addresses.control={}", self.control(ports)));
                lines.push(format!(
                    "data-dir={}",
                    folder.join(self.to_string()).display()
                ));
            }
            Class::Front => {
                lines.push(format!("bind-addresses.front={}", self.front(ports)));
                lines.push(format!(
                    "bind-addresses.readiness={}",
                    self.readiness(ports)
                ));
            }
            Class::Agent => lines.push(format!("bind-addresses.control={}", self.control(ports))),
        }
        lines.join("\n") + "\n"
    }
}
