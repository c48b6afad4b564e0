//! Placement of single tasks and gangs.

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
fn tasks_go_to_the_server_with_their_data() {
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
    assert_eq!(bench.machines_running(7), vec![2, 2, 2, 2]);
}

#[test]
fn a_task_runs_away_from_its_data_if_the_wait_would_take_longer() {
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
    assert_eq!(bench.machines_running(7), vec![1]);
}

#[test]
fn a_task_waits_for_its_data_server_if_capacity_is_free_soon() {
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
    assert!(bench.machines_running(7).is_empty());
    bench
        .servers
        .get_mut(&2)
        .expect("the server exists")
        .end(task(1, 0, 0), 1, RunEnd::Done);
    bench.run_for(200);
    assert_eq!(bench.machines_running(7), vec![2]);
}

#[test]
fn required_labels_and_anti_affinity_are_respected() {
    let mut bench = servers(&[&["a", "r1"], &["b", "r1"], &["a", "r2"]]);
    let restricted = Step {
        requires: "a".to_owned(),
        anti_affinity: 2,
        ..step(6, 100, 60_000)
    };
    bench.accept_steps(7, 0, vec![restricted]);
    bench.run_for(500);
    assert_eq!(bench.machines_running(7), vec![1, 1, 3, 3]);
}

#[test]
fn a_step_waits_for_all_tasks_of_the_steps_it_depends_on() {
    let mut bench = servers(&[&["a", "r1"]]);
    let second = Step {
        depends_on: vec![0],
        ..step(1, 100, 500)
    };
    bench.accept_steps(7, 0, vec![step(2, 100, 500), second]);
    bench.run_for(200);
    let server = bench.servers.get_mut(&1).expect("the server exists");
    server.end(task(7, 0, 0), 1, RunEnd::Done);
    bench.run_for(300);
    assert_eq!(bench.machines_running(7).len(), 1);
    let server = bench.servers.get_mut(&1).expect("the server exists");
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
fn a_gang_waits_for_one_rack_if_its_capacity_is_free_soon() {
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
        bench.machines_running(7).is_empty(),
        "the rack has capacity soon, and the gang would take longer across racks"
    );
    let busy = bench.machines_running(1)[0];
    bench
        .servers
        .get_mut(&busy)
        .expect("the server exists")
        .end(task(1, 0, 0), 1, RunEnd::Done);
    bench.run_for(300);
    assert_eq!(bench.machines_running(7), vec![2, 3]);
}

#[test]
fn a_gang_spans_racks_if_it_fits_into_none() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r2"]]);
    bench.accept_steps(7, 1, vec![gang(2, 10_000)]);
    bench.run_for(300);
    assert_eq!(bench.machines_running(7), vec![1, 2]);
}

#[test]
fn members_of_a_gang_restart_with_the_same_attempt_and_checkpoint() {
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
    let server = bench.servers.get_mut(&1).expect("the server exists");
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
        "the other member was stopped, and both were restarted"
    );
    assert!(
        runs.iter()
            .all(|run| run.attempt == 2 && run.checkpoint == "half"),
        "{runs:?}"
    );
}

#[test]
fn small_tasks_do_not_starve_a_gang() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r1"]]);
    bench.accept_steps(1, 2, vec![step(30, 1_000, 2_000)]);
    bench.run_for(200);
    bench.accept_steps(7, 1, vec![gang(2, 12_000)]);
    bench.accept_steps(2, 2, vec![step(200, 1_000, 2_000)]);
    let mut started = None;
    for _ in 0..200 {
        bench.run_for(50);
        end_runs_older_than(&mut bench, 2_000);
        if !bench.machines_running(7).is_empty() {
            started = Some(bench.now);
            break;
        }
    }
    let started = started.expect("the gang starts");
    assert!(started < 6_000, "started at {started} ms");
}

/// Ends the runs that are at least `milliseconds` old. Their progress counts the calls of this function, one per 50 ms.
fn end_runs_older_than(bench: &mut Bench, milliseconds: u64) {
    for server in bench.servers.values_mut() {
        for run in &mut server.running {
            run.percent += 1;
        }
        let is_old = |percent: u32| u64::from(percent) * 50 >= milliseconds;
        let ended: Vec<_> = server
            .running
            .iter()
            .filter(|run| is_old(run.percent))
            .cloned()
            .collect();
        for run in ended {
            server.end(run.task, run.attempt, RunEnd::Done);
        }
    }
}

#[test]
fn runs_never_exceed_the_capacity_of_a_server() {
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
    assert_eq!(bench.machines_running(7).len(), 5);
}

#[test]
fn a_job_with_nothing_running_starts_within_three_seconds_while_most_servers_are_free() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r2"], &["a", "r2"], &["a", "r2"]]);
    bench.accept_steps(
        1,
        0,
        vec![Step {
            affinity: "r1".to_owned(),
            ..step(1, 16_000, 8_000)
        }],
    );
    bench.run_for(200);
    assert_eq!(bench.machines_running(1), vec![1]);
    bench.accept_steps(
        7,
        0,
        vec![Step {
            affinity: "r1".to_owned(),
            ..step(1, 1_000, 10_000)
        }],
    );
    bench.run_for(3_000);
    assert_eq!(bench.machines_running(7).len(), 1);
}

#[test]
fn a_gang_with_nothing_running_starts_within_three_seconds_while_most_servers_are_free() {
    let mut bench = servers(&[
        &["a", "r1"],
        &["a", "r1"],
        &["a", "r2"],
        &["a", "r2"],
        &["a", "r2"],
        &["a", "r2"],
    ]);
    bench.accept_steps(
        1,
        0,
        vec![Step {
            affinity: "r1".to_owned(),
            ..step(2, 16_000, 8_000)
        }],
    );
    bench.run_for(200);
    bench.accept_steps(
        7,
        0,
        vec![Step {
            affinity: "r1".to_owned(),
            gang: true,
            ..step(2, 10_000, 20_000)
        }],
    );
    bench.run_for(3_000);
    assert_eq!(bench.machines_running(7).len(), 2);
}

#[test]
fn a_task_in_the_queue_of_its_data_server_leaves_it_when_its_job_has_nothing_running() {
    let mut bench = servers(&[&["a", "r1"], &["a", "r2"], &["a", "r2"], &["a", "r2"]]);
    bench.accept_steps(
        1,
        0,
        vec![Step {
            affinity: "r1".to_owned(),
            ..step(1, 16_000, 1_800)
        }],
    );
    bench.run_for(200);
    bench.accept_steps(
        7,
        0,
        vec![Step {
            affinity: "r1".to_owned(),
            ..step(1, 1_000, 10_000)
        }],
    );
    // The run on the data server takes far longer than its client expected.
    bench.run_for(3_000);
    assert_eq!(bench.machines_running(7).len(), 1);
}
