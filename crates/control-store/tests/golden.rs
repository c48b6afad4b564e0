//! The rows of the data file, compared with the examples in `tests/golden`.
//!
//! The rows are read and written with `redb` itself, so that the test compares their table, keys
//! and bytes as they are on a disk.

mod golden_rows;
mod golden_sparse;

use golden_rows::{read_rows, write_rows, Key, Row};
use golden_sparse::{read_sparse, write_sparse};
use lupinrack_chain::ReplicaStatus;
use lupinrack_cluster_api::agreement::ProposalNumber;
use lupinrack_cluster_api::identity::{
    DiskId, FencingToken, JobId, PeerAddress, QueueName, ServerId, ServiceName, TaskId,
};
use lupinrack_cluster_api::job::JobSpec;
use lupinrack_cluster_api::operation::{
    ConfigurationBody, ConfigurationChange, EndRecord, LogEntry, Operation, StartRecord,
};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_control_store::{Batch, ControlStore, Recovered, StoreSettings, DATA_FILE, NEW_FILE};
use lupinrack_golden_files::{is_update, to_hex, GoldenFile};
use lupinrack_view_agreement::VoteState;
use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// Bytes that are shown of a chunk of a long snapshot.
const BEGINNING_BYTES: usize = 16;

/// More bytes than one row of a snapshot takes.
const LONG_SNAPSHOT_BYTES: usize = 70_000;

/// The file of this name.
fn golden(name: &str) -> GoldenFile {
    GoldenFile::open(format!(
        "{}/tests/golden/{name}",
        env!("CARGO_MANIFEST_DIR")
    ))
}

/// An empty folder of this name.
fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{name}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("the folder can be made");
    folder
}

fn address(number: u8) -> PeerAddress {
    PeerAddress(SocketAddrV4::new(
        Ipv4Addr::new(10, 2, 3, number),
        7000 + u16::from(number),
    ))
}

fn view(number: u64) -> View {
    let voter = |number: u8| Voter {
        disk: DiskId(u64::from(number)),
        address: address(number),
        zone: format!("zone-{number}"),
    };
    View {
        number,
        voters: vec![voter(1), voter(2), voter(3)],
        chain: vec![DiskId(3), DiskId(1)],
    }
}

fn vote() -> VoteState {
    VoteState {
        prepared: ProposalNumber {
            term: 10,
            incarnation: 11,
        },
        accepted_proposal: ProposalNumber {
            term: 12,
            incarnation: 13,
        },
        accepted: view(14),
        agreed: view(15),
        founders: vec![address(1), address(2), address(3)],
    }
}

/// An entry of each operation, from this index on.
fn entries(first: u64) -> Vec<LogEntry> {
    let (job, queue, at) = (JobId(20), QueueName("render".to_owned()), WallMillis(21));
    let (service, token) = (ServiceName("worker".to_owned()), FencingToken(22));
    let server = ServerId("server-5".to_owned());
    let task = TaskId {
        job,
        occurrence: 23,
        step: 24,
        index: 25,
    };
    let spec = JobSpec {
        spec: "work".to_owned(),
        ..JobSpec::default()
    };
    let start = StartRecord {
        task,
        attempt: 26,
        server: server.clone(),
        checkpoint: "half".to_owned(),
    };
    let end = EndRecord {
        task,
        attempt: 27,
        end: RunEnd::LeaseExpired,
        checkpoint: "most".to_owned(),
    };
    let body = ConfigurationBody::Patch("{}".to_owned());
    let operations = [
        Operation::ChangeConfiguration(ConfigurationChange { if_match: 28, body }),
        Operation::AcceptJob {
            job,
            queue: queue.clone(),
            spec,
            at,
        },
        Operation::CancelJob { job, queue, at },
        Operation::TakeShard {
            service: service.clone(),
            token,
            owner: DiskId(29),
            incarnation: 30,
        },
        Operation::RecordStarts {
            service: service.clone(),
            token,
            starts: vec![start],
        },
        Operation::RecordEnds {
            service: service.clone(),
            token,
            ends: vec![end],
            at,
        },
        Operation::RecordServer {
            service,
            token,
            server,
            agent: address(31),
        },
        Operation::ForgetJobs {
            ended_before: WallMillis(32),
        },
        Operation::Noop,
    ];
    (first..)
        .zip(operations)
        .map(|(index, operation)| LogEntry { index, operation })
        .collect()
}

