//! The wire forms of all types, compared with the examples in `tests/golden`.
//!
//! Every variant and every optional field occurs, and no two fields of a value are equal where
//! their types let them differ, so that a swap of fields shows.

mod golden_values;

use golden_values::*;
use lupinrack_cluster_api::agent::{AgentMessage, OwnerMessage};
use lupinrack_cluster_api::agreement::ProposalNumber;
use lupinrack_cluster_api::chain::ReplicaReport;
use lupinrack_cluster_api::configuration::{Configuration, Limits};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::frame::{Interest, Role, FRAME_BYTES_MOST};
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
    file.borsh("disk", &DiskId(0x0102_0304_0506_0708));
    file.borsh("address", &address(4));
    file.borsh("job", &JobId(0x1112_1314_1516_1718));
    file.borsh("task", &task(9));
    file.borsh("server", &ServerId("server-7".to_owned()));
    file.borsh("server of no name", &ServerId(String::new()));
    file.borsh("queue", &QueueName("render".to_owned()));
    file.borsh("service", &ServiceName("worker".to_owned()));
    file.borsh("token", &FencingToken(0x2122));
    file.borsh("moment", &Millis(0x3132));
    file.borsh("moment of the day", &WallMillis(0x4142));
    file.borsh(
        "call",
        &CallId {
            incarnation: 0x5152,
            number: 0x6162,
        },
    );
    file.borsh(
        "ballot",
        &ProposalNumber {
            term: 0x7172,
            incarnation: 0x8182,
        },
    );
    file.finish();
}

#[test]
fn texts_of_identities() {
    let mut file = golden("identities.txt");
    let job = JobId(0x0a0b_0c0d_0e0f_1011);
    file.text("job", &job.to_string());
    file.text("task", &task(9).to_string());
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
    file.finish();
}

#[test]
fn weights_of_candidates() {
    let mut file = golden("rendezvous.txt");
    file.text("mix of 0", &mix(0).to_string());
    file.text("mix of 1", &mix(1).to_string());
    file.text("no key, candidate 0", &weight(b"", 0).to_string());
    file.text("key worker, candidate 1", &weight(b"worker", 1).to_string());
    file.text("key worker, candidate 2", &weight(b"worker", 2).to_string());
    file.text(
        "key worker, address 4",
        &address_weight(b"worker", address(4)).to_string(),
    );
    file.text(
        "key worker, address 5",
        &address_weight(b"worker", address(5)).to_string(),
    );
    file.finish();
}

#[test]
fn jobs() {
    let mut file = golden("jobs.hex");
    file.borsh("resources", &resources(1));
    file.borsh("resources of nothing", &Resources::default());
    file.borsh("step", &step());
    for (name, flagged) in steps_with_one_flag() {
        file.borsh(&format!("step with {name}"), &flagged);
    }
    file.borsh("step of nothing", &Step::default());
    file.borsh("job", &job_spec());
    file.borsh("job without steps", &JobSpec::default());
    for state in JOB_STATES {
        file.borsh(&format!("state {}", state.as_str()), &state);
    }
    file.finish();
}

#[test]
fn words_of_job_states() {
    let mut file = golden("job_states.txt");
    for state in JOB_STATES {
        let finality = if state.is_final() { "final" } else { "open" };
        let encoded = borsh::to_vec(&state).expect("a state has bytes");
        file.text(
            &format!("state {}", to_hex(&encoded)),
            &format!("{} {finality}", state.as_str()),
        );
    }
    file.finish();
}

#[test]
fn error_kinds() {
    let mut file = golden("error_kinds.hex");
    for (name, kind) in ERROR_KINDS {
        file.borsh(name, &kind);
    }
    file.finish();
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
        file.text(
            name,
            &format!("{}, retry after {retry}, {kind}", answer.status),
        );
    }
    file.finish();
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
    file.borsh("route", &routes[0]);
    file.borsh("service that guards", &services[0]);
    file.borsh("service that does not guard", &services[1]);
    file.borsh("limits", &limits);
    file.borsh("limits of nothing", &Limits::default());
    file.borsh("configuration", &configuration());
    file.borsh("no configuration", &Configuration::default());
    file.finish();
}

#[test]
fn servers() {
    let mut file = golden("servers.hex");
    file.borsh("facts", &server_facts());
    file.borsh("running task", &running_task());
    for (name, end) in RUN_ENDS {
        file.borsh(&format!("end {name}"), &end);
    }
    file.borsh("finished task", &finished_task(RunEnd::Done));
    file.finish();
}

