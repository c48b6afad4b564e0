//! The time to catch up of a disk that was away for hundreds of changes, while changes go on, over a slow link and
//! with a slow disk.

mod catch_up;
mod common;

use catch_up::{Environment, World};
use quickcheck::quickcheck;

/// Changes that were made while the joiner was away.
const CHANGES_WHILE_AWAY: u64 = 600;

/// A link of 1 Gbit/s, a sync of 9 ms, four changes of 300 KB per second, a state of 1 MB.
const DEFAULT_ENVIRONMENT: Environment = Environment {
    link_bytes_per_s: 125_000_000,
    joiner_sync_ms: 9,
    change_bytes: 300_000,
    change_every_ms: 250,
    state_bytes: 1_000_000,
    snapshot_every: 20,
};

/// A joiner that was away, and the milliseconds until it has caught up.
fn catch_up(environment: Environment, timeout_ms: u64) -> (World, Option<u64>) {
    let mut world = World::new(environment);
    world.change_while_joiner_is_away(CHANGES_WHILE_AWAY);
    let took = world.until_caught_up(timeout_ms);
    println!(
        "{took:?} ms, {} installs, {} snapshots requested, {} overflows, at most {} bytes waiting, log of at most {} bytes",
        world.installs, world.snapshots_requested, world.to_joiner.overflows, world.to_joiner.max_waiting_bytes, world.max_log_bytes
    );
    (world, took)
}

#[test]
fn a_member_that_was_away_for_hundreds_of_changes_is_back_within_a_second() {
    let (world, took) = catch_up(DEFAULT_ENVIRONMENT, 10_000);
    assert!(took.is_some_and(|took| took <= 1_000), "{took:?}");
    assert_eq!(world.to_joiner.overflows, 0);
}

#[test]
fn a_disk_thirty_times_slower_is_back_within_four_seconds() {
    let (world, took) = catch_up(
        Environment {
            joiner_sync_ms: 270,
            ..DEFAULT_ENVIRONMENT
        },
        20_000,
    );
    assert!(took.is_some_and(|took| took <= 4_000), "{took:?}");
    assert_eq!(world.to_joiner.overflows, 0);
}

#[test]
fn a_link_hardly_faster_than_the_changes_is_enough() {
    // 1.2 MB of changes per second over a link of 2 MB/s.
    let (world, took) = catch_up(
        Environment {
            link_bytes_per_s: 2_000_000,
            ..DEFAULT_ENVIRONMENT
        },
        60_000,
    );
    assert!(took.is_some_and(|took| took <= 15_000), "{took:?}");
    assert_eq!(world.to_joiner.overflows, 0);
    assert!(world.installs <= 2, "{} rounds", world.installs);
}

#[test]
fn a_slow_link_and_a_slow_disk_together() {
    let environment = Environment {
        link_bytes_per_s: 4_000_000,
        joiner_sync_ms: 270,
        ..DEFAULT_ENVIRONMENT
    };
    let (world, took) = catch_up(environment, 60_000);
    assert!(took.is_some_and(|took| took <= 15_000), "{took:?}");
    assert_eq!(world.to_joiner.overflows, 0);
}

#[test]
fn under_a_steady_load_a_joiner_is_caught_up_although_entries_are_always_in_flight() {
    // A change in every step, each of which takes several steps to sync.
    let environment = Environment {
        change_bytes: 500,
        change_every_ms: 5,
        joiner_sync_ms: 20,
        ..DEFAULT_ENVIRONMENT
    };
    let (mut world, took) = catch_up(environment, 10_000);
    assert!(took.is_some_and(|took| took <= 1_000), "{took:?}");
    let mut is_caught_up = 0;
    for _ in 0..200 {
        world.step();
        is_caught_up += u32::from(
            world
                .joiner
                .is_caught_up(lupinrack_cluster_api::time::Millis(world.now)),
        );
    }
    assert_eq!(is_caught_up, 200, "of 200 steps");
}

#[test]
fn entries_after_its_snapshot_stay_in_memory_while_a_disk_joins() {
    // The head compacts its log after every change. Meanwhile 4.8 MB are submitted, more than it retains without a
    // joiner.
    let environment = Environment {
        link_bytes_per_s: 2_000_000,
        state_bytes: 8_000_000,
        snapshot_every: 1,
        ..DEFAULT_ENVIRONMENT
    };
    let (world, took) = catch_up(environment, 60_000);
    assert!(took.is_some(), "the joiner never catches up");
    assert_eq!(world.installs, 1, "rounds");
    assert!(
        world.max_log_bytes <= 20_000_000,
        "{} bytes in memory",
        world.max_log_bytes
    );
}

