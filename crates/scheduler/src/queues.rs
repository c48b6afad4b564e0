//! The queues of tasks that are placed on a server and wait there for capacity.

pub(crate) mod task_queues;
pub(crate) mod weights;
