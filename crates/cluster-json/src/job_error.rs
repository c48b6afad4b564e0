//! Why a submitted job is rejected.

use crate::quantity::Quantity;
use displaydoc::Display;
use lupinrack_cluster_api::error::ErrorKind;

/// Why a submitted job is rejected. Steps are named by their number, from 0.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum JobError {
    /// not a job in JSON: {0}
    Syntax(String),
    /// spec has {bytes} bytes, over {limit}
    SpecTooLong {
        /// The length of the text.
        bytes: usize,
        /// The largest length.
        limit: usize,
    },
    /// steps is absent or empty
    NoSteps,
    /// there are {steps} steps, over {limit}
    TooManySteps {
        /// The number of steps.
        steps: usize,
        /// The largest number.
        limit: usize,
    },
    /// step {step} has no tasks
    NoTasks {
        /// The step.
        step: usize,
    },
    /// step {step} has {tasks} tasks, over {limit}
    TooManyTasksInStep {
        /// The step.
        step: usize,
        /// The number of its tasks.
        tasks: u64,
        /// The largest number.
        limit: u64,
    },
    /// the steps have {tasks} tasks together, over {limit}
    TooManyTasks {
        /// The number of tasks of all steps.
        tasks: u64,
        /// The largest number.
        limit: u64,
    },
    /// step {step} depends on {dependency}, which is no earlier step
    NotAnEarlierStep {
        /// The step.
        step: usize,
        /// The number that it states.
        dependency: u64,
    },
    /// step {step} states {value} for {quantity}, over {limit}
    QuantityTooLarge {
        /// The step.
        step: usize,
        /// Which quantity.
        quantity: Quantity,
        /// Its value.
        value: u64,
        /// The largest value.
        limit: u64,
    },
    /// repeat is {repeat}, over {limit}
    TooManyOccurrences {
        /// The number of occurrences.
        repeat: u64,
        /// The largest number.
        limit: u64,
    },
    /// the last time is due too late to be stated in milliseconds
    TimeOverflow,
}

impl std::error::Error for JobError {}

impl From<JobError> for ErrorKind {
    fn from(_: JobError) -> ErrorKind {
        ErrorKind::Malformed
    }
}
