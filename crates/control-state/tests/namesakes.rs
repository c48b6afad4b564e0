//! Jobs of different queues that have the same identity, and so tasks with the same name on servers.

mod common;

use common::{cancel, end, ends, gang, put, route, service_json, spec, starts, state, step, TOKEN};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{Attempt, JobId, ServerId, TaskId};
use lupinrack_cluster_api::job::{JobSpec, JobState, Step};
use lupinrack_cluster_api::operation::{Operation, OperationResult, StartRecord};
use lupinrack_cluster_api::request::Target;
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::{ControlState, JobRecord, TaskRecord};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeSet;

const ID: JobId = JobId(1);
const AT: WallMillis = WallMillis(10);
/// Random histories in the property test.
const HISTORIES: u64 = 400;

fn target(queue: &str, id: JobId) -> Target {
    Target {
        host: "h.example".to_owned(),
        path: format!("/{queue}/{id}"),
    }
}

fn accept_at(queue: &str, id: JobId, spec: JobSpec) -> Operation {
    let (target, job, at) = (target(queue, id), id, AT);
    Operation::AcceptJobAt {
        target,
        job,
        spec,
        at,
    }
}

fn cancel_at(queue: &str, id: JobId) -> Operation {
    let (target, job, at) = (target(queue, id), id, AT);
    Operation::CancelJobAt { target, job, at }
}

fn key(state: &ControlState, queue: &str, id: JobId) -> JobId {
    let key = state.called_job(&target(queue, id), id);
    key.expect("the queue has the job")
}

fn state_of(state: &ControlState, queue: &str, id: JobId) -> Option<JobState> {
    state.read_job(&target(queue, id), id).map(|job| job.state)
}

/// A state with two queues, and a job of these steps and this identity in each.
fn state_with_both(steps: &[Step]) -> ControlState {
    let mut state = state();
    for queue in ["a", "b"] {
        let result = state.apply(&accept_at(queue, ID, spec(steps.to_vec())));
        assert_eq!(result, OperationResult::Job(JobState::Queued), "{queue}");
    }
    state
}

fn service_of(queue: &str) -> &'static str {
    if queue == "a" {
        "one"
    } else {
        "two"
    }
}

