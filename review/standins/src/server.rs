//! An application server: it runs what the process on its machine orders in the answers to heartbeats.

use crate::cluster::{Cluster, SERVICE};
use crate::http::{self, Call};
use crate::json::{items, number, parse, quote, Json};
use crate::record::{Record, RunEvent};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long an answer may take, counted from the sending of its heartbeat.
const ANSWER_MS: u64 = 1_000;
/// The usual time between two heartbeats.
const HEARTBEAT_MS: u64 = 1_500;
/// The longest time for which runs are held.
const HOLD_MAX_MS: u64 = 6_000;
/// How long a stop takes; it may take 900 ms at most.
const STOP_TAKES_MS: u64 = 300;
/// How long after an end a heartbeat is sent again.
const AFTER_END_MS: u64 = 50;
/// How long a leaving server serves on after its drain was acknowledged: `bounds.drain-ms` and a little more.
const SERVES_ON_MS: u64 = 2_300;
/// When a server whose deregistration is not acknowledged ends, counted from its sending.
const ENDS_UNACKNOWLEDGED_MS: u64 = 3_500;

/// A started server.
pub struct Handle {
    /// Its ID.
    pub id: String,
    leaves: Arc<AtomicBool>,
}

impl Handle {
    /// Makes the server leave: it drains, deregisters and ends.
    pub fn leave(&self) {
        self.leaves.store(true, Ordering::Relaxed);
    }
}

struct Run {
    run: u32,
    began_ms: u64,
    work_ms: u64,
    /// How it ends once its work is done.
    how: &'static str,
    stops_at_ms: Option<u64>,
}

struct Server {
    id: String,
    address: String,
    zone: &'static str,
    rack: String,
    agent: SocketAddr,
    record: Record,
    leaves: Arc<AtomicBool>,
    /// Since when it says that it drains.
    draining_since_ms: Option<u64>,
    /// When that was acknowledged.
    drain_acknowledged_ms: Option<u64>,
    sequence: u64,
    fence_token: u64,
    held_until_ms: u64,
    runs: BTreeMap<String, Run>,
    finished: Vec<(u64, String, u32, String)>,
    ends: u64,
    /// The highest run of each task that was stopped or has ended here.
    closed: BTreeMap<String, u32>,
}

/// Starts the server beside the process of this machine, in a thread of its own.
pub fn start(cluster: &Cluster, machine: &str, zone: &'static str) -> Handle {
    let leaves = Arc::new(AtomicBool::new(false));
    let mut server = Server {
        id: format!("i-{:08x}", crate::cluster::draw() as u32),
        address: format!("{}:8080", cluster.ip(machine)),
        zone,
        rack: "r1-1".to_owned(),
        agent: cluster.control(machine),
        record: cluster.record.clone(),
        leaves: leaves.clone(),
        draining_since_ms: None,
        drain_acknowledged_ms: None,
        sequence: 0,
        fence_token: 0,
        held_until_ms: 0,
        runs: BTreeMap::new(),
        finished: Vec::new(),
        ends: 0,
        closed: BTreeMap::new(),
    };
    let id = server.id.clone();
    std::thread::spawn(move || server.serve());
    Handle { id, leaves }
}

impl Server {
    fn serve(&mut self) {
        loop {
            let sent_ms = self.record.now_ms();
            self.advance(sent_ms);
            if self.leaves.load(Ordering::Relaxed) {
                self.draining_since_ms.get_or_insert(sent_ms);
            }
            let ends = self.ends;
            let mut pause_ms = HEARTBEAT_MS;
            let call = Call {
                method: "PUT".to_owned(),
                path: format!("/lupinrack/instances/{}", self.id),
                host: self.agent.to_string(),
                headers: Vec::new(),
                body: self.heartbeat(sent_ms),
            };
            let answer = http::send(self.agent, &call, Duration::from_millis(ANSWER_MS));
            let now_ms = self.record.now_ms();
            self.advance(now_ms);
            match answer {
                Ok(answer) if answer.status == 200 && now_ms - sent_ms <= ANSWER_MS => {
                    let orders = parse(&answer.body).unwrap_or(Json::Null);
                    if self.draining_since_ms.is_some() {
                        self.drain_acknowledged_ms.get_or_insert(now_ms);
                    }
                    self.obey(&orders, sent_ms, now_ms);
                    let asked = number(&orders, "retry-after-ms");
                    if asked > 0 {
                        pause_ms = asked.min(HEARTBEAT_MS);
                    }
                }
                _ => pause_ms = 200,
            }
            let mut due_ms = now_ms + pause_ms;
            while self.record.now_ms() < due_ms {
                std::thread::sleep(Duration::from_millis(5));
                let now_ms = self.record.now_ms();
                self.advance(now_ms);
                if self.ends > ends {
                    due_ms = due_ms.min(now_ms + AFTER_END_MS);
                }
                if self.leaves.load(Ordering::Relaxed) && self.draining_since_ms.is_none() {
                    due_ms = now_ms;
                }
                let acknowledged_ms = self.drain_acknowledged_ms;
                if acknowledged_ms.is_some_and(|at_ms| now_ms >= at_ms + SERVES_ON_MS) {
                    return self.deregister();
                }
            }
        }
    }

