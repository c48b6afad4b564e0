//! Encoded forms that must not change: the status on the disk, snapshots and their checksum, and the messages of
//! replicas.

mod common;

use borsh::{BorshDeserialize, BorshSerialize};
use common::{entry, view, START};
use lupinrack_chain::limits::SNAPSHOT_CHUNK_BYTES;
use lupinrack_chain::{snapshot_checksum, Chain, Effect, ReplicaStatus, StoredState};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange, Operation};
use lupinrack_cluster_api::time::Millis;
use lupinrack_golden_files::{check_text, path, to_hex, GoldenFile};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Debug;
use std::path::Path;

const HEAD: DiskId = DiskId(0x21);
const TAIL: DiskId = DiskId(0x32);
const SPARE: DiskId = DiskId(0x43);
/// The number of the view in which all replicas start.
const VIEW: u64 = 0x0504;
/// The index that the snapshot of the members covers.
const SNAPSHOT_INDEX: u64 = 0x0708;

/// Checks that the file holds exactly the encoded forms of these values, and that they decode to the values.
fn assert_kept<T>(file: &str, examples: &[(String, T)])
where
    T: BorshSerialize + BorshDeserialize + PartialEq + Debug,
{
    let mut golden = GoldenFile::open(Path::new(path!()).join(file));
    for (name, value) in examples {
        golden.add_borsh(name, value);
    }
    golden.check();
}

#[test]
fn the_status_on_the_disk() {
    let name = |replica_status| match replica_status {
        ReplicaStatus::Complete => "complete",
        ReplicaStatus::Joining => "joining",
    };
    let examples = [ReplicaStatus::Complete, ReplicaStatus::Joining];
    assert_kept(
        "standing.hex",
        &examples.map(|replica_status| (name(replica_status).to_owned(), replica_status)),
    );
}

#[test]
fn the_checksum_of_a_snapshot() {
    let lengths = [0, 1, 7, 8, 9, 15, 16, 17, 1000, SNAPSHOT_CHUNK_BYTES + 3];
    let line = |length| {
        format!(
            "{length} bytes: {:016x}\n",
            snapshot_checksum(&state(length))
        )
    };
    check_text(path!("checksum.hex"), &lengths.map(line).concat());
}

/// The file has each message up to the bytes of the chunk, and the number and checksum of these bytes.
#[test]
fn the_chunks_of_a_snapshot() {
    let mut text = String::new();
    for length in [
        0,
        5,
        SNAPSHOT_CHUNK_BYTES,
        SNAPSHOT_CHUNK_BYTES + 1,
        3 * SNAPSHOT_CHUNK_BYTES - 1,
    ] {
        for message in chunks(state(length)) {
            let encoded = borsh::to_vec(&message).unwrap();
            assert_eq!(
                borsh::from_slice::<ChainMessage>(&encoded).unwrap(),
                message
            );
            let ChainMessage::Snapshot { chunk, bytes, .. } = message else {
                panic!("not a chunk: {message:?}")
            };
            let (head, tail) = encoded.split_at(encoded.len() - bytes.len());
            assert_eq!(tail, bytes);
            let checksum = snapshot_checksum(&bytes);
            let (head, count) = (to_hex(head), bytes.len());
            text += &format!(
                "{length} bytes, chunk {chunk}: {head} and {count} bytes of {checksum:016x}\n"
            );
        }
    }
    check_text(path!("chunks.hex"), &text);
}

#[test]
fn the_messages_of_replicas() {
    let mut replicas = Replicas::new();
    replicas.adopt_by(&[HEAD, TAIL, SPARE], VIEW, &[HEAD, TAIL]);
    replicas.submit(Operation::ChangeConfiguration(ConfigurationChange {
        if_match: 0x0a09,
        body: ConfigurationBody::Patch("{}".into()),
    }));
    replicas.submit(entry(0, 0x0c0b).operation);
    replicas.start_barrier();
    replicas.tick();
    replicas.tick();
    // The spare does not know the new view at first.
    replicas.adopt_by(&[HEAD, TAIL], VIEW + 1, &[TAIL]);
    replicas.tick();
    let kinds: BTreeSet<&str> = replicas
        .sent
        .iter()
        .map(|(_, message)| kind(message))
        .collect();
    assert_eq!(kinds.len(), 8, "{kinds:?}");
    assert_kept("messages.hex", &replicas.sent);
}

/// A state of this many bytes.
fn state(length: usize) -> Vec<u8> {
    (0..length)
        .map(|index| (index * 7 + index / 256) as u8)
        .collect()
}

