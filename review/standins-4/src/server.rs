//! A server: it sends heartbeats to the agent beside it and runs what the answers order, as the pages say.

use crate::http;
use crate::json::{quoted, Json};
use crate::record::{Event, Record};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The longest time for which runs are held.
pub const HOLD_MAX_MS: u64 = 6_000;
/// The usual interval between heartbeats.
pub const HEARTBEAT_MS: u64 = 1_500;
/// How long a stop takes.
const STOP_MS: u64 = 200;
/// An answer that comes later than this is dropped.
const ANSWER_MS: u64 = 1_000;

/// What a server says of itself.
#[derive(Clone)]
pub struct Description {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    /// The control address of the agent on its machine.
    pub agent: SocketAddrV4,
}

struct Run {
    started: u64,
    takes: u64,
    stops: Option<u64>,
}

/// A running server. It ends like a crash: it says nothing any more.
pub struct Server {
    down: Arc<AtomicBool>,
    /// When its last heartbeat was answered.
    answered: Arc<AtomicU64>,
    /// The number of its last heartbeat.
    sequence: Arc<AtomicU64>,
    /// The text of its last heartbeat.
    description: Description,
}

impl Server {
    /// Starts a server.
    pub fn start(description: Description, record: &Record) -> Server {
        let server = Server {
            down: Arc::default(),
            answered: Arc::default(),
            sequence: Arc::default(),
            description: description.clone(),
        };
        let mut machine = Machine {
            description,
            record: record.clone(),
            runs: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            closed: BTreeMap::new(),
            fence: 0,
            hold_until: 0,
        };
        let (down, answered, sequence) = (
            server.down.clone(),
            server.answered.clone(),
            server.sequence.clone(),
        );
        thread::spawn(move || {
            while !down.load(Ordering::SeqCst) {
                let number = sequence.fetch_add(1, Ordering::SeqCst) + 1;
                machine.beat(number, &down, &answered);
            }
        });
        server
    }

    /// Lets it crash. Its runs end with it.
    pub fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
    }

    /// When its last heartbeat was answered.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::SeqCst)
    }

    /// A heartbeat without runs and ends, one number after the last one sent.
    pub fn next_idle_heartbeat(&self, now: u64) -> String {
        let number = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        heartbeat(&self.description, number, now, "", "")
    }
}

/// The call of a heartbeat.
fn heartbeat(of: &Description, sequence: u64, now: u64, running: &str, finished: &str) -> String {
    let body = format!(
        "{{\"service\":{},\"address\":\"127.0.0.1:9\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
         \"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":{},\"mem-mb\":32768,\"gpu\":0}},\"labels\":[\"a\",{}],\
         \"clock-ms\":{now},\"sequence\":{sequence},\"running\":[{running}],\"finished\":[{finished}]}}",
        quoted(&of.service), quoted(&of.zone), of.cpu, quoted(&of.rack),
    );
    let path = format!("/lupinrack/instances/{}", of.id);
    http::request("PUT", &path, &of.agent.to_string(), "", &body)
}

struct Machine {
    description: Description,
    record: Record,
    runs: BTreeMap<(String, u64), Run>,
    finished: Vec<(u64, String, u64, String)>,
    ends: u64,
    /// The highest run of each task that ended or was stopped here.
    closed: BTreeMap<String, u64>,
    fence: u64,
    hold_until: u64,
}

impl Machine {
    fn now(&self) -> u64 {
        self.record.now()
    }

    /// Sends one heartbeat, carries out its answer, and works until the next one is due.
    fn beat(&mut self, sequence: u64, down: &AtomicBool, answered: &AtomicU64) {
        self.advance();
        let sent = self.now();
        let running: Vec<String> = self
            .runs
            .iter()
            .map(|((task, run), state)| {
                let percent = (self.now() - state.started) * 100 / state.takes.max(1);
                format!("[{},{run},\"\",{}]", quoted(task), percent.min(99))
            })
            .collect();
        let finished: Vec<String> = self
            .finished
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},{},\"\"]", quoted(task), quoted(how))
            })
            .collect();
        let call = heartbeat(
            &self.description,
            sequence,
            sent,
            &running.join(","),
            &finished.join(","),
        );
        let ends_before = self.ends;
        let answer = http::call(
            self.description.agent,
            &call,
            Duration::from_millis(ANSWER_MS),
        );
        if down.load(Ordering::SeqCst) {
            return;
        }
        let mut wait = HEARTBEAT_MS;
        if let Ok(answer) = answer {
            if answer.status / 100 == 2 && self.now() - sent <= ANSWER_MS {
                answered.store(self.now(), Ordering::SeqCst);
                let orders = Json::parse(&answer.body);
                self.carry_out(&orders, sent);
                let asked = orders.field("retry-after-ms").number();
                wait = if asked > 0 {
                    asked.min(HEARTBEAT_MS)
                } else {
                    HEARTBEAT_MS
                };
            }
        }
        let mut due = self.now() + wait;
        while self.now() < due && !down.load(Ordering::SeqCst) {
            self.advance();
            if self.ends > ends_before {
                due = due.min(self.now() + 50);
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn carry_out(&mut self, orders: &Json, sent: u64) {
        let fence = orders.field("fence-token").number();
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        let observed = orders.field("observed").number();
        self.finished.retain(|(number, ..)| *number > observed);
        for stop in orders.field("stop").items() {
            let (task, run) = (stop.items()[0].text().to_owned(), stop.items()[1].number());
            self.close(&task, run);
            let now = self.now();
            if let Some(state) = self.runs.get_mut(&(task, run)) {
                state.stops.get_or_insert(now + STOP_MS);
            }
        }
        let hold = orders.field("hold-ms").number().min(HOLD_MAX_MS);
        if hold == 0 {
            return;
        }
        self.hold_until = self.hold_until.max(sent + hold);
        for start in orders.field("start").items() {
            let (task, run) = (
                start.items()[0].text().to_owned(),
                start.items()[1].number(),
            );
            self.start(task, run, start.items()[2].text());
        }
    }

    fn start(&mut self, task: String, run: u64, spec: &str) {
        if self.runs.contains_key(&(task.clone(), run)) {
            return;
        }
        if self.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return self.finish(task, run, "refused");
        }
        // The text of a job says how long its tasks take, in milliseconds.
        let takes = spec
            .split('=')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(500);
        let now = self.now();
        self.record.event(Event::Start {
            at: now,
            server: self.description.id.clone(),
            task: task.clone(),
            run,
            spec: spec.to_owned(),
        });
        self.runs.insert(
            (task, run),
            Run {
                started: now,
                takes,
                stops: None,
            },
        );
    }

    fn advance(&mut self) {
        let (now, held) = (self.now(), self.now() < self.hold_until);
        let ended: Vec<((String, u64), &str)> = self
            .runs
            .iter()
            .filter_map(|(name, run)| {
                let how = if !held {
                    "lapsed"
                } else if run.stops.is_some_and(|at| now >= at) {
                    "stopped"
                } else if now >= run.started + run.takes {
                    "done"
                } else {
                    return None;
                };
                Some((name.clone(), how))
            })
            .collect();
        for ((task, run), how) in ended {
            self.runs.remove(&(task.clone(), run));
            self.finish(task, run, how);
        }
    }

    fn finish(&mut self, task: String, run: u64, how: &str) {
        self.ends += 1;
        self.close(&task, run);
        self.record.event(Event::End {
            at: self.now(),
            server: self.description.id.clone(),
            task: task.clone(),
            run,
            how: how.to_owned(),
        });
        self.finished.push((self.ends, task, run, how.to_owned()));
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
    }
}
