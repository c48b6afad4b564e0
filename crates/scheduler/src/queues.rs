//! The queues of the servers.

pub(crate) mod task_queues;