/// The messages that transfer this state to a spare.
fn chunks(state: Vec<u8>) -> Vec<ChainMessage> {
    let mut tail = member(TAIL, 1);
    tail.adopt_view(view(VIEW, &[TAIL.0]), START);
    let join = ChainMessage::Join {
        view: VIEW,
        disk: SPARE,
        have: Some(0),
    };
    assert!(tail
        .receive(SPARE, join, START)
        .contains(&Effect::NeedSnapshot));
    let message = |effect| match effect {
        Effect::Send(_, message) => message,
        other => panic!("not a message: {other:?}"),
    };
    tail.provide_snapshot(SNAPSHOT_INDEX, state, START)
        .into_iter()
        .map(message)
        .collect()
}

/// A disk that has only a snapshot.
fn member(disk: DiskId, minimum_length: usize) -> Chain {
    Chain::new(
        disk,
        minimum_length,
        StoredState {
            snapshot_index: SNAPSHOT_INDEX,
            ..StoredState::default()
        },
    )
}

/// A head, a tail and a spare whose writes and messages complete at once, in order.
struct Replicas {
    chains: BTreeMap<DiskId, Chain>,
    now: Millis,
    /// Every message, named by its number, kind, sender and receiver.
    sent: Vec<(String, ChainMessage)>,
}

impl Replicas {
    fn new() -> Replicas {
        let spare = Chain::new(SPARE, 1, StoredState::default());
        let chains = [
            (HEAD, member(HEAD, 1)),
            (TAIL, member(TAIL, 1)),
            (SPARE, spare),
        ];
        Replicas {
            chains: BTreeMap::from(chains),
            now: START,
            sent: Vec::new(),
        }
    }

    /// Makes these disks adopt a view with this chain.
    fn adopt_by(&mut self, disks: &[DiskId], number: u64, chain: &[DiskId]) {
        let chain: Vec<u64> = chain.iter().map(|disk| disk.0).collect();
        for disk in disks {
            let now = self.now;
            let effects = self.chain(*disk).adopt_view(view(number, &chain), now);
            self.run(*disk, effects);
        }
    }

    fn submit(&mut self, operation: Operation) {
        let now = self.now;
        let (_, effects) = self.chain(HEAD).submit(operation, now).unwrap();
        self.run(HEAD, effects);
    }

    fn start_barrier(&mut self) {
        let now = self.now;
        let (_, effects) = self.chain(HEAD).start_barrier(now).unwrap();
        self.run(HEAD, effects);
    }

    fn tick(&mut self) {
        self.now = self.now.plus(200);
        for disk in [HEAD, TAIL, SPARE] {
            let now = self.now;
            let effects = self.chain(disk).tick(now);
            self.run(disk, effects);
        }
    }

    fn chain(&mut self, disk: DiskId) -> &mut Chain {
        self.chains.get_mut(&disk).unwrap()
    }

    fn run(&mut self, disk: DiskId, effects: Vec<Effect>) {
        let mut queue: VecDeque<_> = effects.into_iter().map(|effect| (disk, effect)).collect();
        while let Some((disk, effect)) = queue.pop_front() {
            let (at, effects) = self.carry_out(disk, effect);
            queue.extend(effects.into_iter().map(|effect| (at, effect)));
        }
    }

    /// Carries out one effect. Returns the effects that follow, and the disk that returned them.
    fn carry_out(&mut self, disk: DiskId, effect: Effect) -> (DiskId, Vec<Effect>) {
        let now = self.now;
        let chain = self.chains.get_mut(&disk).unwrap();
        let effects = match effect {
            Effect::Send(to, message) => return (to, self.deliver(disk, to, message)),
            Effect::Append(entries) => chain.entries_written(entries.last().unwrap().index, now),
            Effect::TruncateAfter(index) => chain.log_truncated(index, now),
            Effect::Install { index, .. } => chain.snapshot_installed(index, now),
            Effect::StoreReplicaStatus(_) => chain.replica_status_stored(now),
            Effect::NeedSnapshot => chain.provide_snapshot(chain.committed(), state(5), now),
            Effect::Commit(_) | Effect::Barrier(_) => Vec::new(),
        };
        (disk, effects)
    }

    fn deliver(&mut self, from: DiskId, to: DiskId, message: ChainMessage) -> Vec<Effect> {
        let name = format!(
            "{:02} {} {:x} to {:x}",
            self.sent.len(),
            kind(&message),
            from.0,
            to.0
        );
        self.sent.push((name, message.clone()));
        let now = self.now;
        self.chain(to).receive(from, message, now)
    }
}

fn kind(message: &ChainMessage) -> &'static str {
    match message {
        ChainMessage::Append { entries, .. } if entries.is_empty() => "probe",
        ChainMessage::Append { .. } => "append",
        ChainMessage::Acknowledge { .. } => "acknowledge",
        ChainMessage::Resend { .. } => "resend",
        ChainMessage::Snapshot { .. } => "snapshot",
        ChainMessage::SnapshotReceived { .. } => "snapshot received",
        ChainMessage::Join { .. } => "join",
        ChainMessage::Outdated { .. } => "outdated",
    }
}
