//! An application server beside an agent, as the users' pages describe it: it beats, starts and stops what it is told,
//! and lists what runs and what has ended. How long a task takes, and how it ends, stands in its spec:
//! `ms=400`, `ms=400 fail` or `lasts`.

use crate::http::{self, Call};
use crate::json::Json;
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a server says of itself.
#[derive(Clone, Debug)]
pub struct Facts {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
    pub hold_max_ms: u64,
    pub heartbeat_ms: u64,
    pub stop_ms: u64,
    /// The pause after a beat that was not acknowledged.
    pub retry_ms: u64,
}

/// A start, or the end of a run.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub server: String,
    pub task: String,
    pub run: u64,
    pub spec: String,
    /// None for a start.
    pub end: Option<&'static str>,
}

/// The events of all servers.
pub type Events = Arc<Mutex<Vec<Event>>>;

struct Run {
    task: String,
    run: u64,
    spec: String,
    began_at: Instant,
    ends_at: Option<Instant>,
    how: &'static str,
}

impl Run {
    /// How much of its work is done, in percent.
    fn percent(&self) -> u64 {
        let Some(ends_at) = self.ends_at else {
            return 100;
        };
        let total = (ends_at - self.began_at).as_millis().max(1);
        (self.began_at.elapsed().as_millis() * 100 / total).min(99) as u64
    }
}

struct Server {
    facts: Facts,
    agent: SocketAddr,
    record: Record,
    events: Events,
    sequence: u64,
    fence: u64,
    hold_until: Instant,
    running: Vec<Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest run of each task that was started or stopped here.
    highest: std::collections::BTreeMap<String, u64>,
}

/// Starts a server in a thread of its own; it ends once `stop` is set.
pub fn start(
    facts: Facts,
    agent: SocketAddr,
    record: Record,
    events: Events,
    stop: Arc<AtomicBool>,
) {
    std::thread::spawn(move || {
        let mut server = Server::new(facts, agent, record, events);
        while !stop.load(Ordering::Relaxed) {
            let wait_ms = server.beat();
            server.wait(Duration::from_millis(wait_ms));
        }
    });
}

/// Delivers the first beat of a server that has crashed since; nobody is there to carry out its answer. Returns its
/// status.
pub fn late_first_beat(facts: Facts, agent: SocketAddr, record: &Record) -> Option<u16> {
    let mut server = Server::new(facts, agent, record.clone(), Events::default());
    server.sequence = 1;
    let (path, body) = (server.path(), server.body());
    let call = Call {
        method: "PUT",
        path: &path,
        host: "control",
        headers: String::new(),
        body: &body,
    };
    let answer = http::call(agent, &call, Duration::from_millis(1000));
    answer.map(|answer| answer.status)
}

impl Server {
    fn new(facts: Facts, agent: SocketAddr, record: Record, events: Events) -> Server {
        Server {
            facts,
            agent,
            record,
            events,
            sequence: 0,
            fence: 0,
            hold_until: Instant::now(),
            running: Vec::new(),
            finished: Vec::new(),
            last_end: 0,
            highest: std::collections::BTreeMap::new(),
        }
    }

    fn path(&self) -> String {
        format!("/lupinrack/instances/{}", self.facts.id)
    }

    /// Sends a heartbeat, and carries out its answer. Returns the pause before the next one.
    fn beat(&mut self) -> u64 {
        self.end_due_runs();
        self.sequence += 1;
        let sent_at = Instant::now();
        let body = self.body();
        let path = self.path();
        let call = Call {
            method: "PUT",
            path: &path,
            host: "control",
            headers: String::new(),
            body: &body,
        };
        let answer = http::call(self.agent, &call, Duration::from_millis(1000));
        let Some(answer) = answer.filter(|answer| answer.status / 100 == 2) else {
            return self.facts.retry_ms;
        };
        match Json::read(&answer.body) {
            Some(orders) => self.carry_out(&orders, sent_at),
            None => self.facts.heartbeat_ms,
        }
    }

    fn carry_out(&mut self, orders: &Json, sent_at: Instant) -> u64 {
        let number = |name: &str| orders.get(name).map_or(0, Json::number);
        let wait_ms = match number("retry-after-ms") {
            0 => self.facts.heartbeat_ms,
            wait_ms => wait_ms,
        };
        let fence = number("fence-token");
        if fence < self.fence {
            return wait_ms;
        }
        self.fence = fence;
        let hold_ms = number("hold-ms").min(self.facts.hold_max_ms);
        if hold_ms > 0 {
            self.hold_until = self
                .hold_until
                .max(sent_at + Duration::from_millis(hold_ms));
        }
        let observed = number("observed");
        self.finished.retain(|(number, ..)| *number > observed);
        let stops = orders
            .get("stop")
            .map(Json::list)
            .unwrap_or_default()
            .to_vec();
        for stop in &stops {
            if let [task, run, ..] = stop.list() {
                self.stop(task.text(), run.number());
            }
        }
        if hold_ms > 0 {
            let starts = orders
                .get("start")
                .map(Json::list)
                .unwrap_or_default()
                .to_vec();
            for start in &starts {
                if let [task, run, spec, ..] = start.list() {
                    self.start(task.text(), run.number(), spec.text());
                }
            }
        }
        wait_ms
    }

