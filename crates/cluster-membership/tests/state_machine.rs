//! Rules of the state machine, one per test.

use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::{
    Datagram, LiveMember, MemberState, MemberUpdate, Message, Outgoing, Swim, SwimSettings,
};
use std::net::SocketAddrV4;

fn address(number: u8) -> PeerAddress {
    PeerAddress(SocketAddrV4::new([10, 0, 0, number].into(), 7_000))
}

fn alive(number: u8) -> MemberUpdate {
    MemberUpdate {
        address: address(number),
        role: Role::Agent,
        zone: "east".to_string(),
        process_incarnation: u64::from(number),
        incarnation: 0,
        state: MemberState::Alive,
    }
}

fn swim() -> Swim {
    let own = LiveMember {
        address: address(1),
        role: Role::Agent,
        zone: "east".to_string(),
        process_incarnation: 1,
    };
    Swim::new(own, vec![address(2)], SwimSettings::default(), 5, Millis(0))
}

fn deliver(
    swim: &mut Swim,
    from: u8,
    message: Message,
    updates: Vec<MemberUpdate>,
    now: u64,
) -> Vec<Outgoing> {
    let datagram = Datagram {
        sender: alive(from),
        list_digest: 0,
        message,
        updates,
    };
    swim.receive(address(from), datagram, Millis(now))
}

#[test]
fn a_ping_is_acknowledged_with_its_sequence_number() {
    let mut swim = swim();
    let sent = deliver(
        &mut swim,
        2,
        Message::Ping {
            sequence_number: 77,
        },
        Vec::new(),
        10,
    );
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].to, address(2));
    assert_eq!(
        sent[0].datagram.message,
        Message::Ack {
            sequence_number: 77
        }
    );
    assert!(
        swim.live_table().get(address(2)).is_some(),
        "a member that pings is present"
    );
}

#[test]
fn a_datagram_that_claims_another_sender_is_ignored() {
    let mut swim = swim();
    let datagram = Datagram {
        sender: alive(2),
        list_digest: 0,
        message: Message::Ping { sequence_number: 1 },
        updates: Vec::new(),
    };
    assert!(swim.receive(address(3), datagram, Millis(10)).is_empty());
    assert_eq!(swim.live_table().members().len(), 1);
}

#[test]
fn a_suspected_member_refutes_by_a_higher_incarnation() {
    let mut swim = swim();
    let state = MemberState::Suspect { by: address(3) };
    let suspicion = MemberUpdate {
        state,
        incarnation: 4,
        ..alive(1)
    };
    let sent = deliver(
        &mut swim,
        2,
        Message::Ping { sequence_number: 1 },
        vec![suspicion.clone()],
        10,
    );
    assert_eq!(swim.incarnation(), 5);
    assert_eq!(sent[0].datagram.sender.incarnation, 5);
    assert_eq!(swim.health_score(), 1);
    deliver(&mut swim, 2, Message::UpdatesOnly, vec![suspicion], 20);
    assert_eq!(
        swim.incarnation(),
        5,
        "an older suspicion needs no further refutation"
    );
}

#[test]
fn a_new_process_announces_a_higher_incarnation_than_its_predecessor() {
    let mut swim = swim();
    let predecessor = MemberUpdate {
        process_incarnation: 900,
        incarnation: 3,
        state: MemberState::Dead,
        ..alive(1)
    };
    deliver(&mut swim, 2, Message::UpdatesOnly, vec![predecessor], 10);
    assert_eq!(swim.incarnation(), 4);
    assert_eq!(
        swim.health_score(),
        0,
        "the end of an earlier process is no evidence of bad health"
    );
}

#[test]
fn a_ping_of_a_dead_member_is_answered_with_the_update_about_its_death() {
    let mut swim = swim();
    deliver(&mut swim, 2, Message::UpdatesOnly, vec![alive(3)], 10);
    let death = MemberUpdate {
        state: MemberState::Dead,
        ..alive(3)
    };
    deliver(&mut swim, 2, Message::UpdatesOnly, vec![death.clone()], 20);
    assert!(swim.live_table().get(address(3)).is_none());
    let sent = deliver(
        &mut swim,
        3,
        Message::Ping { sequence_number: 9 },
        Vec::new(),
        30,
    );
    assert_eq!(sent[0].datagram.updates.first(), Some(&death));
}

#[test]
fn a_suspect_is_present_until_its_suspicion_times_out() {
    let mut swim = swim();
    deliver(&mut swim, 2, Message::UpdatesOnly, vec![alive(3)], 10);
    let suspicion = MemberUpdate {
        state: MemberState::Suspect { by: address(2) },
        ..alive(3)
    };
    deliver(&mut swim, 2, Message::UpdatesOnly, vec![suspicion], 20);
    assert!(swim.live_table().get(address(3)).is_some());
    for now in (100..30_000).step_by(100) {
        swim.tick(Millis(now));
    }
    assert!(swim.live_table().get(address(3)).is_none());
}

