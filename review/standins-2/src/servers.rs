//! Stand-ins of application servers: they beat to the agent on their machine, start and stop what the answers order, and
//! list what ends. They follow the pages: answers later than a second are dropped, the hold is measured from the sending
//! of the beat, an order under a lower fence does nothing, a run that is not above one that was stopped or ended there is
//! refused, and ends are listed until they are observed, 500 at a time.

use crate::http;
use crate::json::{quote, Json};
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const STOP_MS: u64 = 300;
const GANG_MS: u64 = 3_000;
const HOLD_MAX_MS: u64 = 6_000;
const BEAT_MS: u64 = 1_500;
/// How long a run takes to fail on a server that fails what it starts.
const FAIL_MS: u64 = 150;

/// What a server says of itself.
#[derive(Clone, Debug)]
pub struct ServerFacts {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

/// The work of a task, as its job's text says: `ms=3000`, `gang=2`, `lasts`, `cpu=500`.
#[derive(Clone, Debug, Default)]
struct Work {
    ms: u64,
    gang: usize,
    lasts: bool,
    cpu: u64,
}

impl Work {
    fn of(spec: &str) -> Work {
        let mut work = Work::default();
        for word in spec.split_whitespace() {
            match word.split_once('=') {
                Some(("ms", value)) => work.ms = value.parse().unwrap_or(0),
                Some(("gang", value)) => work.gang = value.parse().unwrap_or(0),
                Some(("cpu", value)) => work.cpu = value.parse().unwrap_or(0),
                _ if word == "lasts" => work.lasts = true,
                _ => {}
            }
        }
        work
    }
}

#[derive(Clone, Debug)]
struct Run {
    work: Work,
    started: u64,
    stop_at: Option<u64>,
    fail_at: Option<u64>,
}

/// A run that was seen, for the checks.
#[derive(Clone, Debug)]
pub struct Seen {
    pub task: String,
    pub run: u64,
    pub server: String,
    pub cpu: u64,
    pub started: u64,
    pub ended: Option<(u64, &'static str)>,
}

#[derive(Default)]
struct Gang {
    present: BTreeSet<String>,
    complete_at: Option<u64>,
    broken: bool,
}

/// What all servers share: gangs, and what was seen.
#[derive(Default)]
pub struct Shared {
    gangs: BTreeMap<(String, u64), Gang>,
    pub seen: Vec<Seen>,
}

pub type World = Arc<Mutex<Shared>>;

/// Switches of one server.
#[derive(Clone, Default)]
pub struct Switches {
    /// It fails all that it starts; its beats go on.
    pub grey: Arc<AtomicBool>,
    /// It says that it drains.
    pub draining: Arc<AtomicBool>,
    /// It has ended: no beat leaves it, and nothing runs.
    pub gone: Arc<AtomicBool>,
    /// The next beat comes so many milliseconds late.
    pub late_ms: Arc<AtomicU64>,
    /// When its last beat was answered.
    pub answered_at: Arc<AtomicU64>,
}

pub struct Server {
    facts: ServerFacts,
    agent: SocketAddr,
    world: World,
    record: Record,
    pub switches: Switches,
    sequence: u64,
    fence: u64,
    hold_until: u64,
    runs: BTreeMap<(String, u64), Run>,
    closed: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
}

fn gang_key(task: &str, run: u64) -> (String, u64) {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    (step.to_owned(), run)
}

impl Server {
    pub fn new(facts: ServerFacts, agent: SocketAddr, world: World, record: Record) -> Server {
        Server {
            facts,
            agent,
            world,
            record,
            switches: Switches::default(),
            sequence: 0,
            fence: 0,
            hold_until: 0,
            runs: BTreeMap::new(),
            closed: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
        }
    }

    /// Runs the server in a thread.
    pub fn spawn(self) -> Switches {
        let switches = self.switches.clone();
        let mut server = self;
        thread::spawn(move || server.serve());
        switches
    }

    fn serve(&mut self) {
        let mut due = 0;
        loop {
            thread::sleep(Duration::from_millis(5));
            if self.switches.gone.load(Ordering::SeqCst) {
                self.die();
                return;
            }
            let now = self.record.now();
            let ends = self.ends;
            self.advance(now);
            if self.ends > ends {
                due = due.min(now + 50);
            }
            if now >= due {
                due = self.beat();
            }
        }
    }

