//! A simple model of the job table: one flat table holds every task of every occurrence from the
//! beginning, and each rule is a condition on that table.

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{Attempt, JobId, TaskId};
use lupinrack_cluster_api::job::{JobSpec, JobState, Step};
use lupinrack_cluster_api::operation::{EndRecord, Operation, OperationResult, StartRecord};
use lupinrack_cluster_api::server::RunEnd;
use std::collections::{BTreeMap, BTreeSet};

/// Failed runs that every queue of the model allows.
pub(crate) const MAX_RETRIES: u32 = 2;

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ModelTask {
    /// The service of the server that it is assigned to.
    pub(crate) assigned: Option<String>,
    pub(crate) done: bool,
    pub(crate) attempt: Attempt,
    /// The attempts whose failure was counted.
    pub(crate) failures: BTreeSet<Attempt>,
}

#[derive(Clone, Debug)]
pub(crate) struct ModelJob {
    pub(crate) spec: JobSpec,
    pub(crate) queue: String,
    pub(crate) service: String,
    pub(crate) state: JobState,
    pub(crate) ended_at: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Model {
    pub(crate) jobs: BTreeMap<JobId, ModelJob>,
    pub(crate) tasks: BTreeMap<TaskId, ModelTask>,
    pub(crate) tokens: BTreeMap<String, u64>,
    /// The service to which each queue is directed.
    pub(crate) directions: BTreeMap<String, String>,
    /// The version of the configuration.
    pub(crate) version: u64,
}

impl Model {
    /// The model of the tests' configuration, with the same token for both shards.
    pub(crate) fn new(token: u64) -> Model {
        let pairs = [("a", "one"), ("b", "two")];
        let directions = pairs.map(|(queue, service)| (queue.to_owned(), service.to_owned()));
        let tokens = pairs.map(|(_, service)| (service.to_owned(), token));
        Model {
            tokens: BTreeMap::from(tokens),
            directions: BTreeMap::from(directions),
            version: 1,
            ..Model::default()
        }
    }

    /// Directs a queue to a service, after the change was applied.
    pub(crate) fn direct(&mut self, queue: &str, service: &str) {
        self.directions.insert(queue.to_owned(), service.to_owned());
    }

    /// The services with an open job or a run.
    pub(crate) fn services_at_work(&self) -> BTreeSet<&str> {
        let open = self.jobs.values().filter(|job| !job.state.is_final());
        let runs = self
            .tasks
            .values()
            .filter_map(|task| task.assigned.as_deref());
        open.map(|job| job.service.as_str()).chain(runs).collect()
    }

    pub(crate) fn step(&self, task: &TaskId) -> Option<&Step> {
        self.jobs.get(&task.job)?.spec.steps.get(task.step as usize)
    }

    /// The tasks of a step in one occurrence of a job.
    fn siblings(&self, of: &TaskId) -> Vec<TaskId> {
        let same =
            |id: &&TaskId| (id.job, id.occurrence, id.step) == (of.job, of.occurrence, of.step);
        self.tasks.keys().filter(same).copied().collect()
    }

    pub(crate) fn pending(&self, queue: &str) -> u64 {
        self.jobs
            .values()
            .filter(|job| job.queue == queue && !job.state.is_final())
            .count() as u64
    }

    /// Whether all tasks of one occurrence are done.
    pub(crate) fn occurrence_is_done(&self, job: JobId, occurrence: u32) -> bool {
        let mut tasks = self
            .tasks
            .iter()
            .filter(|(id, _)| (id.job, id.occurrence) == (job, occurrence));
        tasks.all(|(_, task)| task.done)
    }

    pub(crate) fn apply(&mut self, operation: &Operation) -> OperationResult {
        match operation {
            Operation::AcceptJob {
                job,
                queue,
                spec,
                at,
            } => self.accept(*job, &queue.0, spec, at.0),
            Operation::CancelJob { job, at, .. } => self.cancel(*job, at.0),
            Operation::TakeShard { service, token, .. } => self.take(&service.0, token.0),
            Operation::RecordStarts {
                service,
                token,
                starts,
            } => {
                if self.is_fenced(&service.0, token.0) {
                    return OperationResult::Refused(ErrorKind::Fenced);
                }
                OperationResult::Starts(self.start_all(&service.0, starts))
            }
            Operation::RecordEnds {
                service,
                token,
                ends,
                at,
            } => {
                if self.is_fenced(&service.0, token.0) {
                    return OperationResult::Refused(ErrorKind::Fenced);
                }
                ends.iter().for_each(|end| self.end(&service.0, end, at.0));
                OperationResult::Done
            }
            Operation::RecordServer { service, token, .. } => {
                match self.is_fenced(&service.0, token.0) {
                    true => OperationResult::Refused(ErrorKind::Fenced),
                    false => OperationResult::Done,
                }
            }
            Operation::ForgetJobs { ended_before } => {
                self.jobs
                    .retain(|_, job| !job.state.is_final() || job.ended_at >= ended_before.0);
                self.tasks.retain(|id, _| self.jobs.contains_key(&id.job));
                OperationResult::Done
            }
            Operation::ChangeConfiguration(_) => {
                self.version += 1;
                OperationResult::Done
            }
            Operation::HandOverJobs {
                service,
                token,
                jobs,
            } => {
                if self.is_fenced(&service.0, token.0) {
                    return OperationResult::Refused(ErrorKind::Fenced);
                }
                jobs.iter().for_each(|job| self.hand_over(&service.0, *job));
                OperationResult::Done
            }
            Operation::Noop => OperationResult::Done,
            Operation::AcceptJobAt { .. } | Operation::CancelJobAt { .. } => {
                unreachable!("the histories of namesakes.rs have them")
            }
        }
    }

