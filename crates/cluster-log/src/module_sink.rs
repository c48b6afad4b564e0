//! A sink that filters events by module.

use crate::levels::Levels;
use crate::line_formatter::module_of;
use spdlog::formatter::Formatter;
use spdlog::sink::Sink;
use spdlog::{ErrorHandler, LevelFilter, Record};
use std::sync::Arc;

/// Forwards to another sink the events that the [`Levels`] of their module allow.
pub struct ModuleSink {
    levels: Levels,
    inner: Arc<dyn Sink>,
}

impl ModuleSink {
    /// Filters the events for the sink `inner`.
    pub fn new(levels: Levels, inner: Arc<dyn Sink>) -> ModuleSink {
        ModuleSink { levels, inner }
    }
}

impl Sink for ModuleSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        if self.levels.allow(module_of(record), record.level()) {
            self.inner.log(record)
        } else {
            Ok(())
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
