//! Which process an agent asks for views.

use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use lupinrack_cluster_node::agent::view_source::{ViewSource, ASK_HEAD_MS};
use std::net::SocketAddrV4;

fn address(number: u8) -> PeerAddress {
    PeerAddress(SocketAddrV4::new([10, 0, 0, number].into(), 7_000))
}

fn member(number: u8, role: Role, zone: &str) -> LiveMember {
    LiveMember {
        address: address(number),
        role,
        zone: zone.to_string(),
        process_incarnation: 1,
    }
}

fn table() -> LiveTable {
    LiveTable::new(vec![
        member(1, Role::Core, "west"),
        member(2, Role::Core, "east"),
        member(3, Role::Frontend, "east"),
        member(9, Role::Agent, "east"),
    ])
}

fn source() -> ViewSource {
    ViewSource::new(address(9), "east".to_string())
}

const HEAD: u8 = 1;

#[test]
fn a_core_process_of_the_zone_is_asked_in_place_of_the_head() {
    let chosen = source().choose(address(HEAD), Some(address(HEAD)), &table(), Millis(1_000));
    assert_eq!(chosen, address(2));
}

#[test]
fn without_members_of_the_zone_the_head_is_asked() {
    let chosen = source().choose(
        address(HEAD),
        Some(address(HEAD)),
        &LiveTable::default(),
        Millis(1_000),
    );
    assert_eq!(chosen, address(HEAD));
}

#[test]
fn a_search_for_the_view_is_not_redirected() {
    let candidate = address(5);
    assert_eq!(
        source().choose(candidate, Some(address(HEAD)), &table(), Millis(1_000)),
        candidate
    );
    assert_eq!(
        source().choose(candidate, None, &table(), Millis(1_000)),
        candidate
    );
}

#[test]
fn after_prefer_head_the_head_is_asked_for_a_limited_time() {
    let mut source = source();
    source.prefer_head(Millis(1_000));
    let mut choose = |now| source.choose(address(HEAD), Some(address(HEAD)), &table(), Millis(now));
    assert_eq!(choose(1_000 + ASK_HEAD_MS - 1), address(HEAD));
    assert_eq!(choose(1_000 + ASK_HEAD_MS), address(2));
}

#[test]
fn a_closed_connection_to_the_source_makes_the_head_preferred() {
    let mut source = source();
    source.choose(address(HEAD), Some(address(HEAD)), &table(), Millis(1_000));
    assert!(!source.closed(address(3), Millis(1_100)));
    assert!(source.closed(address(2), Millis(1_100)));
    let chosen = source.choose(address(HEAD), Some(address(HEAD)), &table(), Millis(1_200));
    assert_eq!(chosen, address(HEAD));
}
