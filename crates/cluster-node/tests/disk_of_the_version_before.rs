//! This version reads disks that an earlier version wrote. The tests guard against a format change that alters the
//! configuration, jobs, view, vote or replica status.
//!
//! `tests/disks/README.md` says how the disks were made.

mod network;
mod support;

use lupinrack_chain::ReplicaStatus;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{JobId, PeerAddress, QueueName, ServiceName};
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange, Operation};
use lupinrack_cluster_api::request::{Reply, Request, Target};
use lupinrack_cluster_api::view::{View, Voter};
use lupinrack_control_state::{ControlState, JobRecord, TaskRecord, TaskStatus};
use lupinrack_control_store::{ControlStore, Recovered, StoreSettings, DATA_FILE};
use lupinrack_golden_files::{check_text, path};
use lupinrack_view_agreement::VoteState;
use network::Network;
use std::fmt::Write;
use support::packed_disk::UnpackedDisk;

/// The disks, indexed by the numbers of their processes in a network that restarts from them.
const DISKS: [&str; 3] = ["core-1", "core-2", "core-3"];
/// The disk of the process that was asked to shut down first, in a view before the last one.
const STOPPED_FIRST: &str = "core-2";
/// The time that restarted processes take to agree on a view and to answer, in simulated milliseconds.
const SETTLED_MS: u64 = 10_000;
/// The time limit of a call, in simulated milliseconds.
const CALL_MS: u64 = 2_000;
const HOST: &str = "batch.example";

/// Reads the contents of a disk.
fn read(name: &str) -> Recovered {
    let disk = UnpackedDisk::new(name, DATA_FILE);
    let (_store, recovered) = ControlStore::open(disk.folder(), StoreSettings::default())
        .expect("the disk can be opened");
    recovered
}

fn decode<T: borsh::BorshDeserialize>(bytes: &[u8]) -> T {
    borsh::from_slice(bytes).expect("it can be decoded")
}

fn view_of(recovered: &Recovered) -> View {
    decode(&recovered.view)
}

/// The state after the snapshot and all entries.
fn state_of(recovered: &Recovered) -> ControlState {
    let mut state =
        ControlState::from_bytes(&recovered.snapshot).expect("the snapshot can be read");
    for entry in &recovered.entries {
        state.apply(&entry.operation);
    }
    state
}

// The contents of the disks, as text.

fn write_disk(text: &mut String, name: &str, recovered: &Recovered) {
    let last = recovered
        .entries
        .last()
        .map_or(recovered.snapshot_index, |entry| entry.index);
    let _ = writeln!(
        text,
        "### {name}\ndisk {:016x}",
        recovered.disk.expect("the disk has an identity").0
    );
    write_vote(text, &decode(&recovered.vote));
    write_view(text, "view", &view_of(recovered));
    let _ = writeln!(
        text,
        "standing {}",
        replica_status_text(&recovered.replica_status)
    );
    let snapshot_bytes = recovered.snapshot.len();
    let _ = writeln!(
        text,
        "snapshot up to {}, {snapshot_bytes} bytes",
        recovered.snapshot_index
    );
    let _ = writeln!(
        text,
        "entries up to {last}, committed up to {}\n",
        recovered.committed
    );
}

/// No replica status is written on a disk that has been in the chain since the first view.
fn replica_status_text(bytes: &[u8]) -> &'static str {
    let replica_status: Option<ReplicaStatus> = (!bytes.is_empty()).then(|| decode(bytes));
    match replica_status {
        None => "not written",
        Some(ReplicaStatus::Complete) => "complete",
        Some(ReplicaStatus::Joining) => "joining",
    }
}

fn write_vote(text: &mut String, vote: &VoteState) {
    let VoteState {
        prepared,
        accepted_proposal,
        accepted,
        agreed,
        founders,
    } = vote;
    let _ = writeln!(
        text,
        "promised round {}, life {:016x}",
        prepared.term, prepared.incarnation
    );
    let _ = writeln!(
        text,
        "accepted under round {}, life {:016x}",
        accepted_proposal.term, accepted_proposal.incarnation
    );
    write_view(text, "accepted view", accepted);
    write_view(text, "agreed view", agreed);
    for PeerAddress(founder) in founders {
        let _ = writeln!(text, "founder {founder}");
    }
}

