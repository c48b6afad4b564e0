//! Prints what commits cost: `cargo run --release --example measure -- FOLDER`.
//!
//! Syncs and bytes are counted on a simulated disk, times are taken in the folder given.

use lupinrack_cluster_api::identity::{JobId, QueueName};
use lupinrack_cluster_api::job::{JobSpec, Step};
use lupinrack_cluster_api::operation::{LogEntry, Operation};
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_store::simulated::SimulatedDisk;
use lupinrack_control_store::{Batch, ControlStore, Directory, StoreSettings, DATA_FILE};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

const COMMITS: u64 = 2_000;
/// A snapshot after so many commits.
const SNAPSHOT_EVERY: u64 = 500;
const SNAPSHOT_BYTES: usize = 1_000_000;

fn small_batch(index: u64) -> Batch {
    let step = Step {
        count: 6,
        estimate_ms: 700,
        ..Step::default()
    };
    let spec = JobSpec {
        spec: "x".repeat(150),
        steps: vec![step],
        ..JobSpec::default()
    };
    let queue = QueueName("queue".to_owned());
    let operation = Operation::AcceptJob {
        job: JobId(index),
        queue,
        spec,
        at: WallMillis(index),
    };
    let append = vec![LogEntry { index, operation }];
    Batch {
        append,
        committed: Some(index - 1),
        ..Batch::default()
    }
}

fn snapshot(index: u64) -> Batch {
    Batch {
        snapshot: Some((index, vec![7; SNAPSHOT_BYTES])),
        ..Batch::default()
    }
}

fn count_on_a_simulated_disk() {
    let disk = SimulatedDisk::new();
    let (mut store, _) =
        ControlStore::open_in(Arc::new(disk.clone()), StoreSettings::default()).expect("opens");
    let created = disk.counters();
    println!(
        "creation: {} syncs, {} bytes",
        created.syncs, created.written_bytes
    );
    for index in 1..=COMMITS {
        store.commit(&small_batch(index)).expect("commits");
    }
    let small = disk.counters();
    let (syncs, bytes) = (
        small.syncs - created.syncs,
        small.written_bytes - created.written_bytes,
    );
    println!(
        "small commits: {:.3} syncs, {:.1} writes, {} bytes each",
        syncs as f64 / COMMITS as f64,
        (small.writes - created.writes) as f64 / COMMITS as f64,
        bytes / COMMITS
    );
    store.commit(&snapshot(COMMITS)).expect("commits");
    let after = disk.counters();
    println!(
        "snapshot of {SNAPSHOT_BYTES} bytes: {} syncs, {} bytes",
        after.syncs - small.syncs,
        after.written_bytes - small.written_bytes
    );
    drop(store);
    let closed = disk.counters();
    println!(
        "closing: {} syncs, {} bytes",
        closed.syncs - after.syncs,
        closed.written_bytes - after.written_bytes
    );
    drop(ControlStore::open_in(Arc::new(disk.clone()), StoreSettings::default()).expect("opens"));
    let reopened = disk.counters();
    println!(
        "opening after a close, and closing: {} syncs",
        reopened.syncs - closed.syncs
    );
    let (store, _) =
        ControlStore::open_in(Arc::new(disk.clone()), StoreSettings::default()).expect("opens");
    disk.cycle_power(1);
    drop(store);
    let before = disk.counters().syncs;
    let (store, _) =
        ControlStore::open_in(Arc::new(disk.clone()), StoreSettings::default()).expect("opens");
    println!(
        "opening after a crash: {} syncs",
        disk.counters().syncs - before
    );
    drop(store);
    println!(
        "file: {:?} bytes",
        disk.length(DATA_FILE).expect("readable")
    );
}

/// User and system time of this process.
fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.split_whitespace().collect();
    let ticks: u64 = fields.get(13..15).map_or(0, |both| {
        both.iter().filter_map(|t| t.parse::<u64>().ok()).sum()
    });
    Duration::from_millis(ticks * 10)
}

fn resident_kilobytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4
}

fn time_in(folder: &Path) {
    let resident_before = resident_kilobytes();
    let begun = Instant::now();
    let (mut store, found) = ControlStore::open(folder, StoreSettings::default()).expect("opens");
    println!(
        "opening: {:?}, {} entries found",
        begun.elapsed(),
        found.entries.len()
    );
    let first = store.bounds().last + 1;
    drop(found);
    let (begun, processor) = (Instant::now(), processor_time());
    for index in first..first + COMMITS {
        store.commit(&small_batch(index)).expect("commits");
        if index % SNAPSHOT_EVERY == 0 {
            store.commit(&snapshot(index)).expect("commits");
        }
    }
    println!(
        "{COMMITS} commits: {:?} each, {:?} of processor time each",
        begun.elapsed() / COMMITS as u32,
        (processor_time() - processor) / COMMITS as u32
    );
    println!(
        "resident: {} kB before opening, {} kB now",
        resident_before,
        resident_kilobytes()
    );
    let length = std::fs::metadata(folder.join(DATA_FILE)).map_or(0, |facts| facts.len());
    println!("file: {length} bytes");
    // Left open, so that the next run opens it as after a crash.
    std::mem::forget(store);
}

fn main() {
    match std::env::args().nth(1).map(PathBuf::from) {
        Some(folder) => time_in(&folder),
        None => count_on_a_simulated_disk(),
    }
}