fn first_task(state: &ControlState, queue: &str) -> TaskId {
    TaskId {
        job: key(state, queue, ID),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn try_start(
    state: &mut ControlState,
    queue: &str,
    task: TaskId,
    attempt: Attempt,
    server: &str,
) -> bool {
    let start = StartRecord {
        task,
        attempt,
        server: ServerId(server.to_owned()),
        checkpoint: String::new(),
    };
    state.apply(&starts(service_of(queue), TOKEN, vec![start]))
        == OperationResult::Starts(vec![true])
}

fn record_end(state: &mut ControlState, queue: &str, task: TaskId, attempt: Attempt, how: RunEnd) {
    let ends = ends(
        service_of(queue),
        TOKEN,
        vec![end(task, attempt, how, "saved")],
        20,
    );
    assert_eq!(state.apply(&ends), OperationResult::Done);
}

/// Guards against a job that is answered 2xx and not kept, since a job of another queue has its identity.
#[test]
fn each_queue_keeps_its_own_job_of_an_identity() {
    let mut state = state_with_both(&[step(2)]);
    assert_ne!(key(&state, "a", ID), key(&state, "b", ID));
    assert_eq!(state.jobs().len(), 2);
    let again = state.apply(&accept_at("b", ID, spec(vec![step(5)])));
    assert_eq!(again, OperationResult::Job(JobState::Queued));
    assert_eq!(state.jobs().len(), 2, "a repeated submission adds no job");
    let bytes = state.to_bytes().expect("the state can be encoded");
    assert_eq!(ControlState::from_bytes(&bytes), Ok(state));
}

/// Guards against a cancellation at one queue that ends the job of another one.
#[test]
fn a_cancellation_ends_the_job_of_its_own_queue_alone() {
    let mut state = state_with_both(&[step(1)]);
    let cancelled = OperationResult::Job(JobState::Cancelled);
    assert_eq!(state.apply(&cancel_at("b", ID)), cancelled);
    assert_eq!(state_of(&state, "a", ID), Some(JobState::Queued));
    assert_eq!(state_of(&state, "b", ID), Some(JobState::Cancelled));

    let mut state = state_with_both(&[step(1)]);
    let unknown = OperationResult::Refused(ErrorKind::UnknownJob);
    assert_eq!(state.apply(&cancel_at("none", ID)), unknown);
    let other = JobId(2);
    state.apply(&accept_at("a", other, spec(vec![step(1)])));
    assert_eq!(state.apply(&cancel_at("b", other)), unknown);
    assert_eq!(state_of(&state, "a", other), Some(JobState::Queued));
}

/// Guards against replicas that differ after an upgrade: entries of earlier versions are applied as those versions did.
#[test]
fn entries_of_earlier_versions_know_a_job_by_its_identity_alone() {
    let mut state = state();
    state.apply(&common::accept(ID, "a", spec(vec![step(1)])));
    let known = state.apply(&common::accept(ID, "b", spec(vec![step(1)])));
    assert_eq!(known, OperationResult::Job(JobState::Queued));
    assert_eq!(state.jobs().len(), 1);
    assert!(state.jobs().namesakes().is_empty());
    let cancelled = OperationResult::Job(JobState::Cancelled);
    assert_eq!(state.apply(&cancel(ID, 11)), cancelled);
}

/// Guards against a run of one job that counts as the run of the other: their tasks have the same name on servers.
#[test]
fn starts_under_one_name_have_different_numbers_and_servers() {
    let mut state = state_with_both(&[step(1)]);
    let (first, second) = (first_task(&state, "a"), first_task(&state, "b"));
    let jobs = |state: &ControlState| state.jobs().clone();
    assert_eq!(jobs(&state).name_on_servers(second), first);
    assert!(try_start(&mut state, "a", first, 1, "s"));
    assert!(
        !try_start(&mut state, "b", second, 1, "t"),
        "the number is in use"
    );
    assert!(
        !try_start(&mut state, "b", second, 2, "s"),
        "the server has the name"
    );
    assert!(try_start(&mut state, "b", second, 2, "t"));
    assert_eq!(jobs(&state).task_of_run(first, 1), first);
    assert_eq!(jobs(&state).task_of_run(first, 2), second);
    record_end(&mut state, "a", first, 1, RunEnd::Failed);
    assert_eq!(jobs(&state).next_attempt(first), 3);
    assert!(!try_start(&mut state, "a", first, 2, "s"));
    assert!(try_start(&mut state, "a", first, 3, "s"));
}

/// Guards against a number that is used again under one name once the first job's tasks are not recorded any more.
#[test]
fn numbers_of_starts_go_on_after_the_namesake_is_done_or_forgotten() {
    for is_forgotten in [false, true] {
        let mut state = state_with_both(&[step(1)]);
        let (first, second) = (first_task(&state, "a"), first_task(&state, "b"));
        for attempt in [1, 2] {
            let how = [RunEnd::Failed, RunEnd::Done][attempt as usize - 1];
            assert!(try_start(&mut state, "a", first, attempt, "s"));
            record_end(&mut state, "a", first, attempt, how);
        }
        assert_eq!(state_of(&state, "a", ID), Some(JobState::Succeeded));
        if is_forgotten {
            let ended_before = WallMillis(100);
            state.apply(&Operation::ForgetJobs { ended_before });
            assert_eq!(state.jobs().len(), 1);
        }
        assert_eq!(state.jobs().next_attempt(second), 3);
    }
}

/// Guards against a number that is used again for a job that came once its namesake was done, and against one so high that a
/// later job of the identity, which begins at 1, would never get above it on a server.
#[test]
fn a_job_that_comes_after_its_namesake_was_done_continues_above_it() {
    let mut state = state();
    state.apply(&accept_at("a", ID, spec(vec![step(1)])));
    let first = first_task(&state, "a");
    assert!(try_start(&mut state, "a", first, 1, "s"));
    record_end(&mut state, "a", first, 1, RunEnd::Done);
    state.apply(&accept_at("b", ID, spec(vec![step(1)])));
    let second = first_task(&state, "b");
    let next = state.jobs().next_attempt(second);
    assert_eq!(next, 2);
    assert!(try_start(&mut state, "b", second, next, "s"));
    assert_eq!(state.jobs().task_of_run(first, 1), first);
}

/// Guards against a client whose identity is the key of another job, and against one that is never accepted again.
#[test]
fn an_identity_that_is_the_key_of_another_job_is_refused_while_that_job_is_kept() {
    let mut state = state_with_both(&[step(1)]);
    let key = key(&state, "b", ID);
    let overloaded = OperationResult::Refused(ErrorKind::Overloaded);
    assert_eq!(
        state.apply(&accept_at("a", key, spec(vec![step(1)]))),
        overloaded
    );
    assert_eq!(state_of(&state, "b", key), None);
    assert_eq!(state_of(&state, "a", key), None);
    state.apply(&cancel_at("b", ID));
    let ended_before = WallMillis(100);
    state.apply(&Operation::ForgetJobs { ended_before });
    let queued = OperationResult::Job(JobState::Queued);
    assert_eq!(
        state.apply(&accept_at("a", key, spec(vec![step(1)]))),
        queued
    );
}

/// Guards against jobs that change places when the names of their routes do.
#[test]
fn namesakes_stay_at_their_addresses_when_routes_swap_names() {
    let mut state = state_with_both(&[step(1)]);
    state.apply(&cancel_at("b", ID));
    let routes = [route("b", "/a/", "one"), route("a", "/b/", "two")];
    let services = [service_json("one"), service_json("two")];
    let swapped = common::full_configuration(2, &routes, &services);
    assert_eq!(state.apply(&put(1, swapped)), OperationResult::Done);
    assert_eq!(state_of(&state, "a", ID), Some(JobState::Queued));
    assert_eq!(state_of(&state, "b", ID), Some(JobState::Cancelled));
    assert_eq!(
        state.apply(&cancel_at("a", ID)),
        OperationResult::Job(JobState::Cancelled)
    );
}

/// What a history does to the job of the identity in one queue.
#[derive(Clone, Copy, Debug)]
enum Command {
    Accept,
    Cancel,
    Start { task: (u32, u32), server: u8 },
    End { task: (u32, u32), how: RunEnd },
    Forget,
}

#[derive(Clone, Debug)]
struct Call {
    queue: &'static str,
    command: Command,
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let task = (u32::arbitrary(g) % 2, u32::arbitrary(g) % 2);
        let how = *g
            .choose(&[RunEnd::Done, RunEnd::Done, RunEnd::Failed, RunEnd::Stopped])
            .expect("not empty");
        let server = u8::arbitrary(g) % 3;
        let command = match u8::arbitrary(g) % 24 {
            0..=3 => Command::Accept,
            4 => Command::Cancel,
            5 => Command::Forget,
            6..=15 => Command::Start { task, server },
            _ => Command::End { task, how },
        };
        let queue = g.choose(&["a", "b"]).expect("not empty");
        Call { queue, command }
    }
}

fn job_of<'s>(state: &'s ControlState, queue: &str) -> Option<(JobId, &'s JobRecord)> {
    let key = state.called_job(&target(queue, ID), ID)?;
    Some((key, state.job(key)?))
}

