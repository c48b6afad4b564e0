//! Heartbeats that claim the disk of another process.

use crate::common::{address, disk, view, voter};
use crate::watch::Watch;
use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::Voter;
use lupinrack_view_agreement::policy::DuplicateDisk;
use lupinrack_view_agreement::PeerReport;

fn report() -> PeerReport {
    let replica = ReplicaReport::default();
    PeerReport {
        incarnation: 500,
        view_number: 4,
        disk_healthy: true,
        draining: false,
        replica,
        applied: 0,
        acknowledged: None,
        linked: Vec::new(),
    }
}

fn claim(disk: DiskId, at: u8) -> Voter {
    Voter { disk, ..voter(at) }
}

#[test]
fn a_disk_that_is_alive_at_another_address_is_rejected() {
    for count in [3, 5, 7, 9] {
        let all: Vec<u8> = (0..count).collect();
        let mut watch =
            Watch::new(0, view(4, &all, &all[..usize::from(count) / 2 + 1]), &[]).with(&all);
        watch.advance(1000);
        for claimed in 0..count {
            let refused = watch.policy.receive_heartbeat(
                claim(disk(claimed), count + 1),
                report(),
                watch.now,
            );
            assert_eq!(
                refused,
                Err(DuplicateDisk {
                    disk: disk(claimed),
                    known_at: address(claimed)
                })
            );
            assert_eq!(
                watch.policy.address_of(disk(claimed)),
                Some(address(claimed))
            );
            assert_eq!(watch.policy.disk_at(address(count + 1)), None);
        }
        assert_eq!(
            watch.advance(5000),
            None,
            "{count} voters: the rejected heartbeat has no effect"
        );
    }
}

#[test]
fn a_copy_of_a_lost_voters_disk_does_not_vote_for_it() {
    let mut watch = Watch::new(0, view(4, &[0, 1, 2], &[0, 1]), &[]).with(&[0, 1, 2]);
    watch.advance(1000);
    watch.lose(&[2]);
    watch.advance(2000);
    watch.add(3);
    watch.heartbeat(3).voter.disk = disk(2);
    assert_eq!(
        watch.advance(30_000),
        None,
        "neither as the voter nor as a new disk"
    );
}

#[test]
fn a_disk_comes_back_at_its_own_address() {
    let mut watch = Watch::new(0, view(4, &[0, 1, 2], &[0, 1]), &[]).with(&[0, 1, 2]);
    watch.advance(1000);
    assert_eq!(
        watch
            .policy
            .receive_heartbeat(voter(2), report(), watch.now),
        Ok(())
    );
    assert_eq!(
        watch
            .policy
            .receive_heartbeat(claim(DiskId(900), 2), report(), watch.now),
        Ok(())
    );
}
