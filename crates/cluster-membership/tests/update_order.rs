//! The rule for which of two updates about a member overrides the other.

use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_membership::{MemberState, MemberUpdate};
use std::cmp::Ordering;
use std::net::SocketAddrV4;

fn address(number: u8) -> PeerAddress {
    PeerAddress(SocketAddrV4::new([10, 0, 0, number].into(), 7_000))
}

fn update(incarnation: u32, process_incarnation: u64, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        address: address(1),
        role: Role::Core,
        zone: "east".to_string(),
        process_incarnation,
        incarnation,
        state,
    }
}

fn assert_overrides(overriding: &MemberUpdate, overridden: &MemberUpdate) {
    assert_eq!(overriding.compare_version(overridden), Ordering::Greater);
    assert_eq!(overridden.compare_version(overriding), Ordering::Less);
}

#[test]
fn within_an_incarnation_the_state_of_higher_precedence_overrides() {
    let suspect = MemberState::Suspect { by: address(2) };
    let states = [
        MemberState::Alive,
        suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
    for pair in states.windows(2) {
        assert_overrides(&update(3, 7, pair[1]), &update(3, 7, pair[0]));
    }
}

#[test]
fn a_higher_incarnation_overrides_any_state_and_process() {
    assert_overrides(
        &update(4, 1, MemberState::Alive),
        &update(3, 9, MemberState::Left),
    );
}

#[test]
fn within_an_incarnation_the_higher_process_incarnation_overrides_any_state() {
    assert_overrides(
        &update(3, 9, MemberState::Alive),
        &update(3, 1, MemberState::Dead),
    );
    assert_overrides(
        &update(3, 9, MemberState::Dead),
        &update(3, 1, MemberState::Left),
    );
}

#[test]
fn the_order_does_not_depend_on_the_suspecting_member() {
    let by = |number| {
        update(
            3,
            7,
            MemberState::Suspect {
                by: address(number),
            },
        )
    };
    assert_eq!(by(2).compare_version(&by(5)), Ordering::Equal);
}
