//! Jobs, their times and their tasks.

mod ends;
pub mod record;
mod starts;
