//! The fronts that the tests share.
#![allow(dead_code)]

pub mod front;
pub use stand_ins::rsync;
