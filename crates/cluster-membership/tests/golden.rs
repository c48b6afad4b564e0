//! Compares encoded datagrams byte for byte with the files in `tests/golden`, so that processes of different builds can read
//! each other's datagrams. `UPDATE_GOLDEN=1` writes the files.

use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::{PeerAddress, ServiceName};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::datagram::{DatagramError, MAX_DATAGRAM_BYTES};
use lupinrack_cluster_membership::member_update::MAX_ZONE_BYTES;
use lupinrack_cluster_membership::{
    Datagram, LiveMember, LiveTable, MemberState, MemberUpdate, Message, Outgoing, Swim,
    SwimSettings,
};
use lupinrack_golden_files::{check_folder, from_hex, to_hex, GoldenFile};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// The golden files of these tests.
const FILES: [&str; 5] = [
    "datagrams.txt",
    "datagrams_of_swim.txt",
    "errors.txt",
    "homes.txt",
    "protocol_defaults.txt",
];

const START: Millis = Millis(1_000);

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join("golden")
}

/// Compares entries with a golden file, which holds one `name: text` line per entry, and returns the file's entries.
fn check(file: &str, entries: &[(String, String)]) -> Vec<(String, String)> {
    assert!(FILES.contains(&file), "{file} is not listed");
    let mut golden = GoldenFile::open(folder().join(file));
    for (name, text) in entries {
        golden.add(name, text);
    }
    let golden = golden.check();
    entries
        .iter()
        .map(|(name, _)| (name.clone(), golden.text(name).to_owned()))
        .collect()
}

/// Checks that datagrams are encoded as in the file, and that the file decodes to the datagrams.
fn check_datagrams(file: &str, datagrams: &[(String, Datagram)]) {
    let encoded =
        |(name, datagram): &(String, Datagram)| (name.clone(), to_hex(&datagram.encode()));
    let golden = check(file, &datagrams.iter().map(encoded).collect::<Vec<_>>());
    for ((name, text), (_, datagram)) in golden.iter().zip(datagrams) {
        assert_eq!(
            Datagram::decode(&from_hex(text)).as_ref(),
            Ok(datagram),
            "{name}"
        );
    }
}

fn address(last: u8, port: u16) -> PeerAddress {
    PeerAddress(SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, last), port))
}

fn alive(last: u8, role: Role, zone: &str) -> MemberUpdate {
    MemberUpdate {
        address: address(last, 7_000),
        role,
        zone: zone.to_string(),
        process_incarnation: 0x0102_0304_0506_0700 + u64::from(last),
        incarnation: 0x1112_1300 + u32::from(last),
        state: MemberState::Alive,
    }
}

/// One member in each state.
fn members_in_every_state() -> Vec<MemberUpdate> {
    let suspect = MemberState::Suspect {
        by: address(9, 7_009),
    };
    vec![
        alive(11, Role::Frontend, "north"),
        MemberUpdate {
            state: suspect,
            ..alive(12, Role::Agent, "east")
        },
        MemberUpdate {
            state: MemberState::Dead,
            ..alive(13, Role::Core, "")
        },
        MemberUpdate {
            state: MemberState::Left,
            ..alive(14, Role::Agent, "far_west")
        },
    ]
}

/// The name of the message in the golden files, which keep the names of an earlier version.
fn name_of_message(message: Message) -> &'static str {
    match message {
        Message::Ping { .. } => "probe",
        Message::PingRequest { .. } => "probe_request",
        Message::Ack { .. } => "acknowledge",
        Message::Nack { .. } => "not_reached",
        Message::PageRequest { after: None } => "page_request_for_the_first",
        Message::PageRequest { after: Some(_) } => "page_request_for_another",
        Message::Page { last: None } => "last_page",
        Message::Page { last: Some(_) } => "page",
        Message::UpdatesOnly => "news",
    }
}

fn name_of_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect { .. } => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

fn name_of_role(role: Role) -> &'static str {
    match role {
        Role::Frontend => "frontend",
        Role::Agent => "agent",
        Role::Core => "core",
    }
}

/// Every kind of message, with sequence numbers and addresses that all differ.
fn messages() -> [Message; 9] {
    [
        Message::Ping {
            sequence_number: 0x2122_2324,
        },
        Message::PingRequest {
            sequence_number: 0x3132_3334,
            target: address(31, 7_031),
        },
        Message::Ack {
            sequence_number: 0x4142_4344,
        },
        Message::Nack {
            sequence_number: 0x5152_5354,
        },
        Message::PageRequest { after: None },
        Message::PageRequest {
            after: Some(address(61, 7_061)),
        },
        Message::Page { last: None },
        Message::Page {
            last: Some(address(71, 7_071)),
        },
        Message::UpdatesOnly,
    ]
}

