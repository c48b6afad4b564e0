//! Selection of home fronts and view sources: every process with the same table selects the same ones.

use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::{PeerAddress, ServiceName};
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use quickcheck::quickcheck;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

fn address(number: u16) -> PeerAddress {
    let [high, low] = number.to_be_bytes();
    PeerAddress(SocketAddrV4::new([10, 0, high, low].into(), 7_000))
}

fn member(number: u16, role: Role, zone: &str) -> LiveMember {
    LiveMember {
        address: address(number),
        role,
        zone: zone.to_string(),
        process_incarnation: u64::from(number),
    }
}

fn fronts(numbers: impl IntoIterator<Item = u16>, zone: &str) -> Vec<LiveMember> {
    numbers
        .into_iter()
        .map(|number| member(number, Role::Frontend, zone))
        .collect()
}

#[test]
fn a_zone_of_one_front_has_no_home_front() {
    let mut members = fronts([1], "east");
    members.extend(fronts([2, 3], "west"));
    members.push(member(4, Role::Core, "east"));
    let table = LiveTable::new(members);
    assert_eq!(table.home_front("east", None), None);
    assert_eq!(table.home_front("nowhere", None), None);
    let home = table.home_front("west", None);
    assert!(home == Some(address(2)) || home == Some(address(3)));
}

#[test]
fn services_are_distributed_over_the_fronts_of_a_zone() {
    let table = LiveTable::new(fronts(1..=4, "east"));
    let mut homes = BTreeMap::new();
    for number in 0..400 {
        let service = ServiceName(format!("service-{number}"));
        *homes
            .entry(table.home_front("east", Some(&service)))
            .or_insert(0) += 1;
    }
    assert_eq!(homes.len(), 4);
    assert!(homes.values().all(|count| *count > 50), "{homes:?}");
}

#[test]
fn the_view_source_is_a_core_process_of_the_zone_or_else_a_front() {
    let mut members = fronts(1..=2, "east");
    let table = LiveTable::new(members.clone());
    let source = table.view_source("east", address(99));
    assert!(source == Some(address(1)) || source == Some(address(2)));
    members.extend((10..12).map(|number| member(number, Role::Core, "east")));
    members.push(member(20, Role::Core, "west"));
    let table = LiveTable::new(members);
    let sources: BTreeSet<_> = (100..200)
        .filter_map(|number| table.view_source("east", address(number)))
        .collect();
    assert_eq!(sources, BTreeSet::from([address(10), address(11)]));
    assert_eq!(table.view_source("north", address(99)), None);
}

quickcheck! {
    fn the_table_does_not_depend_on_the_order_of_members(numbers: BTreeSet<u16>, shift: usize) -> bool {
        let members = fronts(numbers, "east");
        let mut shifted = members.clone();
        shifted.rotate_left(shift % members.len().max(1));
        let (one, other) = (LiveTable::new(members), LiveTable::new(shifted));
        one == other && one.home_front("east", None) == other.home_front("east", None)
    }

    fn a_home_front_moves_only_when_it_disappears_or_to_a_new_front(numbers: BTreeSet<u16>, change: u16) -> bool {
        let mut without = numbers.clone();
        without.remove(&change);
        if without.len() < 2 {
            return true;
        }
        let mut with = without.clone();
        with.insert(change);
        let home_without = LiveTable::new(fronts(without, "east")).home_front("east", None);
        let home_with = LiveTable::new(fronts(with, "east")).home_front("east", None);
        home_with == home_without || home_with == Some(address(change))
    }
}
