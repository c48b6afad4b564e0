//! Views and takeovers on disks whose every sync is slow, on all machines alike.

mod network;

use lupinrack_cluster_api::request::{Reply, Request};
use network::service_owner::{configuration, next_owner};
use network::Network;

/// The longest that a test waits for a condition, in milliseconds.
const WAIT_MS: u64 = 60_000;
/// The time until a lost process is detected, with one heartbeat interval to spare, in milliseconds.
const DETECTION_MS: u64 = 800;
/// The times of a sync, in milliseconds. The last is above the latency from which on a disk counts as unhealthy.
const SYNC_TIMES_MS: [u64; 5] = [2, 50, 120, 260, 300];
/// Syncs one after another in a takeover: promise, vote and view without the lost process, the same again for a member in
/// its place, and the entry that takes the shard over. Each may wait for a sync that is under way.
const TAKEOVER_SYNCS: u64 = 2 * 7;
/// Syncs one after another until the first view: the record of the founder, promise, vote and view. Each may wait for a sync
/// that is under way.
const FOUNDING_SYNCS: u64 = 2 * 4;
/// Time that founders wait for each other, and for their turn to propose, in milliseconds.
const FOUNDING_MS: u64 = 2_000;

/// A network with a view and a configuration with one service.
fn serving(count: usize, sync_ms: u64) -> Network {
    let mut network = Network::with_slow_disks(count, sync_ms);
    network
        .advance_until_founded(WAIT_MS)
        .expect("the first view is agreed");
    let change = Request::ChangeConfiguration(configuration(1, 1));
    let mut reply = network.call(0, change, WAIT_MS);
    let began = network.now;
    while network.now < began + WAIT_MS {
        network.step();
        if let Ok(answer) = reply.try_recv() {
            assert_eq!(answer, Reply::Done);
            return network;
        }
    }
    panic!("the configuration is not answered");
}

/// The process that sends orders to the service's server, and after how many milliseconds.
fn owner(network: &mut Network, lost: Option<usize>) -> (usize, u64) {
    next_owner(network, 0, lost, WAIT_MS).expect("the service has an owner")
}

/// Guards against a system that is never founded where votes take longer than an attempt.
#[test]
fn the_first_view_costs_few_syncs_on_slow_disks() {
    for count in [3, 5] {
        for sync_ms in SYNC_TIMES_MS {
            let mut network = Network::with_slow_disks(count, sync_ms);
            let limit_ms = FOUNDING_MS + FOUNDING_SYNCS * sync_ms;
            let passed_ms = network.advance_until_founded(WAIT_MS);
            assert!(
                passed_ms.is_some_and(|passed_ms| passed_ms <= limit_ms),
                "{count} processes, {sync_ms} ms a sync: {passed_ms:?}, at most {limit_ms} ms"
            );
        }
    }
}

/// Guards against a takeover that outlasts the leases of the servers, so that runs lapse.
#[test]
fn a_takeover_costs_few_syncs_on_slow_disks() {
    for count in [3, 5] {
        for sync_ms in SYNC_TIMES_MS {
            for phase in 0..8 {
                let mut network = serving(count, sync_ms);
                let (lost, _) = owner(&mut network, None);
                network.advance_ms(phase * 397);
                network.end_process(lost);
                let (_, passed_ms) = owner(&mut network, Some(lost));
                let limit_ms = DETECTION_MS + TAKEOVER_SYNCS * sync_ms;
                assert!(
                    passed_ms <= limit_ms,
                    "{count} processes, {sync_ms} ms a sync, phase {phase}: {passed_ms} ms, at most {limit_ms} ms"
                );
            }
        }
    }
}

/// Guards against a chain that changes without a fault, since some of the slow disks count as unhealthy.
#[test]
fn views_do_not_change_on_disks_that_are_all_slow() {
    for count in [3, 5] {
        for sync_ms in SYNC_TIMES_MS {
            let mut network = serving(count, sync_ms);
            owner(&mut network, None);
            let before = network.view_number(0);
            for _ in 0..20 {
                network.advance_ms(2_500);
                owner(&mut network, None);
            }
            let after = network.view_number(0);
            assert_eq!(after, before, "{count} processes, {sync_ms} ms a sync");
        }
    }
}
