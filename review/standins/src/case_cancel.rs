//! Rule UNASKED: a job starts although its cancelling was acknowledged.
//!
//! A front stands still. A client hands a job in there, gets no answer, leaves, and cancels the job at another front,
//! which answers 2xx or 410. Then the first front wakes up.

use crate::cluster::{configuration, draw, route, Cluster, ZONES};
use crate::record::Record;
use crate::{server, Verdict};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// `bounds.cancel_ms`: no task of a cancelled job starts later than this after the acknowledgement.
const CANCEL_MS: u64 = 3_000;
/// How long the front stands still; `fleetbench kinds` names 5 s.
const FREEZE: Duration = Duration::from_millis(4_800);
/// How long the client waits for its answer: half the latency objective of 800 ms, as `fleetbench kinds` names it.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// How long the servers are watched after the front has woken up.
const WATCH: Duration = Duration::from_secs(4);
/// How often the disruption is played.
const ROUNDS: u32 = 3;

/// Plays the case.
pub fn play(root: &Path, record: &Record, with_trouble: bool) -> Verdict {
    let cluster = Cluster::start(root, record.clone(), 3)?;
    for number in 1..=3_usize {
        server::start(&cluster, &format!("side-{number}"), ZONES[number - 1]);
    }
    cluster.configure(&configuration(&[route("r-i9n73hh", "/lohu930/")]))?;
    check_service(&cluster)?;
    let mut breaks = 0;
    for _ in 0..ROUNDS {
        // The machines have been calm for longer than `contact-ms`.
        sleep(Duration::from_secs(5));
        breaks += play_round(&cluster, with_trouble)?;
    }
    Ok(breaks)
}

/// Checks that a job runs before anything is disrupted.
fn check_service(cluster: &Cluster) -> Result<(), String> {
    let id = job_id();
    let until = Instant::now() + Duration::from_secs(20);
    let patience = Duration::from_secs(3);
    let path = format!("/lohu930/{id}");
    let mut is_accepted = false;
    while Instant::now() < until {
        let answer = if is_accepted {
            cluster.client("front-1", "GET", &path, "", patience)
        } else {
            cluster.client("front-1", "POST", &path, &job(100), patience)
        };
        if let Ok(answer) = answer {
            is_accepted |= (200..300).contains(&answer.status);
            if answer.body.contains("succeeded") {
                return Ok(());
            }
        }
        sleep(Duration::from_millis(200));
    }
    Err("no job ran before the disruption".to_owned())
}

fn play_round(cluster: &Cluster, with_trouble: bool) -> Verdict {
    let record = &cluster.record;
    let id = job_id();
    let path = format!("/lohu930/{id}");
    if with_trouble {
        cluster.signal("front-1", "STOP");
    }
    let frozen_at = Instant::now();
    sleep(Duration::from_millis(100));
    // The client leaves after its patience, whether it has an answer or not, and cancels its job.
    let _ = cluster.client("front-1", "POST", &path, &job(2_000), CLIENT_PATIENCE);
    let acknowledged_ms = cancel(cluster, &path)?;
    sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if with_trouble {
        cluster.signal("front-1", "CONT");
    }
    sleep(WATCH);
    let _ = cluster.client("front-2", "GET", &path, "", Duration::from_secs(3));
    let late: Vec<_> = record
        .runs()
        .into_iter()
        .filter(|event| event.what == "start" && event.task.starts_with(&id))
        .filter(|event| event.at_ms > acknowledged_ms + CANCEL_MS)
        .collect();
    for start in &late {
        record.line(&format!(
            "BROKEN: run {} of {} started at {}, {} ms after its cancelling was acknowledged",
            start.run,
            start.task,
            start.at_ms,
            start.at_ms - acknowledged_ms
        ));
    }
    Ok(late.len())
}

/// Cancels a job at the other fronts until one acknowledges it with 2xx or 410. Returns when.
fn cancel(cluster: &Cluster, path: &str) -> Result<u64, String> {
    let until = Instant::now() + Duration::from_secs(3);
    for front in ["front-2", "front-3"].iter().cycle() {
        if Instant::now() > until {
            break;
        }
        let answer = cluster.client(front, "DELETE", path, "", Duration::from_secs(1));
        if answer.is_ok_and(|answer| (200..300).contains(&answer.status) || answer.status == 410) {
            return Ok(cluster.record.now_ms());
        }
        sleep(Duration::from_millis(200));
    }
    Err("the cancelling was not acknowledged".to_owned())
}

/// A job of two tasks.
fn job(work_ms: u64) -> String {
    format!(
        "{{\"spec\":\"work-ms={work_ms}\",\"steps\":[{{\"count\":2,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":{work_ms}}}]}}"
    )
}

fn job_id() -> String {
    format!("{:016x}", draw())
}