#[test]
fn the_death_or_departure_of_an_unknown_member_is_not_disseminated() {
    let mut swim = swim();
    for state in [MemberState::Dead, MemberState::Left] {
        deliver(
            &mut swim,
            2,
            Message::UpdatesOnly,
            vec![MemberUpdate { state, ..alive(7) }],
            10,
        );
    }
    assert!(swim.members().all(|update| update.address != address(7)));
}

#[test]
fn a_ping_request_is_answered_with_an_ack_or_a_nack() {
    let mut swim = swim();
    deliver(&mut swim, 3, Message::UpdatesOnly, Vec::new(), 10);
    let request = Message::PingRequest {
        sequence_number: 50,
        target: address(3),
    };
    let sent = deliver(&mut swim, 2, request, Vec::new(), 20);
    let Message::Ping { sequence_number } = sent[0].datagram.message else {
        panic!("a ping to the target")
    };
    assert_eq!(sent[0].to, address(3));
    let relayed = deliver(
        &mut swim,
        3,
        Message::Ack { sequence_number },
        Vec::new(),
        30,
    );
    assert_eq!(
        (relayed[0].to, relayed[0].datagram.message),
        (
            address(2),
            Message::Ack {
                sequence_number: 50
            }
        )
    );

    deliver(
        &mut swim,
        2,
        Message::PingRequest {
            sequence_number: 51,
            target: address(3),
        },
        Vec::new(),
        40,
    );
    let settings = SwimSettings::default();
    let sent = swim.tick(Millis(40 + settings.relay_timeout_ms));
    let nack = sent.iter().find(|outgoing| {
        outgoing.datagram.message
            == Message::Nack {
                sequence_number: 51,
            }
    });
    assert_eq!(nack.map(|outgoing| outgoing.to), Some(address(2)));
}

#[test]
fn a_member_that_has_left_sends_nothing() {
    let mut swim = swim();
    deliver(&mut swim, 2, Message::UpdatesOnly, vec![alive(3)], 10);
    let notifications = swim.leave();
    assert_eq!(notifications.len(), 2);
    assert!(notifications
        .iter()
        .all(|outgoing| outgoing.datagram.sender.state == MemberState::Left));
    assert!(swim.tick(Millis(5_000)).is_empty());
    assert!(deliver(
        &mut swim,
        2,
        Message::Ping { sequence_number: 1 },
        Vec::new(),
        6_000
    )
    .is_empty());
    assert!(swim.leave().is_empty());
}

#[test]
fn the_version_rises_only_with_changes_of_the_live_table() {
    let mut swim = swim();
    let version_before = swim.version();
    deliver(&mut swim, 2, Message::UpdatesOnly, Vec::new(), 10);
    let version_after_join = swim.version();
    assert!(version_after_join > version_before);
    let state = MemberState::Suspect { by: address(3) };
    deliver(
        &mut swim,
        2,
        Message::UpdatesOnly,
        vec![MemberUpdate { state, ..alive(2) }],
        20,
    );
    assert_eq!(
        swim.version(),
        version_after_join,
        "a suspect stays in the live table"
    );
}

#[test]
fn a_suspension_extends_the_timeout_of_suspicions() {
    let mut swim = swim();
    deliver(&mut swim, 2, Message::UpdatesOnly, vec![alive(3)], 10);
    let suspicion = MemberUpdate {
        state: MemberState::Suspect { by: address(2) },
        ..alive(3)
    };
    deliver(&mut swim, 2, Message::UpdatesOnly, vec![suspicion], 20);
    swim.tick(Millis(500));
    for now in (60_000..61_500).step_by(100) {
        swim.tick(Millis(now));
        assert!(
            swim.live_table().get(address(3)).is_some(),
            "its refutation may wait in the socket's buffer"
        );
    }
}

#[test]
fn a_ping_sent_before_a_suspension_causes_no_suspicion() {
    let mut swim = swim();
    deliver(&mut swim, 2, Message::UpdatesOnly, Vec::new(), 10);
    let pinged_at = (100..2_000).step_by(50).map(Millis).find(|now| {
        let sent = swim.tick(*now);
        sent.iter()
            .any(|outgoing| matches!(outgoing.datagram.message, Message::Ping { .. }))
    });
    let pinged_at = pinged_at.expect("a ping in each period");
    swim.tick(pinged_at.plus(30_000));
    let states: Vec<MemberState> = swim.members().map(|update| update.state).collect();
    assert_eq!(states, [MemberState::Alive]);
}
