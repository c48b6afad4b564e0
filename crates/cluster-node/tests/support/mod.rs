//! Helpers of the golden tests: HTTP exchanges, packed disks, processes on loopback, and a scripted head of the chain.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

pub mod exchange;
pub mod packed_disk;
pub mod process;
pub mod scripted_core;
