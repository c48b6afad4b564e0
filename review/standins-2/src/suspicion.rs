//! A server on which tasks of two jobs failed gets no lasting task for 30 s, although it is sound again and no other has
//! room.

use crate::deployment::{Deployment, Queue, Verdict};
use crate::idle_check::{watch, Watched};
use crate::servers::ServerFacts;
use crate::Setting;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const SERVICE: &str = "huvo11a";
const PREFIX: &str = "/pufi791/";
const LASTING: &str = "111122223333444a";
const FIRST: &str = "aaaabbbbccccdd1d";
const SECOND: &str = "aaaabbbbccccdd2d";
const WATCHER: &str = "555566667777888b";
/// Servers of the usual size, each with a lasting task, and one of twice the size.
const USUAL: usize = 6;
const LASTING_CPU: u64 = 9_000;
const TASK_CPU: u64 = 7_500;
/// The large server fails what it starts for so long.
const GREY_MS: u64 = 1_500;

fn facts(number: usize) -> ServerFacts {
    let is_large = number > USUAL;
    ServerFacts {
        id: format!("i-{number:08x}"),
        service: SERVICE.into(),
        zone: "salt-lake".into(),
        labels: vec![
            if is_large { "b".into() } else { "a".into() },
            format!("r1-{}", number.div_ceil(3)),
        ],
        cpu: if is_large { 32_000 } else { 16_000 },
        mem_mb: if is_large { 65_536 } else { 32_768 },
        gpu: 0,
    }
}

fn single(spec: &str, more: &str) -> String {
    format!(
        "{{\"spec\":\"{spec} cpu={TASK_CPU}\",\"steps\":[{{\"count\":1,\"cpu\":{TASK_CPU},\"mem-mb\":8000,\
         \"estimate-ms\":1000{more}}}]}}"
    )
}

pub fn run(setting: &Setting) -> Verdict {
    let queue = Queue {
        name: "r-2ctnfzs",
        prefix: PREFIX,
        service: SERVICE,
        priority: 1,
        max_retries: 2,
    };
    let servers = (1..=USUAL + 1).map(facts).collect();
    let Some(deployment) = Deployment::start(
        &setting.program,
        &setting.folder,
        3,
        1,
        USUAL + 1,
        servers,
        &[queue],
        &setting.children,
        &setting.record,
    ) else {
        return Verdict::CouldNotRun;
    };
    let record = &setting.record;
    let lasting = format!(
        "{{\"spec\":\"lasts cpu={LASTING_CPU}\",\"steps\":[{{\"count\":{USUAL},\"cpu\":{LASTING_CPU},\"mem-mb\":4000,\
         \"estimate-ms\":1000,\"requires\":\"a\",\"anti-affinity\":1,\"long-running\":true}}]}}"
    );
    if !deployment.submit(&format!("{PREFIX}{LASTING}"), &lasting)
        || !deployment.wait(10_000, || deployment.running(LASTING) == USUAL)
    {
        return Verdict::CouldNotRun;
    }
    let (large, switches) = deployment.servers[USUAL].clone();
    if setting.trouble {
        record.line(&format!("trouble: {} fails all that it starts", large.id));
        switches.grey.store(true, Ordering::SeqCst);
    }
    let grey_until = record.now() + GREY_MS;
    for job in [FIRST, SECOND] {
        if !deployment.submit(&format!("{PREFIX}{job}"), &single("ms=500", "")) {
            return Verdict::CouldNotRun;
        }
    }
    while record.now() < grey_until {
        thread::sleep(Duration::from_millis(20));
    }
    if setting.trouble {
        record.line(&format!("trouble: {} is sound again", large.id));
        switches.grey.store(false, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_millis(1_000));
    let path = format!("{PREFIX}{WATCHER}");
    if !deployment.submit(&path, &single("lasts", ",\"long-running\":true")) {
        return Verdict::CouldNotRun;
    }
    let traffic_ended = record.now();
    watch(
        &deployment,
        &Watched {
            path: &path,
            job: WATCHER,
            server: USUAL,
            cpu: TASK_CPU,
            service: SERVICE,
            traffic_ended,
            watch_ms: 30_000,
            lasts: true,
        },
    )
}
