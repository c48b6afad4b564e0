//! A gang that failed once on the only server with room for it is never started again, while that server stands idle.

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
const GANG: &str = "aaaabbbbccccdddd";
/// Servers of the usual size, each of which has a lasting task; and one of twice the size, as in the site file.
const USUAL: usize = 6;
const USUAL_CPU: u64 = 16_000;
const LARGE_CPU: u64 = 32_000;
const LASTING_CPU: u64 = 9_000;
const MEMBER_CPU: u64 = 7_500;
/// How long the large server fails what it starts: the site file has 5.5 to 6.5 s for `srv_grey`.
const GREY_MS: u64 = 5_000;

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
        cpu: if is_large { LARGE_CPU } else { USUAL_CPU },
        mem_mb: if is_large { 65_536 } else { 32_768 },
        gpu: 0,
    }
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
    let gang = format!(
        "{{\"spec\":\"ms=2000 gang=2 cpu={MEMBER_CPU}\",\"steps\":[{{\"count\":2,\"cpu\":{MEMBER_CPU},\"mem-mb\":8000,\
         \"estimate-ms\":2000,\"gang\":true}}]}}"
    );
    let path = format!("{PREFIX}{GANG}");
    if !deployment.submit(&path, &gang) {
        return Verdict::CouldNotRun;
    }
    // The gang is the last that clients hand in.
    let traffic_ended = record.now();
    while record.now() < grey_until {
        thread::sleep(Duration::from_millis(20));
    }
    if setting.trouble {
        record.line(&format!("trouble: {} is sound again", large.id));
        switches.grey.store(false, Ordering::SeqCst);
    }
    watch(
        &deployment,
        &Watched {
            path: &path,
            job: GANG,
            server: USUAL,
            cpu: 2 * MEMBER_CPU,
            service: SERVICE,
            traffic_ended,
            watch_ms: 40_000,
            lasts: false,
        },
    )
}
