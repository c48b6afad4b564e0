//! The table of runs.

use crate::resources::{difference, sum};
use crate::run_id::RunId;
use crate::runs::run::{Run, RunPhase, StopReason};
use crate::servers::session::{OrderId, SessionId};
use lupinrack_cluster_api::identity::{JobId, ServerId, TaskId};
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::server::RunningTask;
use lupinrack_cluster_api::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The runs of one server.
#[derive(Clone, Debug, Default)]
struct RunsOfServer {
    tasks: BTreeSet<TaskId>,
    /// The capacity used by the runs that have not ended.
    used: Resources,
    /// The number of runs that have not ended.
    open: usize,
    /// Whether a run has changed since the last call of [`RunTable::take_changed`].
    changed: bool,
}

/// All runs of a service, by task.
///
/// A task has at most one run: its next start is proposed only after the end of the previous run
/// was recorded. The table keeps the capacity used on each server up to date, so the server, the
/// needs and the end of a run change only through its methods.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTable {
    runs: BTreeMap<TaskId, Run>,
    by_server: BTreeMap<ServerId, RunsOfServer>,
    /// The capacity used by the runs of each priority that have not ended.
    used_by_priority: BTreeMap<u32, Resources>,
    /// The tasks of runs that may be over without a report of their server: those with a requested
    /// stop, and those that were recorded since the last call of [`RunTable::take_possibly_ended`].
    possibly_ended: BTreeSet<TaskId>,
}

/// The smallest identity that a task of this job can have.
pub(crate) fn first_task(job: JobId) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// The largest identity that a task of this job can have.
pub(crate) fn last_task(job: JobId) -> TaskId {
    TaskId {
        job,
        occurrence: u32::MAX,
        step: u32::MAX,
        index: u32::MAX,
    }
}

impl RunTable {
    /// Adds a run, replacing an earlier one of the same task. From now on it uses capacity of its
    /// server.
    pub(crate) fn insert(&mut self, run: Run) {
        self.remove(run.task);
        let needs = &run.profile.needs;
        let on_server = self.by_server.entry(run.server.clone()).or_default();
        on_server.tasks.insert(run.task);
        on_server.used = sum(&on_server.used, needs);
        on_server.open += 1;
        on_server.changed = true;
        let of_priority = self
            .used_by_priority
            .entry(run.profile.priority)
            .or_default();
        *of_priority = sum(of_priority, needs);
        if run.stop.is_some() {
            self.possibly_ended.insert(run.task);
        }
        self.runs.insert(run.task, run);
    }

    pub(crate) fn get(&self, task: TaskId) -> Option<&Run> {
        self.runs.get(&task)
    }

    pub(crate) fn contains(&self, task: TaskId) -> bool {
        self.runs.contains_key(&task)
    }

    /// The run with this identity, if it is assigned to this server.
    pub(crate) fn on_server(&self, server: &ServerId, id: RunId) -> Option<&Run> {
        self.get(id.task)
            .filter(|run| run.attempt == id.attempt && run.server == *server)
    }

    /// The capacity that the runs on a server use.
    pub(crate) fn used(&self, server: &ServerId) -> Resources {
        self.by_server
            .get(server)
            .map(|runs| runs.used)
            .unwrap_or_default()
    }

    /// The capacity that the runs of a priority use.
    pub(crate) fn used_by(&self, priority: u32) -> Resources {
        self.used_by_priority
            .get(&priority)
            .copied()
            .unwrap_or_default()
    }

    /// The number of runs on a server that have not ended.
    pub(crate) fn open_count(&self, server: &ServerId) -> usize {
        self.by_server.get(server).map_or(0, |runs| runs.open)
    }

    /// Whether a run on a server was added, changed or ended since the last call. Reported progress
    /// does not count as a change.
    pub(crate) fn take_changed(&mut self, server: &ServerId) -> bool {
        self.by_server
            .get_mut(server)
            .is_some_and(|runs| std::mem::take(&mut runs.changed))
    }

    /// Marks the runs of a server as changed.
    fn set_changed(&mut self, server: &ServerId) {
        if let Some(runs) = self.by_server.get_mut(server) {
            runs.changed = true;
        }
    }

