//! A client hands a job in at a front whose machine stands still, leaves, and cancels the job at another front, which
//! answers that there is no such job. When the first front wakes it hands the job in, and its tasks start.

use crate::cluster::Role;
use crate::deployment::{Deployment, Queue, Verdict};
use crate::servers::ServerFacts;
use crate::Setting;
use std::thread;
use std::time::Duration;

const SERVICE: &str = "huvo11a";
const PREFIX: &str = "/pufi791/";
const JOB: &str = "aaaabbbbccccdddd";
/// How long the machine stands still: the site file has up to 5 s for `node_freeze`.
const FREEZE_MS: u64 = 5_000;
/// The client leaves so long after it has handed the job in.
const LEAVES_MS: u64 = 400;
/// `cancel_ms`
const CANCEL_MS: u64 = 3_000;
/// `stop_ms`
const STOP_MS: u64 = 900;

fn facts(number: usize) -> ServerFacts {
    ServerFacts {
        id: format!("i-{number:08x}"),
        service: SERVICE.into(),
        zone: "salt-lake".into(),
        labels: vec!["a".into(), "r1-1".into()],
        cpu: 16_000,
        mem_mb: 32_768,
        gpu: 0,
    }
}

pub fn run(setting: &Setting) -> Verdict {
    let queue = Queue {
        name: "r-2ctnfzs",
        prefix: PREFIX,
        service: SERVICE,
        priority: 1,
        max_retries: 3,
    };
    let Some(deployment) = Deployment::start(
        &setting.program,
        &setting.folder,
        3,
        3,
        3,
        (1..=3).map(facts).collect(),
        &[queue],
        &setting.children,
        &setting.record,
    ) else {
        return Verdict::CouldNotRun;
    };
    let record = &setting.record;
    let fronts = deployment.cluster.with_role(Role::Front);
    let (first, second) = (&fronts[0], &fronts[1]);
    let path = format!("{PREFIX}{JOB}");
    let body = "{\"spec\":\"lasts cpu=640\",\"steps\":[{\"count\":4,\"cpu\":640,\"mem-mb\":920,\"estimate-ms\":400,\
                \"long-running\":true}]}";
    let frozen_at = record.now();
    if setting.trouble {
        deployment.cluster.signal(&first.name(), "STOP");
    }
    thread::sleep(Duration::from_millis(100));
    deployment.client(first, "POST", &path, body, Duration::from_millis(LEAVES_MS));
    let acknowledged = (0..10).find_map(|_| {
        let answer = deployment.client(second, "DELETE", &path, "", Duration::from_secs(3))?;
        (answer.status / 100 == 2 || answer.status == 410).then(|| record.now())
    });
    let Some(acknowledged) = acknowledged else {
        return Verdict::CouldNotRun;
    };
    while record.now() < frozen_at + FREEZE_MS {
        thread::sleep(Duration::from_millis(20));
    }
    if setting.trouble {
        deployment.cluster.signal(&first.name(), "CONT");
    }
    while record.now() < acknowledged + 20_000 {
        thread::sleep(Duration::from_millis(100));
    }
    let state = deployment.state(&path);
    if let Some(name) = deployment.cluster.ended() {
        record.line(&format!("check: {name} has ended by itself"));
        return Verdict::CouldNotRun;
    }
    let world = deployment.world.lock().unwrap();
    let late = world
        .seen
        .iter()
        .filter(|seen| seen.started > acknowledged + CANCEL_MS);
    let late: Vec<u64> = late.map(|seen| seen.started - acknowledged).collect();
    let point = acknowledged + CANCEL_MS + STOP_MS;
    let still = world
        .seen
        .iter()
        .filter(|seen| seen.started <= point && seen.ended.is_none_or(|(at, _)| at > point));
    record.line(&format!(
        "check: the cancelling was acknowledged at {acknowledged} ms; starts later than {CANCEL_MS} ms after it, in ms \
         after it: {late:?}; runs at work {STOP_MS} ms after that point: {}; the job is shown as {state}, and {} of its \
         tasks run",
        still.count(),
        world.seen.iter().filter(|seen| seen.ended.is_none()).count()
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
