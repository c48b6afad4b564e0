//! The settings files of the processes, in the `key=value` form of `lupinrack node`.

use crate::member::{Member, Role};
use crate::ports::Ports;
use crate::shared_limits::{GANG_WAIT_MS, HEARTBEAT_INTERVAL_MS, MAX_LEASE_MS, RUN_STOP_MS, ZONE};
use std::path::Path;

/// Whether a process starts on an empty disk or restarts after a kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// The first start: core processes found the cluster.
    Bootstrap,
    /// A restart: the process joins the existing cluster.
    Restart,
}

/// The settings file of a process whose disk is in `folder`.
pub fn settings_text(member: Member, ports: Ports, folder: &Path, start: StartKind) -> String {
    let lines = [
        identity_lines(member),
        cluster_lines(member, ports, start),
        limit_lines(),
        role_lines(member, ports, folder),
    ];
    lines.concat().join("\n") + "\n"
}

fn identity_lines(member: Member) -> Vec<String> {
    let (class, serves) = match member.role {
        Role::Core => ("core", "control_plane"),
        Role::Front => ("frontend", "frontend"),
        Role::Agent => ("side", "side"),
    };
    vec![
        format!("node={member}"),
        format!("role={class}"),
        format!("machine-class={class}"),
        format!("serves={serves}"),
        format!("ip={}", member.ip()),
        format!("zone={ZONE}"),
        format!("region={ZONE}"),
        format!("zones.{ZONE}={ZONE}"),
    ]
}

fn cluster_lines(member: Member, ports: Ports, start: StartKind) -> Vec<String> {
    let seeds: Vec<String> = Member::with_role(Role::Core)
        .map(|core| ports.control_address(core).to_string())
        .collect();
    vec![
        format!("port-range={},{}", ports.internal, ports.internal),
        format!("seeds={}", seeds.join(",")),
        format!("bootstrap={}", start == StartKind::Bootstrap),
        format!("counts-for-quorum={}", member.role == Role::Core),
    ]
}

fn limit_lines() -> Vec<String> {
    vec![
        format!("heartbeat-ms={HEARTBEAT_INTERVAL_MS}"),
        "fault-tolerance.machines=1".to_owned(),
        format!("bounds.hold-max-ms={MAX_LEASE_MS}"),
        format!("bounds.stop_ms={RUN_STOP_MS}"),
        format!("bounds.gang_ms={GANG_WAIT_MS}"),
        "commands=heartbeat".to_owned(),
    ]
}

fn role_lines(member: Member, ports: Ports, folder: &Path) -> Vec<String> {
    let control = format!("bind-addresses.control={}", ports.control_address(member));
    let front = format!("bind-addresses.front={}", ports.front_address(member));
    let readiness = format!(
        "bind-addresses.readiness={}",
        ports.readiness_address(member)
    );
    let disk = folder.join(member.to_string());
    match member.role {
        Role::Core => vec![control, format!("data-dir={}", disk.display())],
        Role::Front => vec![front, readiness],
        Role::Agent => vec![control],
    }
}
