//! Golden files of what fronts send each other: frames, and the segments and acknowledgements of streams.

use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_peer_transport::frame::{
    max_payload_bytes, open, seal, Header, Keys, Tag, HEADER_BYTES, MAX_DATAGRAM_BYTES,
};
use lupinrack_peer_transport::stream::{Output, Streams};

/// The size of the roster for which the examples are decoded; it is above the sender's index.
const FRONT_COUNT: usize = 0x0700;

fn header(tag: Tag) -> Header {
    Header {
        tag,
        roster_hash: 0x0102_0304,
        from: 0x0506,
        sequence: 0x0708_090a,
        process_incarnation: 0x0b0c_0d0e_0f10_1112,
        to_process_incarnation: 0x1314_1516_1718_191a,
    }
}

fn keys() -> Keys {
    Keys {
        sign: Some([0x5a; 32]),
        also_accepted: None,
    }
}

struct Frame {
    name: &'static str,
    header: Header,
    payload: Vec<u8>,
    keys: Keys,
}

fn frames() -> Vec<Frame> {
    let frame = |name, tag, payload: &[u8], keys| Frame {
        name,
        header: header(tag),
        payload: payload.to_vec(),
        keys,
    };
    let mut frames = vec![
        frame(
            "membership",
            Tag::MEMBERSHIP,
            b"who is there",
            Keys::default(),
        ),
        frame("stream", Tag::STREAM, b"a piece", Keys::default()),
        frame("overload", Tag::OVERLOAD, b"it answers", Keys::default()),
        frame("registry", Tag::REGISTRY, b"a rule", Keys::default()),
        frame("missing", Tag::MISSING, b"a key", Keys::default()),
        frame("nothing_said", Tag::MEMBERSHIP, b"", Keys::default()),
        frame("keyed", Tag::OVERLOAD, b"it answers", keys()),
        frame(
            "longest",
            Tag::STREAM,
            &vec![0xc3; max_payload_bytes(&Keys::default())],
            Keys::default(),
        ),
        frame(
            "longest_keyed",
            Tag::STREAM,
            &vec![0xc3; max_payload_bytes(&keys())],
            keys(),
        ),
    ];
    let mut unknown_receiver = frame(
        "receiver_not_known",
        Tag::MEMBERSHIP,
        b"hello",
        Keys::default(),
    );
    unknown_receiver.header.to_process_incarnation = 0;
    frames.push(unknown_receiver);
    frames
}

#[test]
fn frame_encoding_matches_golden_file() {
    let mut examples = GoldenFile::open(path!("frames.txt"));
    for frame in frames() {
        examples.add_bytes(
            frame.name,
            &seal(&frame.header, &frame.payload, &frame.keys),
        );
    }
    let golden = examples.check();
    for frame in frames() {
        let bytes = golden.bytes(frame.name);
        assert_eq!(
            open(&bytes, FRONT_COUNT, &frame.keys),
            Ok((frame.header, &frame.payload[..])),
            "{}",
            frame.name
        );
    }
    // During a key rotation the key that no longer signs is still accepted.
    let rotating = Keys {
        sign: Some([0xa5; 32]),
        also_accepted: keys().sign,
    };
    assert!(open(&golden.bytes("keyed"), FRONT_COUNT, &rotating).is_ok());
    let lengths = (
        golden.bytes("longest").len(),
        golden.bytes("longest_keyed").len(),
    );
    assert_eq!(
        (lengths, HEADER_BYTES),
        ((MAX_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES), 30)
    );
}

/// The payload of a datagram in the examples: segments of 20 bytes.
const MAX_PAYLOAD_BYTES: usize = 34;
/// The indexes of the fronts at both ends of the stream.
const SENDER: u16 = 3;
const RECEIVER: u16 = 9;

fn message() -> Vec<u8> {
    (0..45).map(|i| 0x40 + i).collect()
}

fn segments(out: &[Output]) -> Vec<Vec<u8>> {
    let segment = |o: &Output| match o {
        Output::Segment(_, bytes) => Some(bytes.clone()),
        _ => None,
    };
    out.iter().filter_map(segment).collect()
}

#[test]
fn stream_encoding_matches_golden_file() {
    let mut sender = Streams::new(MAX_PAYLOAD_BYTES, 1);
    assert_eq!(sender.send(0, RECEIVER, Tag::REGISTRY, message()), Ok(1));
    let mut sent = Vec::new();
    sender.tick(0, |_, _| true, &mut sent);
    let sent = segments(&sent);
    assert_eq!(sent.len(), 3);

    // The second segment arrives first, so the bytes without a gap are not the same as the bytes last received.
    let order = [1, 0, 2];
    let mut receiver = Streams::new(MAX_PAYLOAD_BYTES, 2);
    let mut acks = Vec::new();
    order
        .iter()
        .for_each(|index| receiver.receive(0, SENDER, &sent[*index], &mut acks));
    let acks = segments(&acks);

    let mut examples = GoldenFile::open(path!("streams.txt"));
    for (index, segment) in sent.iter().enumerate() {
        examples.add_bytes(format!("piece_{index}"), segment);
    }
    for (index, ack) in order.iter().zip(&acks) {
        examples.add_bytes(format!("answer_to_piece_{index}"), ack);
    }
    let golden = examples.check();

    let (mut receiver, mut received) = (Streams::new(MAX_PAYLOAD_BYTES, 3), Vec::new());
    for index in order {
        receiver.receive(
            0,
            SENDER,
            &golden.bytes(&format!("piece_{index}")),
            &mut received,
        );
    }
    assert!(
        received.contains(&Output::Received(SENDER, Tag::REGISTRY, message())),
        "{received:?}"
    );
    let mut delivered = Vec::new();
    for index in order {
        sender.receive(
            1_000,
            RECEIVER,
            &golden.bytes(&format!("answer_to_piece_{index}")),
            &mut delivered,
        );
    }
    assert_eq!(delivered, [Output::Delivered(RECEIVER, Tag::REGISTRY, 1)]);
}