#[test]
fn encoded_datagrams_match_the_golden_file() {
    let datagram = |sender: MemberUpdate, message, updates| Datagram {
        sender,
        list_digest: 0x8182_8384_8586_8788,
        message,
        updates,
    };
    let core = alive(1, Role::Core, "north");
    let mut datagrams = Vec::new();
    for message in messages() {
        let name = name_of_message(message);
        datagrams.push((
            name.to_string(),
            datagram(core.clone(), message, Vec::new()),
        ));
        let updates = members_in_every_state();
        datagrams.push((
            format!("{name}_with_updates"),
            datagram(core.clone(), message, updates),
        ));
    }
    for sender in members_in_every_state() {
        let name = format!(
            "from_{}_{}",
            name_of_state(sender.state),
            name_of_role(sender.role)
        );
        datagrams.push((name, datagram(sender, Message::UpdatesOnly, Vec::new())));
    }
    let longest_zone = alive(1, Role::Core, &"z".repeat(MAX_ZONE_BYTES));
    datagrams.push((
        "from_the_longest_zone".to_string(),
        datagram(longest_zone, Message::UpdatesOnly, Vec::new()),
    ));
    check_datagrams("datagrams.txt", &datagrams);

    let senders = members_in_every_state();
    let states: BTreeSet<&str> = senders
        .iter()
        .map(|sender| name_of_state(sender.state))
        .collect();
    let roles: BTreeSet<&str> = senders
        .iter()
        .map(|sender| name_of_role(sender.role))
        .collect();
    assert_eq!(
        (states.len(), roles.len()),
        (4, 3),
        "every state and every role occurs"
    );
}

/// The state machine of a member at the first address, in zone `north`.
fn swim() -> Swim {
    let MemberUpdate {
        address,
        role,
        zone,
        process_incarnation,
        ..
    } = alive(1, Role::Core, "north");
    Swim::new(
        LiveMember {
            address,
            role,
            zone,
            process_incarnation,
        },
        Vec::new(),
        SwimSettings::default(),
        5,
        START,
    )
}

/// The datagrams that a member sends when it receives this message.
fn responses_to(
    swim: &mut Swim,
    sender: &MemberUpdate,
    message: Message,
    updates: &[MemberUpdate],
) -> Vec<Outgoing> {
    let datagram = Datagram {
        sender: sender.clone(),
        list_digest: 0,
        message,
        updates: updates.to_vec(),
    };
    swim.receive(sender.address, datagram, START)
}

/// Names each datagram by its cause, its position and its receiver.
fn with_names(cause: &str, outgoing: Vec<Outgoing>) -> Vec<(String, Datagram)> {
    let name =
        |(position, sent): (usize, &Outgoing)| format!("{cause} {position} to {}", sent.to.0);
    let names: Vec<String> = outgoing.iter().enumerate().map(name).collect();
    names
        .into_iter()
        .zip(outgoing.into_iter().map(|sent| sent.datagram))
        .collect()
}

/// Covers digests of membership lists, updates on responses, and pages: other processes compare them or rely on them.
#[test]
fn responses_of_a_member_match_the_golden_file() {
    let other = alive(11, Role::Frontend, "north");
    let mut swim = swim();
    let mut sent = Vec::new();
    let mut record = |cause: &str, outgoing| sent.extend(with_names(cause, outgoing));
    record(
        "probe",
        responses_to(
            &mut swim,
            &other,
            Message::Ping {
                sequence_number: 41,
            },
            &members_in_every_state(),
        ),
    );
    let to_itself = Message::PingRequest {
        sequence_number: 42,
        target: address(1, 7_000),
    };
    record(
        "request to probe itself",
        responses_to(&mut swim, &other, to_itself, &[]),
    );
    let relayed = Message::PingRequest {
        sequence_number: 43,
        target: address(12, 7_000),
    };
    record(
        "request to probe a suspect",
        responses_to(&mut swim, &other, relayed, &[]),
    );
    let suspect = alive(12, Role::Agent, "east");
    record(
        "answer to a relayed probe",
        responses_to(
            &mut swim,
            &suspect,
            Message::Ack { sequence_number: 1 },
            &[],
        ),
    );
    record(
        "contradicted probe",
        responses_to(
            &mut swim,
            &suspect,
            Message::Ping {
                sequence_number: 44,
            },
            &[],
        ),
    );
    let own_death = MemberUpdate {
        state: MemberState::Dead,
        ..alive(1, Role::Core, "north")
    };
    record(
        "word of its own death",
        responses_to(
            &mut swim,
            &other,
            Message::Ping {
                sequence_number: 45,
            },
            &[own_death],
        ),
    );
    let many: Vec<MemberUpdate> = (100..160)
        .map(|last| alive(last, Role::Agent, "north"))
        .collect();
    record(
        "news",
        responses_to(&mut swim, &other, Message::UpdatesOnly, &many),
    );
    record(
        "first page",
        responses_to(&mut swim, &other, Message::PageRequest { after: None }, &[]),
    );
    let after = Some(address(140, 7_000));
    record(
        "page after an address",
        responses_to(&mut swim, &other, Message::PageRequest { after }, &[]),
    );
    check_datagrams("datagrams_of_swim.txt", &sent);

    let last_pages = sent
        .iter()
        .filter(|(_, sent)| sent.message == Message::Page { last: None });
    let pages = sent
        .iter()
        .filter(|(_, sent)| matches!(sent.message, Message::Page { .. }));
    assert_eq!(
        (pages.count(), last_pages.count()),
        (2, 1),
        "one page is cut off and one reaches the end of the list"
    );
}

