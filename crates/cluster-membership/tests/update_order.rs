//! Which of two pieces of word of a member is the newer one.

use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::wire::Role;
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

fn assert_newer(newer: &MemberUpdate, older: &MemberUpdate) {
    assert_eq!(newer.compare_version(older), Ordering::Greater);
    assert_eq!(older.compare_version(newer), Ordering::Less);
}

#[test]
fn within_an_incarnation_the_worse_state_holds() {
    let suspect = MemberState::Suspect { by: address(2) };
    let states = [
        MemberState::Alive,
        suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
    for pair in states.windows(2) {
        assert_newer(&update(3, 7, pair[1]), &update(3, 7, pair[0]));
    }
}

#[test]
fn a_higher_incarnation_holds_whatever_the_state_and_the_life() {
    assert_newer(
        &update(4, 1, MemberState::Alive),
        &update(3, 9, MemberState::Left),
    );
}

#[test]
fn the_end_of_one_life_says_nothing_of_another_one() {
    assert_newer(
        &update(3, 9, MemberState::Alive),
        &update(3, 1, MemberState::Dead),
    );
    assert_newer(
        &update(3, 9, MemberState::Dead),
        &update(3, 1, MemberState::Left),
    );
}

#[test]
fn who_suspects_makes_word_no_newer() {
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
