//! Jobs, their occurrences and their tasks.

mod ends;
mod occurrence;
mod record;
mod starts;
mod table;
mod task;

pub use occurrence::Occurrence;
pub use record::JobRecord;
pub use table::{JobTable, TASKS_PER_OCCURRENCE_MOST};
pub use task::{TaskRecord, TaskStatus};
