//! Golden files of the membership: every kind of datagram, the roster hashes, and the names in reports, metrics and logs.

use lupinrack_fleet_membership::agreement::{
    AgreementMessage, Promises, ProposalNumber, Renewal, View, ViewNumber,
};
use lupinrack_fleet_membership::config::{Peer, Section};
use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::participation::Participation;
use lupinrack_fleet_membership::swim::{MemberState, Update};
use lupinrack_fleet_membership::wire::{Body, Datagram, FrameError, Keys, Piggyback};
use lupinrack_fleet_membership::Counts;
use lupinrack_golden_files::{path, GoldenFile};

/// A small roster, and one whose sets of fronts do not all fit into one datagram.
const SMALL: usize = 11;
const LARGE: usize = 500;

fn proposal(round: u32) -> ProposalNumber {
    ProposalNumber {
        round,
        proposer: 7,
        process_incarnation: 0x2122_2324_2526_2728,
    }
}

fn view_number(round: u32, sequence: u32) -> ViewNumber {
    ViewNumber {
        proposal: proposal(round),
        sequence,
    }
}

fn fronts(indexes: &[u16]) -> FrontSet {
    indexes.iter().copied().collect()
}

fn agreement() -> AgreementMessage {
    AgreementMessage {
        promised: proposal(0x3132_3334),
        view_number: view_number(0x2930_3132, 0x4142_4344),
        ..AgreementMessage::default()
    }
}

fn view() -> View {
    View {
        number: agreement().view_number,
        previous: view_number(0x1920_2122, 0x5152_5354),
        members: fronts(&[0, 2, 10]),
    }
}

fn promises() -> Promises {
    Promises {
        promised_by: fronts(&[1, 3, 9]),
        highest_accepted: view_number(0x0910_1112, 0x6162_6364),
    }
}

fn renewal() -> Renewal {
    Renewal {
        sequence: 0x7172_7374,
        acknowledged_by: fronts(&[4, 5, 8]),
    }
}

fn update(front: u16, state: MemberState) -> Update {
    Update {
        front,
        state,
        process_incarnation: 0x8182_8384_8586_8700 + u64::from(front),
        incarnation: 0x9190 + front,
        reported_by: 10 - front,
    }
}

/// An update for each state that is ever reported.
fn all_updates() -> Vec<Update> {
    [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ]
    .into_iter()
    .zip(1..)
    .map(|(state, front)| update(front, state))
    .collect()
}

fn piggyback(agreement: AgreementMessage, leads: bool, updates: Vec<Update>) -> Piggyback {
    Piggyback {
        agreement,
        leads,
        updates,
    }
}

/// A piggyback with every optional part.
fn full_piggyback() -> Piggyback {
    let agreement = AgreementMessage {
        view: Some(view()),
        promises: Some(promises()),
        renewal: Some(renewal()),
        ..agreement()
    };
    piggyback(agreement, true, all_updates())
}

fn datagram(body: Body) -> Datagram {
    Datagram {
        roster_hash: 0x0102_0304,
        from: 6,
        sequence: 0x0506_0708,
        process_incarnation: 0x090a_0b0c_0d0e_0f10,
        to_process_incarnation: 0x1112_1314_1516_1718,
        incarnation: 0x191a,
        body,
    }
}

