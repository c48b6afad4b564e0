//! How long a disk takes that was away for hundreds of changes, against changes that go on, a slow link and a slow disk.

mod catch_up;
mod common;

use catch_up::{Circumstances, World};
use quickcheck::quickcheck;

/// Changes that were made while the joiner was away.
const AWAY: u64 = 600;

/// A gigabit a second, a sync of 9 ms, a change of 300 KB four times a second, a state of 1 MB.
const USUAL: Circumstances = Circumstances {
    link_bytes_per_s: 125_000_000,
    joiner_sync_ms: 9,
    change_bytes: 300_000,
    change_every_ms: 250,
    state_bytes: 1_000_000,
    snapshot_every: 20,
};

/// A joiner that was away, in these circumstances, and the milliseconds until it has caught up.
fn catch_up(circumstances: Circumstances, most_ms: u64) -> (World, Option<u64>) {
    let mut world = World::new(circumstances);
    world.change_alone(AWAY);
    let took = world.until_caught_up(most_ms);
    println!(
        "{took:?} ms, {} installs, {} encoded, {} overflows, {} bytes waited at most, log {} bytes at most",
        world.installs, world.encoded, world.to_joiner.overflows, world.to_joiner.most, world.log_most
    );
    (world, took)
}

#[test]
fn a_member_that_was_away_for_hundreds_of_changes_is_back_within_a_second() {
    let (world, took) = catch_up(USUAL, 10_000);
    assert!(took.is_some_and(|took| took <= 1_000), "{took:?}");
    assert_eq!(world.to_joiner.overflows, 0);
}

#[test]
fn a_disk_thirty_times_slower_is_back_within_four_seconds() {
    let (world, took) = catch_up(
        Circumstances {
            joiner_sync_ms: 270,
            ..USUAL
        },
        20_000,
    );
    assert!(took.is_some_and(|took| took <= 4_000), "{took:?}");
    assert_eq!(world.to_joiner.overflows, 0);
}

#[test]
fn a_link_hardly_faster_than_the_changes_is_enough() {
    // 1.2 MB of changes a second over a link of 2 MB a second.
    let (world, took) = catch_up(
        Circumstances {
            link_bytes_per_s: 2_000_000,
            ..USUAL
        },
        60_000,
    );
    assert!(took.is_some_and(|took| took <= 15_000), "{took:?}");
    assert_eq!(world.to_joiner.overflows, 0);
    assert!(world.installs <= 2, "{} rounds", world.installs);
}

#[test]
fn a_slow_link_and_a_slow_disk_together() {
    let circumstances = Circumstances {
        link_bytes_per_s: 4_000_000,
        joiner_sync_ms: 270,
        ..USUAL
    };
    let (world, took) = catch_up(circumstances, 60_000);
    assert!(took.is_some_and(|took| took <= 15_000), "{took:?}");
    assert_eq!(world.to_joiner.overflows, 0);
}

#[test]
fn under_a_steady_load_a_joiner_is_caught_up_although_something_is_always_under_way() {
    // A change every step, each synced in several steps.
    let circumstances = Circumstances {
        change_bytes: 500,
        change_every_ms: 5,
        joiner_sync_ms: 20,
        ..USUAL
    };
    let (mut world, took) = catch_up(circumstances, 10_000);
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
fn what_follows_its_snapshot_stays_in_memory_while_it_joins() {
    // The head drops what it can after every change; meanwhile 4.8 MB come, more than it keeps for nobody.
    let circumstances = Circumstances {
        link_bytes_per_s: 2_000_000,
        state_bytes: 8_000_000,
        snapshot_every: 1,
        ..USUAL
    };
    let (world, took) = catch_up(circumstances, 60_000);
    assert!(took.is_some(), "it never catches up");
    assert_eq!(world.installs, 1, "rounds");
    assert!(
        world.log_most <= 20_000_000,
        "{} bytes in memory",
        world.log_most
    );
}

#[test]
fn a_disk_that_hangs_while_it_installs_needs_no_second_snapshot() {
    // Meanwhile 6 MB come, more than a head keeps for nobody.
    let circumstances = Circumstances {
        snapshot_every: 1,
        ..USUAL
    };
    let mut world = World::new(circumstances);
    world.hang_at_next_install(5_000);
    world.change_alone(AWAY);
    let took = world.until_caught_up(60_000);
    assert!(took.is_some_and(|took| took <= 6_000), "{took:?}");
    assert_eq!(world.installs, 1, "rounds");
}

#[test]
fn a_long_log_does_not_wait_for_the_next_join_after_each_window() {
    // 30 MB of log: the head has made no snapshot yet.
    let mut world = World::new(Circumstances {
        snapshot_every: 1_000,
        change_every_ms: u64::MAX,
        ..USUAL
    });
    world.change_alone(100);
    let took = world.until_caught_up(10_000);
    assert_eq!(world.installs, 0);
    assert!(took.is_some_and(|took| took <= 1_000), "{took:?}");
}

#[test]
fn repetitions_do_not_pile_up_on_a_very_slow_link() {
    // One chunk takes 2.6 s, and the whole state 10 s.
    let circumstances = Circumstances {
        link_bytes_per_s: 100_000,
        snapshot_every: 1,
        change_every_ms: u64::MAX,
        ..USUAL
    };
    let mut world = World::new(circumstances);
    world.change_alone(50);
    let took = world.until_caught_up(120_000);
    println!("{took:?} ms, {} bytes waited at most", world.to_joiner.most);
    assert!(took.is_some_and(|took| took <= 25_000), "{took:?}");
    assert_eq!(world.to_joiner.overflows, 0);
}

/// Nothing slows the head down for a joiner; but one that cannot keep up is not left behind further and further.
#[test]
fn a_joiner_slower_than_the_changes_stays_within_a_few_snapshots_of_them() {
    // 1.2 MB of changes a second over a link of 0.6 MB a second.
    let (mut world, took) = catch_up(
        Circumstances {
            link_bytes_per_s: 600_000,
            ..USUAL
        },
        60_000,
    );
    assert_eq!(took, None, "it says that it has caught up");
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

/// What happens to a transfer.
fn inject_fault(world: &mut World, choice: u8) {
    match choice % 16 {
        0 => world.reset(),
        1 => world.disconnect(),
        2 => world.crash_joiner(usize::from(choice / 16)),
        3 | 4 => world.change_view(),
        5 | 6 => world.compact(),
        7 => world.change_alone(u64::from(choice)),
        _ => world.pass(u64::from(choice)),
    }
}

quickcheck! {
    /// Whatever cuts a transfer short: a joiner never loads a state that is not whole, never says that it has caught up
    /// where it has not (both are checked at every step), and ends with what the head has.
    fn every_transfer_ends_with_the_state_of_the_head(choices: Vec<u8>, fast: bool, slow_disk: bool) -> bool {
        let circumstances = Circumstances {
            link_bytes_per_s: if fast { 125_000_000 } else { 10_000_000 },
            joiner_sync_ms: if slow_disk { 200 } else { 10 },
            change_bytes: 60_000,
            change_every_ms: 100,
            state_bytes: 1_200_000,
            snapshot_every: 25,
        };
        let mut world = World::new(circumstances);
        world.change_alone(100);
        world.compact();
        for choice in choices {
            inject_fault(&mut world, choice);
            world.step();
        }
        world.circumstances.change_every_ms = u64::MAX;
        world.pass(15_000);
        world.is_equal()
    }
}
