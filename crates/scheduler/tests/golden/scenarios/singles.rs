//! Placement and queueing of single tasks.

use super::{checkpointing, TraceBuilder};
use crate::bench::{step, Bench, WALL_START_MS};
use crate::scenario::Scenario;
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};

pub const SCENARIOS: [(&str, TraceBuilder); 9] = [
    ("singles-labels", labels),
    ("singles-crowd", many_tasks),
    ("singles-large", large),
    ("singles-quarter", quarter),
    ("singles-near-data", near_data),
    ("singles-lasting", long_running),
    ("singles-evenness", balanced_resources),
    ("singles-timed", recurring),
    ("singles-other-settings", other_settings),
];

const THREE_SERVERS: [&[&str]; 3] = [&["a", "r1"], &["b", "r1"], &["a", "r2"]];

fn labels() -> String {
    let mut scenario = Scenario::new(&THREE_SERVERS);
    scenario.run_for(100);
    let labelled = Step {
        requires: "a".to_owned(),
        anti_affinity: 2,
        ..step(6, 500, 600)
    };
    let near = Step {
        affinity: "r2".to_owned(),
        ..step(4, 1_000, 500)
    };
    let after = Step {
        depends_on: vec![0, 1],
        requires: "b".to_owned(),
        ..step(2, 2_000, 300)
    };
    let nowhere = Step {
        requires: "c".to_owned(),
        ..step(1, 100, 300)
    };
    scenario
        .bench
        .accept_steps(1, 1, vec![labelled, near.clone(), after]);
    scenario.bench.accept_steps(2, 0, vec![near]);
    scenario.bench.accept_steps(3, 2, vec![nowhere]);
    scenario.run_for(4_000);
    scenario.finish()
}

fn many_tasks() -> String {
    let mut scenario = Scenario::new(&[&["a", "r1"], &["a", "r1"]]);
    scenario.run_for(100);
    for (job, priority) in (1..).zip([2, 1, 0, 2, 1, 0]) {
        scenario
            .bench
            .accept_steps(job, priority, vec![step(25, 1_500, 300 + 100 * job)]);
        scenario.run_for(100);
    }
    scenario.record_summary();
    scenario.run_for(9_000);
    scenario.finish()
}

fn large() -> String {
    let mut scenario = Scenario::new(&[&["a", "r1"], &["a", "r1"]]);
    scenario
        .bench
        .accept_steps(1, 2, vec![step(40, 1_000, 1_500)]);
    scenario.run_for(300);
    scenario
        .bench
        .accept_steps(2, 1, vec![step(1, 14_000, 800)]);
    for job in 3..10 {
        scenario
            .bench
            .accept_steps(job, 2, vec![step(10, 1_000, 700)]);
        scenario.run_for(400);
    }
    scenario.run_for(6_000);
    scenario.finish()
}

/// Tasks that need slightly more, and slightly less, than a quarter of a server.
fn quarter() -> String {
    let mut scenario = Scenario::new(&[&["a", "r1"]]);
    scenario
        .bench
        .accept_steps(1, 2, vec![step(16, 1_000, 800)]);
    scenario.run_for(300);
    for job in 2..6 {
        scenario
            .bench
            .accept_steps(job, 1, vec![step(1, 4_400, 300)]);
        scenario
            .bench
            .accept_steps(10 + job, 1, vec![step(1, 3_800, 300)]);
        scenario
            .bench
            .accept_steps(20 + job, 2, vec![step(8, 1_000, 2_500)]);
        scenario.run_for(700);
    }
    scenario.run_for(4_000);
    scenario.finish()
}

/// Tasks wait for the server with their data, and run on the other one if the wait would be longer.
fn near_data() -> String {
    let mut scenario = Scenario::new(&[&["a", "r1"], &["a", "r2"]]);
    scenario.bench.accept_steps(
        1,
        1,
        vec![Step {
            requires: "a".to_owned(),
            affinity: "r2".to_owned(),
            ..step(1, 16_000, 3_000)
        }],
    );
    scenario.run_for(200);
    for (job, estimate_ms) in (2..).zip([500, 2_000, 4_000, 8_000]) {
        let near = Step {
            affinity: "r2".to_owned(),
            ..step(1, 1_000, estimate_ms)
        };
        scenario.bench.accept_steps(job, 1, vec![near]);
        scenario.run_for(200);
    }
    scenario.run_for(9_000);
    scenario.finish()
}

fn long_running() -> String {
    let mut scenario = Scenario::new(&THREE_SERVERS);
    scenario.run_for(100);
    let long_running_step = Step {
        long_running: true,
        ..step(4, 1_000, 500)
    };
    scenario
        .bench
        .accept_steps(1, 2, vec![long_running_step.clone()]);
    scenario.run_for(200);
    scenario.bench.accept_steps(
        2,
        1,
        vec![Step {
            anti_affinity: 1,
            ..long_running_step
        }],
    );
    scenario.run_for(1_000);
    scenario.bench.cancel(1);
    scenario.run_for(1_000);
    scenario.finish()
}

/// Tasks that need mostly processor, memory or accelerators.
fn balanced_resources() -> String {
    let mut scenario = Scenario::new(&THREE_SERVERS);
    scenario.run_for(100);
    let shapes = [
        (6_000, 2_000, 0),
        (1_000, 12_000, 0),
        (4_000, 8_000, 0),
        (500, 500, 1),
    ];
    for (job, (cpu, memory_mb, gpu)) in (1..).zip(shapes) {
        let needs = Resources {
            cpu,
            memory_mb,
            gpu,
        };
        scenario.bench.accept_steps(
            job,
            1,
            vec![Step {
                needs,
                ..step(3, 0, 1_000)
            }],
        );
        scenario.run_for(50);
    }
    scenario.run_for(3_000);
    scenario.finish()
}

fn recurring() -> String {
    let mut scenario = Scenario::new(&[&["a", "r1"]]);
    let first = checkpointing(2, 1_000, 400);
    let second = Step {
        depends_on: vec![0],
        ..step(1, 500, 200)
    };
    let spec = JobSpec {
        spec: "timed".to_owned(),
        steps: vec![first, second],
        repeat: 3,
        start_at_ms: WALL_START_MS + 600,
        interval_ms: 450,
    };
    scenario.bench.accept_job(1, 0, spec);
    scenario.run_for(4_000);
    scenario.finish()
}

/// A low dispatch depth, a high remote factor, and short queues on servers.
fn other_settings() -> String {
    let mut scenario = Scenario::new(&[&["a", "r1"], &["a", "r2"]]);
    let settings = &mut scenario.bench.settings;
    settings.remote_factor = 4.0;
    settings.max_queued_share = 0.1;
    settings.max_reservations = 0;
    settings.dispatch.depth = 5;
    settings.dispatch.max_bypasses = 1;
    settings.dispatch.minimum_weight_ratio = 0.9;
    scenario.bench.take_over(2);
    attach_all(&mut scenario.bench);
    scenario.run_for(100);
    for (job, priority) in (1..).zip([1, 0, 2]) {
        let near = Step {
            affinity: "r1".to_owned(),
            ..step(8, 2_000, 500)
        };
        scenario
            .bench
            .accept_steps(job, priority, vec![near, step(4, 500, 300)]);
        scenario.run_for(100);
    }
    scenario
        .bench
        .accept_steps(9, 1, vec![step(1, 15_000, 500)]);
    scenario.run_for(9_000);
    scenario.finish()
}

fn attach_all(bench: &mut Bench) {
    for machine in [1, 2] {
        bench.reattach(machine, 500 + u64::from(machine));
    }
}