/// Bodies that fit and are decoded as they were encoded, each under the name of its example.
fn bodies() -> Vec<(&'static str, Body)> {
    let push = |agreement: AgreementMessage| Body::Push(piggyback(agreement, false, Vec::new()));
    vec![
        ("hello_not_met", Body::Hello(0)),
        ("hello", Body::Hello(0xa1a2_a3a4_a5a6_a7a8)),
        ("ping", Body::Ping(0xb1b2_b3b4, full_piggyback())),
        ("ack", Body::Ack(0xc1c2_c3c4, 0x0102_0305, full_piggyback())),
        (
            "ack_without_a_lease",
            Body::Ack(0xc1c2_c3c4, 0, piggyback(agreement(), false, Vec::new())),
        ),
        ("push", Body::Push(full_piggyback())),
        ("push_of_a_new_life", Body::Push(Piggyback::default())),
        (
            "push_leads",
            Body::Push(piggyback(agreement(), true, Vec::new())),
        ),
        (
            "push_view",
            push(AgreementMessage {
                view: Some(view()),
                ..agreement()
            }),
        ),
        (
            "push_promises",
            push(AgreementMessage {
                promises: Some(promises()),
                ..agreement()
            }),
        ),
        (
            "push_round",
            push(AgreementMessage {
                renewal: Some(renewal()),
                ..agreement()
            }),
        ),
        (
            "push_news",
            Body::Push(piggyback(agreement(), false, all_updates())),
        ),
        ("ask", Body::PingReq(9, 0xd1d2_d3d4)),
        ("reached", Body::PingReqResult(0xe1e2_e3e4, true)),
        ("not_reached", Body::PingReqResult(0xe1e2_e3e4, false)),
        ("serves_nothing", Body::ServedVolumes(0xf1, Vec::new())),
        (
            "serves",
            Body::ServedVolumes(0xf2, vec![0x0101_0101_0101_0102, 0x0202_0202_0202_0203]),
        ),
        (
            "heard",
            Body::ServedVolumesAck(
                0xf3,
                vec![0x0303_0303_0303_0304, 0x0404_0404_0404_0405],
                0x8000_0002,
            ),
        ),
        ("contested", Body::NameContested),
    ]
}

#[test]
fn every_kind_of_datagram_keeps_its_encoding() {
    let keys = Keys::default();
    let mut examples = GoldenFile::open(path!("datagrams.txt"));
    for (name, body) in bodies() {
        examples.add_bytes(name, &datagram(body).encode(SMALL, &keys));
    }
    let kept = examples.check();
    for (name, body) in bodies() {
        assert_eq!(
            Datagram::decode(&kept.bytes(name), SMALL, &keys),
            Ok(datagram(body)),
            "{name}"
        );
    }
}

#[test]
fn datagrams_under_a_key_keep_their_authentication_code() {
    let keys = Keys {
        sign: Some([0x5a; 32]),
        also_accepted: None,
    };
    let signed = datagram(Body::Ping(
        0xb1b2_b3b4,
        piggyback(agreement(), false, all_updates()),
    ));
    let mut examples = GoldenFile::open(path!("datagrams-keyed.txt"));
    examples.add_bytes("ping", &signed.encode(SMALL, &keys));
    let kept = examples.check();
    assert_eq!(
        Datagram::decode(&kept.bytes("ping"), SMALL, &keys),
        Ok(signed)
    );
    let other_keys = Keys {
        sign: Some([0xa5; 32]),
        also_accepted: None,
    };
    assert_eq!(
        Datagram::decode(&kept.bytes("ping"), SMALL, &other_keys),
        Err(FrameError::DigestMismatch)
    );
}

/// In a large roster sets are longer. What does not fit is left out: sets as a whole, in their order, then updates from the end.
#[test]
fn datagrams_of_a_large_roster_leave_out_what_does_not_fit() {
    let keys = Keys::default();
    let agreement = AgreementMessage {
        view: Some(View {
            members: fronts(&[0, 255, 499]),
            ..view()
        }),
        promises: Some(Promises {
            promised_by: fronts(&[1, 256, 498]),
            ..promises()
        }),
        renewal: Some(Renewal {
            acknowledged_by: fronts(&[2, 257, 497]),
            ..renewal()
        }),
        ..agreement()
    };
    let many_updates: Vec<Update> = all_updates().into_iter().cycle().take(14).collect();
    let many_sets = datagram(Body::Push(piggyback(agreement, true, all_updates())));
    let many_sets_shortened = datagram(Body::Push(piggyback(
        AgreementMessage {
            renewal: None,
            ..agreement
        },
        true,
        all_updates()[..1].to_vec(),
    )));
    let updates_only = datagram(Body::Push(piggyback(
        AgreementMessage {
            view: None,
            promises: None,
            renewal: None,
            ..agreement
        },
        false,
        many_updates.clone(),
    )));
    let updates_only_shortened = datagram(Body::Push(piggyback(
        AgreementMessage {
            view: None,
            promises: None,
            renewal: None,
            ..agreement
        },
        false,
        many_updates[..12].to_vec(),
    )));
    let mut examples = GoldenFile::open(path!("datagrams-large.txt"));
    examples.add_bytes("sets_that_do_not_fit", &many_sets.encode(LARGE, &keys));
    examples.add_bytes("news_that_does_not_fit", &updates_only.encode(LARGE, &keys));
    let kept = examples.check();
    for (name, expected) in [
        ("sets_that_do_not_fit", many_sets_shortened),
        ("news_that_does_not_fit", updates_only_shortened),
    ] {
        assert_eq!(
            Datagram::decode(&kept.bytes(name), LARGE, &keys),
            Ok(expected),
            "{name}"
        );
    }
}

