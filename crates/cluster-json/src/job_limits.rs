//! Bounds on what one job may ask for.

/// Bounds on what one job may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobLimits {
    /// Bytes of the text that every start carries.
    pub max_spec_bytes: usize,
    /// Steps.
    pub max_steps: usize,
    /// Tasks of one step.
    pub max_tasks_per_step: u64,
    /// Tasks of all steps together.
    pub max_tasks: u64,
    /// Times that the steps run.
    pub max_repeat: u64,
    /// The largest figure of cpu, memory, accelerators or milliseconds of one task.
    pub max_figure: u64,
}

impl Default for JobLimits {
    fn default() -> JobLimits {
        JobLimits {
            max_spec_bytes: 4_000,
            max_steps: 256,
            max_tasks_per_step: 10_000,
            max_tasks: 100_000,
            max_repeat: 1_000_000,
            max_figure: 1 << 32,
        }
    }
}
