//! Owners of shards, by rendezvous hashing.

mod common;

use common::{core, disk, view};
use lupinrack_cluster_api::identity::{DiskId, ServiceName};
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_node::shard_owner::{owner_address, owner_of};
use quickcheck::quickcheck;

/// The number of services in the tests.
const SERVICES: usize = 600;

fn services() -> impl Iterator<Item = ServiceName> {
    (0..SERVICES).map(|number| ServiceName(format!("service-{number}")))
}

fn with_chain(chain: Vec<DiskId>) -> View {
    View {
        chain,
        ..View::default()
    }
}

#[test]
fn no_chain_has_no_owner() {
    let orders = ServiceName("orders".to_owned());
    assert_eq!(owner_of(&View::default(), &orders), None);
    assert_eq!(owner_address(&View::default(), &orders), None);
}

#[test]
fn the_owners_address_is_that_of_its_voter() {
    let orders = ServiceName("orders".to_owned());
    assert_eq!(
        owner_address(&view(1, &[1, 2, 3], &[2]), &orders),
        Some(core(2))
    );
}

#[test]
fn a_voter_outside_the_chain_owns_nothing() {
    let three = view(1, &[1, 2, 3], &[1, 2]);
    assert!(services().all(|service| owner_of(&three, &service) != Some(disk(3))));
}

#[test]
fn shards_spread_over_the_chain() {
    let members = [1, 2, 3, 4];
    let four = view(1, &members, &members);
    for member in members {
        let owned = services()
            .filter(|service| owner_of(&four, service) == Some(disk(member)))
            .count();
        let fair = SERVICES / members.len();
        assert!(
            (fair / 2..=fair * 2).contains(&owned),
            "member {member} owns {owned} of {SERVICES}"
        );
    }
}

quickcheck! {
    /// Processes whose views list the same chain in another order agree on the owner.
    fn the_owner_does_not_depend_on_the_order_of_the_chain(disks: Vec<u64>, name: String, turn: usize) -> bool {
        let service = ServiceName(name);
        let chain: Vec<DiskId> = disks.iter().copied().map(DiskId).collect();
        let mut turned = chain.clone();
        turned.rotate_left(turn.checked_rem(chain.len()).unwrap_or(0));
        owner_of(&with_chain(chain), &service) == owner_of(&with_chain(turned), &service)
    }

    /// When a disk joins, a shard keeps its owner or moves to the new disk.
    fn shards_move_only_to_the_disk_that_joins(disks: Vec<u64>, joining: u64, name: String) -> bool {
        let service = ServiceName(name);
        let before = with_chain(disks.iter().copied().map(DiskId).collect());
        let mut after = before.clone();
        after.chain.push(DiskId(joining));
        let owner = owner_of(&after, &service);
        owner == Some(DiskId(joining)) || owner == owner_of(&before, &service)
    }

    /// When a disk leaves, only its own shards move.
    fn only_the_shards_of_the_disk_that_leaves_move(disks: Vec<u64>, leaving: usize, name: String) -> bool {
        let service = ServiceName(name);
        let mut chain: Vec<DiskId> = disks.iter().copied().map(DiskId).collect();
        chain.sort();
        chain.dedup();
        let Some(at) = leaving.checked_rem(chain.len()) else { return true };
        let before = owner_of(&with_chain(chain.clone()), &service);
        let removed = chain.remove(at);
        before == Some(removed) || before == owner_of(&with_chain(chain), &service)
    }
}
