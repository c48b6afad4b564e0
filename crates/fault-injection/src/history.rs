//! The history of a run on one clock: the wall clock in microseconds, which all processes of the machine share. Each entry has
//! the timestamp of the process in which it occurred.

use serde_json::Value;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// The most entries that are kept. Later ones are dropped.
const MAX_ENTRIES: usize = 400_000;

/// A point in time, in microseconds of Unix time.
pub type Moment = u64;

/// The current time.
pub fn now() -> Moment {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// A log line of a process about its fleet.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// The front that the process belongs to.
    pub front: u16,
    /// Whether it is a second process under the front's name.
    pub twin: bool,
    /// The event: the log message without its prefix `fleet: `.
    pub event: String,
    /// The structured fields of the log line.
    pub fields: Value,
}

/// An entry of the history.
#[derive(Clone, Debug)]
pub enum Entry {
    /// A process logged an event.
    Logged(LogRecord),
    /// The harness carried out an act of the script, or began the load.
    Acted(String),
    /// A process started or ended: its front, whether it is a second process under that name, and whether it runs now.
    Running(u16, bool, bool),
}

/// All entries of a run, in the order in which they were recorded.
#[derive(Default)]
pub struct History(Mutex<Vec<(Moment, Entry)>>);

impl History {
    fn push(&self, at: Moment, entry: Entry) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if all.len() < MAX_ENTRIES {
            all.push((at, entry));
        }
    }

    /// Records a log line, with the line's own timestamp if it has one.
    pub fn record_log(&self, record: LogRecord) {
        let at = record.fields["unix_us"].as_u64().unwrap_or_else(now);
        self.push(at, Entry::Logged(record));
    }

    /// Records an act of the harness.
    pub fn record_act(&self, act: String) {
        self.push(now(), Entry::Acted(act));
    }

    /// Records that a front's process, or its second process, started or ended.
    pub fn record_running(&self, front: u16, twin: bool, running: bool) {
        self.push(now(), Entry::Running(front, twin, running));
    }

    /// All entries, ordered by time.
    pub fn entries(&self) -> Vec<(Moment, Entry)> {
        let mut all = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        all.sort_by_key(|(at, _)| *at);
        all
    }

    /// The last entries as text, one per line. Times are relative to the last entry. Quota updates (`rights`) are left out.
    pub fn tail(&self, max_lines: usize) -> String {
        let all = self.entries();
        let Some((end, _)) = all.last() else {
            return String::new();
        };
        let line = |(at, entry): &(Moment, Entry)| {
            let text = match entry {
                Entry::Logged(record) => {
                    let twin = if record.twin { "'" } else { "" };
                    format!("n{}{twin} {} {}", record.front, record.event, record.fields)
                }
                Entry::Acted(act) => format!("harness: {act}"),
                Entry::Running(front, twin, running) => {
                    format!(
                        "n{front}{} {}",
                        if *twin { "'" } else { "" },
                        if *running { "running" } else { "ended" }
                    )
                }
            };
            format!("{:>9.3} s  {text}\n", (*at as f64 - *end as f64) / 1e6)
        };
        let is_shown = |e: &&(Moment, Entry)| !matches!(&e.1, Entry::Logged(record) if record.event == "rights");
        let lines: Vec<String> = all.iter().filter(is_shown).map(line).collect();
        lines[lines.len().saturating_sub(max_lines)..].concat()
    }
}
