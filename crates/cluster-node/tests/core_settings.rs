//! The settings that a core process derives from those of its node.

use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_node::core::{ByteLimits, CoreSettings};
use lupinrack_node_settings::NodeSettings;

/// Settings of a core process on a machine with this memory and disk, in MB.
fn node(memory_mb: u64, disk_mb: u64) -> NodeSettings {
    let text = format!(
        "node=core-1\nrole=keeper\nmachine-class=core\nserves=control_plane\nip=127.0.4.1\nzone=north\nregion=coast\n\
         bind-addresses.control=127.0.4.1:9100\nport-range=7000,7015\nseeds=127.0.4.1:9100\nbootstrap=true\n\
         counts-for-quorum=true\nlimits.memory-mb={memory_mb}\nlimits.disk-mb={disk_mb}\ndata-dir=/data/keeper\n\
         commands=heartbeat\nheartbeat-ms=1200\n"
    );
    NodeSettings::parse(&text).expect("settings without faults")
}

#[test]
fn the_bounds_of_the_log_follow_from_memory_and_disk() {
    for (memory_mb, disk_mb) in [(192, 128), (256, 128), (384, 192), (0, 0)] {
        let settings = CoreSettings::of_node(&node(memory_mb, disk_mb), DiskId(1), 0, 1);
        assert_eq!(
            settings.log_bytes,
            ByteLimits::of_machine(memory_mb, disk_mb)
        );
    }
    let small = CoreSettings::of_node(&node(192, 128), DiskId(1), 0, 1).log_bytes;
    let large = CoreSettings::of_node(&node(256, 128), DiskId(1), 0, 1).log_bytes;
    assert!(
        small.snapshot_after < large.snapshot_after,
        "{small:?} {large:?}"
    );
}
