//! Prints what hundreds of large changes cost: `cargo run --release -p lupinrack-control-store --example measure_large --
//! FOLDER STATE_BYTES`. The folder is left empty.

use lupinrack_cluster_api::operation::{
    ConfigurationBody, ConfigurationChange, LogEntry, Operation,
};
use lupinrack_control_store::{Batch, ControlStore, StoreSettings, DATA_FILE};
use std::path::{Path, PathBuf};
use std::time::Instant;

const CHANGES: u64 = 600;
const CHANGE_BYTES: usize = 300_000;
/// Bytes of the log after which a snapshot is written.
const SNAPSHOT_AFTER: usize = 6_000_000;

fn change(index: u64) -> Batch {
    let body = ConfigurationBody::Replacement("x".repeat(CHANGE_BYTES));
    let operation = Operation::ChangeConfiguration(ConfigurationChange {
        if_match: index - 1,
        body,
    });
    Batch {
        append: vec![LogEntry { index, operation }],
        committed: Some(index - 1),
        ..Batch::default()
    }
}

fn file_length(folder: &Path) -> u64 {
    std::fs::metadata(folder.join(DATA_FILE)).map_or(0, |facts| facts.len())
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let folder = arguments.next().map(PathBuf::from).expect("a folder");
    let state_bytes = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1_000_000);
    let (mut store, _) = ControlStore::open(&folder, StoreSettings::default()).expect("opens");
    let (mut longest, mut log_bytes) = (0, 0);
    let begun = Instant::now();
    for index in 1..=CHANGES {
        store.commit(&change(index)).expect("commits");
        log_bytes += CHANGE_BYTES;
        // The last ones stay, so that the file is opened with as long a log as it ever has.
        if log_bytes >= SNAPSHOT_AFTER && index + 1 < CHANGES {
            let snapshot = Some((index, vec![7; state_bytes]));
            store
                .commit(&Batch {
                    snapshot,
                    ..Batch::default()
                })
                .expect("commits");
            log_bytes = 0;
        }
        longest = longest.max(file_length(&folder));
    }
    println!(
        "{CHANGES} changes of {CHANGE_BYTES} bytes, state of {state_bytes}: {:?} each",
        begun.elapsed() / CHANGES as u32
    );
    println!(
        "file: {longest} bytes at most, {} at the end",
        file_length(&folder)
    );
    // Left open, so that it is opened as after a crash.
    std::mem::forget(store);
    let begun = Instant::now();
    let (store, found) = ControlStore::open(&folder, StoreSettings::default()).expect("opens");
    println!(
        "opening after a crash: {:?}, {} entries found",
        begun.elapsed(),
        found.entries.len()
    );
    drop(store);
    let _ = std::fs::remove_file(folder.join(DATA_FILE));
}