    fn is_fenced(&self, service: &str, token: u64) -> bool {
        token < self.tokens.get(service).copied().unwrap_or(0)
    }

    fn hand_over(&mut self, service: &str, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.service == service && !job.state.is_final() {
            job.service.clone_from(&self.directions[&job.queue]);
        }
    }

    fn accept(&mut self, id: JobId, queue: &str, spec: &JobSpec, at: u64) -> OperationResult {
        let Some(service) = self.directions.get(queue).cloned() else {
            return OperationResult::Refused(ErrorKind::UnknownQueue);
        };
        if let Some(job) = self.jobs.get(&id) {
            return OperationResult::Job(job.state);
        }
        for occurrence in 0..spec.repeat.max(1) {
            for (step, asked) in spec.steps.iter().enumerate() {
                for index in 0..asked.count {
                    let task = TaskId {
                        job: id,
                        occurrence,
                        step: step as u32,
                        index,
                    };
                    self.tasks.insert(task, ModelTask::default());
                }
            }
        }
        let empty = spec.steps.iter().all(|step| step.count == 0);
        let state = if empty {
            JobState::Succeeded
        } else {
            JobState::Queued
        };
        let (queue, spec) = (queue.to_owned(), spec.clone());
        self.jobs.insert(
            id,
            ModelJob {
                spec,
                queue,
                service,
                state,
                ended_at: at,
            },
        );
        OperationResult::Job(state)
    }

    fn cancel(&mut self, id: JobId, at: u64) -> OperationResult {
        let Some(job) = self.jobs.get_mut(&id) else {
            return OperationResult::Refused(ErrorKind::UnknownJob);
        };
        if !job.state.is_final() {
            (job.state, job.ended_at) = (JobState::Cancelled, at);
        }
        OperationResult::Job(job.state)
    }

    fn take(&mut self, service: &str, token: u64) -> OperationResult {
        if self.tokens.get(service).is_some_and(|held| token <= *held) {
            return OperationResult::Refused(ErrorKind::Fenced);
        }
        self.tokens.insert(service.to_owned(), token);
        OperationResult::Done
    }

    fn start_all(&mut self, service: &str, starts: &[StartRecord]) -> Vec<bool> {
        let mut hold = Vec::new();
        let before = self.clone();
        for start in starts {
            let is_gang = self.step(&start.task).is_some_and(|step| step.gang);
            let holds = if is_gang {
                before.gang_holds(service, &start.task, starts)
            } else {
                self.may_start(service, start)
            };
            if holds {
                self.assign(service, start);
            }
            hold.push(holds);
        }
        hold
    }

    fn assign(&mut self, service: &str, start: &StartRecord) {
        let task = self.tasks.get_mut(&start.task).expect("it may start");
        (task.assigned, task.attempt) = (Some(service.to_owned()), start.attempt);
        let job = self.jobs.get_mut(&start.task.job).expect("it may start");
        job.state = JobState::Running;
    }

    fn gang_holds(&self, service: &str, of: &TaskId, starts: &[StartRecord]) -> bool {
        let group = |start: &&StartRecord| {
            (start.task.job, start.task.occurrence, start.task.step)
                == (of.job, of.occurrence, of.step)
        };
        let group: Vec<&StartRecord> = starts.iter().filter(group).collect();
        let mut members: Vec<TaskId> = group.iter().map(|start| start.task).collect();
        members.sort();
        members == self.siblings(of)
            && group
                .iter()
                .all(|start| start.attempt == group[0].attempt && self.may_start(service, start))
    }

    fn may_start(&self, service: &str, start: &StartRecord) -> bool {
        let Some(task) = self.tasks.get(&start.task) else {
            return false;
        };
        let Some(step) = self.step(&start.task) else {
            return false;
        };
        let job = &self.jobs[&start.task.job];
        let follows = if step.gang {
            start.attempt > task.attempt
        } else {
            start.attempt == task.attempt + 1
        };
        let earlier_done = step.depends_on.iter().all(|earlier| {
            let exists = (*earlier as usize) < job.spec.steps.len();
            let of = TaskId {
                step: *earlier,
                ..start.task
            };
            exists && self.siblings(&of).iter().all(|id| self.tasks[id].done)
        });
        let may_fail = step.long_running || (task.failures.len() as u32) < MAX_RETRIES;
        job.service == service
            && !job.state.is_final()
            && task.assigned.is_none()
            && !task.done
            && follows
            && earlier_done
            && may_fail
    }

    fn end(&mut self, service: &str, end: &EndRecord, at: u64) {
        let Some(step) = self.step(&end.task).cloned() else {
            return;
        };
        let Some(task) = self.tasks.get(&end.task) else {
            return;
        };
        if task.assigned.as_deref() != Some(service) || task.attempt != end.attempt {
            return;
        }
        self.tasks.get_mut(&end.task).expect("it is there").assigned = None;
        let run = if step.gang {
            self.siblings(&end.task)
        } else {
            vec![end.task]
        };
        for id in &run {
            let task = self.tasks.get_mut(id).expect("it is there");
            match end.end {
                RunEnd::Done if !step.long_running => (task.assigned, task.done) = (None, true),
                RunEnd::Failed => {
                    task.failures.insert(end.attempt);
                }
                _ => {}
            }
        }
        let failed =
            !step.long_running && self.tasks[&end.task].failures.len() as u32 >= MAX_RETRIES;
        let mut tasks = self.tasks.iter().filter(|(id, _)| id.job == end.task.job);
        let all_done = tasks.all(|(_, task)| task.done);
        let job = self.jobs.get_mut(&end.task.job).expect("it is there");
        if !job.state.is_final() && (failed || all_done) {
            job.state = if failed {
                JobState::Failed
            } else {
                JobState::Succeeded
            };
            job.ended_at = at;
        }
    }
}
