//! Golden files: encoded examples of what goes over a socket or to a disk, kept beside the tests of a crate.
//!
//! A test builds each value in code, compares its encoding with the kept one byte for byte, and decodes the kept one
//! into the value again. So a change of the wire or of the stored data cannot pass unseen. A file has one line for each
//! example, `name: encoding`, binary forms in lowercase hexadecimal digits.
//!
//! With the environment variable [`UPDATE_VARIABLE`] set to `1` the tests write the files in place of comparing them.
//!
//! This crate is a development dependency of others; nothing in it is part of a build that is deployed.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod golden_file;
mod hex;

pub use golden_file::{compare_text, is_update, GoldenFile, UPDATE_VARIABLE};
pub use hex::{from_hex, to_hex};
