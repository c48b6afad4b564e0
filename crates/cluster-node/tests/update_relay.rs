//! The updates that fronts relay, and when a front leaves its home front.

use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::frame::{Frame, Interest, Role};
use lupinrack_cluster_api::identity::{DiskId, PeerAddress};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_cluster_membership::{LiveMember, LiveTable};
use lupinrack_cluster_node::front::configuration_feed::ConfigurationFeed;
use lupinrack_cluster_node::front::home_front::{HOME_RETRY_AFTER_MS, HOME_TIMEOUT_MS};
use lupinrack_cluster_node::front::known_configuration::{ConfigurationUpdate, KnownConfiguration};
use lupinrack_cluster_node::front::update_relay::{
    RelayState, SubscriberFrame, UpdateRelay, MAX_RELAY_AGE_MS,
};
use std::net::SocketAddrV4;
use std::sync::Arc;

const CONFIRMED_AT: u64 = 10_000;
const HAS_NONE: Interest = Interest::Configuration { have: 0 };
const HAS_4: Interest = Interest::Configuration { have: 4 };

fn address(number: u8) -> PeerAddress {
    PeerAddress(SocketAddrV4::new([10, 0, 0, number].into(), 7_000))
}

fn view(number: u64) -> View {
    let voter = Voter {
        disk: DiskId(1),
        address: address(1),
        zone: "west".to_string(),
    };
    View {
        number,
        voters: vec![voter],
        chain: vec![DiskId(1)],
    }
}

fn knowledge(view_number: u64, version: u64) -> RelayState {
    let configuration = Arc::new(Configuration {
        version,
        ..Configuration::default()
    });
    let known = KnownConfiguration {
        configuration,
        confirmed_at: Millis(CONFIRMED_AT),
    };
    RelayState {
        view: view(view_number),
        known,
    }
}

fn subscribe(
    relay: &mut UpdateRelay,
    interest: Interest,
    knowledge: &RelayState,
    now: u64,
) -> Vec<Frame> {
    let frames = relay.subscribed(5, interest, Millis(300), knowledge, Millis(now));
    assert!(frames.iter().all(|relayed| relayed.connection == 5));
    frames.into_iter().map(|relayed| relayed.frame).collect()
}

#[test]
fn a_subscriber_gets_the_view_once_and_the_configuration_with_its_age() {
    let mut relay = UpdateRelay::default();
    let known = knowledge(2, 4);
    let first = subscribe(&mut relay, HAS_NONE, &known, CONFIRMED_AT + 120);
    let configuration = Some(Configuration::clone(&known.known.configuration));
    let update = Frame::ConfigurationUpdate {
        requested_at: Millis(300),
        age_ms: 120,
        version: 4,
        configuration,
    };
    assert_eq!(first, [Frame::ViewUpdate(view(2)), update]);
    let second = subscribe(&mut relay, HAS_4, &known, CONFIRMED_AT + 200);
    let unchanged = Frame::ConfigurationUpdate {
        requested_at: Millis(300),
        age_ms: 200,
        version: 4,
        configuration: None,
    };
    assert_eq!(second, [unchanged]);
}

#[test]
fn a_stale_configuration_is_not_relayed() {
    let mut relay = UpdateRelay::default();
    let known = knowledge(0, 4);
    assert_eq!(
        subscribe(
            &mut relay,
            HAS_NONE,
            &known,
            CONFIRMED_AT + MAX_RELAY_AGE_MS
        )
        .len(),
        1
    );
    assert_eq!(
        subscribe(
            &mut relay,
            HAS_NONE,
            &known,
            CONFIRMED_AT + MAX_RELAY_AGE_MS + 1
        ),
        []
    );
    assert_eq!(
        subscribe(&mut relay, HAS_NONE, &knowledge(0, 0), CONFIRMED_AT),
        [],
        "nothing is known yet"
    );
}

#[test]
fn a_view_subscriber_gets_only_views() {
    let mut relay = UpdateRelay::default();
    assert_eq!(
        subscribe(&mut relay, Interest::Views, &knowledge(2, 4), CONFIRMED_AT),
        [Frame::ViewUpdate(view(2))]
    );
    assert_eq!(
        relay.send_configuration(&knowledge(2, 5), Millis(CONFIRMED_AT)),
        []
    );
    let sent = relay.send_view(&view(3));
    assert_eq!(
        sent,
        [SubscriberFrame {
            connection: 5,
            frame: Frame::ViewUpdate(view(3))
        }]
    );
    relay.disconnected(5);
    assert_eq!(relay.send_view(&view(4)), []);
}

/// A front in a zone of two fronts at addresses 7 and 8; the other one is its home.
fn follower() -> (ConfigurationFeed, LiveTable) {
    let zone = "east".to_string();
    let member = |number| LiveMember {
        address: address(number),
        role: Role::Frontend,
        zone: zone.clone(),
        process_incarnation: 1,
    };
    let table = LiveTable::new(vec![member(7), member(8)]);
    let home = table
        .home_front("east", None)
        .expect("a zone of two fronts has a home");
    let own = if home == address(7) {
        address(8)
    } else {
        address(7)
    };
    (
        ConfigurationFeed::new(own, zone, vec![address(1)], Millis(1)),
        table,
    )
}

#[test]
fn a_home_that_makes_nothing_fresher_is_left_and_tried_again_later() {
    let (mut front, table) = follower();
    let began = 1_000;
    front.tick(&table, &view(1), Millis(began));
    let home = front.source().expect("the other front");
    let update = |version| ConfigurationUpdate {
        requested_at: Millis(began),
        age_ms: 0,
        version,
        configuration: Some(Configuration {
            version,
            ..Configuration::default()
        }),
    };
    front.receive(home, update(1), &view(1), Millis(began));
    for now in (began..=began + HOME_TIMEOUT_MS).step_by(50) {
        front.receive(home, update(1), &view(1), Millis(now));
        front.tick(&table, &view(1), Millis(now));
    }
    assert_eq!(front.source(), Some(home));
    let left_at = began + HOME_TIMEOUT_MS + 1;
    let sent = front.tick(&table, &view(1), Millis(left_at));
    assert_eq!(front.source(), None);
    assert_eq!(
        sent.map(|outgoing| outgoing.to),
        Some(address(1)),
        "the head is asked at once"
    );
    front.tick(&table, &view(1), Millis(left_at + HOME_RETRY_AFTER_MS - 1));
    assert_eq!(front.source(), None);
    front.tick(&table, &view(1), Millis(left_at + HOME_RETRY_AFTER_MS));
    assert_eq!(front.source(), Some(home));
}

#[test]
fn without_a_view_nobody_but_core_processes_is_asked() {
    let (mut front, table) = follower();
    let sent = front.tick(&table, &View::default(), Millis(1_000));
    assert_eq!(sent.map(|outgoing| outgoing.to), Some(address(1)));
}
