//! Values of the control state: configurations, jobs and operations.

use super::{address, resources, server, service, task, view, ERROR_KINDS, JOB_STATES, RUN_ENDS};
use lupinrack_cluster_api::configuration::{Configuration, Limits, Route, Service};
use lupinrack_cluster_api::identity::{DiskId, FencingToken, JobId, QueueName, ServiceName};
use lupinrack_cluster_api::job::{JobSpec, Step};
use lupinrack_cluster_api::operation::{
    ConfigurationBody, ConfigurationChange, EndRecord, Operation, StartRecord,
};
use lupinrack_cluster_api::request::{Reply, Request, Target};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::WallMillis;

pub(crate) fn step() -> Step {
    Step {
        count: 3,
        needs: resources(4),
        estimate_ms: 700,
        depends_on: vec![8, 9],
        checkpoints: true,
        gang: true,
        same_rack: true,
        requires: "ssd".to_owned(),
        affinity: "rack-1".to_owned(),
        anti_affinity: 10,
        speculative: true,
        long_running: true,
    }
}

/// A step for each flag, under the flag's name, with only that flag set.
pub(crate) fn steps_with_one_flag() -> Vec<(&'static str, Step)> {
    vec![
        (
            "checkpoints",
            Step {
                checkpoints: true,
                ..Step::default()
            },
        ),
        (
            "gang",
            Step {
                gang: true,
                ..Step::default()
            },
        ),
        (
            "same_rack",
            Step {
                same_rack: true,
                ..Step::default()
            },
        ),
        (
            "speculative",
            Step {
                speculative: true,
                ..Step::default()
            },
        ),
        (
            "long_running",
            Step {
                long_running: true,
                ..Step::default()
            },
        ),
    ]
}

pub(crate) fn job_spec() -> JobSpec {
    JobSpec {
        spec: "work".to_owned(),
        steps: vec![step(), Step::default()],
        repeat: 11,
        start_at_ms: 12,
        interval_ms: 13,
    }
}

pub(crate) fn configuration() -> Configuration {
    let route = |name: &str, first: u32| Route {
        name: QueueName(name.to_owned()),
        host: format!("{name}.example"),
        path_prefix: format!("/{name}/"),
        timeout_ms: u64::from(first),
        target_latency_ms: u64::from(first) + 1,
        priority: first + 2,
        service: service(),
        max_retries: first + 3,
        extension_milli: u64::from(first) + 4,
    };
    Configuration {
        version: 14,
        routes: vec![route("import", 20), route("render", 30)],
        services: vec![
            Service {
                name: ServiceName("guard".to_owned()),
                guards: true,
            },
            Service {
                name: service(),
                guards: false,
            },
        ],
        limits: Limits {
            max_header_bytes: 15,
            max_body_bytes: 16,
            header_timeout_ms: 17,
            idle_timeout_ms: 18,
        },
    }
}

pub(crate) fn start_record() -> StartRecord {
    StartRecord {
        task: task(40),
        attempt: 41,
        server: server(),
        checkpoint: "half".to_owned(),
    }
}

pub(crate) fn end_record(end: RunEnd) -> EndRecord {
    EndRecord {
        task: task(42),
        attempt: 43,
        end,
        checkpoint: "most".to_owned(),
    }
}

pub(crate) fn configuration_change() -> ConfigurationChange {
    ConfigurationChange {
        if_match: 44,
        body: ConfigurationBody::Replacement("{}".to_owned()),
    }
}

/// Every operation, under a name.
pub(crate) fn all_operations() -> Vec<(&'static str, Operation)> {
    let (job, queue, at) = (JobId(45), QueueName("render".to_owned()), WallMillis(46));
    let (service, token) = (service(), FencingToken(47));
    vec![
        (
            "change of the configuration",
            Operation::ChangeConfiguration(configuration_change()),
        ),
        (
            "accept",
            Operation::AcceptJob {
                job,
                queue: queue.clone(),
                spec: job_spec(),
                at,
            },
        ),
        ("cancel", Operation::CancelJob { job, queue, at }),
        (
            "take a shard",
            Operation::TakeShard {
                service: service.clone(),
                token,
                owner: DiskId(48),
                incarnation: 49,
            },
        ),
        (
            "starts",
            Operation::RecordStarts {
                service: service.clone(),
                token,
                starts: vec![start_record(), start_record()],
            },
        ),
        (
            "ends",
            Operation::RecordEnds {
                service: service.clone(),
                token,
                ends: RUN_ENDS.map(|(_, end)| end_record(end)).to_vec(),
                at,
            },
        ),
        (
            "server",
            Operation::RecordServer {
                service: service.clone(),
                token,
                server: server(),
                agent: address(50),
            },
        ),
        (
            "forget",
            Operation::ForgetJobs {
                ended_before: WallMillis(51),
            },
        ),
        ("nothing", Operation::Noop),
        (
            "hand over",
            Operation::HandOverJobs {
                service: service.clone(),
                token,
                jobs: vec![job, JobId(52)],
            },
        ),
        (
            "accept at an address",
            Operation::AcceptJobAt {
                target: target(),
                job,
                spec: job_spec(),
                at,
            },
        ),
        (
            "cancel at an address",
            Operation::CancelJobAt {
                target: target(),
                job,
                at,
            },
        ),
    ]
}

pub(crate) fn target() -> Target {
    Target {
        host: "render.example".to_owned(),
        path: "/render/jobs/1".to_owned(),
    }
}

/// Every request, under a name.
pub(crate) fn all_requests() -> Vec<(&'static str, Request)> {
    let (target, job) = (target(), JobId(52));
    vec![
        (
            "change of the configuration",
            Request::ChangeConfiguration(configuration_change()),
        ),
        ("read the configuration", Request::ReadConfiguration),
        (
            "submit",
            Request::SubmitJob {
                target: target.clone(),
                job,
                spec: job_spec(),
            },
        ),
        (
            "read a job",
            Request::ReadJob {
                target: target.clone(),
                job,
            },
        ),
        (
            "cancel",
            Request::CancelJob {
                target: target.clone(),
                job,
            },
        ),
        ("read a queue", Request::ReadQueue { target }),
        ("confirm a view", Request::ConfirmView { number: 53 }),
    ]
}

/// Every reply, under a name.
pub(crate) fn all_replies() -> Vec<(String, Reply)> {
    let mut replies = vec![
        ("done".to_owned(), Reply::Done),
        (
            "document".to_owned(),
            Reply::ConfigurationDocument("{\"version\":1}".to_owned()),
        ),
        ("pending".to_owned(), Reply::Pending(54)),
        ("not the head".to_owned(), Reply::NotHead(view(55))),
    ];
    replies.extend(JOB_STATES.map(|state| (format!("job {}", state.as_str()), Reply::Job(state))));
    replies.extend(ERROR_KINDS.map(|(name, kind)| (format!("error {name}"), Reply::Error(kind))));
    replies
}
