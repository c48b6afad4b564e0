//! The format of a log line.

use chrono::{DateTime, Utc};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::{Error, Record, StringBuf};
use std::fmt::Write;

/// The placeholder for the module of an event without one.
const NO_MODULE: &str = "-";

/// Formats an event as one line: its time (RFC 3339, in UTC, with milliseconds), level, module and message. Line breaks
/// in the message are written as `\n`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineFormatter;

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &Record,
        line: &mut StringBuf,
        _context: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        let time = DateTime::<Utc>::from(record.time()).format("%Y-%m-%dT%H:%M:%S%.3fZ");
        let level = record.level().as_str();
        write!(line, "{time} {level} {} ", module_of(record)).map_err(Error::FormatRecord)?;
        push_on_one_line(line, record.payload());
        line.push('\n');
        Ok(())
    }
}

/// The module that an event comes from.
pub(crate) fn module_of<'a>(record: &Record<'a>) -> &'a str {
    record
        .source_location()
        .map_or(NO_MODULE, |location| location.module_path())
}

fn push_on_one_line(line: &mut StringBuf, message: &str) {
    for (position, part) in message.lines().enumerate() {
        if position > 0 {
            line.push_str("\\n");
        }
        line.push_str(part);
    }
}
