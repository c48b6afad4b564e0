//! Random jobs of several kinds; the same seed gives the same jobs.

use crate::expected_job::ExpectedJob;
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};

/// The failures of one task after which its job has failed, in every queue.
pub const MAX_RETRIES: u32 = 3;

/// The queues, with their priorities.
pub const QUEUES: [(&str, u32); 3] = [("q0", 0), ("q1", 1), ("q2", 2)];

/// The factor on the duration of runs that take much longer than estimated.
const OVERRUN_FACTOR: f64 = 6.0;

/// Whether some jobs allow speculative runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speculation {
    /// No job allows them.
    Never,
    /// A quarter of the small jobs allow them.
    Sometimes,
}

/// A job and the queue that it is submitted to.
#[derive(Clone, Debug)]
pub struct GeneratedJob {
    /// The name of the queue.
    pub queue: &'static str,
    /// The job as its client expects it.
    pub expected: ExpectedJob,
}

/// The kinds of generated jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobKind {
    /// One or two steps of a few short tasks.
    Small,
    /// Like `Small`, and it runs one to three times.
    Recurring,
    /// Many tasks with checkpoints, and a last step that needs a label.
    Wide,
    /// Tasks that start together or not at all.
    Gang,
    /// Tasks that run until they are cancelled.
    LongRunning,
}

impl JobKind {
    fn draw(rng: &mut fastrand::Rng) -> JobKind {
        match rng.u32(0..100) {
            0..55 => JobKind::Small,
            55..70 => JobKind::Wide,
            70..85 => JobKind::Gang,
            85..93 => JobKind::Recurring,
            _ => JobKind::LongRunning,
        }
    }

    fn queue(self) -> &'static str {
        match self {
            JobKind::Small => "q0",
            JobKind::Wide | JobKind::Recurring => "q1",
            JobKind::Gang | JobKind::LongRunning => "q2",
        }
    }

    fn steps(self, speculation: Speculation, rng: &mut fastrand::Rng) -> Vec<Step> {
        match self {
            JobKind::Small | JobKind::Recurring => small_steps(speculation, rng),
            JobKind::Wide => wide_steps(rng),
            JobKind::Gang => gang_steps(rng),
            JobKind::LongRunning => long_running_steps(),
        }
    }
}

/// Generates a job of a random kind. Its spec contains `number`; `wall_ms` is the wall clock time.
pub fn generate_job(
    number: u64,
    wall_ms: u64,
    speculation: Speculation,
    rng: &mut fastrand::Rng,
) -> GeneratedJob {
    let kind = JobKind::draw(rng);
    let mut spec = JobSpec {
        spec: format!("spec {number}"),
        steps: kind.steps(speculation, rng),
        ..JobSpec::default()
    };
    if kind == JobKind::Recurring {
        spec.repeat = rng.u32(1..4);
        spec.start_at_ms = wall_ms + rng.u64(0..1_500);
        spec.interval_ms = rng.u64(200..1_500);
    }
    let injected_failures = match rng.u32(0..100) {
        0..4 => MAX_RETRIES + 1,
        4..10 => 1,
        _ => 0,
    };
    let expected = ExpectedJob {
        spec,
        max_retries: MAX_RETRIES,
        cancelled_at: None,
        cancel_sent: false,
        injected_failures,
        work_factor: 0.6 + rng.f64(),
        submitted: false,
        rejected: false,
    };
    GeneratedJob {
        queue: kind.queue(),
        expected,
    }
}

/// Makes a job harder to place: most steps require one of these labels, some tasks need a large part of a server, and some
/// runs take much longer than estimated.
pub fn restrict_job(job: &mut GeneratedJob, labels: &[&str], rng: &mut fastrand::Rng) {
    for step in &mut job.expected.spec.steps {
        if rng.u32(0..10) < 7 {
            labels[rng.usize(0..labels.len())].clone_into(&mut step.requires);
        }
        if !step.gang && rng.u32(0..4) == 0 {
            step.needs.cpu = rng.u64(4_000..12_000);
        }
    }
    if rng.u32(0..3) == 0 {
        job.expected.work_factor *= OVERRUN_FACTOR;
    }
}

fn small_steps(speculation: Speculation, rng: &mut fastrand::Rng) -> Vec<Step> {
    let affinity = ["", "r1-1", "r1-2"][rng.usize(0..3)].to_owned();
    let first = Step {
        count: rng.u32(2..7),
        needs: resources(240, 100, 0),
        estimate_ms: 400,
        affinity,
        speculative: speculation == Speculation::Sometimes && rng.u32(0..4) == 0,
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

fn wide_steps(rng: &mut fastrand::Rng) -> Vec<Step> {
    let first = Step {
        count: rng.u32(8..20),
        needs: resources(1_500, 1_000, 0),
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

fn gang_steps(rng: &mut fastrand::Rng) -> Vec<Step> {
    vec![Step {
        count: rng.u32(2..4),
        needs: resources(7_000, 4_000, rng.u64(1..5)),
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
        needs: resources(300, 200, 0),
        estimate_ms: 400,
        long_running: true,
        anti_affinity: 2,
        ..Step::default()
    }]
}

fn resources(cpu: u64, memory_mb: u64, gpu: u64) -> Resources {
    Resources {
        cpu,
        memory_mb,
        gpu,
    }
}
