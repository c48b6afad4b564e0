//! Prints the events of a run as they happen.

use crate::run::Progress;
use std::fmt;
use tokio::time::Instant;

/// The clock of a run, and whether its events are printed.
#[derive(Debug)]
pub(crate) struct ProgressLog {
    started: Instant,
    progress: Progress,
}

impl ProgressLog {
    /// Creates a log whose clock starts now.
    pub(crate) fn start(progress: Progress) -> ProgressLog {
        ProgressLog {
            started: Instant::now(),
            progress,
        }
    }

    /// Milliseconds since its clock started.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Prints an event, unless events are hidden; returns its time in milliseconds.
    pub(crate) fn record(&self, event: impl fmt::Display) -> u64 {
        let at_ms = self.elapsed_ms();
        match self.progress {
            Progress::Printed => println!("{at_ms:>7} ms  {event}"),
            Progress::Hidden => {}
        }
        at_ms
    }
}
