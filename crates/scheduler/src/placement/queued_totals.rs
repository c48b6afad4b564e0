//! The total needs of the tasks in one server's queue.

use crate::queues::task_queues::QueuedTask;
use crate::resources::{difference, sum};
use lupinrack_cluster_api::job::Resources;

/// The needs of all queued tasks of one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PriorityTotal {
    priority: u32,
    needs: Resources,
}

/// The number of queued tasks and the sums of their needs, by priority. The sums make the cost of a
/// query independent of the length of the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct QueuedTotals {
    count: usize,
    totals: Vec<PriorityTotal>,
}

impl QueuedTotals {
    /// The totals of these tasks.
    pub(crate) fn of<'a>(tasks: impl Iterator<Item = &'a QueuedTask>) -> QueuedTotals {
        let mut totals = QueuedTotals::default();
        for task in tasks {
            totals.add(task.profile.priority, &task.profile.needs);
        }
        totals
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds a task.
    pub(crate) fn add(&mut self, priority: u32, needs: &Resources) {
        self.count += 1;
        let known = self
            .totals
            .iter_mut()
            .find(|total| total.priority == priority);
        match known {
            Some(total) => total.needs = sum(&total.needs, needs),
            None => self.totals.push(PriorityTotal {
                priority,
                needs: *needs,
            }),
        }
    }

    /// Removes a task that was added before.
    pub(crate) fn remove(&mut self, priority: u32, needs: &Resources) {
        self.count = self.count.saturating_sub(1);
        let known = self
            .totals
            .iter_mut()
            .find(|total| total.priority == priority);
        if let Some(total) = known {
            total.needs = difference(&total.needs, needs);
        }
    }

    /// The needs of the tasks whose priority `counts` accepts.
    pub(crate) fn needs_of(&self, counts: impl Fn(u32) -> bool) -> Resources {
        self.totals
            .iter()
            .filter(|total| counts(total.priority))
            .fold(Resources::default(), |needs, total| {
                sum(&needs, &total.needs)
            })
    }
}
