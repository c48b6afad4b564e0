//! What the client of a job knows.

use lupinrack_cluster_api::job::JobSpec;

/// What the client of a job knows, and how its tasks will behave.
#[derive(Clone, Debug)]
pub struct ExpectedJob {
    /// The job as it is submitted.
    pub spec: JobSpec,
    /// Failed runs of one task after which the job fails.
    pub max_retries: u32,
    /// When the client learnt that it is cancelled.
    pub cancelled_at: Option<u64>,
    /// Whether its client asked for its cancellation.
    pub cancel_sent: bool,
    /// Failures of each task by its own fault before it can succeed; more than the queue allows for a hopeless job.
    pub own_failures: u32,
    /// How many times as long as estimated its tasks take.
    pub work_factor: f64,
    /// Whether its client has sent it.
    pub sent: bool,
    /// Whether every submission was rejected and none will follow.
    pub refused: bool,
}

impl ExpectedJob {
    /// Whether it has tasks that run until they are cancelled.
    pub fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    /// Whether its tasks fail by their own fault as often as the queue allows.
    pub fn is_hopeless(&self) -> bool {
        self.own_failures > self.max_retries && !self.is_long_running()
    }
}
