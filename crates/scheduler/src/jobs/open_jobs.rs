//! The plans of all open jobs.

use crate::history::durations::DurationModel;
use crate::jobs::plan::JobPlan;
use crate::jobs::ready_listing::{ListingInputs, LookaheadAllowance};
use lupinrack_cluster_api::identity::{JobId, ServiceName};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_control_state::{ControlState, JobRecord};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// The plans of a service's open jobs, and the jobs that have changed since the last refresh.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenJobs {
    plans: BTreeMap<JobId, JobPlan>,
    changed: BTreeSet<JobId>,
    /// Whether the queues of all open jobs may have been directed to other services.
    queues_changed: bool,
    /// The number of repeating jobs with a plan.
    repeating: usize,
    /// The number of servers at the last refresh.
    servers: usize,
}

/// The changed jobs that have no plan any more.
#[derive(Clone, Debug, Default)]
pub(crate) struct WithoutPlan {
    /// Jobs that have ended. Their runs have to be stopped.
    pub(crate) closed: Vec<JobId>,
    /// Jobs of other services, or with queues that are directed to other services. Their runs go on.
    pub(crate) departed: Vec<JobId>,
}

/// The inputs of [`OpenJobs::refresh`].
#[derive(Debug)]
pub(crate) struct JobsRefresh<'a> {
    pub(crate) state: &'a ControlState,
    pub(crate) service: &'a ServiceName,
    /// The total capacity of the service's servers.
    pub(crate) capacity: Resources,
    /// The number of the service's servers.
    pub(crate) servers: usize,
    /// The expected durations of work.
    pub(crate) durations: &'a DurationModel,
    /// The time of the round.
    pub(crate) now: Millis,
    /// The wall-clock time.
    pub(crate) wall: WallMillis,
}

impl OpenJobs {
    /// Marks a job as changed, so that the next refresh updates its plan, and those of all jobs with
    /// the same identity.
    pub(crate) fn set_changed(&mut self, job: JobId) {
        self.changed.insert(job);
    }

    /// Notes that a new configuration is in force, so that the next refresh checks to which services
    /// the queues are directed.
    pub(crate) fn set_queues_changed(&mut self) {
        self.queues_changed = true;
    }

    /// Whether a job has a plan.
    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.plans.contains_key(&job)
    }

    /// The plans of the open jobs, by job.
    pub(crate) fn plans(&self) -> impl Iterator<Item = (&JobId, &JobPlan)> {
        self.plans.iter()
    }

    /// Refreshes the plans of changed jobs, and of jobs with an occurrence that has become due.
    /// Returns the changed jobs that have no plan any more.
    pub(crate) fn refresh(&mut self, update: &JobsRefresh<'_>) -> WithoutPlan {
        if std::mem::take(&mut self.queues_changed) {
            self.changed.extend(update.redirected_jobs());
        }
        if self.servers != update.servers {
            self.servers = update.servers;
            let repeating = self.plans.iter().filter(|(_, plan)| plan.is_repeating());
            self.changed.extend(repeating.map(|(job, _)| *job));
        }
        let mut without_plan = WithoutPlan::default();
        let changed = std::mem::take(&mut self.changed);
        for job in update.state.jobs().with_namesakes(changed) {
            match update.state.job(job).filter(|record| record.is_open()) {
                Some(record) if update.is_scheduled_here(record) => {
                    self.refresh_plan(job, record, update);
                }
                open => {
                    let plan = self.plans.remove(&job);
                    self.repeating -= usize::from(plan.is_some_and(|plan| plan.is_repeating()));
                    without_plan.add(job, open.is_some());
                }
            }
        }
        let inputs = update.listing_inputs(self.repeating);
        let due = self
            .plans
            .iter_mut()
            .filter(|(_, plan)| plan.has_newly_due_occurrence(update.wall));
        for (job, plan) in due {
            if let Some(record) = update.state.job(*job) {
                plan.refresh(record, inputs);
            }
        }
        without_plan
    }

    fn refresh_plan(&mut self, job: JobId, record: &JobRecord, update: &JobsRefresh<'_>) {
        let plan = match self.plans.entry(job) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => {
                let plan = JobPlan::new(record, &update.capacity, update.durations);
                self.repeating += usize::from(plan.is_repeating());
                new.insert(plan)
            }
        };
        plan.refresh(record, update.listing_inputs(self.repeating));
    }
}

impl WithoutPlan {
    fn add(&mut self, job: JobId, has_departed: bool) {
        if has_departed {
            self.departed.push(job);
        } else {
            self.closed.push(job);
        }
    }
}

impl JobsRefresh<'_> {
    fn listing_inputs(&self, repeating_jobs: usize) -> ListingInputs {
        ListingInputs {
            allowance: LookaheadAllowance::shared_by(repeating_jobs),
            servers: self.servers,
            now: self.now,
            wall: self.wall,
        }
    }

    /// Whether the owner of the service starts tasks of an open job: the job belongs to the service
    /// and is not about to be handed over.
    fn is_scheduled_here(&self, job: &JobRecord) -> bool {
        job.service == *self.service && job.redirected_to(self.state.configuration()).is_none()
    }

    /// The open jobs of the service that have to be handed over.
    fn redirected_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        let is_redirected = |job: &JobId| {
            let record = self.state.job(*job);
            record.is_some_and(|record| !self.is_scheduled_here(record))
        };
        self.state
            .jobs()
            .open_jobs(self.service)
            .filter(is_redirected)
    }
}