    fn start(&mut self, task: &str, run: u64, spec: &str) {
        let highest = self.highest.entry(task.to_owned()).or_insert(0);
        if run <= *highest {
            return;
        }
        *highest = run;
        let now = Instant::now();
        let ms = spec
            .split(' ')
            .find_map(|word| word.strip_prefix("ms="))
            .and_then(|ms| ms.parse().ok());
        let ends_at = ms.map(|ms| now + Duration::from_millis(ms));
        let how = if fails(task, run, spec) {
            "failed"
        } else {
            "done"
        };
        self.record.run_line(&format!(
            "{} starts {task} run {run} spec '{spec}'",
            self.facts.id
        ));
        self.note(task, run, spec, None);
        self.running.push(Run {
            task: task.to_owned(),
            run,
            spec: spec.to_owned(),
            began_at: now,
            ends_at,
            how,
        });
    }

    fn stop(&mut self, task: &str, run: u64) {
        let highest = self.highest.entry(task.to_owned()).or_insert(0);
        *highest = run.max(*highest);
        let at = Instant::now() + Duration::from_millis(self.facts.stop_ms / 2);
        for running in self
            .running
            .iter_mut()
            .filter(|running| running.task == task && running.run == run)
        {
            if running.how != "stopped" {
                running.how = "stopped";
                running.ends_at = Some(at);
            }
        }
    }

    fn end_due_runs(&mut self) {
        let now = Instant::now();
        let lapsed = now >= self.hold_until;
        let mut kept = Vec::new();
        for run in std::mem::take(&mut self.running) {
            let due = run.ends_at.is_some_and(|at| at <= now);
            if !due && !lapsed {
                kept.push(run);
                continue;
            }
            let how = if due { run.how } else { "lapsed" };
            self.last_end += 1;
            self.record.run_line(&format!(
                "{} ends {} run {} {how}",
                self.facts.id, run.task, run.run
            ));
            self.note(&run.task, run.run, &run.spec, Some(how));
            self.finished.push((self.last_end, run.task, run.run, how));
        }
        self.running = kept;
    }

    fn note(&self, task: &str, run: u64, spec: &str, end: Option<&'static str>) {
        if let Ok(mut events) = self.events.lock() {
            events.push(Event {
                at: Instant::now(),
                server: self.facts.id.clone(),
                task: task.to_owned(),
                run,
                spec: spec.to_owned(),
                end,
            });
        }
    }

    /// Waits for the pause, but at most until 50 ms after the next end.
    fn wait(&mut self, pause: Duration) {
        let until = Instant::now() + pause;
        loop {
            let now = Instant::now();
            if now >= until {
                return;
            }
            let ends = self.last_end;
            self.end_due_runs();
            if self.last_end > ends {
                std::thread::sleep(Duration::from_millis(50));
                return;
            }
            std::thread::sleep(Duration::from_millis(5).min(until - now));
        }
    }

    fn body(&self) -> String {
        let facts = &self.facts;
        let labels: Vec<String> = facts
            .labels
            .iter()
            .map(|label| format!("\"{label}\""))
            .collect();
        let running: Vec<String> = self
            .running
            .iter()
            .map(|run| format!("[\"{}\",{},\"\",{}]", run.task, run.run, run.percent()))
            .collect();
        let finished: Vec<String> = self
            .finished
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        format!(
            concat!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,",
                "\"state\":\"ready\",\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":{},\"mem-mb\":{},\"gpu\":{}}},",
                "\"labels\":[{}],\"clock-ms\":{},\"sequence\":{},\"running\":[{}],\"finished\":[{}]}}"
            ),
            facts.service,
            self.agent,
            facts.zone,
            facts.cpu,
            facts.mem_mb,
            facts.gpu,
            labels.join(","),
            self.sequence * 10,
            self.sequence,
            running.join(","),
            finished.join(",")
        )
    }
}

/// Whether a run fails: always with `fail`, and with `flaky` in one of five runs.
fn fails(task: &str, run: u64, spec: &str) -> bool {
    let hash = task.bytes().fold(run + 7, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    spec.contains("fail") || (spec.contains("flaky") && hash % 5 == 0)
}