fn write_view(text: &mut String, name: &str, view: &View) {
    let _ = writeln!(text, "{name} {}", view.number);
    for Voter {
        disk,
        address: PeerAddress(address),
        zone,
    } in &view.voters
    {
        let _ = writeln!(text, "  voter {:016x} at {address}, zone {zone}", disk.0);
    }
    for disk in &view.chain {
        let _ = writeln!(text, "  chain {:016x}", disk.0);
    }
}

fn write_state(text: &mut String, name: &str, state: &ControlState) {
    let _ = writeln!(
        text,
        "### the state on {name}\nconfiguration {}",
        state.configuration().version
    );
    let _ = writeln!(text, "{}", state.document_json());
    let _ = writeln!(
        text,
        "changes taken {}",
        state.configuration_state().accepted_changes().len()
    );
    for (job, record) in state.jobs().iter() {
        write_job(text, job, record);
    }
    for (ServiceName(service), jobs) in state.jobs().open_by_service() {
        let jobs: Vec<String> = jobs.iter().map(JobId::to_string).collect();
        let _ = writeln!(text, "open jobs of {service}: {}", jobs.join(" "));
    }
    for (ServiceName(service), shard) in state.shards().iter() {
        let (owner, token) = (shard.owner.0, shard.token.0);
        let _ = writeln!(text, "shard {service}: owner {owner:016x}, token {token}");
    }
    for (server, place) in state.bindings().iter() {
        let _ = writeln!(
            text,
            "server {} beside {}, order {}",
            server.0, place.agent.0, place.order
        );
    }
    let _ = writeln!(text, "places recorded {}", state.bindings().recorded());
    let bytes = state.to_bytes().expect("the state can be encoded");
    let _ = writeln!(text, "{} bytes encoded\n", bytes.len());
}

fn write_job(text: &mut String, job: JobId, record: &JobRecord) {
    let (QueueName(queue), ServiceName(service)) = (&record.queue.name, &record.service);
    let _ = writeln!(
        text,
        "job {job}: {}, queue {queue}, service {service}",
        record.state.as_str()
    );
    let _ = writeln!(
        text,
        "  priority {}, retries {}, target {} ms, extension {}",
        record.priority, record.max_retries, record.target_latency_ms, record.extension_milli
    );
    let ended_at = record
        .ended_at
        .map_or("never".to_owned(), |at| at.0.to_string());
    let _ = writeln!(
        text,
        "  accepted at {}, ended at {ended_at}",
        record.accepted_at.0
    );
    let _ = writeln!(text, "  {}", lupinrack_cluster_json::job_body(&record.spec));
    let _ = writeln!(text, "  times done {}", record.occurrences.done().len());
    for number in record.occurrences.done().ranges().flatten() {
        let _ = writeln!(text, "  time {number}: 0 tasks open");
    }
    for (number, occurrence) in record.occurrences.open() {
        let open_tasks = occurrence.open_tasks();
        let _ = writeln!(text, "  time {number}: {open_tasks} tasks open");
        for (step, specified) in record.spec.steps.iter().enumerate() {
            for index in 0..specified.count {
                write_task(text, step, occurrence.task(step as u32, index));
            }
        }
    }
}

fn write_task(text: &mut String, step: usize, task: &TaskRecord) {
    let TaskRecord {
        status,
        attempt,
        failed,
        failed_attempt,
        checkpoint,
    } = task;
    let status = match status {
        TaskStatus::Waiting => "waiting".to_owned(),
        TaskStatus::Assigned { server } => format!("assigned to {}", server.0),
        TaskStatus::Done => "done".to_owned(),
        TaskStatus::AssignedInFormerService { server, service } => {
            format!("assigned to {} of {}", server.0, service.0)
        }
    };
    let _ = writeln!(
        text,
        "    step {step}: {status}, attempt {attempt}, failed {failed}, last in {failed_attempt}, saved '{checkpoint}'"
    );
}

#[test]
fn the_disks_hold_what_the_version_before_wrote() {
    let mut text = String::new();
    for name in DISKS {
        let recovered = read(name);
        write_disk(&mut text, name, &recovered);
        write_state(&mut text, name, &state_of(&recovered));
    }
    check_text(path!("disk_of_the_version_before.txt"), &text);
}

