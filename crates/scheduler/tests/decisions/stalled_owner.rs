//! Placement by an owner that did not run for a while.

use crate::bench::{step, Bench};

#[test]
fn servers_stay_usable_for_an_owner_that_stood_still() {
    let mut bench = Bench::new();
    bench.attach(1, 1, &["a", "r1"]);
    bench.run_for(500);
    bench.now += 1_000;
    bench.accept_steps(7, 0, vec![step(2, 1_000, 500)]);
    let round = bench.round();
    assert_eq!(Bench::submitted_starts(&round.operations).len(), 2);
}

#[test]
fn a_server_that_is_silent_while_the_owner_runs_gets_no_task() {
    let mut bench = Bench::new();
    bench.attach(1, 1, &["a", "r1"]);
    bench.run_for(500);
    for _ in 0..20 {
        bench.now += 50;
        bench.round();
    }
    bench.accept_steps(7, 0, vec![step(2, 1_000, 500)]);
    let round = bench.round();
    assert!(Bench::submitted_starts(&round.operations).is_empty());
}
