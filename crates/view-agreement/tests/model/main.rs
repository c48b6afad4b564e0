//! Model checking of the agreement: messages are delivered in any order, repeatedly, or never; processes crash and disks
//! are lost at any time.

#[path = "../common/mod.rs"]
mod common;

mod agreement;
mod replacement;
mod system;