    /// Deregisters, and ends: at once if that is acknowledged within a second, some seconds later if not. What runs
    /// here runs on until then.
    fn deregister(&mut self) {
        let sent_ms = self.record.now_ms();
        let call = Call {
            method: "DELETE".to_owned(),
            path: format!("/lupinrack/instances/{}", self.id),
            host: self.agent.to_string(),
            ..Call::default()
        };
        self.record.line(&format!("server {}: DELETE", self.id));
        let answer = http::send(self.agent, &call, Duration::from_millis(ANSWER_MS));
        let is_acknowledged = answer.as_ref().is_ok_and(|answer| answer.status == 200);
        self.record.line(&format!(
            "server {}: DELETE acknowledged: {is_acknowledged}",
            self.id
        ));
        while !is_acknowledged && self.record.now_ms() < sent_ms + ENDS_UNACKNOWLEDGED_MS {
            std::thread::sleep(Duration::from_millis(5));
            self.advance(self.record.now_ms());
        }
        let now_ms = self.record.now_ms();
        self.advance(now_ms);
        for (task, run) in std::mem::take(&mut self.runs) {
            self.event(&task, run.run, "died with its server", now_ms);
        }
        self.record.line(&format!("server {}: ends", self.id));
    }

    fn heartbeat(&mut self, now_ms: u64) -> String {
        self.sequence += 1;
        let state = match self.draining_since_ms {
            Some(since_ms) => format!(
                "\"draining\",\"remaining-ms\":{}",
                (since_ms + SERVES_ON_MS).saturating_sub(now_ms)
            ),
            None => "\"ready\"".to_owned(),
        };
        let running: Vec<String> = self
            .runs
            .iter()
            .map(|(task, run)| {
                let percent = ((now_ms - run.began_ms) * 100 / run.work_ms.max(1)).min(99);
                format!("[{},{},\"\",{percent}]", quote(task), run.run)
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
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":{state},\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0}},\
             \"labels\":[\"a\",\"{}\"],\"clock-ms\":{now_ms},\"sequence\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.address,
            self.zone,
            self.rack,
            self.sequence,
            running.join(","),
            finished.join(",")
        )
    }

    /// Carries out the orders in an answer.
    fn obey(&mut self, orders: &Json, sent_ms: u64, now_ms: u64) {
        let token = number(orders, "fence-token");
        if token < self.fence_token {
            return;
        }
        self.fence_token = token;
        let observed = number(orders, "observed");
        self.finished.retain(|(number, ..)| *number > observed);
        for row in items(orders, "stop") {
            let [task, run] = row.items() else { continue };
            self.stop(task.text(), run.number() as u32, now_ms);
        }
        let hold_ms = number(orders, "hold-ms").min(HOLD_MAX_MS);
        if hold_ms == 0 {
            return;
        }
        self.held_until_ms = self.held_until_ms.max(sent_ms + hold_ms);
        for row in items(orders, "start") {
            let [task, run, spec, _] = row.items() else {
                continue;
            };
            self.start(task.text(), run.number() as u32, spec.text(), now_ms);
        }
    }

    fn stop(&mut self, task: &str, run: u32, now_ms: u64) {
        self.close(task, run);
        if let Some(running) = self.runs.get_mut(task).filter(|running| running.run == run) {
            running.stops_at_ms.get_or_insert(now_ms + STOP_TAKES_MS);
        }
    }

    fn start(&mut self, task: &str, run: u32, spec: &str, now_ms: u64) {
        let running = self.runs.get(task).map(|running| running.run);
        if running == Some(run) {
            return;
        }
        let closed = self.closed.get(task).is_some_and(|closed| run <= *closed);
        if running.is_some() || closed {
            return self.finish(task, run, "refused", now_ms);
        }
        let work_ms = spec
            .split_whitespace()
            .find_map(|word| word.strip_prefix("work-ms="))
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        self.event(task, run, "start", now_ms);
        let began = Run {
            run,
            began_ms: now_ms,
            work_ms,
            how: if spec.contains("how=failed") {
                "failed"
            } else {
                "done"
            },
            stops_at_ms: None,
        };
        self.runs.insert(task.to_owned(), began);
    }

    /// Ends the runs whose work is done, that were stopped, or that are held no longer.
    fn advance(&mut self, now_ms: u64) {
        let held_until_ms = self.held_until_ms;
        let due: Vec<(String, u32, &str, u64)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| {
                let ends = [
                    (run.began_ms + run.work_ms, run.how),
                    (run.stops_at_ms.unwrap_or(u64::MAX), "stopped"),
                    (held_until_ms, "lapsed"),
                ];
                let (at_ms, how) = ends.into_iter().min()?;
                (at_ms <= now_ms).then(|| (task.clone(), run.run, how, at_ms))
            })
            .collect();
        for (task, run, how, at_ms) in due {
            self.runs.remove(&task);
            self.finish(&task, run, how, at_ms);
        }
    }

    fn finish(&mut self, task: &str, run: u32, how: &str, at_ms: u64) {
        self.ends += 1;
        self.close(task, run);
        self.finished
            .push((self.ends, task.to_owned(), run, how.to_owned()));
        self.event(task, run, how, at_ms);
    }

    fn close(&mut self, task: &str, run: u32) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
    }

    fn event(&self, task: &str, run: u32, what: &str, at_ms: u64) {
        self.record.run(RunEvent {
            at_ms,
            server: self.id.clone(),
            task: task.to_owned(),
            run,
            what: what.to_owned(),
        });
    }
}
