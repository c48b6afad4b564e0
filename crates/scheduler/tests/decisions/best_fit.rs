//! Which of several servers with free capacity a single task takes, and when it waits for a better one.

use crate::bench::{step, task, Bench};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::server::RunEnd;

/// How long a task with data takes near it; away from it takes half as long again by the default settings.
const NEAR_MS: u64 = 4_000;

fn two_servers() -> Bench {
    let mut bench = Bench::new();
    bench.attach(1, 1, &["first"]);
    bench.attach(2, 1, &["second"]);
    bench.round();
    bench
}

/// Has jobs of one task each accepted one after the other; the machines that they run on.
fn machines_of_two_jobs(step: &Step) -> Vec<u16> {
    let mut bench = two_servers();
    let mut machines = Vec::new();
    for job in 1..=2 {
        bench.accept_steps(job, 1, vec![step.clone()]);
        bench.run_for(200);
        machines.extend(bench.machines_of(job));
    }
    machines.sort_unstable();
    machines
}

fn lasting(count: u32) -> Step {
    Step {
        long_running: true,
        ..step(count, 1_000, 500)
    }
}

#[test]
fn lasting_tasks_of_two_jobs_go_to_different_servers() {
    assert_eq!(machines_of_two_jobs(&lasting(1)), vec![1, 2]);
}

#[test]
fn lasting_tasks_of_one_step_go_to_different_servers() {
    let mut bench = two_servers();
    bench.accept_steps(1, 1, vec![lasting(2)]);
    bench.run_for(200);
    assert_eq!(bench.machines_of(1), vec![1, 2]);
}

#[test]
fn short_tasks_are_packed() {
    let machines = machines_of_two_jobs(&step(1, 1_000, 60_000));
    assert_eq!(machines.len(), 2);
    assert_eq!(machines[0], machines[1]);
}

/// Takes capacity of the server with this label for the whole test.
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
fn a_lasting_task_goes_where_it_uses_up_no_resource() {
    // The first server would be left with more in sum (0.96 against 0.94), but with hardly any memory.
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
            ..lasting(1)
        }],
    );
    bench.run_for(200);
    assert_eq!(bench.machines_of(3), vec![2]);
}

/// The machine that a task with these needs takes, of a first one with 14 cores and 8 GB free and a second one with
/// `cpu` and `memory_mb` used.
fn machine_beside(cpu: u64, memory_mb: u64, needs: Resources) -> Vec<u16> {
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
    bench.machines_of(3)
}

#[test]
fn processor_heavy_work_goes_where_memory_is_short() {
    // The second server would be left with less in sum (0.78 against 0.91), but more unevenly (0.66 against 0.47).
    let needs = Resources {
        cpu: 3_000,
        memory_mb: 1_000,
        gpu: 0,
    };
    assert_eq!(machine_beside(12_000, 8_000, needs), vec![1]);
}

#[test]
fn evenness_does_not_outweigh_a_much_tighter_fit() {
    let needs = Resources {
        cpu: 3_000,
        memory_mb: 1_000,
        gpu: 0,
    };
    assert_eq!(machine_beside(12_000, 20_000, needs), vec![2]);
}

/// Two servers of which the one near the data of job 7 is used up by job 1 for so much longer.
fn near_server_frees_after(milliseconds: u64) -> Bench {
    let mut bench = two_servers();
    let occupant = Step {
        requires: "second".to_owned(),
        ..step(1, 16_000, milliseconds)
    };
    bench.accept_steps(1, 1, vec![occupant]);
    bench.run_for(200);
    assert_eq!(bench.machines_of(1), vec![2]);
    bench.accept_steps(
        7,
        1,
        vec![Step {
            affinity: "second".to_owned(),
            ..step(1, 1_000, NEAR_MS)
        }],
    );
    bench.run_for(200);
    bench
}

#[test]
fn work_waits_near_its_data_for_up_to_twice_the_extra_time() {
    // Far it would be done 2 s later than near; it waits for more than that, but for less than 4 s.
    let mut bench = near_server_frees_after(3_000);
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
fn work_goes_far_rather_than_wait_for_more_than_twice_the_extra_time() {
    let bench = near_server_frees_after(5_000);
    assert_eq!(bench.machines_of(7), vec![1]);
}
