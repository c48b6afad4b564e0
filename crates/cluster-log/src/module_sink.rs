//! A sink that logs by module.

use crate::levels::Levels;
use crate::line_formatter::module_of;
use spdlog::formatter::Formatter;
use spdlog::sink::Sink;
use spdlog::{ErrorHandler, LevelFilter, Record};
use std::sync::Arc;

/// Passes on the events that their module's level allows.
pub struct ModuleSink {
    levels: Levels,
    inner: Arc<dyn Sink>,
}

impl ModuleSink {
    /// A sink in front of another one.
    pub fn new(levels: Levels, inner: Arc<dyn Sink>) -> ModuleSink {
        ModuleSink { levels, inner }
    }
}

impl Sink for ModuleSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        match self.levels.allow(module_of(record), record.level()) {
            true => self.inner.log(record),
            false => Ok(()),
        }
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.inner.flush()
    }

    fn level_filter(&self) -> LevelFilter {
        self.inner.level_filter()
    }

    fn set_level_filter(&self, filter: LevelFilter) {
        self.inner.set_level_filter(filter);
    }

    fn set_formatter(&self, formatter: Box<dyn Formatter>) {
        self.inner.set_formatter(formatter);
    }

    fn set_error_handler(&self, handler: Option<ErrorHandler>) {
        self.inner.set_error_handler(handler);
    }
}
