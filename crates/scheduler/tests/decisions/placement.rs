//! Where tasks go.

use crate::bench::{needs, step, task, Bench};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::server::RunEnd;

fn servers(labels: &[&[&str]]) -> Bench {
    let mut bench = Bench::new();
    for (machine, labels) in (1..).zip(labels) {
        bench.attach(machine, 1, labels);
    }
    bench.round();
    bench
}

#[test]
fn work_goes_near_its_data() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r2"]]);
    bench.accept_steps(
        7,
        0,
        vec![Step {
            affinity: "r2".to_owned(),
            ..step(4, 1_000, 500)
        }],
    );
    bench.run_for(200);
    assert_eq!(bench.machines_of(7), vec![2, 2, 2, 2]);
}

#[test]
fn work_goes_far_where_the_wait_would_be_longer() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r2"]]);
    bench.accept_steps(
        1,
        0,
        vec![Step {
            affinity: "r2".to_owned(),
            ..step(1, 16_000, 60_000)
        }],
    );
    bench.run_for(200);
    bench.accept_steps(
        7,
        0,
        vec![Step {
            affinity: "r2".to_owned(),
            ..step(1, 1_000, 500)
        }],
    );
    bench.run_for(200);
    assert_eq!(bench.machines_of(7), vec![1]);
}

#[test]
fn work_waits_for_capacity_near_its_data_that_is_free_soon() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r2"]]);
    bench.accept_steps(
        1,
        0,
        vec![Step {
            affinity: "r2".to_owned(),
            ..step(1, 16_000, 1_000)
        }],
    );
    bench.run_for(200);
    bench.accept_steps(
        7,
        0,
        vec![Step {
            affinity: "r2".to_owned(),
            ..step(1, 1_000, 20_000)
        }],
    );
    bench.run_for(400);
    assert!(bench.machines_of(7).is_empty());
    bench
        .servers
        .get_mut(&2)
        .expect("it is there")
        .end(task(1, 0, 0), 1, RunEnd::Done);
    bench.run_for(200);
    assert_eq!(bench.machines_of(7), vec![2]);
}

#[test]
fn labels_and_anti_affinity_bind() {
    let mut bench = servers(&[&["a", "r1"], &["b", "r1"], &["a", "r2"]]);
    let spread = Step {
        requires: "a".to_owned(),
        anti_affinity: 2,
        ..step(6, 100, 60_000)
    };
    bench.accept_steps(7, 0, vec![spread]);
    bench.run_for(500);
    assert_eq!(bench.machines_of(7), vec![1, 1, 3, 3]);
}

#[test]
fn a_step_waits_for_all_of_the_steps_it_depends_on() {
    let mut bench = servers(&[&["a", "r1"]]);
    let second = Step {
        depends_on: vec![0],
        ..step(1, 100, 500)
    };
    bench.accept_steps(7, 0, vec![step(2, 100, 500), second]);
    bench.run_for(200);
    let server = bench.servers.get_mut(&1).expect("it is there");
    server.end(task(7, 0, 0), 1, RunEnd::Done);
    bench.run_for(300);
    assert_eq!(bench.machines_of(7).len(), 1);
    let server = bench.servers.get_mut(&1).expect("it is there");
    server.end(task(7, 0, 1), 1, RunEnd::Done);
    bench.run_for(300);
    let running = &bench.servers[&1].running;
    assert_eq!(
        running.iter().map(|run| run.task).collect::<Vec<_>>(),
        vec![task(7, 1, 0)]
    );
}

fn gang(count: u32, cpu: u64) -> Step {
    Step {
        gang: true,
        same_rack: true,
        ..step(count, cpu, 2_000)
    }
}

#[test]
fn a_gang_starts_whole_in_one_rack_or_waits() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r2"], &["a", "r2"]]);
    bench.accept_steps(
        1,
        1,
        vec![Step {
            affinity: "r2".to_owned(),
            ..step(1, 10_000, 500)
        }],
    );
    bench.run_for(200);
    bench.accept_steps(7, 1, vec![gang(2, 10_000)]);
    bench.run_for(300);
    assert!(
        bench.machines_of(7).is_empty(),
        "the rack is soon free, and spread it would take longer"
    );
    let near = bench.machines_of(1)[0];
    bench
        .servers
        .get_mut(&near)
        .expect("it is there")
        .end(task(1, 0, 0), 1, RunEnd::Done);
    bench.run_for(300);
    assert_eq!(bench.machines_of(7), vec![2, 3]);
}

#[test]
fn a_gang_is_spread_where_it_fits_into_no_rack() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r2"]]);
    bench.accept_steps(7, 1, vec![gang(2, 10_000)]);
    bench.run_for(300);
    assert_eq!(bench.machines_of(7), vec![1, 2]);
}

#[test]
fn members_of_a_gang_share_attempt_and_checkpoint() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r1"]]);
    bench.accept_steps(
        7,
        1,
        vec![Step {
            checkpoints: true,
            ..gang(2, 10_000)
        }],
    );
    bench.run_for(300);
    let server = bench.servers.get_mut(&1).expect("it is there");
    server.running[0].checkpoint = "half".to_owned();
    let member = server.running[0].task;
    server.end(member, 1, RunEnd::Failed);
    bench.run_for(400);
    let runs: Vec<_> = bench
        .servers
        .values()
        .flat_map(|server| server.running.clone())
        .collect();
    assert_eq!(
        runs.len(),
        2,
        "the other member was stopped, and both were started again"
    );
    assert!(
        runs.iter()
            .all(|run| run.attempt == 2 && run.checkpoint == "half"),
        "{runs:?}"
    );
}

#[test]
fn small_work_does_not_keep_a_gang_from_starting() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r1"]]);
    bench.accept_steps(1, 2, vec![step(30, 1_000, 2_000)]);
    bench.run_for(200);
    bench.accept_steps(7, 1, vec![gang(2, 12_000)]);
    bench.accept_steps(2, 2, vec![step(200, 1_000, 2_000)]);
    let mut started = None;
    for _ in 0..200 {
        bench.run_for(50);
        end_after(&mut bench, 2_000);
        if !bench.machines_of(7).is_empty() {
            started = Some(bench.now);
            break;
        }
    }
    let started = started.expect("the gang starts");
    assert!(started < 6_000, "at {started} ms");
}

/// Ends the runs of other jobs than the gang's that are as old as this, by a count in their progress.
fn end_after(bench: &mut Bench, milliseconds: u64) {
    for server in bench.servers.values_mut() {
        for run in &mut server.running {
            run.percent += 1;
        }
        let old = |percent: u32| u64::from(percent) * 50 >= milliseconds;
        let over: Vec<_> = server
            .running
            .iter()
            .filter(|run| old(run.percent))
            .cloned()
            .collect();
        for run in over {
            server.end(run.task, run.attempt, RunEnd::Done);
        }
    }
}

#[test]
fn a_server_never_runs_more_than_it_has_capacity_for() {
    let mut bench = servers(&[&["a", "r1"]]);
    bench.accept_steps(
        7,
        0,
        vec![Step {
            needs: Resources {
                cpu: 3_000,
                ..needs(0)
            },
            ..step(20, 0, 500)
        }],
    );
    bench.run_for(500);
    assert_eq!(bench.machines_of(7).len(), 5);
}
