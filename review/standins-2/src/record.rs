//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    epoch: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        Record {
            file: Arc::new(Mutex::new(File::create(path).unwrap())),
            epoch: Instant::now(),
        }
    }

    /// Milliseconds since the record began.
    pub fn now(&self) -> u64 {
        self.epoch.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let seconds = self.now() as f64 / 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
