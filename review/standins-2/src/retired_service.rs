//! The operator moves a queue to another service and takes the former service out of the configuration, while jobs of the
//! queue still run on servers of the former service. Then the process that schedules the former service is killed. Nobody
//! takes its place, and the accepted jobs are never run again.

use crate::cluster::Role;
use crate::deployment::{configuration, Deployment, Queue, Verdict};
use crate::idle_check::{watch, Watched};
use crate::servers::ServerFacts;
use crate::Setting;
use std::thread;
use std::time::Duration;

const OLD: &str = "huvo11a";
const NEW: &str = "wuno96b";
const PREFIX: &str = "/pufi791/";
const OTHER: &str = "/puxa403/";
const JOB: &str = "aaaabbbbccccdddd";
const TASK_CPU: u64 = 2_000;

fn facts(id: &str, service: &str) -> ServerFacts {
    ServerFacts {
        id: id.into(),
        service: service.into(),
        zone: "salt-lake".into(),
        labels: vec!["a".into(), "r1-1".into()],
        cpu: 16_000,
        mem_mb: 32_768,
        gpu: 0,
    }
}

fn queues(service: &'static str) -> [Queue; 2] {
    let queue = |name, prefix, service| Queue {
        name,
        prefix,
        service,
        priority: 1,
        max_retries: 3,
    };
    [
        queue("r-2ctnfzs", PREFIX, service),
        queue("r-989anu6", OTHER, NEW),
    ]
}

pub fn run(setting: &Setting) -> Verdict {
    let servers = vec![
        facts("i-00000001", OLD),
        facts("i-00000002", OLD),
        facts("i-00000003", NEW),
        facts("i-00000004", NEW),
    ];
    let Some(deployment) = Deployment::start(
        &setting.program,
        &setting.folder,
        3,
        1,
        4,
        servers,
        &queues(OLD),
        &setting.children,
        &setting.record,
    ) else {
        return Verdict::CouldNotRun;
    };
    let record = &setting.record;
    let path = format!("{PREFIX}{JOB}");
    let body = format!(
        "{{\"spec\":\"ms=15000 cpu={TASK_CPU}\",\"steps\":[{{\"count\":2,\"cpu\":{TASK_CPU},\"mem-mb\":900,\
         \"estimate-ms\":15000}}]}}"
    );
    if !deployment.submit(&path, &body) || !deployment.wait(10_000, || deployment.running(JOB) == 2)
    {
        return Verdict::CouldNotRun;
    }
    let traffic_ended = record.now();
    if setting.trouble {
        if deployment.put(1, &configuration(2, &queues(NEW))) != Some(200) {
            return Verdict::CouldNotRun;
        }
        thread::sleep(Duration::from_millis(1_000));
        let cores = deployment.cluster.with_role(Role::Core);
        let status = deployment.cluster.status(&cores[0]);
        let owner = status
            .lines()
            .find_map(|line| line.strip_prefix(&format!("owner of {OLD}: ")));
        record.line(&format!(
            "status of {}: owner of {OLD}: {owner:?}",
            cores[0].name()
        ));
        let Some(core) = cores
            .iter()
            .find(|core| owner.is_some_and(|owner| owner.starts_with(&format!("{}:", core.ip))))
        else {
            return Verdict::CouldNotRun;
        };
        deployment.cluster.kill(&core.name());
        thread::sleep(Duration::from_millis(1_000));
        deployment.cluster.start(core, false);
    }
    watch(
        &deployment,
        &Watched {
            path: &path,
            job: JOB,
            server: 0,
            cpu: 2 * TASK_CPU,
            service: OLD,
            traffic_ended,
            watch_ms: 50_000,
            lasts: false,
        },
    )
}