/// The occurrences of jobs are written in another form than the version before wrote, and nothing is lost by it.
#[test]
fn a_snapshot_that_is_read_is_written_in_the_present_form_and_read_back_as_it_was() {
    for name in DISKS {
        let recovered = read(name);
        let state =
            ControlState::from_bytes(&recovered.snapshot).expect("the snapshot can be read");
        let written = state.to_bytes().expect("it can be encoded");
        let again = ControlState::from_bytes(&written).expect("it can be read again");
        assert!(again == state, "{name}");
        assert!(
            again.to_bytes().expect("it can be encoded") == written,
            "{name}"
        );
    }
}

// Core processes that restart from the disks.

/// The voters of the last view, each with its disk, in the order of [`DISKS`].
fn disks() -> Vec<(Voter, Recovered)> {
    let recovered = DISKS.map(read);
    let newest = recovered
        .iter()
        .map(view_of)
        .max_by_key(|view| view.number)
        .expect("there are disks");
    let voter_of = |recovered: Recovered| {
        let disk = recovered.disk.expect("the disk has an identity");
        (
            newest.voter(disk).expect("all disks vote").clone(),
            recovered,
        )
    };
    recovered.into_iter().map(voter_of).collect()
}

fn settled_network() -> Network {
    let mut network = Network::restored(disks());
    network.advance_ms(SETTLED_MS);
    network
}

fn call(network: &mut Network, process: usize, request: Request) -> Reply {
    let mut reply = network.call(process, request, CALL_MS);
    network.advance_ms(CALL_MS);
    reply.try_recv().expect("the call is answered in time")
}

/// The state that every member of the last chain has in full.
fn last_state() -> ControlState {
    let last = DISKS
        .iter()
        .find(|name| **name != STOPPED_FIRST)
        .expect("one that did not end first");
    state_of(&read(last))
}

fn target(record: &JobRecord, job: &str) -> Target {
    Target {
        host: HOST.to_owned(),
        path: format!("/{}/{job}", record.queue.name.0),
    }
}

#[test]
fn processes_begin_with_what_is_on_their_disks() {
    let mut text = String::new();
    let mut network = Network::restored(disks());
    for (number, name) in DISKS.into_iter().enumerate() {
        let _ = writeln!(text, "### {name}\n{}", network.status(number));
    }
    check_text(path!("processes_of_the_version_before.txt"), &text);
}

#[test]
fn processes_that_go_on_answer_for_every_job_and_the_configuration() {
    let mut network = settled_network();
    let state = last_state();
    for process in 0..DISKS.len() {
        let document = Reply::ConfigurationDocument(state.document_json());
        assert_eq!(
            call(&mut network, process, Request::ReadConfiguration),
            document
        );
    }
    let mut states: Vec<JobState> = Vec::new();
    for (job, record) in state.jobs().iter() {
        let read = Request::ReadJob {
            target: target(record, &job.to_string()),
            job,
        };
        assert_eq!(
            call(&mut network, 0, read),
            Reply::Job(record.state),
            "{job}"
        );
        states.push(record.state);
        let pending = Reply::Pending(state.pending(&record.queue.name));
        assert_eq!(
            call(
                &mut network,
                0,
                Request::ReadQueue {
                    target: target(record, "")
                }
            ),
            pending
        );
    }
    let every = [
        JobState::Queued,
        JobState::Running,
        JobState::Succeeded,
        JobState::Failed,
        JobState::Cancelled,
    ];
    assert!(
        every.iter().all(|state| states.contains(state)),
        "the disks hold jobs in every state"
    );
}

#[test]
fn processes_that_go_on_know_which_changes_were_taken() {
    let mut network = settled_network();
    let recovered = DISKS.map(read);
    let entries = recovered.iter().flat_map(|recovered| &recovered.entries);
    let change = entries.filter_map(|entry| match &entry.operation {
        Operation::ChangeConfiguration(change) => Some(change.clone()),
        _ => None,
    });
    let newest = change
        .max_by_key(|change| change.if_match)
        .expect("a log holds a change");
    let body = ConfigurationBody::Patch(format!(r#"{{"version":{}}}"#, newest.if_match + 1));
    let other = ConfigurationChange {
        if_match: newest.if_match,
        body,
    };
    let again = call(&mut network, 0, Request::ChangeConfiguration(newest));
    assert_eq!(again, Reply::Done, "it was taken before");
    let conflict = Reply::Error(ErrorKind::VersionConflict);
    assert_eq!(
        call(&mut network, 0, Request::ChangeConfiguration(other)),
        conflict
    );
}
