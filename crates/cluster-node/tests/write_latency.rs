//! Which writes count as slow.

use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::core::pending_writes::{PendingWrites, WriteContinuation};
use lupinrack_cluster_node::core::write_latency::WriteLatency;

fn after(latencies: &[u64]) -> WriteLatency {
    let mut latency = WriteLatency::default();
    latencies.iter().for_each(|ms| latency.observed(*ms));
    latency
}

#[test]
fn on_a_fast_disk_a_write_is_slow_from_150_ms_on() {
    assert_eq!(WriteLatency::default().slow_ms(), 150);
    assert_eq!(after(&[2; 20]).slow_ms(), 150);
}

#[test]
fn single_slow_writes_do_not_change_what_is_usual() {
    assert_eq!(after(&[2, 2, 2, 2, 2, 900, 2, 2, 900]).slow_ms(), 150);
}

#[test]
fn on_a_slow_disk_a_write_is_slow_if_it_takes_far_longer_than_usual() {
    assert_eq!(after(&[260; 9]).slow_ms(), 780);
    assert_eq!(WriteLatency::starting_at(260).slow_ms(), 780);
}

#[test]
fn a_disk_that_becomes_fast_again_is_held_to_that() {
    let mut latency = WriteLatency::starting_at(260);
    (0..9).for_each(|_| latency.observed(2));
    assert_eq!(latency.slow_ms(), 150);
}

#[test]
fn the_slowest_latency_fades() {
    let mut latency = after(&[400]);
    assert_eq!(latency.slowest_ms(), 400);
    latency.observed(10);
    assert_eq!(latency.slowest_ms(), 200);
    (0..10).for_each(|_| latency.observed(10));
    assert_eq!(latency.slowest_ms(), 10);
}

/// Guards against disks that count as unhealthy one after another although all of them have the same speed.
#[test]
fn a_disk_that_is_always_slow_is_healthy() {
    for sync_ms in [100, 150, 260, 600] {
        let mut disk = PendingWrites::on_disk(sync_ms);
        let mut now = Millis(1_000);
        for _ in 0..20 {
            let number = disk.begin(WriteContinuation::Nothing, now);
            assert!(disk.is_healthy(now.plus(2 * sync_ms)), "{sync_ms} ms");
            now = now.plus(2 * sync_ms);
            disk.synced(&[number], now);
            assert!(disk.is_healthy(now), "{sync_ms} ms");
        }
    }
}

#[test]
fn a_disk_that_hangs_is_unhealthy_whatever_is_usual() {
    let mut disk = PendingWrites::on_disk(260);
    disk.begin(WriteContinuation::Nothing, Millis(1_000));
    assert!(disk.is_healthy(Millis(1_779)));
    assert!(!disk.is_healthy(Millis(1_780)));
    assert_eq!(disk.latency_ms(Millis(3_000)), 2_000);
}