#[test]
fn a_leaving_member_announces_that_it_has_left() {
    let other = alive(11, Role::Frontend, "north");
    let mut swim = swim();
    responses_to(&mut swim, &other, Message::UpdatesOnly, &[]);
    let notifications = swim.leave();
    let [Outgoing { to, datagram }] = notifications.as_slice() else {
        panic!("one notification, not {notifications:?}");
    };
    let own = MemberUpdate {
        incarnation: 0,
        state: MemberState::Left,
        ..alive(1, Role::Core, "north")
    };
    assert_eq!(
        (*to, &datagram.sender, datagram.message),
        (other.address, &own, Message::UpdatesOnly)
    );
}

#[test]
fn error_texts_match_the_golden_file() {
    let name = |error| match error {
        DatagramError::TooLarge => "too_large",
        DatagramError::UnknownFormat => "unknown_form",
        DatagramError::Malformed => "malformed",
    };
    let too_large = vec![1; MAX_DATAGRAM_BYTES + 1];
    let rejected = [too_large.as_slice(), &[2, 0], &[1, 0]];
    let errors = rejected.map(|bytes| Datagram::decode(bytes).expect_err("no datagram"));
    check(
        "errors.txt",
        &errors.map(|error| (name(error).to_string(), error.to_string())),
    );
}

/// Every build has to select the same processes from the same table.
#[test]
fn home_fronts_and_view_sources_match_the_golden_file() {
    let member = |last, role, zone: &str| {
        let MemberUpdate {
            address,
            role,
            zone,
            process_incarnation,
            ..
        } = alive(last, role, zone);
        LiveMember {
            address,
            role,
            zone,
            process_incarnation,
        }
    };
    let fronts = (1..=6).map(|last| member(last, Role::Frontend, "north"));
    let cores = (21..=24).map(|last| member(last, Role::Core, "north"));
    let distant = (31..=33).map(|last| member(last, Role::Frontend, "east"));
    let alone = [member(41, Role::Frontend, "west")];
    let table = LiveTable::new(fronts.chain(cores).chain(distant).chain(alone).collect());

    let text =
        |found: Option<PeerAddress>| found.map_or("none".to_string(), |found| found.0.to_string());
    let mut entries = Vec::new();
    for zone in ["north", "east", "west", "south"] {
        entries.push((
            format!("home of {zone}"),
            text(table.home_front(zone, None)),
        ));
        for service in ["orders", "mail", "search"] {
            let home = table.home_front(zone, Some(&ServiceName(service.to_string())));
            entries.push((format!("home of {zone} for {service}"), text(home)));
        }
        for subscriber in [address(51, 7_000), address(52, 7_001), address(53, 7_002)] {
            let source = table.view_source(zone, subscriber);
            entries.push((
                format!("source of views in {zone} for {}", subscriber.0),
                text(source),
            ));
        }
    }
    check("homes.txt", &entries);
}

/// All processes of a cluster should use the same values, also while the cluster is being updated.
#[test]
fn protocol_defaults_match_the_golden_file() {
    let SwimSettings {
        protocol_period_ms,
        ack_timeout_ms,
        ping_resend_ms,
        relay_timeout_ms,
        ping_request_fanout,
        suspicion_timeout_ms,
        suspicion_timeout_ratio,
        suspicion_confirmations,
        forget_after_ms,
        other_zone_every_periods,
        reconnect_every_periods,
        page_every_periods,
        join_retry_ms,
        suspended_after_ms,
    } = SwimSettings::default();
    let entries = [
        ("period, ms", protocol_period_ms),
        ("direct answer, ms", ack_timeout_ms),
        ("repetition, ms", ping_resend_ms),
        ("answer to a helper, ms", relay_timeout_ms),
        ("helpers", ping_request_fanout as u64),
        ("suspicion, ms", suspicion_timeout_ms),
        ("ratio of suspicions", u64::from(suspicion_timeout_ratio)),
        ("confirmations", suspicion_confirmations as u64),
        ("forgetting, ms", forget_after_ms),
        (
            "periods between probes of another zone",
            other_zone_every_periods,
        ),
        (
            "periods between probes of absent members",
            reconnect_every_periods,
        ),
        ("periods between pages", page_every_periods),
        ("pause while joining, ms", join_retry_ms),
        ("frozen after, ms", suspended_after_ms),
        ("largest datagram, bytes", MAX_DATAGRAM_BYTES as u64),
        ("longest zone, bytes", MAX_ZONE_BYTES as u64),
    ];
    check(
        "protocol_defaults.txt",
        &entries.map(|(name, value)| (name.to_string(), value.to_string())),
    );
}

#[test]
fn every_golden_file_is_checked() {
    check_folder(folder(), FILES);
}
