//! The properties of a run that placement and estimates use.

use lupinrack_cluster_api::identity::QueueName;
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_control_state::JobRecord;

/// The properties of a run, copied from its job so that they remain available after the job is
/// removed.
#[derive(Clone, Debug)]
pub(crate) struct RunProfile {
    /// The capacity that it uses on its server.
    pub(crate) needs: Resources,
    /// The priority of its queue; 0 is the most urgent.
    pub(crate) priority: u32,
    pub(crate) queue: QueueName,
    /// The client's estimate of its duration near its data, in milliseconds.
    pub(crate) estimate_ms: u64,
    /// The factor on its duration for the distance to its data.
    pub(crate) distance_factor: f64,
    /// The label that its server must have; empty for none.
    pub(crate) requires: String,
    /// Whether it writes checkpoints.
    pub(crate) checkpoints: bool,
    /// Whether it runs until its job is cancelled.
    pub(crate) long_running: bool,
    /// Whether it is a member of a gang.
    pub(crate) gang: bool,
}

impl RunProfile {
    /// Creates the profile of a task of this step.
    pub(crate) fn new(job: &JobRecord, step: &Step, distance_factor: f64) -> RunProfile {
        RunProfile {
            needs: step.needs,
            priority: job.priority,
            queue: job.queue.name.clone(),
            estimate_ms: step.estimate_ms,
            distance_factor,
            requires: step.requires.clone(),
            checkpoints: step.checkpoints,
            long_running: step.long_running,
            gang: step.gang,
        }
    }

    /// The profile of a run that only has to be stopped. It uses no capacity.
    pub(crate) fn without_needs() -> RunProfile {
        RunProfile {
            needs: Resources::default(),
            priority: u32::MAX,
            queue: QueueName(String::new()),
            estimate_ms: 0,
            distance_factor: 1.0,
            requires: String::new(),
            checkpoints: false,
            long_running: false,
            gang: false,
        }
    }
}
