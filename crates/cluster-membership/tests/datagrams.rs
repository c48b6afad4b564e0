//! Encoding and decoding of datagrams.

use lupinrack_cluster_api::frame::Role;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_membership::datagram::{DatagramError, MAX_DATAGRAM_BYTES};
use lupinrack_cluster_membership::member_update::MAX_ZONE_BYTES;
use lupinrack_cluster_membership::{
    Datagram, LiveMember, MemberState, MemberUpdate, Message, Swim, SwimSettings,
};
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::net::SocketAddrV4;

#[derive(Clone, Debug)]
struct AnyUpdate(MemberUpdate);

#[derive(Clone, Debug)]
struct AnyDatagram(Datagram);

fn any_address(random: &mut Gen) -> PeerAddress {
    let octet = u8::arbitrary(random) % 8;
    PeerAddress(SocketAddrV4::new([10, 0, 0, octet].into(), 7_000))
}

impl Arbitrary for AnyUpdate {
    fn arbitrary(random: &mut Gen) -> Self {
        let by = any_address(random);
        let states = [
            MemberState::Alive,
            MemberState::Suspect { by },
            MemberState::Dead,
            MemberState::Left,
        ];
        let roles = [Role::Frontend, Role::Agent, Role::Core];
        AnyUpdate(MemberUpdate {
            address: any_address(random),
            role: random.choose(&roles).copied().unwrap_or(Role::Core),
            zone: "z".repeat(usize::arbitrary(random) % (MAX_ZONE_BYTES + 1)),
            process_incarnation: u64::arbitrary(random) % 3,
            incarnation: u32::arbitrary(random) % 4,
            state: random
                .choose(&states)
                .copied()
                .unwrap_or(MemberState::Alive),
        })
    }
}

impl Arbitrary for AnyDatagram {
    fn arbitrary(random: &mut Gen) -> Self {
        let sequence_number = u32::arbitrary(random);
        let messages = [
            Message::Ping { sequence_number },
            Message::PingRequest {
                sequence_number,
                target: any_address(random),
            },
            Message::Ack { sequence_number },
            Message::Nack { sequence_number },
            Message::PageRequest {
                after: bool::arbitrary(random).then(|| any_address(random)),
            },
            Message::Page {
                last: bool::arbitrary(random).then(|| any_address(random)),
            },
            Message::UpdatesOnly,
        ];
        let AnyUpdate(sender) = AnyUpdate::arbitrary(random);
        let updates = Vec::<AnyUpdate>::arbitrary(random);
        AnyDatagram(Datagram {
            sender,
            list_digest: u64::arbitrary(random),
            message: random
                .choose(&messages)
                .copied()
                .unwrap_or(Message::UpdatesOnly),
            updates: updates
                .into_iter()
                .map(|AnyUpdate(update)| update)
                .collect(),
        })
    }
}

fn swim() -> Swim {
    let own = LiveMember {
        address: PeerAddress(SocketAddrV4::new([10, 0, 0, 1].into(), 7_000)),
        role: Role::Core,
        zone: "z".to_string(),
        process_incarnation: 1,
    };
    Swim::new(own, Vec::new(), SwimSettings::default(), 5, Millis(1))
}

quickcheck! {
    fn random_bytes_are_rejected(bytes: Vec<u8>) -> bool {
        Datagram::decode(&bytes).is_err()
    }

    fn a_datagram_decodes_to_itself_without_the_updates_that_do_not_fit(any: AnyDatagram) -> bool {
        let AnyDatagram(datagram) = any;
        let bytes = datagram.encode();
        let Ok(decoded) = Datagram::decode(&bytes) else { return false };
        let head = (decoded.sender, decoded.list_digest, decoded.message);
        let same = head == (datagram.sender, datagram.list_digest, datagram.message);
        same && bytes.len() <= MAX_DATAGRAM_BYTES && datagram.updates.starts_with(&decoded.updates)
    }

    fn a_corrupt_datagram_is_rejected_or_decoded_exactly(any: AnyDatagram, offset: usize, byte: u8, truncated: bool) -> bool {
        let mut bytes = any.0.encode();
        let offset = offset % bytes.len();
        if truncated {
            bytes.truncate(offset);
            return Datagram::decode(&bytes).is_err();
        }
        bytes[offset] = byte;
        match Datagram::decode(&bytes) {
            Ok(decoded) => decoded.encode() == bytes,
            Err(_) => true,
        }
    }

    fn a_member_survives_forged_datagrams(datagrams: Vec<AnyDatagram>) -> bool {
        let mut swim = swim();
        let mut now = Millis(1);
        for AnyDatagram(datagram) in datagrams {
            let sent = swim.receive(datagram.sender.address, datagram, now);
            now = now.plus(170);
            let sent_by_tick = swim.tick(now);
            let encodes_completely = |outgoing: &lupinrack_cluster_membership::Outgoing| {
                Datagram::decode(&outgoing.datagram.encode()).as_ref() == Ok(&outgoing.datagram)
            };
            if !sent.iter().chain(&sent_by_tick).all(encodes_completely) {
                return false;
            }
        }
        swim.live_table().get(PeerAddress(SocketAddrV4::new([10, 0, 0, 1].into(), 7_000))).is_some()
    }
}

#[test]
fn datagrams_of_invalid_size_or_format_are_rejected() {
    let bytes = vec![1; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(Datagram::decode(&bytes), Err(DatagramError::TooLarge));
    assert_eq!(Datagram::decode(&[]), Err(DatagramError::Malformed));
    assert_eq!(Datagram::decode(&[9, 9]), Err(DatagramError::UnknownFormat));
}

#[test]
fn a_datagram_with_a_too_long_zone_name_is_rejected() {
    let mut datagram = Datagram {
        sender: MemberUpdate {
            address: PeerAddress(SocketAddrV4::new([10, 0, 0, 2].into(), 7_000)),
            role: Role::Core,
            zone: "z".repeat(MAX_ZONE_BYTES + 1),
            process_incarnation: 1,
            incarnation: 0,
            state: MemberState::Alive,
        },
        list_digest: 0,
        message: Message::UpdatesOnly,
        updates: Vec::new(),
    };
    assert_eq!(
        Datagram::decode(&datagram.encode()),
        Err(DatagramError::Malformed)
    );
    datagram.sender.zone.pop();
    assert_eq!(Datagram::decode(&datagram.encode()), Ok(datagram));
}