fn section(names: &[&str]) -> Section {
    let address = |i: usize| std::net::SocketAddr::from(([127, 0, 0, 1], 7001 + i as u16));
    let member = names.iter().enumerate().map(|(i, name)| Peer {
        name: (*name).into(),
        address: address(i),
    });
    Section {
        enabled: true,
        member: member.collect(),
        ..Section::default()
    }
}

/// Fronts with different roster hashes ignore each other, so the hash is part of the protocol.
#[test]
fn the_roster_hash_depends_on_names_order_and_safety_settings() {
    let plain = section(&["n0", "n1", "n2"]);
    let mut examples = GoldenFile::open(path!("roster-hashes.txt"));
    let mut add = |name: &str, section: &Section| {
        examples.add_bytes(name, &section.roster_hash().to_be_bytes())
    };
    add("three_fronts", &plain);
    add("another_order", &section(&["n1", "n0", "n2"]));
    add(
        "another_lease",
        &Section {
            lease_ms: 2600,
            ..plain.clone()
        },
    );
    add(
        "another_drift",
        &Section {
            drift_ppm: 2001,
            ..plain.clone()
        },
    );
    add(
        "another_reserve",
        &Section {
            reserve: 0.2,
            ..plain.clone()
        },
    );
    let mut moved = plain.clone();
    moved.member[1].address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    (moved.period_ms, moved.most_volumes) = (300, 7);
    add("another_address_and_pace", &moved);
    let kept = examples.check();
    assert_eq!(
        kept.text("three_fronts"),
        kept.text("another_address_and_pace")
    );
}

/// Operators match these names in metrics, in the JSON of the admin interface, and in logs.
#[test]
fn names_in_metrics_json_and_logs_stay() {
    let mut examples = GoldenFile::open(path!("words.txt"));
    for (name, participation) in [
        ("stance_starting", Participation::Starting),
        ("stance_alone", Participation::Alone),
        ("stance_minority", Participation::Minority),
        ("stance_healing", Participation::Healing),
        ("stance_majority", Participation::Majority),
        ("stance_paused", Participation::Paused),
        ("stance_leaving", Participation::Leaving),
        ("stance_contested", Participation::Contested),
    ] {
        examples.add(name, participation.as_str());
    }
    for (name, state) in [
        ("state_unknown", MemberState::Unknown),
        ("state_alive", MemberState::Alive),
        ("state_suspect", MemberState::Suspect),
        ("state_dead", MemberState::Dead),
        ("state_left", MemberState::Left),
    ] {
        examples.add(name, state.as_str());
    }
    examples.add("view_none", ViewNumber::default());
    examples.add(
        "view",
        ViewNumber {
            proposal: ProposalNumber {
                round: 12,
                proposer: 3,
                process_incarnation: 0x0102_0304_0506_000f,
            },
            sequence: 45,
        },
    );
    examples.check();
}

#[test]
fn counters_keep_their_json_keys() {
    let counts = Counts {
        sent: 1,
        bytes: 2,
        accepted: 3,
        invalid: 4,
        stale: 5,
        rate_limited: 6,
        payloads_sent: 7,
        views: 8,
    };
    let text = serde_json::to_string_pretty(&counts).unwrap() + "\n";
    let kept = lupinrack_golden_files::check_text(path!("counts.json"), &text);
    assert_eq!(serde_json::from_str::<Counts>(&kept).unwrap(), counts);
    // An older front does not report payloads of other protocols.
    let older = kept.replace("  \"carried\": 7,\n", "");
    assert_eq!(
        serde_json::from_str::<Counts>(&older).unwrap(),
        Counts {
            payloads_sent: 0,
            ..counts
        }
    );
}