/// Two tasks, then two more, in two occurrences.
fn twice_two_steps() -> JobSpec {
    let second = Step {
        depends_on: vec![0],
        ..gang(2)
    };
    JobSpec {
        repeat: 2,
        ..spec(vec![step(2), second])
    }
}

/// The tasks that a command of these numbers concerns: a whole gang, in step 1.
fn tasks(job: JobId, (occurrence, index): (u32, u32), step: u32) -> Vec<TaskId> {
    let task = |index| TaskId {
        job,
        occurrence,
        step,
        index,
    };
    if step == 0 {
        vec![task(index)]
    } else {
        vec![task(0), task(1)]
    }
}

/// Applies a command at a state; the numbers of starts are those that it asks for next. Returns whether starts were
/// accepted, and the names and numbers under which servers know them.
fn play(state: &mut ControlState, call: &Call, servers: &str) -> Vec<(TaskId, Attempt, String)> {
    let Call { queue, command } = call;
    let service = service_of(queue);
    let operation = match *command {
        Command::Accept => accept_at(queue, ID, twice_two_steps()),
        Command::Cancel => cancel_at(queue, ID),
        Command::Forget => Operation::ForgetJobs {
            ended_before: WallMillis(100),
        },
        Command::Start { task, server } => {
            let Some((job, record)) = job_of(state, queue) else {
                return Vec::new();
            };
            let step = u32::from(record.step_is_done(task.0, 0));
            let tasks = tasks(job, task, step);
            let next = tasks.iter().map(|task| state.jobs().next_attempt(*task));
            let attempt = next.max().expect("there are tasks");
            let server = ServerId(format!("{servers}{server}"));
            let start = |task| StartRecord {
                task,
                attempt,
                server: server.clone(),
                checkpoint: String::new(),
            };
            starts(service, TOKEN, tasks.into_iter().map(start).collect())
        }
        Command::End { task, how } => {
            let Some((job, record)) = job_of(state, queue) else {
                return Vec::new();
            };
            let step = u32::from(record.step_is_done(task.0, 0));
            let TaskId {
                occurrence, index, ..
            } = tasks(job, task, step)[0];
            let attempt = record
                .task(occurrence, step, index)
                .map_or(0, |task| task.attempt);
            let task = TaskId {
                job,
                occurrence,
                step,
                index,
            };
            ends(service, TOKEN, vec![end(task, attempt, how, "saved")], 20)
        }
    };
    let result = state.apply(&operation);
    let (Operation::RecordStarts { starts, .. }, OperationResult::Starts(accepted)) =
        (&operation, &result)
    else {
        return Vec::new();
    };
    let jobs = state.jobs();
    let accepted = starts
        .iter()
        .zip(accepted)
        .filter(|(_, accepted)| **accepted);
    accepted
        .map(|(start, _)| {
            let name = jobs.name_on_servers(start.task);
            (name, start.attempt, start.server.0.clone())
        })
        .collect()
}

