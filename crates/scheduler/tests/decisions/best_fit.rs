//! Placement of a single task when several servers have free capacity: which server it gets, and when it waits for a
//! better one.

use crate::bench::{step, task, Bench};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::server::RunEnd;

/// The duration of a task on the server with its data. On other servers it takes half as long again, by the default
/// settings.
const LOCAL_DURATION_MS: u64 = 4_000;

fn two_servers() -> Bench {
    let mut bench = Bench::new();
    bench.attach(1, 1, &["first"]);
    bench.attach(2, 1, &["second"]);
    bench.round();
    bench
}

/// Submits two jobs of one task each, one after the other. Returns the machines that run them.
fn machines_of_two_jobs(step: &Step) -> Vec<u16> {
    let mut bench = two_servers();
    let mut machines = Vec::new();
    for job in 1..=2 {
        bench.accept_steps(job, 1, vec![step.clone()]);
        bench.run_for(200);
        machines.extend(bench.machines_running(job));
    }
    machines.sort_unstable();
    machines
}

fn long_running(count: u32) -> Step {
    Step {
        long_running: true,
        ..step(count, 1_000, 500)
    }
}

#[test]
fn long_running_tasks_of_two_jobs_go_to_different_servers() {
    assert_eq!(machines_of_two_jobs(&long_running(1)), vec![1, 2]);
}

#[test]
fn long_running_tasks_of_one_step_go_to_different_servers() {
    let mut bench = two_servers();
    bench.accept_steps(1, 1, vec![long_running(2)]);
    bench.run_for(200);
    assert_eq!(bench.machines_running(1), vec![1, 2]);
}

#[test]
fn tasks_that_end_are_packed_on_one_server() {
    let machines = machines_of_two_jobs(&step(1, 1_000, 60_000));
    assert_eq!(machines.len(), 2);
    assert_eq!(machines[0], machines[1]);
}

/// Uses capacity of the server with this label until the end of the test.
fn occupy(bench: &mut Bench, job: u64, label: &str, cpu: u64, memory_mb: u64) {
    let occupant = Step {
        requires: label.to_owned(),
        needs: Resources {
            cpu,
            memory_mb,
            gpu: 0,
        },
        ..step(1, cpu, 600_000)
    };
    bench.accept_steps(job, 1, vec![occupant]);
    bench.run_for(200);
}

#[test]
fn a_long_running_task_goes_where_it_exhausts_no_resource() {
    // The first server would keep more free capacity in sum (0.96 versus 0.94), but almost no memory.
    let mut bench = two_servers();
    occupy(&mut bench, 1, "first", 100, 24_000);
    occupy(&mut bench, 2, "second", 6_500, 12_000);
    let needs = Resources {
        cpu: 1_000,
        memory_mb: 7_000,
        gpu: 0,
    };
    bench.accept_steps(
        3,
        1,
        vec![Step {
            needs,
            ..long_running(1)
        }],
    );
    bench.run_for(200);
    assert_eq!(bench.machines_running(3), vec![2]);
}

/// The machine that a task with these needs gets. The first one has 14 cores and 8 GB free, the second one has `cpu` and
/// `memory_mb` in use.
fn machine_chosen_with_second_using(cpu: u64, memory_mb: u64, needs: Resources) -> Vec<u16> {
    let mut bench = two_servers();
    occupy(&mut bench, 1, "first", 2_000, 24_000);
    occupy(&mut bench, 2, "second", cpu, memory_mb);
    bench.accept_steps(
        3,
        1,
        vec![Step {
            needs,
            ..step(1, 0, 2_000)
        }],
    );
    bench.run_for(200);
    bench.machines_running(3)
}

#[test]
fn a_cpu_heavy_task_goes_where_memory_is_short() {
    // The second server would keep less free capacity in sum (0.78 versus 0.91), but less balanced (0.66 versus 0.47).
    let needs = Resources {
        cpu: 3_000,
        memory_mb: 1_000,
        gpu: 0,
    };
    assert_eq!(
        machine_chosen_with_second_using(12_000, 8_000, needs),
        vec![1]
    );
}

#[test]
fn balance_does_not_outweigh_a_much_tighter_fit() {
    let needs = Resources {
        cpu: 3_000,
        memory_mb: 1_000,
        gpu: 0,
    };
    assert_eq!(
        machine_chosen_with_second_using(12_000, 20_000, needs),
        vec![2]
    );
}

/// Two servers. The one with the data of job 7 is fully used by job 1 for `milliseconds`.
fn local_server_busy_for(milliseconds: u64) -> Bench {
    let mut bench = two_servers();
    let occupant = Step {
        requires: "second".to_owned(),
        ..step(1, 16_000, milliseconds)
    };
    bench.accept_steps(1, 1, vec![occupant]);
    bench.run_for(200);
    assert_eq!(bench.machines_running(1), vec![2]);
    bench.accept_steps(
        7,
        1,
        vec![Step {
            affinity: "second".to_owned(),
            ..step(1, 1_000, LOCAL_DURATION_MS)
        }],
    );
    bench.run_for(200);
    bench
}

#[test]
fn a_task_waits_for_its_data_server_up_to_twice_the_remote_penalty() {
    // On the other server the task would be done 2 s later. It waits for more than 2 s, but for less than 4 s.
    let mut bench = local_server_busy_for(3_000);
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
fn a_task_runs_away_from_its_data_if_the_wait_exceeds_twice_the_remote_penalty() {
    let bench = local_server_busy_for(5_000);
    assert_eq!(bench.machines_running(7), vec![1]);
}