    fn die(&mut self) {
        let now = self.record.now();
        let runs: Vec<(String, u64)> = self.runs.keys().cloned().collect();
        for key in runs {
            self.runs.remove(&key);
            self.see_end(&key.0, key.1, now, "lost with the server");
        }
        self.record.line(&format!("{}: ends", self.facts.id));
    }

    /// The body of the next beat, for one that is handed over later.
    pub fn next_body(&mut self) -> String {
        self.sequence += 1;
        self.body(self.record.now())
    }

    /// Sends a beat. Returns when the next one is due.
    fn beat(&mut self) -> u64 {
        self.sequence += 1;
        let sent = self.record.now();
        let body = self.body(sent);
        let path = format!("/lupinrack/instances/{}", self.facts.id);
        let late_ms = self.switches.late_ms.swap(0, Ordering::SeqCst);
        if late_ms > 0 {
            self.record.line(&format!(
                "{}: its beat {} comes {late_ms} ms late",
                self.facts.id, self.sequence
            ));
            let (agent, record) = (self.agent, self.record.clone());
            let what = format!("{}: its beat {} arrives late", self.facts.id, self.sequence);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(late_ms));
                hand_over(agent, &path, &body, &what, &record);
            });
            // Without an answer within a second the server beats anew.
            let end = sent + 1_000;
            while self.record.now() < end {
                thread::sleep(Duration::from_millis(5));
                let now = self.record.now();
                self.advance(now);
            }
            return end;
        }
        let answer = http::call(self.agent, "PUT", &path, &[], &body, Duration::from_secs(1));
        let now = self.record.now();
        match answer {
            Ok(answer) if answer.status == 200 && now - sent <= 1_000 => {
                self.switches.answered_at.store(now, Ordering::SeqCst);
                let orders = Json::parse(&answer.body).unwrap_or(Json::Null);
                self.obey(&orders, sent, now);
                match orders.number_at("retry-after-ms") {
                    0 => now + BEAT_MS,
                    wait => now + wait.min(BEAT_MS),
                }
            }
            _ => now + 200,
        }
    }

    /// The body of a beat at this moment.
    fn body(&self, now: u64) -> String {
        let labels: Vec<String> = self.facts.labels.iter().map(|label| quote(label)).collect();
        let world = self.world.lock().unwrap();
        let running: Vec<String> = self
            .runs
            .iter()
            .map(|((task, run), state)| {
                let worked = match world.gangs.get(&gang_key(task, *run)) {
                    Some(gang) if state.work.gang > 0 => {
                        gang.complete_at.map_or(0, |at| now.saturating_sub(at))
                    }
                    _ => now.saturating_sub(state.started),
                };
                let percent = (worked * 100 / state.work.ms.max(1)).min(99);
                format!("[{},{run},\"\",{percent}]", quote(task))
            })
            .collect();
        let finished: Vec<String> = self
            .finished
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
            })
            .collect();
        let state = if self.switches.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\
             \"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":{},\"mem-mb\":{},\"gpu\":{}}},\"labels\":[{}],\
             \"clock-ms\":{now},\"sequence\":{},\"running\":[{}],\"finished\":[{}]}}",
            quote(&self.facts.service),
            self.agent,
            quote(&self.facts.zone),
            self.facts.cpu,
            self.facts.mem_mb,
            self.facts.gpu,
            labels.join(","),
            self.sequence,
            running.join(","),
            finished.join(",")
        )
    }

    fn obey(&mut self, orders: &Json, sent: u64, now: u64) {
        let fence = orders.number_at("fence-token");
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        let observed = orders.number_at("observed");
        self.finished.retain(|(number, ..)| *number > observed);
        for stop in orders.list_at("stop") {
            if let [task, run, ..] = stop.list() {
                self.stop(task.text(), run.number(), now);
            }
        }
        let hold = orders.number_at("hold-ms").min(HOLD_MAX_MS);
        if hold == 0 {
            return;
        }
        self.hold_until = self.hold_until.max(sent + hold);
        for start in orders.list_at("start") {
            if let [task, run, spec, ..] = start.list() {
                self.start(task.text(), run.number(), spec.text(), now);
            }
        }
    }

    fn stop(&mut self, task: &str, run: u64, now: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
        if let Some(state) = self.runs.get_mut(&(task.to_owned(), run)) {
            if state.stop_at.is_none() {
                state.stop_at = Some(now + STOP_MS);
                self.record.line(&format!(
                    "{}: is told to stop {task} run {run}",
                    self.facts.id
                ));
            }
        }
    }

    fn start(&mut self, task: &str, run: u64, spec: &str, now: u64) {
        let key = (task.to_owned(), run);
        if self.runs.contains_key(&key) {
            return;
        }
        if self.closed.get(task).is_some_and(|closed| run <= *closed) {
            self.end(task.to_owned(), run, "refused", now);
            return;
        }
        let work = Work::of(spec);
        self.record.line(&format!(
            "{}: starts {task} run {run}: {spec}",
            self.facts.id
        ));
        let mut world = self.world.lock().unwrap();
        world.seen.push(Seen {
            task: task.to_owned(),
            run,
            server: self.facts.id.clone(),
            cpu: work.cpu,
            started: now,
            ended: None,
        });
        if work.gang > 0 {
            let gang = world.gangs.entry(gang_key(task, run)).or_default();
            gang.present.insert(task.to_owned());
            if gang.present.len() >= work.gang {
                gang.complete_at.get_or_insert(now);
            }
        }
        drop(world);
        let grey = self.switches.grey.load(Ordering::SeqCst);
        self.runs.insert(
            key,
            Run {
                work,
                started: now,
                stop_at: None,
                fail_at: grey.then_some(now + FAIL_MS),
            },
        );
    }

    fn advance(&mut self, now: u64) {
        let due: Vec<(String, u64, &'static str)> = self
            .runs
            .iter()
            .filter_map(|((task, run), state)| {
                Some((task.clone(), *run, self.due(task, *run, state, now)?))
            })
            .collect();
        for (task, run, how) in due {
            let was_gang = self
                .runs
                .remove(&(task.clone(), run))
                .is_some_and(|state| state.work.gang > 0);
            if was_gang && how != "done" {
                let mut world = self.world.lock().unwrap();
                world.gangs.entry(gang_key(&task, run)).or_default().broken = true;
            }
            self.see_end(&task, run, now, how);
            self.end(task, run, how, now);
        }
    }

    fn due(&self, task: &str, run: u64, state: &Run, now: u64) -> Option<&'static str> {
        if now >= self.hold_until {
            return Some("lapsed");
        }
        if state.stop_at.is_some_and(|at| now >= at) {
            return Some("stopped");
        }
        let mut since = state.started;
        if state.work.gang > 0 {
            let world = self.world.lock().unwrap();
            let gang = world.gangs.get(&gang_key(task, run))?;
            if gang.broken {
                return Some("broken");
            }
            match gang.complete_at {
                Some(at) => since = at,
                None if now >= state.started + GANG_MS => return Some("alone"),
                None => return None,
            }
        }
        if state.fail_at.is_some_and(|at| now >= at) {
            return Some("failed");
        }
        (!state.work.lasts && now >= since + state.work.ms).then_some("done")
    }

    fn end(&mut self, task: String, run: u64, how: &'static str, _now: u64) {
        self.ends += 1;
        let closed = self.closed.entry(task.clone()).or_default();
        *closed = run.max(*closed);
        self.record
            .line(&format!("{}: {task} run {run} ends: {how}", self.facts.id));
        self.finished.push((self.ends, task, run, how));
    }

    fn see_end(&self, task: &str, run: u64, now: u64, how: &'static str) {
        let mut world = self.world.lock().unwrap();
        let seen = world.seen.iter_mut().rev().find(|seen| {
            seen.task == task
                && seen.run == run
                && seen.server == self.facts.id
                && seen.ended.is_none()
        });
        if let Some(seen) = seen {
            seen.ended = Some((now, how));
        }
    }
}

/// Hands a beat over to the agent, for a server that is not there any more to read the answer.
pub fn hand_over(agent: SocketAddr, path: &str, body: &str, what: &str, record: &Record) {
    let answer = http::call(agent, "PUT", path, &[], body, Duration::from_secs(1));
    let shown = answer.map_or("none".to_owned(), |answer| {
        format!("{} {}", answer.status, answer.body)
    });
    record.line(&format!("{what}; the answer: {shown}"));
}
