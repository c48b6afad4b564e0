//! What the plan of a day does to the world.

pub mod active;
mod core_faults;
mod crash_on_ack;
pub mod fault;
mod injection;
mod mixed;
pub mod schedule;
mod severe;
