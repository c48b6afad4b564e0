//! Rule TWICE: two simultaneous runs of one task on servers that are up.
//!
//! A server drains and deregisters while the process on its machine stands still. It gets no acknowledgement and ends some
//! seconds later. The process wakes up before that and reads the deregistration.

use crate::cluster::{configuration, draw, route, Cluster, ZONES};
use crate::record::{Record, RunEvent};
use crate::{server, Verdict};
use std::collections::BTreeMap;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The work of the task on the server that leaves; it is not done before that server ends.
const LONG_WORK_MS: u64 = 40_000;
/// The work of the task that keeps the other server busy; it is done before the process wakes up.
const SHORT_WORK_MS: u64 = 8_000;
/// When the server begins to leave, counted from the start of the short task.
const LEAVES_AFTER_MS: u64 = 5_000;
/// When the process on its machine stands still, counted from the same moment: the drain is acknowledged before that.
const STOPS_AFTER_MS: u64 = 7_000;
/// When it wakes up: it stands still for 2.2 s; `fleetbench kinds` names 5 s.
const WAKES_AFTER_MS: u64 = 9_200;
/// How long the servers are watched after that.
const WATCH: Duration = Duration::from_secs(5);

/// Plays the case.
pub fn play(root: &Path, record: &Record, with_trouble: bool) -> Verdict {
    let cluster = Cluster::start(root, record.clone(), 2)?;
    let servers: Vec<server::Handle> = (1..=2_usize)
        .map(|number| server::start(&cluster, &format!("side-{number}"), ZONES[number - 1]))
        .collect();
    cluster.configure(&configuration(&[route("r-i9n73hh", "/lohu930/")]))?;
    let long = hand_in(&cluster, LONG_WORK_MS)?;
    let short = hand_in(&cluster, SHORT_WORK_MS)?;
    let began = first_start(record, &long)?;
    let at_ms = first_start(record, &short)?.at_ms;
    let (number, leaving) = (1..)
        .zip(&servers)
        .find(|(_, server)| server.id == began.server)
        .ok_or("the long task runs on no known server")?;
    let machine = format!("side-{number}");
    wait_until(record, at_ms + LEAVES_AFTER_MS);
    record.line(&format!("server {} leaves {machine}", leaving.id));
    leaving.leave();
    wait_until(record, at_ms + STOPS_AFTER_MS);
    if with_trouble {
        cluster.signal(&machine, "STOP");
    }
    wait_until(record, at_ms + WAKES_AFTER_MS);
    if with_trouble {
        cluster.signal(&machine, "CONT");
    }
    sleep(WATCH);
    Ok(count_second_runs(record))
}

/// Hands in a job of one task that takes three quarters of a server. Returns its ID.
fn hand_in(cluster: &Cluster, work_ms: u64) -> Result<String, String> {
    let id = format!("{:016x}", draw());
    let path = format!("/lohu930/{id}");
    let body = format!(
        "{{\"spec\":\"work-ms={work_ms}\",\"steps\":[{{\"count\":1,\"cpu\":12000,\"mem-mb\":256,\"estimate-ms\":{work_ms}}}]}}"
    );
    let until = Instant::now() + Duration::from_secs(20);
    for front in ["front-1", "front-2", "front-3"].iter().cycle() {
        if Instant::now() > until {
            break;
        }
        let answer = cluster.client(front, "POST", &path, &body, Duration::from_secs(3));
        if answer.is_ok_and(|answer| (200..300).contains(&answer.status)) {
            return Ok(id);
        }
        sleep(Duration::from_millis(200));
    }
    Err("a job was not accepted".to_owned())
}

/// Waits for the first start of a job's task.
fn first_start(record: &Record, id: &str) -> Result<RunEvent, String> {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let mut runs = record.runs().into_iter();
        if let Some(start) = runs.find(|event| event.what == "start" && event.task.starts_with(id))
        {
            return Ok(start);
        }
        sleep(Duration::from_millis(20));
    }
    Err("a task did not start".to_owned())
}

fn wait_until(record: &Record, at_ms: u64) {
    sleep(Duration::from_millis(at_ms.saturating_sub(record.now_ms())));
}

/// Counts the starts of tasks of which another run was running at that moment.
fn count_second_runs(record: &Record) -> usize {
    let mut events = record.runs();
    events.sort_by_key(|event| event.at_ms);
    let mut running: BTreeMap<&str, Vec<&RunEvent>> = BTreeMap::new();
    let mut breaks = 0;
    for event in &events {
        let runs = running.entry(&event.task).or_default();
        if event.what != "start" {
            runs.retain(|run| run.run != event.run || run.server != event.server);
            continue;
        }
        for run in &*runs {
            breaks += 1;
            record.line(&format!(
                "BROKEN: run {} of {} started at {} on {}, while run {} was running on {}",
                event.run, event.task, event.at_ms, event.server, run.run, run.server
            ));
        }
        runs.push(event);
    }
    breaks
}
