//! Rule LOST: a GET for an accepted job that nobody has cancelled is answered 410.
//!
//! One change of the configuration removes a route and adds another one with the same host, prefix and service.

use crate::cluster::{configuration, draw, route, Cluster, HOST, ZONES};
use crate::http::Call;
use crate::record::Record;
use crate::{server, Verdict};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// `bounds.visible_ms`: from this long after its acknowledgement on, no GET for a job is answered 410.
const VISIBLE_MS: u64 = 3_000;
/// The jobs that are handed in.
const JOBS: usize = 3;
/// How long each task of them works.
const WORK_MS: u64 = 12_000;
/// How long the clients ask for their jobs after the change.
const ASK_FOR: Duration = Duration::from_secs(16);

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
    let mut jobs = Vec::new();
    for _ in 0..JOBS {
        jobs.push(hand_in(&cluster)?);
    }
    wait_for_starts(&cluster)?;
    if with_trouble {
        change(&cluster)?;
    }
    ask(&cluster, &jobs)
}

/// Hands a job in until it is accepted. Returns its path and when the answer came.
fn hand_in(cluster: &Cluster) -> Result<(String, u64), String> {
    let path = format!("/lohu930/{:016x}", draw());
    let body = format!(
        "{{\"spec\":\"work-ms={WORK_MS}\",\"steps\":[{{\"count\":2,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":{WORK_MS}}}]}}"
    );
    let until = Instant::now() + Duration::from_secs(20);
    for front in ["front-1", "front-2", "front-3"].iter().cycle() {
        if Instant::now() > until {
            break;
        }
        let answer = cluster.client(front, "POST", &path, &body, Duration::from_secs(3));
        if answer.is_ok_and(|answer| (200..300).contains(&answer.status)) {
            return Ok((path, cluster.record.now_ms()));
        }
        sleep(Duration::from_millis(200));
    }
    Err("a job was not accepted".to_owned())
}

/// Waits until every task runs.
fn wait_for_starts(cluster: &Cluster) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let starts = cluster
            .record
            .runs()
            .iter()
            .filter(|event| event.what == "start")
            .count();
        if starts >= 2 * JOBS {
            return Ok(());
        }
        sleep(Duration::from_millis(50));
    }
    Err("the tasks did not start".to_owned())
}

/// Replaces the route by one of another name: one removal and one addition in one change.
fn change(cluster: &Cluster) -> Result<(), String> {
    let added = route("r-2b9wu3f", "/lohu930/");
    let call = Call {
        method: "PATCH".to_owned(),
        path: "/lupinrack/config".to_owned(),
        host: "operator".to_owned(),
        headers: vec!["If-Match: 1".to_owned()],
        body: format!(
            "{{\"version\":3,\"upsert\":{{\"routes\":[{added}]}},\"remove\":{{\"routes\":[\"r-i9n73hh\"]}}}}"
        ),
    };
    let answer = cluster.operate(&call, Instant::now() + Duration::from_secs(10))?;
    match answer.status {
        200 => Ok(()),
        status => Err(format!("the change at host {HOST} was answered {status}")),
    }
}

/// Asks for the state of each job at every front in turn. Returns how many answers break the rule.
fn ask(cluster: &Cluster, jobs: &[(String, u64)]) -> Verdict {
    let until = Instant::now() + ASK_FOR;
    let mut breaks = 0;
    let mut answered = 0;
    for front in ["front-1", "front-2", "front-3"].iter().cycle() {
        if Instant::now() > until {
            break;
        }
        for (path, accepted_ms) in jobs {
            let asked_ms = cluster.record.now_ms();
            let Ok(answer) = cluster.client(front, "GET", path, "", Duration::from_secs(3)) else {
                continue;
            };
            answered += 1;
            if answer.status == 410 && asked_ms > accepted_ms + VISIBLE_MS {
                breaks += 1;
                cluster.record.line(&format!(
                    "BROKEN: 410 for {path}, which was accepted {} ms before",
                    asked_ms - accepted_ms
                ));
            }
        }
        sleep(Duration::from_millis(500));
    }
    if answered == 0 {
        return Err("no GET was answered".to_owned());
    }
    Ok(breaks)
}
