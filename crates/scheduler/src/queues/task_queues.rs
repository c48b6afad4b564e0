//! The task queues of all servers.

use crate::runs::profile::RunProfile;
use crate::runs::table::{first_task, last_task};
use lupinrack_cluster_api::identity::{JobId, QueueName, ServerId, TaskId};
use lupinrack_cluster_api::time::Millis;
use lupinrack_dispatch::{Arrival, DispatchSettings, Dispatcher};
use std::collections::BTreeMap;

/// A task in the queue of a server.
#[derive(Clone, Debug)]
pub(crate) struct QueuedTask {
    pub(crate) server: ServerId,
    /// The profile of the run that would start.
    pub(crate) profile: RunProfile,
    /// The expected duration of its run, in milliseconds.
    pub(crate) expected_ms: u64,
    /// The label of the rack with its data; empty for none.
    pub(crate) affinity: String,
    /// When it was queued.
    pub(crate) since: Millis,
}

/// The weight and cost with which a task is charged to its stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Charge {
    pub(crate) weight: f64,
    /// The cost of the task, as a share of its server's capacity.
    pub(crate) cost: f64,
}

/// The queues of all servers, and the tasks in them. The dispatcher and the map of tasks change
/// only together, so both have exactly the same tasks.
#[derive(Clone, Debug)]
pub(crate) struct TaskQueues {
    dispatcher: Dispatcher<ServerId, QueueName, TaskId>,
    tasks: BTreeMap<TaskId, QueuedTask>,
}

impl TaskQueues {
    pub(crate) fn new(settings: DispatchSettings) -> TaskQueues {
        TaskQueues {
            dispatcher: Dispatcher::new(settings),
            tasks: BTreeMap::new(),
        }
    }

    /// Whether a task is queued anywhere.
    pub(crate) fn contains(&self, task: TaskId) -> bool {
        self.tasks.contains_key(&task)
    }

    /// Whether a task is in the queue of this server.
    pub(crate) fn is_queued_on(&self, task: TaskId, server: &ServerId) -> bool {
        let queued = self.tasks.get(&task);
        queued.is_some_and(|queued| queued.server == *server)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&TaskId, &QueuedTask)> {
        self.tasks.iter()
    }

    /// The tasks in the queue of a server, in the order of their start tags.
    pub(crate) fn of_server(&self, server: &ServerId) -> impl Iterator<Item = &QueuedTask> {
        self.dispatcher
            .queued(server)
            .filter_map(|task| self.tasks.get(task))
    }

    /// The number of tasks in a server's queue that belong to the same step and occurrence as
    /// `task`.
    pub(crate) fn count_of_step(&self, task: TaskId, server: &ServerId) -> usize {
        let first = TaskId { index: 0, ..task };
        let last = TaskId {
            index: u32::MAX,
            ..task
        };
        self.tasks
            .range(first..=last)
            .filter(|(_, queued)| queued.server == *server)
            .count()
    }

    /// Adds a task to the queue of its server.
    pub(crate) fn enqueue(&mut self, task: TaskId, queued: QueuedTask, charge: Charge) {
        let arrival = arrival(task, &queued.profile, charge);
        self.dispatcher
            .enqueue(&queued.server, arrival, queued.since);
        self.tasks.insert(task, queued);
    }

    /// Charges a stream for a task that starts without queueing, which advances the server's
    /// virtual time. `running` is the number of the server's runs.
    pub(crate) fn charge(
        &mut self,
        server: &ServerId,
        task: TaskId,
        profile: &RunProfile,
        charge: Charge,
        running: usize,
        now: Millis,
    ) {
        let arrival = arrival(task, profile, charge);
        self.dispatcher.enqueue(server, arrival, now);
        self.dispatcher
            .release(server, running, now, |queued| *queued == task);
        self.dispatcher.withdraw(server, &task);
    }

    /// Removes and returns the tasks of a server's queue that the server should start now, in the
    /// order of their start tags. See [`Dispatcher::release`].
    pub(crate) fn release(
        &mut self,
        server: &ServerId,
        running: usize,
        now: Millis,
        mut fits: impl FnMut(TaskId, &QueuedTask) -> bool,
    ) -> Vec<(TaskId, QueuedTask)> {
        let tasks = &self.tasks;
        let released = self.dispatcher.release(server, running, now, |task| {
            tasks.get(task).is_some_and(|queued| fits(*task, queued))
        });
        released
            .into_iter()
            .filter_map(|task| Some((task, self.tasks.remove(&task)?)))
            .collect()
    }

    /// Removes a task from its queue without starting it.
    pub(crate) fn withdraw(&mut self, task: TaskId) {
        if let Some(queued) = self.tasks.remove(&task) {
            self.dispatcher.withdraw(&queued.server, &task);
        }
    }

    /// Whether a task of a job is in a queue.
    pub(crate) fn has_job(&self, job: JobId) -> bool {
        self.of_job(job).next().is_some()
    }

    /// The queued tasks of a job.
    fn of_job(&self, job: JobId) -> impl Iterator<Item = TaskId> + '_ {
        let tasks = self.tasks.range(first_task(job)..=last_task(job));
        tasks.map(|(task, _)| *task)
    }

    /// Removes the tasks of a job from all queues.
    pub(crate) fn withdraw_job(&mut self, job: JobId) {
        let tasks: Vec<TaskId> = self.of_job(job).collect();
        for task in tasks {
            self.withdraw(task);
        }
    }

    /// Removes the queue of a server.
    pub(crate) fn remove_server(&mut self, server: &ServerId) {
        for task in self.dispatcher.remove_server(server) {
            self.tasks.remove(&task);
        }
    }
}

fn arrival(task: TaskId, profile: &RunProfile, charge: Charge) -> Arrival<QueueName, TaskId> {
    Arrival {
        task,
        stream: profile.queue.clone(),
        weight: charge.weight,
        cost: charge.cost,
    }
}
