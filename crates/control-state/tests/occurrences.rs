//! What the records of occurrences take, in memory and stored, and the form in which earlier versions stored them.

mod common;

use allocation_counter::measure;
use common::{accept, end, ends, start, starts, state, step, task, JOB, TOKEN};
use lupinrack_cluster_api::job::{JobSpec, Step};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_control_state::{ControlState, IndexSet, JobRecord, TaskRecord};
use quickcheck::quickcheck;
use std::collections::BTreeSet;

const OCCURRENCES: u32 = 64;
const TASKS: u32 = 60_000;
/// An eighth of the memory of a core machine with 256 MB, which is the share of the state.
const STATE_BYTES: u64 = 32_000_000;

fn repeated(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        repeat: OCCURRENCES,
        ..common::spec(steps)
    }
}

/// A state in which one task of each occurrence of a large job runs.
fn state_with_large_job() -> ControlState {
    let mut state = state();
    state.apply(&accept(JOB, "a", repeated(vec![step(TASKS)])));
    for occurrence in 0..OCCURRENCES {
        state.apply(&starts(
            "one",
            TOKEN,
            vec![start(task(occurrence, 0, TASKS - 1), 1)],
        ));
    }
    state
}

/// Guards against a start that records all tasks of its occurrence: one job took all core processes over their memory.
#[test]
fn a_start_takes_memory_for_its_own_task() {
    let mut encoded = 0;
    let allocations = measure(|| {
        let state = state_with_large_job();
        encoded = state.to_bytes().expect("it can be encoded").len();
    });
    assert!(encoded < 20_000, "{encoded} bytes encoded");
    assert!(allocations.bytes_max < 1_000_000, "{allocations:?}");
}

/// Guards against tasks that are done and keep their records until the last task of their occurrence is done.
#[test]
fn tasks_that_are_done_take_no_memory_each() {
    let mut state = state_with_large_job();
    let before = state.to_bytes().expect("it can be encoded").len();
    for index in 0..1_000 {
        state.apply(&starts("one", TOKEN, vec![start(task(0, 0, index), 1)]));
        let done = end(task(0, 0, index), 1, RunEnd::Done, "saved");
        state.apply(&ends("one", TOKEN, vec![done], 100));
    }
    let after = state.to_bytes().expect("it can be encoded").len();
    assert!(after < before + 100, "{before} bytes, then {after}");
}

/// The stored form of a job in earlier versions: of each occurrence, the records of all tasks.
fn earlier_form(job: &JobRecord) -> Vec<u8> {
    let mut without_occurrences = job.clone();
    without_occurrences.occurrences = Default::default();
    let mut bytes = borsh::to_vec(&without_occurrences).expect("it can be encoded");
    let empty = borsh::to_vec(&without_occurrences.occurrences).expect("it can be encoded");
    bytes.truncate(bytes.len() - empty.len());
    let open = job.occurrences.open();
    let mut append = |part: Vec<u8>| bytes.extend(part);
    let number = |number: u32| borsh::to_vec(&number).expect("it can be encoded");
    append(number(open.len() as u32));
    for (occurrence, record) in open {
        let tasks: Vec<Vec<TaskRecord>> = (0..)
            .zip(&job.spec.steps)
            .map(|(step, specified)| {
                let indices = 0..specified.count;
                indices
                    .map(|index| record.task(step, index).clone())
                    .collect()
            })
            .collect();
        append(number(*occurrence));
        append(borsh::to_vec(&tasks).expect("it can be encoded"));
        append(number(record.open_tasks()));
    }
    append(number(job.occurrences.done().len()));
    bytes
}

/// Guards against a process that goes over its memory again whenever it reads what an earlier version stored.
#[test]
fn a_large_job_that_an_earlier_version_stored_is_read_within_the_share_of_the_state() {
    let state = state_with_large_job();
    let job = state.job(JOB).expect("it is kept");
    let stored = earlier_form(job);
    assert!(stored.len() as u64 > STATE_BYTES, "{} bytes", stored.len());
    let mut is_same = false;
    let allocations = measure(|| {
        let read: JobRecord = borsh::from_slice(&stored).expect("it can be read");
        is_same = read == *job;
    });
    assert!(is_same);
    assert!(allocations.bytes_max < STATE_BYTES, "{allocations:?}");
}

/// Guards against stored ranges that overlap or are empty, which would count an index twice.
#[test]
fn ranges_that_no_set_has_are_rejected() {
    let read = |ranges: &[(u32, u32)]| {
        let bytes = borsh::to_vec(&ranges.to_vec()).expect("they can be encoded");
        borsh::from_slice::<IndexSet>(&bytes)
    };
    assert_eq!(read(&[(0, 2), (3, 4)]).map(|set| set.len()).ok(), Some(3));
    for malformed in [
        &[(1, 1)][..],
        &[(2, 1)],
        &[(0, 2), (1, 3)],
        &[(0, 2), (2, 3)],
    ] {
        assert!(read(malformed).is_err(), "{malformed:?}");
    }
}

quickcheck! {
    /// Guards against ranges that lose an index, whatever the order in which indices are added.
    fn an_index_set_has_the_indices_of_its_ranges(indices: BTreeSet<u8>) -> bool {
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for index in indices.iter().map(|index| u32::from(*index)) {
            match ranges.last_mut() {
                Some((_, end)) if *end == index => *end += 1,
                _ => ranges.push((index, index + 1)),
            }
        }
        let bytes = borsh::to_vec(&ranges).expect("they can be encoded");
        let set: IndexSet = borsh::from_slice(&bytes).expect("they are those of a set");
        let missing = |from: u32| (from..).find(|index| !set.contains(*index));
        set.len() as usize == indices.len()
            && (0..=255).all(|index| set.contains(u32::from(index)) == indices.contains(&index))
            && (0..=256).all(|from| Some(set.first_missing_from(from)) == missing(from))
            && borsh::to_vec(&set).is_ok_and(|written| written == bytes)
    }
}
