//! The wire forms of all types, compared with the examples in `tests/golden`.
//!
//! Every variant and every optional field occurs. The fields of a value differ from each other
//! where their types allow it, so that swapped fields are detected.

mod golden_values;

use golden_values::*;
use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::agreement::ProposalNumber;
use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::configuration::{Configuration, Limits};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::frame::{Interest, Role, MAX_FRAME_BYTES};
use lupinrack_cluster_api::identity::{
    DiskId, FencingToken, JobId, QueueName, ServerId, ServiceName, TaskId,
};
use lupinrack_cluster_api::job::{JobSpec, Resources, Step};
use lupinrack_cluster_api::operation::{
    ConfigurationBody, ConfigurationChange, LogEntry, Operation, OperationResult,
};
use lupinrack_cluster_api::rendezvous::{address_weight, mix, weight};
use lupinrack_cluster_api::request::CallId;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_api::view::View;
use lupinrack_golden_files::{to_hex, GoldenFile};

/// The file of this name.
fn golden(name: &str) -> GoldenFile {
    GoldenFile::open(format!(
        "{}/tests/golden/{name}",
        env!("CARGO_MANIFEST_DIR")
    ))
}

#[test]
fn identities() {
    let mut file = golden("identities.hex");
    file.add_borsh("disk", &DiskId(0x0102_0304_0506_0708));
    file.add_borsh("address", &address(4));
    file.add_borsh("job", &JobId(0x1112_1314_1516_1718));
    file.add_borsh("task", &task(9));
    file.add_borsh("server", &ServerId("server-7".to_owned()));
    file.add_borsh("server of no name", &ServerId(String::new()));
    file.add_borsh("queue", &QueueName("render".to_owned()));
    file.add_borsh("service", &ServiceName("worker".to_owned()));
    file.add_borsh("token", &FencingToken(0x2122));
    file.add_borsh("moment", &Millis(0x3132));
    file.add_borsh("moment of the day", &WallMillis(0x4142));
    file.add_borsh(
        "call",
        &CallId {
            incarnation: 0x5152,
            number: 0x6162,
        },
    );
    file.add_borsh(
        "ballot",
        &ProposalNumber {
            term: 0x7172,
            incarnation: 0x8182,
        },
    );
    file.check();
}

#[test]
fn texts_of_identities() {
    let mut file = golden("identities.txt");
    let job = JobId(0x0a0b_0c0d_0e0f_1011);
    file.add("job", job.to_string());
    file.add("task", task(9).to_string());
    let job_text = file
        .kept_text("job")
        .unwrap_or("0a0b0c0d0e0f1011")
        .parse::<JobId>();
    assert_eq!(job_text, Ok(job));
    let task_text = file
        .kept_text("task")
        .unwrap_or("0000000000000009.10.11.12")
        .parse::<TaskId>();
    assert_eq!(task_text, Ok(task(9)));
    file.check();
}

#[test]
fn weights_of_candidates() {
    let mut file = golden("rendezvous.txt");
    file.add("mix of 0", mix(0).to_string());
    file.add("mix of 1", mix(1).to_string());
    file.add("no key, candidate 0", weight(b"", 0).to_string());
    file.add("key worker, candidate 1", weight(b"worker", 1).to_string());
    file.add("key worker, candidate 2", weight(b"worker", 2).to_string());
    file.add(
        "key worker, address 4",
        address_weight(b"worker", address(4)).to_string(),
    );
    file.add(
        "key worker, address 5",
        address_weight(b"worker", address(5)).to_string(),
    );
    file.check();
}

#[test]
fn jobs() {
    let mut file = golden("jobs.hex");
    file.add_borsh("resources", &resources(1));
    file.add_borsh("resources of nothing", &Resources::default());
    file.add_borsh("step", &step());
    for (name, flagged) in steps_with_one_flag() {
        file.add_borsh(format!("step with {name}"), &flagged);
    }
    file.add_borsh("step of nothing", &Step::default());
    file.add_borsh("job", &job_spec());
    file.add_borsh("job without steps", &JobSpec::default());
    for state in JOB_STATES {
        file.add_borsh(format!("state {}", state.as_str()), &state);
    }
    file.check();
}