#[test]
fn a_disk_that_hangs_while_it_installs_needs_no_second_snapshot() {
    // Meanwhile 6 MB are submitted, more than a head retains without a joiner.
    let environment = Environment {
        snapshot_every: 1,
        ..DEFAULT_ENVIRONMENT
    };
    let mut world = World::new(environment);
    world.hang_at_next_install(5_000);
    world.change_while_joiner_is_away(CHANGES_WHILE_AWAY);
    let took = world.until_caught_up(60_000);
    assert!(took.is_some_and(|took| took <= 6_000), "{took:?}");
    assert_eq!(world.installs, 1, "rounds");
}

#[test]
fn a_long_log_does_not_wait_for_the_next_join_after_each_window() {
    // The log has 30 MB, since the head has made no snapshot yet.
    let mut world = World::new(Environment {
        snapshot_every: 1_000,
        change_every_ms: u64::MAX,
        ..DEFAULT_ENVIRONMENT
    });
    world.change_while_joiner_is_away(100);
    let took = world.until_caught_up(10_000);
    assert_eq!(world.installs, 0);
    assert!(took.is_some_and(|took| took <= 1_000), "{took:?}");
}

#[test]
fn repetitions_do_not_pile_up_on_a_very_slow_link() {
    // One chunk takes 2.6 s, and the complete state 10 s.
    let environment = Environment {
        link_bytes_per_s: 100_000,
        snapshot_every: 1,
        change_every_ms: u64::MAX,
        ..DEFAULT_ENVIRONMENT
    };
    let mut world = World::new(environment);
    world.change_while_joiner_is_away(50);
    let took = world.until_caught_up(120_000);
    println!(
        "{took:?} ms, at most {} bytes waiting",
        world.to_joiner.max_waiting_bytes
    );
    assert!(took.is_some_and(|took| took <= 25_000), "{took:?}");
    assert_eq!(world.to_joiner.overflows, 0);
}

/// The head does not slow down for a joiner, but the lag of a joiner that cannot keep up stays bounded.
#[test]
fn a_joiner_slower_than_the_changes_stays_within_a_few_snapshots_of_them() {
    // 1.2 MB of changes per second over a link of 0.6 MB/s.
    let (mut world, took) = catch_up(
        Environment {
            link_bytes_per_s: 600_000,
            ..DEFAULT_ENVIRONMENT
        },
        60_000,
    );
    assert_eq!(took, None, "the joiner reports to have caught up");
    let mut behind = 0;
    for _ in 0..12_000 {
        world.step();
        behind = behind.max(world.head.committed() - world.on_disk());
    }
    println!(
        "{behind} changes behind at most, {} installs",
        world.installs
    );
    assert!(behind <= 60, "{behind} changes behind");
    assert_eq!(world.to_joiner.overflows, 0);
}

/// Injects a fault, changes or a pause, as chosen.
fn inject_fault(world: &mut World, choice: u8) {
    match choice % 16 {
        0 => world.reset(),
        1 => world.disconnect(),
        2 => world.crash_joiner(usize::from(choice / 16)),
        3 | 4 => world.change_view(),
        5 | 6 => world.compact(),
        7 => world.change_while_joiner_is_away(u64::from(choice)),
        _ => world.advance(u64::from(choice)),
    }
}

quickcheck! {
    /// Whatever interrupts a transfer, a joiner never loads an incomplete state, never reports to have caught up when it
    /// has not (both are checked at every step), and finally has the state of the head.
    fn every_transfer_ends_with_the_state_of_the_head(choices: Vec<u8>, fast: bool, slow_disk: bool) -> bool {
        let environment = Environment {
            link_bytes_per_s: if fast { 125_000_000 } else { 10_000_000 },
            joiner_sync_ms: if slow_disk { 200 } else { 10 },
            change_bytes: 60_000,
            change_every_ms: 100,
            state_bytes: 1_200_000,
            snapshot_every: 25,
        };
        let mut world = World::new(environment);
        world.change_while_joiner_is_away(100);
        world.compact();
        for choice in choices {
            inject_fault(&mut world, choice);
            world.step();
        }
        world.environment.change_every_ms = u64::MAX;
        world.advance(15_000);
        world.is_equal()
    }
}
