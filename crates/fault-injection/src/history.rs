//! What happened, on one clock: the wall clock in microseconds, which all processes of this machine read alike. Each entry is
//! stamped where it happened.

use serde_json::Value;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Entries that are kept.
const MOST: usize = 400_000;

/// A moment, in microseconds of Unix time.
pub type Moment = u64;

/// The moment now.
pub fn now() -> Moment {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// What a process said of its fleet.
#[derive(Clone, Debug)]
pub struct Note {
    /// Whose process.
    pub front: u16,
    /// A second process under that name.
    pub twin: bool,
    /// Which line.
    pub what: String,
    /// Its fields.
    pub fields: Value,
}

/// One entry.
#[derive(Clone, Debug)]
pub enum Entry {
    /// A process said something.
    Said(Note),
    /// The rig did something.
    Did(String),
    /// A process began to live, or ended, as the rig knows.
    Lives(u16, bool, bool),
}

/// All of it.
#[derive(Default)]
pub struct History(Mutex<Vec<(Moment, Entry)>>);

impl History {
    fn put(&self, at: Moment, entry: Entry) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if all.len() < MOST {
            all.push((at, entry));
        }
    }

    /// A process said something; its own stamp counts, where the line has one.
    pub fn note(&self, note: Note) {
        let at = note.fields["unix_us"].as_u64().unwrap_or_else(now);
        self.put(at, Entry::Said(note));
    }

    /// The rig does something.
    pub fn did(&self, what: String) {
        self.put(now(), Entry::Did(what));
    }

    /// A process (a twin of it) lives from now on, or no longer.
    pub fn lives(&self, front: u16, twin: bool, lives: bool) {
        self.put(now(), Entry::Lives(front, twin, lives));
    }

    /// All entries in the order of their moments.
    pub fn all(&self) -> Vec<(Moment, Entry)> {
        let mut all = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        all.sort_by_key(|(at, _)| *at);
        all
    }

    /// The last entries, a line each.
    pub fn last(&self, most: usize) -> String {
        let all = self.all();
        let Some((end, _)) = all.last() else {
            return String::new();
        };
        let line = |(at, entry): &(Moment, Entry)| {
            let what = match entry {
                Entry::Said(n) => {
                    let twin = if n.twin { "'" } else { "" };
                    format!("n{}{twin} {} {}", n.front, n.what, n.fields)
                }
                Entry::Did(what) => format!("rig: {what}"),
                Entry::Lives(front, twin, lives) => {
                    format!(
                        "n{front}{} {}",
                        if *twin { "'" } else { "" },
                        if *lives { "lives" } else { "ended" }
                    )
                }
            };
            format!("{:>9.3} s  {what}\n", (*at as f64 - *end as f64) / 1e6)
        };
        let quiet = |e: &&(Moment, Entry)| !matches!(&e.1, Entry::Said(n) if n.what == "rights");
        let lines: Vec<String> = all.iter().filter(quiet).map(line).collect();
        lines[lines.len().saturating_sub(most)..].concat()
    }
}
