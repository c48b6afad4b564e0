//! The cost of a round depends on the number of changes, not on the number of servers.

#[path = "decisions/bench.rs"]
#[allow(dead_code, reason = "only the tests of decisions use all of it")]
mod bench;

use bench::{step, Bench};

/// The allocations of a round without changes since the last one.
fn allocations_of_an_unchanged_round(servers: u16) -> u64 {
    let mut bench = Bench::new();
    for machine in 1..=servers {
        bench.attach(machine, 1, &["kind", "rack"]);
    }
    bench.accept_steps(1, 0, vec![step(u32::from(servers) * 4, 1_000, 60_000)]);
    bench.run_for(1_000);
    bench.now += 5;
    allocation_counter::measure(|| {
        bench.round();
    })
    .count_total
}

#[test]
fn allocations_of_a_round_without_changes_do_not_grow_with_the_number_of_servers() {
    let (few_servers, many_servers) = (
        allocations_of_an_unchanged_round(4),
        allocations_of_an_unchanged_round(400),
    );
    assert!(
        many_servers <= few_servers + 8,
        "{few_servers} allocations with 4 servers, {many_servers} with 400"
    );
}

/// The allocations of a round in which no server has room for any of these waiting steps, which all
/// differ in their needs.
fn allocations_of_a_round_with_waiting_steps(steps: u64) -> u64 {
    const SERVERS: u16 = 20;
    let mut bench = Bench::new();
    for machine in 1..=SERVERS {
        bench.attach(machine, 1, &["kind", "rack"]);
    }
    bench.accept_steps(1, 1, vec![step(u32::from(SERVERS) * 16, 1_000, 60_000)]);
    bench.run_for(1_000);
    for job in 0..steps {
        bench.accept_steps(100 + job, 1, vec![step(20, 1_000 + job, 60_000)]);
    }
    bench.run_for(200);
    bench.now += 5;
    allocation_counter::measure(|| {
        bench.round();
    })
    .count_total
}

#[test]
fn allocations_of_a_round_do_not_grow_with_the_steps_that_find_no_room() {
    let (few_steps, many_steps) = (
        allocations_of_a_round_with_waiting_steps(100),
        allocations_of_a_round_with_waiting_steps(600),
    );
    assert!(
        many_steps <= few_steps + 50,
        "{few_steps} allocations with 100 steps, {many_steps} with 600"
    );
}
