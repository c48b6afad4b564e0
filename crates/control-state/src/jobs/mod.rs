//! Jobs, their occurrences and their tasks.

mod ends;
mod namesakes;
mod occurrence;
mod queue;
mod record;
mod remaining_runs;
mod starts;
mod table;
mod task;

pub use namesakes::Namesakes;
pub use occurrence::Occurrence;
pub use queue::{JobQueue, QueueReference};
pub use record::JobRecord;
pub use table::{JobTable, MAX_TASKS_PER_OCCURRENCE};
pub use task::{TaskRecord, TaskStatus};
