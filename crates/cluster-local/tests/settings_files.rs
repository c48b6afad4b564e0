//! Tests of the generated settings files.

use lupinrack_cluster_local::{settings_text, ClusterShape, Member, Ports, Role, StartKind};
use lupinrack_node_settings::{NodeSettings, ServedInterface};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

const PORTS: Ports = Ports {
    internal: 7_000,
    control: 7_001,
    front: 7_002,
    readiness: 7_003,
};

fn settings(member: Member, start: StartKind) -> NodeSettings {
    let text = settings_text(
        &ClusterShape::default(),
        member,
        PORTS,
        Path::new("/folder"),
        start,
    );
    NodeSettings::parse(&text).unwrap_or_else(|error| panic!("{member}: {error}\n{text}"))
}

#[test]
fn every_process_has_its_own_address_and_name() {
    let count = 9;
    let members: Vec<Member> = Member::all(&ClusterShape::default()).collect();
    let addresses: BTreeSet<_> = members.iter().map(|member| member.ip()).collect();
    let names: BTreeSet<_> = members.iter().map(Member::to_string).collect();
    assert_eq!(
        (members.len(), addresses.len(), names.len()),
        (count, count, count)
    );
    assert!(addresses.iter().all(|ip| ip.is_loopback()));
}

#[test]
fn every_settings_file_is_valid_and_names_the_process_and_its_role() {
    for member in Member::all(&ClusterShape::default()) {
        let settings = settings(member, StartKind::Bootstrap);
        let serves = match member.role {
            Role::Core => ServedInterface::ControlPlane,
            Role::Front => ServedInterface::Frontend,
            Role::Agent => ServedInterface::Agent,
        };
        assert_eq!(
            (settings.node.clone(), settings.serves.clone()),
            (member.to_string(), vec![serves])
        );
        assert_eq!(
            settings.internal_address,
            SocketAddrV4::new(member.ip(), PORTS.internal)
        );
    }
}

#[test]
fn only_core_processes_found_the_cluster_and_only_on_their_first_start() {
    for member in Member::all(&ClusterShape::default()) {
        assert_eq!(
            settings(member, StartKind::Bootstrap).is_founder(),
            member.role == Role::Core,
            "{member}"
        );
        assert!(
            !settings(member, StartKind::Restart).is_founder(),
            "{member}"
        );
    }
}

#[test]
fn only_core_processes_have_disks_and_each_has_its_own() {
    let disks: BTreeSet<PathBuf> = Member::all(&ClusterShape::default())
        .filter_map(|member| settings(member, StartKind::Bootstrap).data_dir)
        .collect();
    assert_eq!(disks.len(), 3);
}
