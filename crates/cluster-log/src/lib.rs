//! The log of a process of the cluster scheduler: one line an event on standard error, with time, level, module and
//! message.
//!
//! Events are logged with the macros of `spdlog` (`spdlog::info!` and its kin) once [`init_from_environment`] has set
//! the default logger. Which events are written follows from [`Levels`], by module.
// 2026-12-02: not yet under the workspace's strict lints; listed in docs/ROADMAP.md.
#![allow(clippy::pedantic, clippy::unwrap_used, unreachable_pub, missing_docs)]

mod error_chain;
mod init;
mod levels;
mod line_formatter;
mod module_sink;

pub use error_chain::error_chain;
pub use init::{init, init_from_environment, logger, LogError, LEVEL_VARIABLE};
pub use levels::{Levels, MalformedLevels};
pub use line_formatter::LineFormatter;
pub use module_sink::ModuleSink;
