//! The stored form of the state, and the reading of configurations, compared with the examples in
//! `tests/golden`.

mod common;
mod golden_values;
mod state_parts;

use golden_values::*;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::operation::{
    ConfigurationBody, ConfigurationChange, Operation, OperationResult,
};
use lupinrack_cluster_api::request::Target;
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::{
    apply_body, check_body, AcceptedChanges, ChangeDigest, ConfigurationDocument, ControlState,
    JobRecord, Occurrence, TaskRecord,
};
use lupinrack_golden_files::{check_text, from_hex, GoldenFile};
use state_parts::StateParts;
use std::collections::BTreeMap;

/// The path of a golden file.
fn path(name: &str) -> String {
    format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn records() {
    let mut file = GoldenFile::open(path("records.hex"));
    for (name, status) in task_statuses() {
        file.add_borsh(format!("status {name}"), &status);
        file.add_borsh(format!("task {name}"), &task_record(status));
    }
    file.add_borsh("status after a hand-over", &status_after_hand_over());
    file.add_borsh("task that was never started", &TaskRecord::default());
    file.add_borsh("occurrence", &occurrence());
    file.add_borsh("occurrence that is done", &Occurrence::default());
    file.add_borsh("open job", &job_record(JobState::Running, None));
    file.add_borsh("ended job", &job_record(JobState::Failed, Some(20)));
    file.add_borsh("job of a former route", &job_record_of_former_route());
    file.add_borsh("shard", &shard(21));
    file.add_borsh("place", &binding(22));
    file.add_borsh("document", &document());
    file.add_borsh("document of nothing", &ConfigurationDocument::default());
    file.check();
}

#[test]
fn digests_of_changes() {
    let mut file = GoldenFile::open(path("change_digests.hex"));
    let replacement = ConfigurationBody::Replacement("{}".to_owned());
    let patch = ConfigurationBody::Patch("{}".to_owned());
    for (name, if_match, body) in [
        ("whole on 0", 0, replacement.clone()),
        ("whole on 1", 1, replacement),
        ("patch on 1", 1, patch),
    ] {
        file.add_borsh(
            name,
            &ChangeDigest::of(&ConfigurationChange { if_match, body }),
        );
    }
    file.check();
}

#[test]
fn snapshots() {
    let mut file = GoldenFile::open(path("snapshots.hex"));
    for (name, parts) in [
        ("empty", StateParts::default()),
        ("every kind of record", all_parts()),
    ] {
        file.add_borsh(name, &parts);
        let state = parts.state();
        assert_eq!(StateParts::of(&state), parts, "{name}");
        let bytes = state.to_bytes().expect("a state has bytes");
        let kept = file.kept_bytes(name).unwrap_or(bytes.clone());
        assert_eq!(bytes, kept, "{name}");
        assert_eq!(ControlState::from_bytes(&kept), Ok(state), "{name}");
    }
    let name = "jobs of one identity";
    let state = jobs_of_one_identity();
    file.add_borsh(name, &state);
    let kept = file.kept_bytes(name);
    assert!(kept.is_none_or(|kept| ControlState::from_bytes(&kept) == Ok(state)));
    file.check();
    assert_eq!(StateParts::default().state(), ControlState::default());
}

/// Guards against stored jobs that are lost by an upgrade. Earlier versions kept a record of each task of a started
/// occurrence, and of each occurrence that is done.
#[test]
fn what_earlier_versions_stored_is_read() {
    let file = std::fs::read_to_string(path("earlier_versions.hex")).expect("it can be read");
    let examples = file.lines().filter_map(|line| line.split_once(": "));
    let examples: BTreeMap<&str, &str> = examples.collect();
    let stored = |name: &str| from_hex(examples[name]);
    let read = |name: &str| borsh::from_slice::<JobRecord>(&stored(name)).expect("it can be read");
    assert_eq!(read("open job"), job_record(JobState::Running, None));
    assert_eq!(read("ended job"), job_record(JobState::Failed, Some(20)));
    assert_eq!(read("job of a former route"), job_record_of_former_route());
    let state = ControlState::from_bytes(&stored("every kind of record"));
    assert_eq!(state, Ok(all_parts().state()));
}

/// A state with a job of the same identity in each of two queues, and below the address of one.
fn jobs_of_one_identity() -> ControlState {
    let mut state = common::state();
    for prefix in ["/a/", "/b/", "/a/below/"] {
        let job = JobId(61);
        let result = state.apply(&Operation::AcceptJobAt {
            target: Target {
                host: "h.example".to_owned(),
                path: format!("{prefix}{job}"),
            },
            job,
            spec: common::spec(vec![common::step(1)]),
            at: WallMillis(62),
        });
        assert_eq!(result, OperationResult::Job(JobState::Queued));
    }
    state
}

/// The accessors of a state that was read return the right parts.
#[test]
fn parts_of_a_snapshot() {
    let parts = all_parts();
    let state = parts.state();
    assert_eq!(*state.configuration(), parts.configuration);
    assert_eq!(*state.configuration_state().document(), parts.document);
    assert_eq!(
        *state.configuration_state().accepted_changes(),
        parts.accepted_changes
    );
    for (job, record) in &parts.jobs {
        assert_eq!(state.job(*job), Some(record));
    }
    assert_eq!(*state.jobs().open_by_service(), parts.open_jobs);
    for (service, shard) in &parts.shards {
        assert_eq!(state.shards().get(service), Some(shard));
    }
    for (server, binding) in &parts.bindings {
        assert_eq!(state.bindings().get(server), Some(binding));
    }
}

/// The digest at base version 9 is that of no change; records of base versions up to 7 were
/// removed.
#[test]
fn the_record_of_accepted_changes_keeps_its_meaning() {
    let mut file = GoldenFile::open(path("accepted_changes.hex"));
    let bytes = [
        &1u32.to_le_bytes()[..],
        &9u64.to_le_bytes(),
        &[0xab; 32],
        &7u64.to_le_bytes(),
    ]
    .concat();
    file.add_bytes("one remembered, some forgotten", &bytes);
    let kept = file
        .kept_bytes("one remembered, some forgotten")
        .unwrap_or(bytes);
    let accepted_changes: AcceptedChanges = borsh::from_slice(&kept).expect("a record of changes");
    assert_eq!(
        borsh::to_vec(&accepted_changes).expect("a record has bytes"),
        kept
    );
    assert_eq!(accepted_changes.len(), 1);
    let parts = StateParts {
        accepted_changes,
        ..StateParts::default()
    };
    let state = parts.state();
    let refusal = |if_match| {
        let body = ConfigurationBody::Replacement(PUT.to_owned());
        let change = ConfigurationChange { if_match, body };
        state.clone().apply(&Operation::ChangeConfiguration(change))
    };
    assert_eq!(refusal(7), OperationResult::Refused(ErrorKind::InDoubt));
    assert_eq!(
        refusal(8),
        OperationResult::Refused(ErrorKind::VersionConflict)
    );
    assert_eq!(
        refusal(9),
        OperationResult::Refused(ErrorKind::VersionConflict)
    );
    file.check();
}

/// The bodies of `PUT` and `PATCH`, how they are rendered, and what is read from them.
#[test]
fn bodies_of_changes() {
    check_text(path("put.json"), PUT);
    check_text(path("patch.json"), PATCH);
    let mut state = ControlState::default();
    assert_eq!(
        state.apply(&change(0, ConfigurationBody::Replacement(PUT.to_owned()))),
        OperationResult::Done
    );
    check_text(
        path("put_given_back.json"),
        &format!("{}\n", state.document_json()),
    );
    let put = state.clone();
    let patch = ConfigurationBody::Patch(PATCH.to_owned());
    assert_eq!(state.apply(&change(7, patch)), OperationResult::Done);
    check_text(
        path("patch_given_back.json"),
        &format!("{}\n", state.document_json()),
    );
    let mut file = GoldenFile::open(path("configurations.hex"));
    file.add_borsh("document of the put", put.configuration_state().document());
    file.add_borsh("configuration of the put", put.configuration());
    file.add_borsh(
        "document of the patch",
        state.configuration_state().document(),
    );
    file.add_borsh("configuration of the patch", state.configuration());
    file.check();
}

fn change(if_match: u64, body: ConfigurationBody) -> Operation {
    Operation::ChangeConfiguration(ConfigurationChange { if_match, body })
}

#[test]
fn faults_of_bodies() {
    let mut file = GoldenFile::open(path("faults.txt"));
    for (name, body) in faulty_bodies() {
        let fault = check_body(&body).expect_err(name);
        file.add(name, fault.to_string());
    }
    file.check();
}

/// Faults of a body that depend on the current configuration.
#[test]
fn faults_of_bodies_on_a_configuration() {
    let mut file = GoldenFile::open(path("faults_on_a_configuration.txt"));
    let mut state = ControlState::default();
    state.apply(&change(0, ConfigurationBody::Replacement(PUT.to_owned())));
    for (name, patch) in faulty_patches_of_put() {
        let body = ConfigurationBody::Patch(patch.to_owned());
        assert_eq!(check_body(&body), Ok(()), "{name}");
        let changed = apply_body(state.configuration_state().document(), &body).expect(name);
        file.add(name, changed.check().expect_err(name).to_string());
    }
    file.check();
}
