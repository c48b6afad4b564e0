//! Jobs, their occurrences and their tasks.

mod ends;
mod index_set;
mod namesakes;
mod occurrence;
mod occurrences;
mod queue;
mod record;
mod remaining_runs;
mod starts;
mod table;
mod task;

pub use index_set::IndexSet;
pub use namesakes::Namesakes;
pub use occurrence::{Occurrence, StepRecord};
pub use occurrences::Occurrences;
pub use queue::{JobQueue, QueueReference};
pub use record::JobRecord;
pub use table::{JobTable, MAX_TASKS_PER_OCCURRENCE};
pub use task::{TaskRecord, TaskStatus};
