//! Fault injection: what may fail (`fault`), when (`schedule`, drawn by `mixed` and `severe`), how it is injected
//! (`injection`, `core_faults`, `crash_on_ack`), and which faults are in effect (`active`).

pub(crate) mod active;
mod core_faults;
mod crash_on_ack;
pub(crate) mod fault;
mod injection;
mod mixed;
pub(crate) mod schedule;
mod severe;
