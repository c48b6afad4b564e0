//! Setting the process's log up.

use crate::levels::{Levels, MalformedLevels};
use crate::line_formatter::LineFormatter;
use crate::module_sink::ModuleSink;
use displaydoc::Display;
use spdlog::sink::{Sink, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::Logger;
use std::sync::Arc;

/// The environment variable that holds the [`Levels`]; `info` where it is not set.
pub const LEVEL_VARIABLE: &str = "LUPINRACK_LOG";

/// Why the log cannot be set up.
#[derive(Debug, Display)]
pub enum LogError {
    /// {0}
    Levels(MalformedLevels),
    /// the log cannot be set up: {0}
    Library(spdlog::Error),
}

impl std::error::Error for LogError {}

impl From<spdlog::Error> for LogError {
    fn from(error: spdlog::Error) -> LogError {
        LogError::Library(error)
    }
}

/// Logs to standard error from now on, with the levels that the environment gives.
pub fn init_from_environment() -> Result<(), LogError> {
    let text = std::env::var(LEVEL_VARIABLE).unwrap_or_default();
    init(text.parse().map_err(LogError::Levels)?)
}

/// Logs to standard error from now on.
pub fn init(levels: Levels) -> Result<(), LogError> {
    let standard_error = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger(levels, Arc::new(standard_error))?));
    Ok(())
}

/// A logger that writes lines to a sink.
pub fn logger(levels: Levels, sink: Arc<dyn Sink>) -> Result<Logger, LogError> {
    sink.set_formatter(Box::new(LineFormatter));
    let widest = levels.widest();
    let by_module = ModuleSink::new(levels, sink);
    Ok(Logger::builder()
        .sink(Arc::new(by_module))
        .level_filter(widest)
        .build()?)
}