    /// The runs on a server, including those whose ends are being recorded.
    pub(crate) fn of_server<'a>(
        &'a self,
        server: &ServerId,
    ) -> impl Iterator<Item = &'a Run> + use<'a> {
        self.by_server
            .get(server)
            .into_iter()
            .flat_map(|runs| &runs.tasks)
            .filter_map(|task| self.runs.get(task))
    }

    pub(crate) fn of_job(&self, job: JobId) -> impl Iterator<Item = &Run> {
        self.runs
            .range(first_task(job)..=last_task(job))
            .map(|(_, run)| run)
    }

    /// Whether a job has no run that has not ended.
    pub(crate) fn is_idle(&self, job: JobId) -> bool {
        self.of_job(job).all(|run| run.ended)
    }

    /// The runs of the step and occurrence of this task.
    pub(crate) fn of_step(&self, task: TaskId) -> impl Iterator<Item = &Run> {
        let first = TaskId { index: 0, ..task };
        let last = TaskId {
            index: u32::MAX,
            ..task
        };
        self.runs.range(first..=last).map(|(_, run)| run)
    }

    /// The runs that may be over without a report of their server: those with a requested stop, and
    /// those that were recorded since the last call.
    pub(crate) fn take_possibly_ended(&mut self) -> Vec<&Run> {
        let runs = &self.runs;
        let possibly_ended: Vec<&Run> = self
            .possibly_ended
            .iter()
            .filter_map(|task| runs.get(task))
            .collect();
        self.possibly_ended
            .retain(|task| runs.get(task).is_some_and(|run| run.stop.is_some()));
        possibly_ended
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }

    /// Marks the start of a run as recorded.
    pub(crate) fn set_recorded(&mut self, task: TaskId, now: Millis) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.phase = RunPhase::Recorded;
            run.progressed_at = now;
            let server = run.server.clone();
            self.set_changed(&server);
            self.possibly_ended.insert(task);
        }
    }

    /// Notes the session in which the agent was ordered to start a run.
    pub(crate) fn set_start_ordered(&mut self, task: TaskId, session: SessionId) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.start_ordered_in = Some(session);
        }
    }

    /// Notes the message in which the agent was ordered to stop a run.
    pub(crate) fn set_stop_ordered(&mut self, task: TaskId, order: OrderId) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.stop_order = Some(order);
        }
    }

    /// Records the progress of a run that a server lists as running.
    pub(crate) fn record_progress(&mut self, listed: &RunningTask, at: Millis) {
        if let Some(run) = self.runs.get_mut(&listed.task) {
            run.record_progress(listed, at);
        }
    }

    /// Moves the times of the last progress forward by the time that this owner stood still.
    pub(crate) fn exclude_stall(&mut self, stalled_ms: u64, now: Millis) {
        for run in self.runs.values_mut() {
            run.progressed_at = run.progressed_at.plus(stalled_ms).min(now);
        }
    }

    /// Marks a run as counted among the overdue ones.
    pub(crate) fn set_overdue(&mut self, task: TaskId) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.overdue = true;
        }
    }

    /// Requests the stop of a run and of the other members of its gang. An earlier reason is kept.
    pub(crate) fn request_stop(&mut self, task: TaskId, reason: StopReason) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        let mut members = vec![task];
        if run.profile.gang {
            let attempt = run.attempt;
            let gang = self.of_step(task).filter(|run| run.attempt == attempt);
            members.extend(gang.map(|member| member.task));
        }
        for member in members {
            if let Some(run) = self.runs.get_mut(&member).filter(|run| !run.ended) {
                run.stop.get_or_insert(reason);
                self.possibly_ended.insert(member);
                let server = run.server.clone();
                self.set_changed(&server);
            }
        }
    }

    /// Marks a run as ended and frees its capacity.
    pub(crate) fn set_ended(&mut self, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.ended {
            return;
        }
        run.ended = true;
        let needs = &run.profile.needs;
        if let Some(on_server) = self.by_server.get_mut(&run.server) {
            on_server.used = difference(&on_server.used, needs);
            on_server.open = on_server.open.saturating_sub(1);
            on_server.changed = true;
        }
        if let Some(of_priority) = self.used_by_priority.get_mut(&run.profile.priority) {
            *of_priority = difference(of_priority, needs);
        }
    }

    pub(crate) fn remove(&mut self, task: TaskId) {
        self.set_ended(task);
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.possibly_ended.remove(&task);
        if let Some(on_server) = self.by_server.get_mut(&run.server) {
            on_server.tasks.remove(&task);
            if on_server.tasks.is_empty() {
                self.by_server.remove(&run.server);
            }
        }
    }
}
