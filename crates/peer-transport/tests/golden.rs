//! Golden files of what fronts send each other: heads with their sums, and pieces of streams.

use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_peer_transport::frame::{open, room, seal, Head, Keys, Tag, HEAD, LONGEST};
use lupinrack_peer_transport::stream::{Out, Streams};

/// Fronts of the roster that the examples are read for: more than the sender's index.
const FRONTS: usize = 0x0700;

fn head(tag: Tag) -> Head {
    Head {
        tag,
        roster: 0x0102_0304,
        from: 0x0506,
        seq: 0x0708_090a,
        life: 0x0b0c_0d0e_0f10_1112,
        to_life: 0x1314_1516_1718_191a,
    }
}

fn keyed() -> Keys {
    Keys {
        sign: Some([0x5a; 32]),
        also: None,
    }
}

struct Frame {
    name: &'static str,
    head: Head,
    said: Vec<u8>,
    keys: Keys,
}

fn frames() -> Vec<Frame> {
    let frame = |name, tag, said: &[u8], keys| Frame {
        name,
        head: head(tag),
        said: said.to_vec(),
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
        frame("keyed", Tag::OVERLOAD, b"it answers", keyed()),
        frame(
            "longest",
            Tag::STREAM,
            &vec![0xc3; room(&Keys::default())],
            Keys::default(),
        ),
        frame(
            "longest_keyed",
            Tag::STREAM,
            &vec![0xc3; room(&keyed())],
            keyed(),
        ),
    ];
    let mut unknown = frame(
        "receiver_not_known",
        Tag::MEMBERSHIP,
        b"hello",
        Keys::default(),
    );
    unknown.head.to_life = 0;
    frames.push(unknown);
    frames
}

#[test]
fn datagrams_keep_their_head_and_sum() {
    let mut examples = GoldenFile::open(path!("frames.txt"));
    for frame in frames() {
        examples.add_bytes(frame.name, &seal(&frame.head, &frame.said, &frame.keys));
    }
    let kept = examples.check();
    for frame in frames() {
        let bytes = kept.bytes(frame.name);
        assert_eq!(
            open(&bytes, FRONTS, &frame.keys),
            Ok((frame.head, &frame.said[..])),
            "{}",
            frame.name
        );
    }
    // While keys are changed the one that is not signed with is valid too.
    let changing = Keys {
        sign: Some([0xa5; 32]),
        also: keyed().sign,
    };
    assert!(open(&kept.bytes("keyed"), FRONTS, &changing).is_ok());
    let lengths = (
        kept.bytes("longest").len(),
        kept.bytes("longest_keyed").len(),
    );
    assert_eq!((lengths, HEAD), ((LONGEST, LONGEST), 30));
}

/// Room of a datagram in the examples: pieces of 20 bytes.
const ROOM: usize = 34;
/// The fronts at both ends of the stream.
const SENDER: u16 = 3;
const RECEIVER: u16 = 9;

fn message() -> Vec<u8> {
    (0..45).map(|i| 0x40 + i).collect()
}

fn pieces(out: &[Out]) -> Vec<Vec<u8>> {
    let piece = |o: &Out| match o {
        Out::Piece(_, bytes) => Some(bytes.clone()),
        _ => None,
    };
    out.iter().filter_map(piece).collect()
}

#[test]
fn streams_keep_their_pieces_and_their_answers() {
    let mut sender = Streams::new(ROOM, 1);
    assert_eq!(sender.send(0, RECEIVER, Tag::REGISTRY, message()), Ok(1));
    let mut sent = Vec::new();
    sender.tick(0, |_, _| true, &mut sent);
    let sent = pieces(&sent);
    assert_eq!(sent.len(), 3);

    // The second piece comes first: what the receiver has without a gap differs from what it was told last.
    let order = [1, 0, 2];
    let mut receiver = Streams::new(ROOM, 2);
    let mut answers = Vec::new();
    order
        .iter()
        .for_each(|at| receiver.hear(0, SENDER, &sent[*at], &mut answers));
    let answers = pieces(&answers);

    let mut examples = GoldenFile::open(path!("streams.txt"));
    for (at, piece) in sent.iter().enumerate() {
        examples.add_bytes(format!("piece_{at}"), piece);
    }
    for (at, answer) in order.iter().zip(&answers) {
        examples.add_bytes(format!("answer_to_piece_{at}"), answer);
    }
    let kept = examples.check();

    let (mut receiver, mut came) = (Streams::new(ROOM, 3), Vec::new());
    for at in order {
        receiver.hear(0, SENDER, &kept.bytes(&format!("piece_{at}")), &mut came);
    }
    assert!(
        came.contains(&Out::Came(SENDER, Tag::REGISTRY, message())),
        "{came:?}"
    );
    let mut done = Vec::new();
    for at in order {
        sender.hear(
            1_000,
            RECEIVER,
            &kept.bytes(&format!("answer_to_piece_{at}")),
            &mut done,
        );
    }
    assert_eq!(done, [Out::Done(RECEIVER, Tag::REGISTRY, 1)]);
}
