//! Bounds on what one job may ask for.

/// Bounds on what one job may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLimits {
    /// The largest length of the text that every start carries, in bytes.
    pub max_spec_bytes: usize,
    /// The largest number of steps.
    pub max_steps: usize,
    /// The largest number of tasks of one step.
    pub max_tasks_per_step: u64,
    /// The largest number of tasks of all steps together.
    pub max_tasks: u64,
    /// The largest number of occurrences.
    pub max_repeat: u64,
    /// The largest value of each [`Quantity`](crate::Quantity) of a task.
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