/// What a job's record says apart from the numbers of starts.
fn outline(state: &ControlState, queue: &str) -> Option<String> {
    let (_, job) = job_of(state, queue)?;
    let of_task = |task: &TaskRecord| (task.server().is_some(), task.is_done(), task.failed);
    let tasks: Vec<_> = (0..2)
        .flat_map(|occurrence| (0..2).map(move |step| (occurrence, step)))
        .flat_map(|(occurrence, step)| (0..2).map(move |index| (occurrence, step, index)))
        .map(|(occurrence, step, index)| job.task(occurrence, step, index).map(of_task))
        .collect();
    Some(format!(
        "{:?} {} {tasks:?}",
        job.state,
        job.occurrences.done().len()
    ))
}

/// Guards against any influence of a job on the one that has its identity in another queue, and against two runs that servers
/// know by the same name and number: each queue fares as if the other one did not exist.
#[test]
fn jobs_of_one_identity_fare_as_if_each_were_alone() {
    fn property(calls: Vec<Call>) -> bool {
        let (mut both, mut alone) = (state(), [state(), state()]);
        let mut known = BTreeSet::new();
        for call in &calls {
            let number = usize::from(call.queue == "b");
            // Servers belong to one service each, so the two queues share none here.
            let started = play(&mut both, call, call.queue);
            play(&mut alone[number], call, call.queue);
            if matches!(call.command, Command::Forget) {
                play(&mut alone[1 - number], call, call.queue);
                known.clear();
            }
            for (name, attempt, _) in started {
                assert!(known.insert((name, attempt)), "{name} twice as {attempt}");
                let task = both.jobs().task_of_run(name, attempt);
                assert_eq!(
                    Some(task.job),
                    job_of(&both, call.queue).map(|(key, _)| key)
                );
            }
            for (queue, alone) in ["a", "b"].into_iter().zip(&alone) {
                assert_eq!(
                    outline(&both, queue),
                    outline(alone, queue),
                    "{queue} after {call:?}"
                );
            }
            let bytes = both.to_bytes().expect("the state can be encoded");
            assert_eq!(ControlState::from_bytes(&bytes), Ok(both.clone()));
        }
        true
    }
    QuickCheck::new()
        .tests(HISTORIES)
        .quickcheck(property as fn(Vec<Call>) -> bool);
}