#[test]
fn words_of_job_states() {
    let mut file = golden("job_states.txt");
    for state in JOB_STATES {
        let finality = if state.is_final() { "final" } else { "open" };
        let encoded = borsh::to_vec(&state).expect("a state has bytes");
        file.add(
            format!("state {}", to_hex(&encoded)),
            format!("{} {finality}", state.as_str()),
        );
    }
    file.check();
}

#[test]
fn error_kinds() {
    let mut file = golden("error_kinds.hex");
    for (name, kind) in ERROR_KINDS {
        file.add_borsh(name, &kind);
    }
    file.check();
    assert_eq!(ERROR_KINDS.map(|(_, kind)| kind), ErrorKind::ALL);
    let unused_tag = [ErrorKind::ALL.len() as u8];
    assert!(
        borsh::from_slice::<ErrorKind>(&unused_tag).is_err(),
        "a kind is missing in the list of all"
    );
}

#[test]
fn answers_of_error_kinds() {
    let mut file = golden("error_kinds.txt");
    for (name, kind) in ERROR_KINDS {
        let answer = kind.http_error();
        let retry = answer
            .retry_after_s
            .map_or("none".to_owned(), |seconds| format!("{seconds} s"));
        file.add(
            name,
            format!("{}, retry after {retry}, {kind}", answer.status),
        );
    }
    file.check();
}

#[test]
fn configurations() {
    let mut file = golden("configurations.hex");
    let Configuration {
        routes,
        services,
        limits,
        ..
    } = configuration();
    file.add_borsh("route", &routes[0]);
    file.add_borsh("service that guards", &services[0]);
    file.add_borsh("service that does not guard", &services[1]);
    file.add_borsh("limits", &limits);
    file.add_borsh("limits of nothing", &Limits::default());
    file.add_borsh("configuration", &configuration());
    file.add_borsh("no configuration", &Configuration::default());
    file.check();
}

#[test]
fn servers() {
    let mut file = golden("servers.hex");
    file.add_borsh("facts", &server_facts());
    file.add_borsh("running task", &running_task());
    for (name, end) in RUN_ENDS {
        file.add_borsh(format!("end {name}"), &end);
    }
    file.add_borsh("finished task", &finished_task(RunEnd::Done));
    file.check();
}

#[test]
fn agent_messages() {
    let mut file = golden("agent_messages.hex");
    file.add_borsh("heartbeat of a draining server", &heartbeat(Some(75)));
    file.add_borsh("heartbeat of a server that stays", &heartbeat(None));
    let heartbeat = heartbeat(Some(76));
    let attach = AgentMessage::Attach {
        facts: server_facts(),
        token: FencingToken(77),
        heartbeat: heartbeat.clone(),
        sent_at: Millis(78),
    };
    file.add_borsh("attach", &attach);
    let report = AgentMessage::Report {
        heartbeat: Some(heartbeat),
        sent_at: Millis(79),
    };
    file.add_borsh("report", &report);
    file.add_borsh(
        "report without news",
        &AgentMessage::Report {
            heartbeat: None,
            sent_at: Millis(80),
        },
    );
    file.add_borsh("leave", &AgentMessage::Deregister { server: server() });
    file.check();
}

#[test]
fn owner_messages() {
    let mut file = golden("owner_messages.hex");
    file.add_borsh("assignment", &assignment());
    file.add_borsh("whole", &owner_message());
    let change = OwnerMessage {
        complete: false,
        assign: Vec::new(),
        stop: Vec::new(),
        ..owner_message()
    };
    file.add_borsh("change", &change);
    file.check();
}

