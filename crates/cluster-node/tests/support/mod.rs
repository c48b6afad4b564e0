//! What the golden tests share: plain HTTP, and a scripted head of the chain.

// Each test file uses some of it.
#![allow(dead_code)]

pub mod exchange;
pub mod packed_disk;
pub mod process;
pub mod scripted_core;
