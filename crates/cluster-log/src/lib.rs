//! The log of a process of the cluster scheduler: one line per event on standard error, with time, level, module and
//! message.
//!
//! Events are logged with the macros of `spdlog` (`spdlog::info!` and the like) once [`init_from_environment`] has set
//! the default logger. [`Levels`] select the events by module, and [`LineFormatter`] formats them.

mod error_chain;
mod init;
mod levels;
mod line_formatter;
mod module_sink;
mod renamed_crate;

pub use error_chain::error_chain;
pub use init::{init, init_from_environment, logger, LogError, LEVEL_VARIABLE};
pub use levels::{Levels, MalformedLevels};
pub use line_formatter::LineFormatter;
pub use module_sink::ModuleSink;