/// Bytes of which no two neighbours are equal.
fn snapshot_bytes(length: usize) -> Vec<u8> {
    (0..length).map(|place| (place % 251) as u8).collect()
}

/// Everything that a disk can hold.
fn full_batch() -> Batch {
    Batch {
        disk: Some(DiskId(0x0102_0304_0506_0708)),
        vote: Some(borsh::to_vec(&vote()).expect("a vote has bytes")),
        view: Some(borsh::to_vec(&view(15)).expect("a view has bytes")),
        replica_status: Some(borsh::to_vec(&ReplicaStatus::Joining).expect("a standing has bytes")),
        truncate_after: Some(500),
        snapshot: Some((500, snapshot_bytes(40))),
        append: entries(501),
        committed: Some(503),
    }
}

/// The recovered state of a disk to which this batch was written.
fn recovered(batch: &Batch) -> Recovered {
    let (snapshot_index, snapshot) = batch.snapshot.clone().unwrap_or_default();
    Recovered {
        disk: batch.disk,
        vote: batch.vote.clone().unwrap_or_default(),
        view: batch.view.clone().unwrap_or_default(),
        replica_status: batch.replica_status.clone().unwrap_or_default(),
        snapshot_index,
        snapshot,
        entries: batch.append.clone(),
        committed: batch.committed.unwrap_or_default(),
    }
}

/// The rows that a new store in `folder` has after these batches.
fn rows_after(folder: &Path, batches: &[Batch]) -> Vec<Row> {
    let (mut store, found) =
        ControlStore::open(folder, StoreSettings::default()).expect("a new store");
    assert_eq!(found, Recovered::default());
    batches
        .iter()
        .for_each(|batch| store.commit(batch).expect("a working disk"));
    drop(store);
    read_rows(&folder.join(DATA_FILE))
}

/// The state that a store recovers from rows that were written without the store.
fn found_in(folder: &Path, rows: &[Row]) -> Recovered {
    write_rows(&folder.join(DATA_FILE), rows);
    let (_, found) = ControlStore::open(folder, StoreSettings::default()).expect("a sound file");
    found
}

/// The name of a row in golden files.
fn row_name((kind, number): Key) -> String {
    let what = match kind {
        1 => "disk",
        2 => "vote",
        3 => "view",
        4 => "head of the snapshot",
        5 => "piece of the snapshot",
        6 => "entry",
        7 => "tail",
        8 => "standing",
        _ => "unknown",
    };
    format!("({kind}, {number}) {what}")
}

/// Compares rows with a golden file, and returns the rows of the file.
fn kept_rows(file: &mut GoldenFile, rows: &[Row]) -> Vec<Row> {
    let kept = |(key, bytes): &Row| {
        let name = row_name(*key);
        file.add_bytes(&name, bytes);
        (*key, file.kept_bytes(&name).unwrap_or(bytes.clone()))
    };
    rows.iter().map(kept).collect()
}

#[test]
fn names() {
    let mut file = golden("names.txt");
    file.add("data file", DATA_FILE);
    file.add("data file while it is made", NEW_FILE);
    let folder = folder("names");
    rows_after(&folder, &[full_batch()]);
    file.add(
        "tables",
        golden_rows::table_names(&folder.join(DATA_FILE)).join(" "),
    );
    file.check();
}

#[test]
fn rows_of_a_new_store() {
    let mut file = golden("rows_of_a_new_store.hex");
    let rows = kept_rows(&mut file, &rows_after(&folder("new"), &[]));
    file.check();
    assert_eq!(found_in(&folder("new-read"), &rows), Recovered::default());
}

