//! Why a job cannot be taken as described.

use displaydoc::Display;
use lupinrack_cluster_api::error::ErrorKind;

/// A figure that one task of a step states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Figure {
    /// cpu
    Cpu,
    /// mem-mb
    Memory,
    /// gpu
    Gpu,
    /// estimate-ms
    Estimate,
    /// anti-affinity
    AntiAffinity,
}

/// Why a job cannot be taken as described. Steps are named by their number, from 0.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum JobFault {
    /// not a job in JSON: {0}
    Syntax(String),
    /// spec has {bytes} bytes, over {limit}
    SpecTooLong {
        /// Its length.
        bytes: usize,
        /// The bound.
        limit: usize,
    },
    /// steps is absent or empty
    NoSteps,
    /// there are {steps} steps, over {limit}
    TooManySteps {
        /// How many there are.
        steps: usize,
        /// The bound.
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
        /// How many it has.
        tasks: u64,
        /// The bound.
        limit: u64,
    },
    /// the steps have {tasks} tasks together, over {limit}
    TooManyTasks {
        /// How many there are.
        tasks: u64,
        /// The bound.
        limit: u64,
    },
    /// step {step} depends on {dependency}, which is no earlier step
    NotAnEarlierStep {
        /// The step.
        step: usize,
        /// What it names.
        dependency: u64,
    },
    /// step {step} states {value} for {figure}, over {limit}
    FigureTooLarge {
        /// The step.
        step: usize,
        /// Which figure.
        figure: Figure,
        /// Its value.
        value: u64,
        /// The bound.
        limit: u64,
    },
    /// repeat is {repeat}, over {limit}
    TooManyTimes {
        /// How many times the steps should run.
        repeat: u64,
        /// The bound.
        limit: u64,
    },
    /// the last time is due too late to be stated in milliseconds
    TimeOverflow,
}

impl std::error::Error for JobFault {}

impl From<JobFault> for ErrorKind {
    fn from(_: JobFault) -> ErrorKind {
        ErrorKind::Malformed
    }
}
