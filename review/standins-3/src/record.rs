//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// So many starts and ends are written one by one; further ones are only counted.
const MAX_RUN_LINES: u64 = 1000;

/// Writes lines to `record.txt`, and keeps them.
#[derive(Clone, Debug)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    run_lines: Arc<AtomicU64>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            run_lines: Arc::default(),
        })
    }

    /// Writes a line on the start or the end of a run.
    pub fn run_line(&self, text: &str) {
        if self.run_lines.fetch_add(1, Ordering::Relaxed) < MAX_RUN_LINES {
            self.line(text);
        }
    }

    /// How many starts and ends were not written.
    pub fn unwritten_run_lines(&self) -> u64 {
        self.run_lines
            .load(Ordering::Relaxed)
            .saturating_sub(MAX_RUN_LINES)
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}\n");
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
        if std::env::var_os("SHOW").is_some() {
            print!("{line}");
        }
    }
}
