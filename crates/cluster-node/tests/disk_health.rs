//! When a process counts its disk as healthy.

use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::core::pending_writes::{PendingWrites, WriteContinuation};
use lupinrack_cluster_node::core::stall_watch::StallWatch;

fn disk() -> PendingWrites {
    PendingWrites::default()
}

fn write(disk: &mut PendingWrites, index: u64, now: Millis) -> u64 {
    disk.begin(WriteContinuation::EntriesWritten(index), now)
}

fn indexes(following: Vec<WriteContinuation>) -> Vec<u64> {
    let index = |after| match after {
        WriteContinuation::EntriesWritten(index) => Some(index),
        _ => None,
    };
    following.into_iter().filter_map(index).collect()
}

#[test]
fn writes_are_numbered_from_1_without_gaps() {
    let mut disk = disk();
    let numbers = [
        write(&mut disk, 10, Millis(1)),
        write(&mut disk, 11, Millis(1)),
        write(&mut disk, 12, Millis(2)),
    ];
    assert_eq!(numbers, [1, 2, 3]);
}

#[test]
fn without_writes_a_disk_is_healthy() {
    assert!(disk().is_healthy(Millis(1)));
    assert!(disk().is_healthy(Millis(1_000_000)));
}

#[test]
fn continuations_are_returned_once_and_in_order() {
    let mut disk = disk();
    write(&mut disk, 10, Millis(1));
    write(&mut disk, 11, Millis(2));
    write(&mut disk, 12, Millis(3));
    assert_eq!(indexes(disk.synced(&[1, 2], Millis(10))), [10, 11]);
    assert_eq!(indexes(disk.synced(&[2, 3], Millis(11))), [12]);
    assert!(indexes(disk.synced(&[3, 99], Millis(12))).is_empty());
}

#[test]
fn a_hanging_write_makes_the_disk_unhealthy() {
    let mut disk = disk();
    write(&mut disk, 1, Millis(100));
    assert!(disk.is_healthy(Millis(249)));
    assert!(!disk.is_healthy(Millis(250)));
}

#[test]
fn stalls_of_the_process_do_not_count_as_write_time() {
    let mut disk = disk();
    write(&mut disk, 1, Millis(100));
    disk.exclude_stall(3_000, Millis(3_110));
    assert!(disk.is_healthy(Millis(3_110)));
    disk.synced(&[1], Millis(3_112));
    assert!(disk.is_healthy(Millis(3_112)));
    write(&mut disk, 2, Millis(4_000));
    disk.exclude_stall(100, Millis(4_120));
    assert!(disk.is_healthy(Millis(4_249)));
    assert!(
        !disk.is_healthy(Millis(4_250)),
        "the rest of the time counts"
    );
}

#[test]
fn only_a_long_gap_is_a_stall() {
    let mut stalls = StallWatch::new(Millis(100));
    assert_eq!(stalls.advance(Millis(125)), None);
    assert_eq!(stalls.advance(Millis(185)), None);
    assert_eq!(stalls.advance(Millis(246)), Some(61));
    assert_eq!(stalls.advance(Millis(240)), None);
    assert_eq!(stalls.advance(Millis(300)), None);
}

#[test]
fn the_oldest_pending_write_decides() {
    let mut disk = disk();
    write(&mut disk, 1, Millis(100));
    write(&mut disk, 2, Millis(240));
    assert!(!disk.is_healthy(Millis(260)));
    disk.synced(&[1], Millis(200));
    assert!(
        disk.is_healthy(Millis(260)),
        "the remaining write is recent"
    );
}

#[test]
fn after_a_slow_write_the_disk_stays_unhealthy_for_two_seconds() {
    let mut disk = disk();
    write(&mut disk, 1, Millis(100));
    disk.synced(&[1], Millis(250));
    assert!(!disk.is_healthy(Millis(251)));
    assert!(!disk.is_healthy(Millis(2_249)));
    assert!(disk.is_healthy(Millis(2_250)));
}

#[test]
fn fast_writes_do_not_shorten_the_time_after_a_slow_one() {
    let mut disk = disk();
    write(&mut disk, 1, Millis(100));
    disk.synced(&[1], Millis(300));
    write(&mut disk, 2, Millis(400));
    disk.synced(&[2], Millis(405));
    assert!(!disk.is_healthy(Millis(2_299)));
    assert!(disk.is_healthy(Millis(2_300)));
}

#[test]
fn a_failed_write_makes_the_disk_unhealthy_for_two_seconds() {
    let mut disk = disk();
    disk.failed(Millis(100));
    assert!(!disk.is_healthy(Millis(101)));
    assert!(!disk.is_healthy(Millis(2_099)));
    assert!(disk.is_healthy(Millis(2_100)));
}
