//! Rule UNASKED: tasks of a job start and run although its client has cancelled it.
//!
//! A change of the configuration removes a route. Then a client cancels its accepted, lasting job of that route.

use crate::cluster::{configuration, draw, route, Cluster, ZONES};
use crate::http::Call;
use crate::record::{Record, RunEvent};
use crate::{server, Verdict};
use std::collections::BTreeMap;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// `bounds.ack-ms`: a cancelling counts as acknowledged once it has waited for so long in calm.
const ACK_MS: u64 = 4_000;
/// `bounds.cancel_ms`: no task of a cancelled job starts later than this.
const CANCEL_MS: u64 = 3_000;
/// `bounds.stop_ms`: no task runs for longer than this after that.
const STOP_MS: u64 = 900;
/// How long a run of a lasting task lasts before it fails.
const WORK_MS: u64 = 2_500;
/// How long the client goes on cancelling, and the servers are watched.
const WATCH: Duration = Duration::from_secs(18);

/// Plays the case.
pub fn play(root: &Path, record: &Record, with_trouble: bool) -> Verdict {
    let cluster = Cluster::start(root, record.clone(), 3)?;
    for number in 1..=3_usize {
        server::start(&cluster, &format!("side-{number}"), ZONES[number - 1]);
    }
    let routes = [
        route("r-i9n73hh", "/lohu930/"),
        route("r-exd9dnn", "/pule252/"),
    ];
    cluster.configure(&configuration(&routes))?;
    let id = format!("{:016x}", draw());
    let path = format!("/pule252/{id}");
    hand_in(&cluster, &path)?;
    wait_for_starts(&cluster, &id)?;
    // The machines have been calm for longer than `contact-ms`.
    sleep(Duration::from_secs(4));
    if with_trouble {
        remove_route(&cluster)?;
    }
    sleep(Duration::from_secs(3));
    let settled_ms = cancel(&cluster, &path);
    Ok(judge(record, &id, settled_ms))
}

/// Hands a lasting job in.
fn hand_in(cluster: &Cluster, path: &str) -> Result<(), String> {
    let body = format!(
        "{{\"spec\":\"work-ms={WORK_MS} how=failed\",\"steps\":[{{\"count\":2,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":400,\
         \"long-running\":true}}]}}"
    );
    let until = Instant::now() + Duration::from_secs(20);
    for front in ["front-1", "front-2", "front-3"].iter().cycle() {
        if Instant::now() > until {
            break;
        }
        let answer = cluster.client(front, "POST", path, &body, Duration::from_secs(3));
        if answer.is_ok_and(|answer| (200..300).contains(&answer.status)) {
            return Ok(());
        }
        sleep(Duration::from_millis(200));
    }
    Err("the job was not accepted".to_owned())
}

fn runs_of(record: &Record, id: &str) -> Vec<RunEvent> {
    let mut runs = record.runs();
    runs.retain(|event| event.task.starts_with(id));
    runs
}

fn wait_for_starts(cluster: &Cluster, id: &str) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if runs_of(&cluster.record, id).len() >= 2 {
            return Ok(());
        }
        sleep(Duration::from_millis(50));
    }
    Err("the tasks did not start".to_owned())
}

/// Removes the job's route.
fn remove_route(cluster: &Cluster) -> Result<(), String> {
    let call = Call {
        method: "PATCH".to_owned(),
        path: "/lupinrack/config".to_owned(),
        host: "operator".to_owned(),
        headers: vec!["If-Match: 1".to_owned()],
        body: "{\"version\":3,\"remove\":{\"routes\":[\"r-exd9dnn\"]}}".to_owned(),
    };
    let answer = cluster.operate(&call, Instant::now() + Duration::from_secs(10))?;
    match answer.status {
        200 => Ok(()),
        status => Err(format!("the change was answered {status}")),
    }
}

/// Cancels the job at one front after the other, once a second, also after an acknowledgement. Returns when the
/// cancelling counts as acknowledged: at the first 2xx or 410, or after `ack-ms`.
fn cancel(cluster: &Cluster, path: &str) -> u64 {
    let until = Instant::now() + WATCH;
    let mut settled_ms = cluster.record.now_ms() + ACK_MS;
    for front in ["front-1", "front-2", "front-3"].iter().cycle() {
        if Instant::now() > until {
            break;
        }
        let answer = cluster.client(front, "DELETE", path, "", Duration::from_secs(3));
        if answer.is_ok_and(|answer| (200..300).contains(&answer.status) || answer.status == 410) {
            settled_ms = settled_ms.min(cluster.record.now_ms());
        }
        sleep(Duration::from_secs(1));
    }
    settled_ms
}

/// Counts the starts later than `cancel_ms` after that, and the runs that still run `stop_ms` later.
fn judge(record: &Record, id: &str, settled_ms: u64) -> usize {
    let runs = runs_of(record, id);
    record.line(&format!(
        "the cancelling counts as acknowledged from {settled_ms} on"
    ));
    let mut breaks = 0;
    for start in runs.iter().filter(|event| event.what == "start") {
        if start.at_ms > settled_ms + CANCEL_MS {
            breaks += 1;
            let late_ms = start.at_ms - settled_ms;
            record.line(&format!(
                "BROKEN: run {} of {} started {late_ms} ms after that",
                start.run, start.task
            ));
        }
    }
    let gone_ms = settled_ms + CANCEL_MS + STOP_MS;
    let mut running: BTreeMap<(&str, u32), bool> = BTreeMap::new();
    for event in runs.iter().filter(|event| event.at_ms <= gone_ms) {
        running.insert((&event.task, event.run), event.what == "start");
    }
    for ((task, run), _) in running.iter().filter(|(_, runs)| **runs) {
        breaks += 1;
        record.line(&format!(
            "BROKEN: run {run} of {task} still runs at {gone_ms}"
        ));
    }
    breaks
}
