//! The rules by which views are proposed.

#[path = "../common/mod.rs"]
mod common;

mod draining;
mod identity;
mod replacement;
mod rules;
mod tolerance;
mod unhealthy_disks;
mod watch;
