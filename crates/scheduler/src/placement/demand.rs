//! Demands: the steps whose tasks are to be placed.

use crate::estimator::NEVER_MS;
use crate::history::durations::DurationModel;
use crate::jobs::open_jobs::OpenJobs;
use crate::jobs::rank::Rank;
use crate::jobs::ready_step::ReadyStep;
use crate::queues::weights::StreamWeights;
use crate::runs::profile::RunProfile;
use lupinrack_cluster_api::identity::{JobId, QueueName, TaskId};
use lupinrack_cluster_api::job::Step;
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::{ControlState, JobRecord};
use std::collections::BTreeSet;

/// A step with tasks that are ready to start, and its job.
#[derive(Clone, Debug)]
pub(crate) struct Demand<'a> {
    pub(crate) id: JobId,
    /// The replicated record of the job.
    pub(crate) job: &'a JobRecord,
    pub(crate) step: &'a Step,
    /// Which of its tasks are waiting.
    pub(crate) ready: &'a ReadyStep,
    /// The urgency of the step.
    pub(crate) rank: Rank,
    /// The expected duration of a task on a server near its data, in milliseconds.
    pub(crate) expected_ms: u64,
}

impl Demand<'_> {
    /// The identity of one task of the step.
    pub(crate) fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id,
            occurrence: self.ready.occurrence,
            step: self.ready.step,
            index,
        }
    }

    /// The identities of the waiting tasks.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = TaskId> + use<'_> {
        self.ready.indices.iter().map(|index| self.task(*index))
    }

    /// For how long a task is expected to use capacity, in milliseconds, on a server where it takes
    /// `duration_factor` times as long as near its data.
    pub(crate) fn work_ms(&self, duration_factor: f64) -> u64 {
        if self.step.long_running {
            NEVER_MS
        } else {
            (self.expected_ms as f64 * duration_factor) as u64
        }
    }

    /// The profile of a task's run on a server where it takes `distance_factor` times as long as
    /// near its data.
    pub(crate) fn profile(&self, distance_factor: f64) -> RunProfile {
        RunProfile::new(self.job, self.step, distance_factor)
    }
}

/// All steps with tasks that are ready to start, most urgent first.
pub(crate) fn demands<'a>(
    state: &'a ControlState,
    jobs: &'a OpenJobs,
    durations: &DurationModel,
    wall: WallMillis,
) -> Vec<Demand<'a>> {
    let mut demands = Vec::new();
    for (id, plan) in jobs.plans() {
        if plan.ready().is_empty() {
            continue;
        }
        let Some(job) = state.job(*id) else {
            continue;
        };
        for ready in plan.ready() {
            let Some(step) = job.step(ready.step) else {
                continue;
            };
            demands.push(Demand {
                id: *id,
                job,
                step,
                ready,
                rank: plan.rank(job, ready, wall),
                expected_ms: durations.expected_ms(&job.queue.name, step.estimate_ms),
            });
        }
    }
    // The keys are unique, so the order does not depend on the stability of the sort.
    demands.sort_unstable_by_key(|demand| {
        let ReadyStep {
            occurrence, step, ..
        } = demand.ready;
        (demand.rank, demand.id, *occurrence, *step)
    });
    demands
}

/// The dispatcher weights of the queues that these demands belong to.
pub(crate) fn stream_weights(demands: &[Demand<'_>]) -> StreamWeights {
    let queues: BTreeSet<(&QueueName, u32)> = demands
        .iter()
        .map(|demand| (&demand.job.queue.name, demand.job.priority))
        .collect();
    StreamWeights::new(queues.into_iter().map(|(_, priority)| priority))
}
