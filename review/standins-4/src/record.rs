//! What was sent, answered and run, with the time since the start of the case.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Something that happened at a server.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A server began a task on an order.
    Start {
        at: u64,
        server: String,
        task: String,
        run: u64,
        spec: String,
    },
    /// A run ended at its server.
    End {
        at: u64,
        server: String,
        task: String,
        run: u64,
        how: String,
    },
}

/// The record; clones refer to the same one.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    state: Arc<Mutex<(Vec<String>, Vec<Event>)>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            began: Instant::now(),
            state: Arc::default(),
        }
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.now() as f64 / 1000.0, line.as_ref());
        println!("{line}");
        self.state.lock().unwrap().0.push(line);
    }

    /// Adds an event at a server.
    pub fn event(&self, event: Event) {
        self.note(match &event {
            Event::Start {
                server, task, run, ..
            } => format!("server {server} starts {task} run {run}"),
            Event::End {
                server,
                task,
                run,
                how,
                ..
            } => format!("server {server} lists {task} run {run}: {how}"),
        });
        self.state.lock().unwrap().1.push(event);
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        self.state.lock().unwrap().1.clone()
    }

    /// The whole record.
    pub fn text(&self) -> String {
        self.state.lock().unwrap().0.join("\n") + "\n"
    }
}
