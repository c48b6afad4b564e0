//! The settings files of the processes, in the `key=value` form of `lupinrack node`.

use crate::cluster_shape::ClusterShape;
use crate::member::{Member, Role};
use crate::ports::Ports;
use crate::shared_limits::ZONE;
use std::path::Path;

/// Whether a process starts on an empty disk or restarts after a kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// The first start: core processes found the cluster.
    Bootstrap,
    /// A restart: the process joins the existing cluster.
    Restart,
}

/// The settings file of a process of a cluster whose disks are in `folder`.
pub fn settings_text(
    shape: &ClusterShape,
    member: Member,
    ports: Ports,
    folder: &Path,
    start: StartKind,
) -> String {
    let lines = [
        identity_lines(member),
        cluster_lines(shape, member, ports, start),
        limit_lines(shape),
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

fn cluster_lines(
    shape: &ClusterShape,
    member: Member,
    ports: Ports,
    start: StartKind,
) -> Vec<String> {
    let seeds: Vec<String> = Member::with_role(Role::Core, shape)
        .map(|core| ports.control_address(core).to_string())
        .collect();
    vec![
        format!("port-range={},{}", ports.internal, ports.internal),
        format!("seeds={}", seeds.join(",")),
        format!("bootstrap={}", start == StartKind::Bootstrap),
        format!("counts-for-quorum={}", member.role == Role::Core),
    ]
}

fn limit_lines(shape: &ClusterShape) -> Vec<String> {
    vec![
        format!("heartbeat-ms={}", shape.heartbeat_interval_ms),
        format!("fault-tolerance.machines={}", shape.tolerated_losses),
        format!("bounds.hold-max-ms={}", shape.max_lease_ms),
        format!("bounds.stop_ms={}", shape.run_stop_ms),
        format!("bounds.gang_ms={}", shape.gang_wait_ms),
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
