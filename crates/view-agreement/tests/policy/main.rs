//! The rules by which views are proposed.

#[path = "../common/mod.rs"]
mod common;

mod identity;
mod leaving;
mod replacement;
mod rules;
mod tolerance;
mod watch;
