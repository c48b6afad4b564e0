//! What the golden tests share: the files that they compare with, plain HTTP, and a scripted head of the chain.

// Each test file uses some of it.
#![allow(dead_code)]

pub mod exchange;
pub mod golden_file;
pub mod packed_disk;
pub mod process;
pub mod scripted_core;
