//! Reports on why tasks wait.

use crate::bench::{step, Bench};
use lupinrack_cluster_api::job::Step;
use lupinrack_scheduler::{Exclusion, WaitReport};

/// The last report within this time.
fn last_report(bench: &mut Bench, milliseconds: u64) -> Option<WaitReport> {
    let until = bench.now + milliseconds;
    let mut last = None;
    while bench.now < until {
        bench.now += 50;
        bench.exchange_messages();
        last = bench.round().wait_report.or(last);
    }
    last
}

#[test]
fn a_waiting_step_names_the_servers_left_out_and_why() {
    let mut bench = Bench::new();
    bench.attach(1, 1, &["a", "r1"]);
    bench.attach(2, 1, &["b", "r1"]);
    bench.attach(3, 1, &["a", "r1"]);
    bench.run_for(200);
    bench.accept_steps(1, 0, vec![step(1, 16_000, 60_000)]);
    bench.run_for(200);
    let full = bench.machines_running(1)[0];
    bench.accept_steps(2, 0, vec![step(1, 16_000, 60_000)]);
    bench.accept_steps(3, 0, vec![step(1, 16_000, 60_000)]);
    bench.run_for(200);
    for machine in [1, 2, 3] {
        if machine != full {
            bench.servers.get_mut(&machine).expect("attached").draining = true;
        }
    }
    bench.accept_steps(
        7,
        0,
        vec![Step {
            requires: "a".to_owned(),
            ..step(2, 1_000, 500)
        }],
    );
    let report = last_report(&mut bench, 3_500).expect("tasks wait");
    let step = report.steps.iter().find(|step| step.job.0 == 7);
    let step = step.expect("the step is reported");
    assert_eq!(step.tasks, 2);
    assert!(step.waited_ms >= 2_000, "{}", step.waited_ms);
    let count = |reason| {
        step.servers
            .get(&reason)
            .map_or(0, |left_out| left_out.count)
    };
    assert_eq!(count(Exclusion::Draining), 2);
    assert_eq!(count(Exclusion::Full) + count(Exclusion::MissingLabel), 1);
    assert!(step.servers[&Exclusion::Draining].longest_ms >= 900);
}

#[test]
fn starts_that_no_server_lists_are_reported() {
    let mut bench = Bench::new();
    bench.attach(1, 1, &["a", "r1"]);
    bench.run_for(200);
    bench.delays_operations = true;
    bench.accept_steps(7, 0, vec![step(2, 1_000, 500)]);
    let report = last_report(&mut bench, 3_500).expect("starts are proposed");
    assert_eq!(report.starts.proposed, 2);
    assert!(report.starts.proposed_ms >= 2_000);
}

#[test]
fn a_lack_of_authority_is_reported() {
    let mut bench = Bench::new();
    bench.attach(1, 1, &["a", "r1"]);
    bench.run_for(200);
    let mut last = None;
    for _ in 0..70 {
        bench.now += 50;
        bench.exchange_messages();
        last = bench.round_until(0).wait_report.or(last);
    }
    let report = last.expect("the owner has no authority");
    assert!(report.without_authority_ms >= 2_000);
}

#[test]
fn nothing_is_reported_while_nothing_waits_for_long() {
    let mut bench = Bench::new();
    bench.attach(1, 1, &["a", "r1"]);
    bench.accept_steps(7, 0, vec![step(2, 1_000, 500)]);
    assert_eq!(last_report(&mut bench, 1_500), None);
}
