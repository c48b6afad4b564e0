//! Limits on the size of a job.

/// Limits on the size of a job and on the quantities that it requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLimits {
    /// The maximum length, in bytes, of the job's `spec` text, which every task start carries.
    pub max_spec_bytes: usize,
    /// The maximum number of steps.
    pub max_steps: usize,
    /// The maximum number of tasks of one step.
    pub max_tasks_per_step: u64,
    /// The maximum number of tasks of all steps together.
    pub max_tasks: u64,
    /// The maximum number of occurrences.
    pub max_repeat: u64,
    /// The maximum value of each [`Quantity`](crate::Quantity) of a task.
    pub max_quantity: u64,
}

impl Default for JobLimits {
    fn default() -> JobLimits {
        JobLimits {
            max_spec_bytes: 4_000,
            max_steps: 256,
            max_tasks_per_step: 10_000,
            max_tasks: 100_000,
            max_repeat: 1_000_000,
            max_quantity: 1 << 32,
        }
    }
}