#[test]
fn operations() {
    let mut file = golden("operations.hex");
    let whole = ConfigurationBody::Replacement("{1}".to_owned());
    let patch = ConfigurationBody::Patch("{2}".to_owned());
    for (name, body) in [("whole", whole), ("patch", patch)] {
        file.add_borsh(format!("body {name}"), &body);
        file.add_borsh(
            format!("change {name}"),
            &ConfigurationChange { if_match: 81, body },
        );
    }
    file.add_borsh("start", &start_record());
    file.add_borsh("end", &end_record(RunEnd::Failed));
    for (name, operation) in all_operations() {
        file.add_borsh(name, &operation);
    }
    file.add_borsh(
        "entry",
        &LogEntry {
            index: 82,
            operation: Operation::Noop,
        },
    );
    file.check();
}

#[test]
fn results_of_operations() {
    let mut file = golden("operation_results.hex");
    file.add_borsh("done", &OperationResult::Done);
    for state in JOB_STATES {
        file.add_borsh(
            format!("job {}", state.as_str()),
            &OperationResult::Job(state),
        );
    }
    file.add_borsh("starts", &OperationResult::Starts(vec![true, false, true]));
    for (name, kind) in ERROR_KINDS {
        file.add_borsh(format!("refused {name}"), &OperationResult::Refused(kind));
    }
    file.check();
}

#[test]
fn requests() {
    let mut file = golden("requests.hex");
    file.add_borsh("target", &target());
    for (name, request) in all_requests() {
        file.add_borsh(name, &request);
    }
    file.check();
}

#[test]
fn replies() {
    let mut file = golden("replies.hex");
    for (name, reply) in all_replies() {
        file.add_borsh(&name, &reply);
    }
    file.check();
}

#[test]
fn views() {
    let mut file = golden("views.hex");
    file.add_borsh("voter", &voter(1));
    file.add_borsh("view", &view(83));
    file.add_borsh("no view", &View::default());
    file.check();
}

#[test]
fn agreement_messages() {
    let mut file = golden("agreement_messages.hex");
    for (name, message) in all_agreement_messages() {
        file.add_borsh(name, &message);
    }
    file.check();
}

#[test]
fn chain_messages() {
    let mut file = golden("chain_messages.hex");
    file.add_borsh("identity of a snapshot", &snapshot_identity());
    for (name, message) in all_chain_messages() {
        file.add_borsh(name, &message);
    }
    file.check();
}

#[test]
fn parts_of_frames() {
    let mut file = golden("frame_parts.hex");
    for (name, role) in [
        ("frontend", Role::Frontend),
        ("agent", Role::Agent),
        ("core", Role::Core),
    ] {
        file.add_borsh(name, &role);
        file.add_borsh(format!("hello of {name}"), &hello(role, None));
    }
    file.add_borsh("hello with a disk", &hello(Role::Core, Some(DiskId(84))));
    file.add_borsh("replica of nothing", &ReplicaReport::default());
    file.add_borsh(
        "replica caught up",
        &ReplicaReport {
            caught_up: true,
            ..ReplicaReport::default()
        },
    );
    file.add_borsh(
        "replica complete",
        &ReplicaReport {
            complete: true,
            ..ReplicaReport::default()
        },
    );
    file.add_borsh(
        "replica that needs a view",
        &ReplicaReport {
            needs_view: true,
            ..ReplicaReport::default()
        },
    );
    file.add_borsh("interest in views", &Interest::Views);
    file.add_borsh(
        "interest in configurations",
        &Interest::Configuration { have: 85 },
    );
    file.add_bytes(
        "bytes of a frame at most",
        &(MAX_FRAME_BYTES as u64).to_le_bytes(),
    );
    file.check();
}

#[test]
fn frames() {
    let mut file = golden("frames.hex");
    for (name, frame) in all_frames() {
        file.add_borsh(&name, &frame);
    }
    file.check();
}