#[test]
fn agent_messages() {
    let mut file = golden("agent_messages.hex");
    file.borsh("heartbeat of a draining server", &heartbeat(Some(75)));
    file.borsh("heartbeat of a server that stays", &heartbeat(None));
    let heartbeat = heartbeat(Some(76));
    let attach = AgentMessage::Attach {
        facts: server_facts(),
        token: FencingToken(77),
        heartbeat: heartbeat.clone(),
        sent_at: Millis(78),
    };
    file.borsh("attach", &attach);
    let report = AgentMessage::Report {
        heartbeat: Some(heartbeat),
        sent_at: Millis(79),
    };
    file.borsh("report", &report);
    file.borsh(
        "report without news",
        &AgentMessage::Report {
            heartbeat: None,
            sent_at: Millis(80),
        },
    );
    file.borsh("leave", &AgentMessage::Deregister { server: server() });
    file.finish();
}

#[test]
fn owner_messages() {
    let mut file = golden("owner_messages.hex");
    file.borsh("assignment", &assignment());
    file.borsh("whole", &owner_message());
    let change = OwnerMessage {
        complete: false,
        assign: Vec::new(),
        stop: Vec::new(),
        ..owner_message()
    };
    file.borsh("change", &change);
    file.finish();
}

#[test]
fn operations() {
    let mut file = golden("operations.hex");
    let whole = ConfigurationBody::Replacement("{1}".to_owned());
    let patch = ConfigurationBody::Patch("{2}".to_owned());
    for (name, body) in [("whole", whole), ("patch", patch)] {
        file.borsh(&format!("body {name}"), &body);
        file.borsh(
            &format!("change {name}"),
            &ConfigurationChange { if_match: 81, body },
        );
    }
    file.borsh("start", &start_record());
    file.borsh("end", &end_record(RunEnd::Failed));
    for (name, operation) in all_operations() {
        file.borsh(name, &operation);
    }
    file.borsh(
        "entry",
        &LogEntry {
            index: 82,
            operation: Operation::Noop,
        },
    );
    file.finish();
}

#[test]
fn results_of_operations() {
    let mut file = golden("operation_results.hex");
    file.borsh("done", &OperationResult::Done);
    for state in JOB_STATES {
        file.borsh(
            &format!("job {}", state.as_str()),
            &OperationResult::Job(state),
        );
    }
    file.borsh("starts", &OperationResult::Starts(vec![true, false, true]));
    for (name, kind) in ERROR_KINDS {
        file.borsh(&format!("refused {name}"), &OperationResult::Refused(kind));
    }
    file.finish();
}

#[test]
fn requests() {
    let mut file = golden("requests.hex");
    file.borsh("target", &target());
    for (name, request) in all_requests() {
        file.borsh(name, &request);
    }
    file.finish();
}

#[test]
fn replies() {
    let mut file = golden("replies.hex");
    for (name, reply) in all_replies() {
        file.borsh(&name, &reply);
    }
    file.finish();
}

#[test]
fn views() {
    let mut file = golden("views.hex");
    file.borsh("voter", &voter(1));
    file.borsh("view", &view(83));
    file.borsh("no view", &View::default());
    file.finish();
}

#[test]
fn agreement_messages() {
    let mut file = golden("agreement_messages.hex");
    for (name, message) in all_agreement_messages() {
        file.borsh(name, &message);
    }
    file.finish();
}

#[test]
fn chain_messages() {
    let mut file = golden("chain_messages.hex");
    file.borsh("identity of a snapshot", &snapshot_identity());
    for (name, message) in all_chain_messages() {
        file.borsh(name, &message);
    }
    file.finish();
}

#[test]
fn parts_of_frames() {
    let mut file = golden("frame_parts.hex");
    for (name, role) in [
        ("frontend", Role::Frontend),
        ("agent", Role::Agent),
        ("core", Role::Core),
    ] {
        file.borsh(name, &role);
        file.borsh(&format!("hello of {name}"), &hello(role, None));
    }
    file.borsh("hello with a disk", &hello(Role::Core, Some(DiskId(84))));
    file.borsh("replica of nothing", &ReplicaReport::default());
    file.borsh(
        "replica caught up",
        &ReplicaReport {
            caught_up: true,
            ..ReplicaReport::default()
        },
    );
    file.borsh(
        "replica complete",
        &ReplicaReport {
            complete: true,
            ..ReplicaReport::default()
        },
    );
    file.borsh(
        "replica that needs a view",
        &ReplicaReport {
            needs_view: true,
            ..ReplicaReport::default()
        },
    );
    file.borsh("interest in views", &Interest::Views);
    file.borsh(
        "interest in configurations",
        &Interest::Configuration { have: 85 },
    );
    file.bytes(
        "bytes of a frame at most",
        &(FRAME_BYTES_MOST as u64).to_le_bytes(),
    );
    file.finish();
}

#[test]
fn frames() {
    let mut file = golden("frames.hex");
    for (name, frame) in all_frames() {
        file.borsh(&name, &frame);
    }
    file.finish();
}
