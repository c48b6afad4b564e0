//! What was sent, answered and run, with the milliseconds since the beginning.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Something that happened to a run at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEvent {
    pub at_ms: u64,
    pub server: String,
    pub task: String,
    pub run: u32,
    /// `start`, or how the run ended.
    pub what: String,
}

/// The record. Clones refer to the same one.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<RunEvent>>>,
}

impl Record {
    /// Begins a new record in this file.
    pub fn begin(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            runs: Arc::default(),
        })
    }

    /// Milliseconds since the beginning.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now_ms());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    /// Records an event of a run.
    pub fn run(&self, event: RunEvent) {
        let RunEvent {
            at_ms,
            server,
            task,
            run,
            what,
        } = &event;
        self.line(&format!(
            "server {server}: run {run} of {task}: {what} (at {at_ms})"
        ));
        if let Ok(mut runs) = self.runs.lock() {
            runs.push(event);
        }
    }

    /// All events of runs so far.
    pub fn runs(&self) -> Vec<RunEvent> {
        self.runs
            .lock()
            .map_or_else(|_| Vec::new(), |runs| runs.clone())
    }
}
