//! The queue of one server.

use crate::cost::Cost;
use crate::tags::{Tag, Tags};
use std::collections::BTreeMap;

/// The order of tasks in a queue: by start tag, then by the order in which they were enqueued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    start: Tag,
    sequence: u64,
}

/// A task in the queue of a server.
#[derive(Clone, Debug)]
pub(crate) struct QueuedTask<Stream, Task> {
    /// The task.
    pub(crate) task: Task,
    /// The stream that is charged for it.
    pub(crate) stream: Stream,
    /// The sequence number of its arrival, unique in a dispatcher.
    pub(crate) sequence: u64,
    /// Its cost.
    pub(crate) cost: Cost,
    /// Its tags.
    pub(crate) tags: Tags,
    /// The number of later tasks that were released while this one did not fit.
    bypasses: u32,
}

impl<Stream, Task> QueuedTask<Stream, Task> {
    /// A task that no other has bypassed yet.
    pub(crate) fn new(task: Task, stream: Stream, sequence: u64, cost: Cost, tags: Tags) -> Self {
        QueuedTask {
            task,
            stream,
            sequence,
            cost,
            tags,
            bypasses: 0,
        }
    }

    fn position(&self) -> Position {
        Position {
            start: self.tags.start,
            sequence: self.sequence,
        }
    }
}

/// The tasks that wait for one server, and the server's virtual time.
#[derive(Clone, Debug)]
pub(crate) struct ServerQueue<Stream, Task> {
    virtual_time: Tag,
    tasks: BTreeMap<Position, QueuedTask<Stream, Task>>,
    /// The key of each task in `tasks`.
    positions: BTreeMap<Task, Position>,
}

impl<Stream, Task> Default for ServerQueue<Stream, Task> {
    fn default() -> Self {
        ServerQueue {
            virtual_time: Tag::default(),
            tasks: BTreeMap::new(),
            positions: BTreeMap::new(),
        }
    }
}

/// The tasks that a release removes from the queue, and those that did not fit.
struct Selection {
    selected: Vec<Position>,
    rejected: Vec<Rejection>,
}

/// A task that did not fit, and the number of tasks selected before it.
struct Rejection {
    position: Position,
    selected_before: usize,
}

impl<Stream, Task: Clone + Ord> ServerQueue<Stream, Task> {
    /// The highest start tag released here.
    pub(crate) fn virtual_time(&self) -> Tag {
        self.virtual_time
    }

    /// A queued task.
    pub(crate) fn get(&self, task: &Task) -> Option<&QueuedTask<Stream, Task>> {
        self.positions
            .get(task)
            .and_then(|position| self.tasks.get(position))
    }

    /// Adds a task.
    pub(crate) fn insert(&mut self, queued: QueuedTask<Stream, Task>) {
        let position = queued.position();
        self.positions.insert(queued.task.clone(), position);
        self.tasks.insert(position, queued);
    }

    /// Removes a task without running it. The virtual time is unchanged.
    pub(crate) fn remove(&mut self, task: &Task) -> Option<QueuedTask<Stream, Task>> {
        let position = self.positions.remove(task)?;
        self.tasks.remove(&position)
    }

    /// The tasks in the order of their start tags.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedTask<Stream, Task>> {
        self.tasks.values()
    }

    /// Removes up to `max_tasks` tasks that fit, in the order of their start tags. No task is
    /// released from behind one that does not fit and was bypassed `max_bypasses` times.
    pub(crate) fn release(
        &mut self,
        max_tasks: usize,
        max_bypasses: u32,
        fits: impl FnMut(&Task) -> bool,
    ) -> Vec<QueuedTask<Stream, Task>> {
        let Selection { selected, rejected } = self.select(max_tasks, max_bypasses, fits);
        self.record_bypasses(&rejected, selected.len());
        selected
            .into_iter()
            .filter_map(|position| self.start(position))
            .collect()
    }

    fn select(
        &self,
        max_tasks: usize,
        max_bypasses: u32,
        mut fits: impl FnMut(&Task) -> bool,
    ) -> Selection {
        let mut selected = Vec::new();
        let mut rejected = Vec::new();
        // Lowered when a rejected task may be bypassed by fewer tasks than there are free slots.
        let mut max_selected = max_tasks;
        for (position, queued) in &self.tasks {
            if selected.len() >= max_selected {
                break;
            }
            if fits(&queued.task) {
                selected.push(*position);
                continue;
            }
            rejected.push(Rejection {
                position: *position,
                selected_before: selected.len(),
            });
            let bypasses_left = max_bypasses.saturating_sub(queued.bypasses) as usize;
            max_selected = max_selected.min(selected.len().saturating_add(bypasses_left));
        }
        Selection { selected, rejected }
    }

    fn record_bypasses(&mut self, rejected: &[Rejection], selected: usize) {
        for rejection in rejected {
            let bypasses = u32::try_from(selected - rejection.selected_before).unwrap_or(u32::MAX);
            if let Some(queued) = self.tasks.get_mut(&rejection.position) {
                queued.bypasses = queued.bypasses.saturating_add(bypasses);
            }
        }
    }

    /// Removes a task to be run. The virtual time advances to its start tag; it never moves back.
    fn start(&mut self, position: Position) -> Option<QueuedTask<Stream, Task>> {
        let queued = self.tasks.remove(&position)?;
        self.positions.remove(&queued.task);
        self.virtual_time = self.virtual_time.max(queued.tags.start);
        Some(queued)
    }
}
