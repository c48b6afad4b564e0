//! A job as its client expects it.

use lupinrack_cluster_api::job::JobSpec;

/// A job as its client expects it, and the modelled behavior of its tasks.
#[derive(Clone, Debug)]
pub struct ExpectedJob {
    /// The spec that the client submits.
    pub spec: JobSpec,
    /// The failures of one task after which the job fails.
    pub max_retries: u32,
    /// When the client received the confirmation that the job is cancelled.
    pub cancelled_at: Option<u64>,
    /// Whether the client has sent a request to cancel the job.
    pub cancel_sent: bool,
    /// The injected failures of each task before it succeeds. A job that cannot succeed has more than `max_retries`.
    pub injected_failures: u32,
    /// The factor of the tasks' duration to the estimate.
    pub work_factor: f64,
    /// Whether the client has sent the submission.
    pub submitted: bool,
    /// Whether every submission was rejected and none will follow.
    pub rejected: bool,
}

impl ExpectedJob {
    /// Whether the job has tasks that run until they are cancelled.
    pub fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    /// Whether the injected failures of each task exceed `max_retries`, so that the job cannot succeed.
    pub fn cannot_succeed(&self) -> bool {
        self.injected_failures > self.max_retries && !self.is_long_running()
    }
}
