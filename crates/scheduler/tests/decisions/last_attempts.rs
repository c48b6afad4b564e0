//! The last attempt of a job waits until the server that failed it has been without a fault.

use crate::bench::{step, task, Bench};
use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::server::RunEnd;

/// Three servers. Long-running tasks leave room for a gang of two on the third one only.
fn bench_with_a_gang_on_the_third_server() -> Bench {
    let mut bench = Bench::new();
    bench.attach(1, 1, &["a", "r1"]);
    bench.attach(2, 1, &["a", "r1"]);
    bench.attach(3, 1, &["b", "r1"]);
    let long_running = Step {
        requires: "a".to_owned(),
        anti_affinity: 1,
        long_running: true,
        ..step(2, 9_000, 1_000)
    };
    bench.accept_steps(1, 1, vec![long_running]);
    bench.run_for(300);
    let gang = Step {
        gang: true,
        ..step(2, 7_500, 2_000)
    };
    bench.accept_steps(7, 1, vec![gang]);
    bench.run_for(300);
    assert_eq!(bench.machines_running(7), vec![3, 3]);
    bench
}

fn end_gang(bench: &mut Bench) {
    let server = bench.servers.get_mut(&3).expect("the server exists");
    server.end(task(7, 0, 0), 1, RunEnd::Failed);
    server.end(task(7, 0, 1), 1, RunEnd::Broken);
}

#[test]
fn a_job_is_not_retried_at_once_for_the_last_time_on_the_server_that_failed_it() {
    let mut bench = bench_with_a_gang_on_the_third_server();
    end_gang(&mut bench);
    for _ in 0..55 {
        bench.run_for(100);
        assert!(bench.machines_running(7).is_empty(), "{} ms", bench.now);
    }
}

#[test]
fn a_gang_starts_again_on_the_server_that_failed_it_if_no_other_has_room() {
    let mut bench = bench_with_a_gang_on_the_third_server();
    end_gang(&mut bench);
    bench.run_for(7_000);
    assert_eq!(bench.machines_running(7), vec![3, 3]);
}
