//! The agreement in a model checker: messages are delivered in any order, again, or never; processes end, and disks are
//! lost, at any moment.

#[path = "../common/mod.rs"]
mod common;

mod agreement;
mod replacement;
mod system;
