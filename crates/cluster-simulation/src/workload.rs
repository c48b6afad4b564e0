//! Jobs of several kinds, drawn from a seed.

use crate::oracle::ExpectedJob;
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};

/// Number of failed attempts of a task after which its job fails, in every queue.
pub(crate) const MAX_RETRIES: u32 = 3;

/// A generated job and its queue.
pub(crate) struct GeneratedJob {
    pub queue: &'static str,
    pub expected: ExpectedJob,
}

/// The queues, with their priorities.
pub(crate) const QUEUES: [(&str, u32); 3] = [("q0", 0), ("q1", 1), ("q2", 2)];

fn needs(cpu: u64, memory_mb: u64, gpu: u64) -> Resources {
    Resources {
        cpu,
        memory_mb,
        gpu,
    }
}

fn spec(text: u64, steps: Vec<Step>) -> JobSpec {
    JobSpec {
        spec: format!("spec {text}"),
        steps,
        ..JobSpec::default()
    }
}

fn small(rng: &mut fastrand::Rng) -> Vec<Step> {
    let affinity = ["", "r1-1", "r1-2"][rng.usize(0..3)].to_owned();
    let first = Step {
        count: rng.u32(2..7),
        needs: needs(240, 100, 0),
        estimate_ms: 400,
        affinity,
        speculative: rng.u32(0..4) == 0,
        ..Step::default()
    };
    let second = Step {
        depends_on: vec![0],
        affinity: String::new(),
        ..first.clone()
    };
    if rng.bool() {
        vec![first, second]
    } else {
        vec![first]
    }
}

fn wide(rng: &mut fastrand::Rng) -> Vec<Step> {
    let first = Step {
        count: rng.u32(8..20),
        needs: needs(1_500, 1_000, 0),
        estimate_ms: 2_500,
        checkpoints: true,
        ..Step::default()
    };
    let last = Step {
        count: 3,
        depends_on: vec![0],
        requires: "a".to_owned(),
        anti_affinity: 1,
        ..first.clone()
    };
    vec![first, last]
}

fn gang(rng: &mut fastrand::Rng) -> Vec<Step> {
    vec![Step {
        count: rng.u32(2..4),
        needs: needs(7_000, 4_000, rng.u64(1..5)),
        estimate_ms: 3_000,
        checkpoints: rng.bool(),
        gang: true,
        same_rack: rng.bool(),
        ..Step::default()
    }]
}

fn long_running_steps() -> Vec<Step> {
    vec![Step {
        count: 3,
        needs: needs(300, 200, 0),
        estimate_ms: 400,
        long_running: true,
        anti_affinity: 2,
        ..Step::default()
    }]
}

/// Generates a job of a random kind. `wall` is the wall-clock time in milliseconds since 1970.
pub(crate) fn draw(rng: &mut fastrand::Rng, number: u64, wall: u64) -> GeneratedJob {
    let kind = rng.u32(0..100);
    let (queue, steps) = match kind {
        0..55 => ("q0", small(rng)),
        55..70 => ("q1", wide(rng)),
        70..85 => ("q2", gang(rng)),
        85..93 => ("q1", small(rng)),
        _ => ("q2", long_running_steps()),
    };
    let mut spec = spec(number, steps);
    if (85..93).contains(&kind) {
        spec.repeat = rng.u32(1..4);
        spec.start_at_ms = wall + rng.u64(0..1_500);
        spec.interval_ms = rng.u64(200..1_500);
    }
    let scripted_failures = match rng.u32(0..100) {
        0..4 => MAX_RETRIES + 1,
        4..10 => 1,
        _ => 0,
    };
    let work_factor = 0.6 + rng.f64();
    let expected = ExpectedJob {
        spec,
        queue,
        max_retries: MAX_RETRIES,
        cancelled_at: None,
        scripted_failures,
        work_factor,
        sent: false,
        rejected: false,
        cancel_sent: false,
    };
    GeneratedJob { queue, expected }
}

impl ExpectedJob {
    pub(crate) fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }
}
