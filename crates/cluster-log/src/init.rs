//! The initialization of the process's log.

use crate::levels::{Levels, MalformedLevels};
use crate::line_formatter::LineFormatter;
use crate::module_sink::ModuleSink;
use displaydoc::Display;
use spdlog::sink::{Sink, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::Logger;
use std::sync::Arc;

/// The environment variable with the text of the [`Levels`]; `info` if it is unset.
pub const LEVEL_VARIABLE: &str = "LUPINRACK_LOG";

/// Why the log cannot be initialized. Its text contains the cause, so there is no `source` beside it.
#[derive(Debug, Display)]
pub enum LogError {
    /// {0}
    Levels(MalformedLevels),
    /// the log cannot be set up: {0}
    Library(spdlog::Error),
}

impl std::error::Error for LogError {}

impl From<MalformedLevels> for LogError {
    fn from(error: MalformedLevels) -> LogError {
        LogError::Levels(error)
    }
}

impl From<spdlog::Error> for LogError {
    fn from(error: spdlog::Error) -> LogError {
        LogError::Library(error)
    }
}

/// Installs the default logger, which writes to standard error, with the levels of [`LEVEL_VARIABLE`].
///
/// # Errors
///
/// [`LogError::Levels`] if the variable's text is malformed, and otherwise as [`init`].
pub fn init_from_environment() -> Result<(), LogError> {
    let text = std::env::var(LEVEL_VARIABLE).unwrap_or_default();
    init(text.parse()?)
}

/// Installs the default logger, which writes to standard error.
///
/// # Errors
///
/// [`LogError::Library`] if `spdlog` cannot build the logger.
pub fn init(levels: Levels) -> Result<(), LogError> {
    let standard_error = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger(levels, Arc::new(standard_error))?));
    Ok(())
}

/// Builds a logger that writes the events allowed by `levels` to a sink, one line per event.
///
/// # Errors
///
/// [`LogError::Library`] if `spdlog` cannot build the logger.
pub fn logger(levels: Levels, sink: Arc<dyn Sink>) -> Result<Logger, LogError> {
    sink.set_formatter(Box::new(LineFormatter));
    let most_verbose = levels.most_verbose();
    let by_module = ModuleSink::new(levels, sink);
    Ok(Logger::builder()
        .sink(Arc::new(by_module))
        .level_filter(most_verbose)
        .build()?)
}
