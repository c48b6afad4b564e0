//! The settings file of a process of the cluster scheduler.
//!
//! A settings file consists of lines of the form `a.b=value`, with lists joined by commas. [`NodeSettings::load`] reads
//! one and checks it whole: every fault is named with its key, not only the first. Keys that are not known are ignored.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod bounds;
mod error;
mod file;
mod limits;
mod reader;
mod settings;

pub use bounds::Bounds;
pub use error::{Faults, SettingsError, SettingsFault};
pub use limits::{FaultTolerance, MachineLimits};
pub use settings::{
    settings_path, CommandDelivery, NodeSettings, ServedInterface, DEFAULT_PATH, PATH_VARIABLE,
};