#[test]
fn rows_of_everything() {
    let mut file = golden("rows.hex");
    let batch = full_batch();
    let rows = kept_rows(
        &mut file,
        &rows_after(&folder("all"), std::slice::from_ref(&batch)),
    );
    file.check();
    assert_eq!(found_in(&folder("all-read"), &rows), recovered(&batch));
}

/// The rows after a later batch: truncated and replaced entries, a snapshot that covers some of
/// them, a changed replica status.
#[test]
fn rows_after_changes() {
    let mut file = golden("rows_after_changes.hex");
    let replica_status = borsh::to_vec(&ReplicaStatus::Complete).expect("a standing has bytes");
    let append = vec![LogEntry {
        index: 506,
        operation: Operation::Noop,
    }];
    let later = Batch {
        truncate_after: Some(505),
        replica_status: Some(replica_status),
        append,
        ..Batch::default()
    };
    let covering = Batch {
        snapshot: Some((504, snapshot_bytes(3))),
        ..Batch::default()
    };
    let rows = rows_after(
        &folder("changed"),
        &[full_batch(), later.clone(), covering.clone()],
    );
    let rows = kept_rows(&mut file, &rows);
    file.check();
    let mut expected = recovered(&full_batch());
    expected.replica_status = later.replica_status.unwrap_or_default();
    expected.entries.retain(|entry| entry.index == 505);
    expected.entries.extend(later.append);
    (expected.snapshot_index, expected.snapshot) = covering.snapshot.unwrap_or_default();
    assert_eq!(found_in(&folder("changed-read"), &rows), expected);
}

/// The chunks of a long snapshot. Their bytes are compared in code, since the file keeps only their
/// first bytes.
#[test]
fn rows_of_a_long_snapshot() {
    let mut file = golden("rows_of_a_long_snapshot.txt");
    let bytes = snapshot_bytes(LONG_SNAPSHOT_BYTES);
    let batch = Batch {
        snapshot: Some((600, bytes.clone())),
        truncate_after: Some(600),
        ..Batch::default()
    };
    let rows = rows_after(&folder("long"), &[batch]);
    for (key, row) in &rows {
        let shown = if row.len() > BEGINNING_BYTES {
            &row[..BEGINNING_BYTES]
        } else {
            row
        };
        file.add(
            row_name(*key),
            format!("{} bytes, {}", row.len(), to_hex(shown)),
        );
    }
    file.check();
    let chunks: Vec<u8> = rows
        .iter()
        .filter(|((kind, _), _)| *kind == 5)
        .flat_map(|(_, row)| row.clone())
        .collect();
    assert_eq!(chunks, bytes);
    assert_eq!(found_in(&folder("long-read"), &rows).snapshot, bytes);
}

/// The contents of the rows of votes, views and replica statuses.
#[test]
fn values_of_rows() {
    let mut file = golden("values.hex");
    file.add_borsh("vote", &vote());
    file.add_borsh("vote of a disk that has not voted", &VoteState::default());
    file.add_borsh("view", &view(15));
    file.add_borsh("standing complete", &ReplicaStatus::Complete);
    file.add_borsh("standing joining", &ReplicaStatus::Joining);
    file.check();
}

/// A complete data file of an earlier build is read. Its pages are `redb`'s own and are not
/// compared.
#[test]
fn an_old_data_file_is_read() {
    let kept = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/data.redb.sparse");
    if is_update() {
        let folder = folder("old-made");
        rows_after(&folder, &[full_batch()]);
        write_sparse(
            &kept,
            &fs::read(folder.join(DATA_FILE)).expect("the file is there"),
        );
    }
    let folder = folder("old");
    fs::write(folder.join(DATA_FILE), read_sparse(&kept)).expect("the file can be written");
    let (_, found) = ControlStore::open(&folder, StoreSettings::default()).expect("a sound file");
    assert_eq!(found, recovered(&full_batch()));
}
