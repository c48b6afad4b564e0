//! Random histories of operations, compared with a simple model and with invariants of each state
//! and of each two successive states.

mod common;
mod model;
mod state_parts;

use common::{
    accept, cancel, end, ends, gang, patch, route, spec, start, starts, state, step, take, TOKEN,
};
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::{FencingToken, JobId, QueueName, ServiceName, TaskId};
use lupinrack_cluster_api::job::{JobSpec, Step};
use lupinrack_cluster_api::operation::{Operation, OperationResult};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_cluster_api::time::WallMillis;
use lupinrack_control_state::{ControlState, TaskRecord, TaskStatus};
use model::Model;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use state_parts::StateParts;
use std::collections::BTreeSet;

const JOBS: [u64; 3] = [1, 2, 3];
const SERVICES: [&str; 2] = ["one", "two"];
const QUEUES: [&str; 3] = ["a", "b", "none"];
const RUN_ENDS: [RunEnd; 7] = [
    RunEnd::Done,
    RunEnd::Failed,
    RunEnd::Stopped,
    RunEnd::LeaseExpired,
    RunEnd::Broken,
    RunEnd::Alone,
    RunEnd::Refused,
];

/// Histories per property.
const HISTORIES: u64 = 400;

/// The maximum number of commands in a history.
const COMMANDS: usize = 200;

/// The seed of the histories whose coverage is checked.
const SEED: u64 = 7;

/// The maximum number of starts or ends in an operation.
const PICKS: usize = 12;

/// What a history does next; the attempts are taken from the record when it is played.
#[derive(Clone, Debug)]
enum Command {
    Accept {
        job: u64,
        queue: &'static str,
        shape: u8,
    },
    Cancel {
        job: u64,
    },
    Take {
        service: &'static str,
        step: u64,
    },
    Start {
        picks: Vec<Pick>,
        stale: bool,
    },
    StartGang {
        job: u64,
        occurrence: u32,
        step: u32,
        leave_out: bool,
    },
    End {
        picks: Vec<Pick>,
        how: RunEnd,
        stale: bool,
    },
    Forget {
        age: u64,
    },
    Direct {
        queue: &'static str,
        service: &'static str,
    },
    HandOver {
        service: &'static str,
        stale: bool,
    },
    Nothing,
}

/// A task, and the difference between its attempt and the admissible one.
#[derive(Clone, Debug)]
struct Pick {
    task: TaskId,
    off: u32,
}

impl Arbitrary for Pick {
    fn arbitrary(g: &mut Gen) -> Self {
        let job = JobId(*g.choose(&JOBS).expect("not empty"));
        let mut small = |most: u32| u32::arbitrary(g) % most;
        let occurrence = [0, 0, 0, 0, 1, 1, 2][small(7) as usize];
        let task = TaskId {
            job,
            occurrence,
            step: small(3),
            index: small(3),
        };
        Pick {
            task,
            off: u32::from(small(16) == 0),
        }
    }
}

fn picks(g: &mut Gen) -> Vec<Pick> {
    let count = 1 + usize::arbitrary(g) % PICKS;
    (0..count).map(|_| Pick::arbitrary(g)).collect()
}

impl Arbitrary for Command {
    fn arbitrary(g: &mut Gen) -> Self {
        let job = *g.choose(&JOBS).expect("not empty");
        let service = *g.choose(&SERVICES).expect("not empty");
        let rarely = u8::arbitrary(g).is_multiple_of(16);
        match u8::arbitrary(g) % 35 {
            0..=3 => {
                let queue = *g.choose(&QUEUES).expect("not empty");
                Command::Accept {
                    job,
                    queue,
                    shape: u8::arbitrary(g),
                }
            }
            4 if rarely => Command::Cancel { job },
            5 if rarely => Command::Take {
                service,
                step: u64::arbitrary(g) % 3,
            },
            6 if rarely => Command::Forget {
                age: u64::arbitrary(g) % 20,
            },
            7 => Command::Nothing,
            32 => Command::Direct {
                queue: g.choose(&QUEUES[..2]).expect("not empty"),
                service,
            },
            33..=34 => Command::HandOver {
                service,
                stale: rarely,
            },
            8..=13 => {
                let (occurrence, step) = (u32::arbitrary(g) % 2, u32::arbitrary(g) % 3);
                Command::StartGang {
                    job,
                    occurrence,
                    step,
                    leave_out: rarely,
                }
            }
            14..=21 => Command::Start {
                picks: picks(g),
                stale: rarely,
            },
            _ => {
                let any = *g.choose(&RUN_ENDS).expect("not empty");
                let how = *g
                    .choose(&[RunEnd::Done, RunEnd::Failed, any])
                    .expect("not empty");
                Command::End {
                    picks: picks(g),
                    how,
                    stale: rarely,
                }
            }
        }
    }
}

#[derive(Clone, Debug)]
struct History(Vec<Command>);

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % COMMANDS;
        History((0..count).map(|_| Command::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let commands = self.0.clone();
        let without = move |place: usize| {
            let mut shorter = commands.clone();
            shorter.remove(place);
            History(shorter)
        };
        Box::new((0..self.0.len()).map(without))
    }
}

/// The jobs of the histories, by a number.
fn shape(number: u8) -> JobSpec {
    let after = |count, depends_on| Step {
        count,
        depends_on,
        ..Step::default()
    };
    let lasting = Step {
        long_running: true,
        ..step(2)
    };
    let twice = |steps| JobSpec {
        repeat: 2,
        ..spec(steps)
    };
    match number % 9 {
        0 => spec(vec![step(2)]),
        1 => spec(vec![step(2), after(1, vec![0]), after(2, vec![0, 1])]),
        2 => spec(vec![gang(3)]),
        3 => spec(vec![
            gang(2),
            Step {
                depends_on: vec![0],
                ..gang(2)
            },
        ]),
        4 => spec(vec![step(1), lasting]),
        5 => twice(vec![step(1), after(2, vec![0])]),
        6 => twice(vec![gang(2), step(0), after(1, vec![1])]),
        7 => spec(vec![step(1), after(1, vec![9])]),
        _ => spec(vec![]),
    }
}

/// The service and token under which the owner of a job's shard would record.
fn owner(model: &Model, job: JobId, stale: bool) -> (String, FencingToken) {
    let service = model
        .jobs
        .get(&job)
        .map_or("one", |job| job.service.as_str());
    let token = model.tokens[service] - u64::from(stale);
    (service.to_owned(), FencingToken(token))
}

/// The service and token under which the owner of a run's server would record.
fn owner_of_run(model: &Model, task: &TaskId, stale: bool) -> (String, FencingToken) {
    let running = model.tasks.get(task).and_then(|task| task.assigned.clone());
    let Some(service) = running else {
        return owner(model, task.job, stale);
    };
    let token = model.tokens[&service] - u64::from(stale);
    (service, FencingToken(token))
}

/// The operation of a command at this point of a history.
fn operation(model: &Model, command: &Command, now: u64) -> Operation {
    let attempt = |task: &TaskId| model.tasks.get(task).map_or(0, |task| task.attempt);
    match command {
        Command::Accept {
            job,
            queue,
            shape: number,
        } => accept(JobId(*job), queue, shape(*number)),
        Command::Cancel { job } => cancel(JobId(*job), now),
        Command::Take { service, step } => {
            take(service, FencingToken(model.tokens[*service] + step))
        }
        Command::Start { picks, stale } => {
            let (service, token) = owner(model, picks[0].task.job, *stale);
            let record = |pick: &Pick| start(pick.task, attempt(&pick.task) + 1 + pick.off);
            starts(&service, token, picks.iter().map(record).collect())
        }
        Command::StartGang {
            job,
            occurrence,
            step,
            leave_out,
        } => {
            let first = TaskId {
                job: JobId(*job),
                occurrence: *occurrence,
                step: *step,
                index: 0,
            };
            let (service, token) = owner(model, first.job, false);
            let count = model.step(&first).map_or(1, |step| step.count);
            let members = (u32::from(*leave_out)..count).map(|index| TaskId { index, ..first });
            let next = members.clone().map(|id| attempt(&id)).max().unwrap_or(0) + 1;
            starts(&service, token, members.map(|id| start(id, next)).collect())
        }
        Command::End { picks, how, stale } => {
            let (service, token) = owner_of_run(model, &picks[0].task, *stale);
            let record =
                |pick: &Pick| end(pick.task, attempt(&pick.task) + pick.off, *how, "saved");
            ends(&service, token, picks.iter().map(record).collect(), now)
        }
        Command::Forget { age } => Operation::ForgetJobs {
            ended_before: WallMillis(now.saturating_sub(*age)),
        },
        Command::Direct { queue, service } => {
            let version = model.version + 1;
            let route = route(queue, &format!("/{queue}/"), service);
            let body = format!(r#"{{"version":{version},"upsert":{{"routes":[{route}]}}}}"#);
            patch(model.version, body)
        }
        Command::HandOver { service, stale } => Operation::HandOverJobs {
            service: ServiceName((*service).to_owned()),
            token: FencingToken(model.tokens[*service] - u64::from(*stale)),
            jobs: JOBS.map(JobId).to_vec(),
        },
        Command::Nothing => Operation::Noop,
    }
}

/// Plays a history on the model alone, and returns its operations with the results that the model
/// expects.
fn play(history: &History) -> Vec<(Operation, OperationResult, Model)> {
    let mut model = Model::new(TOKEN.0);
    let mut played = Vec::new();
    for (place, command) in history.0.iter().enumerate() {
        let operation = operation(&model, command, 100 + place as u64);
        let expected = model.apply(&operation);
        if let Command::Direct { queue, service } = command {
            model.direct(queue, service);
        }
        played.push((operation, expected, model.clone()));
    }
    played
}

fn assert_same(state: &ControlState, model: &Model) {
    let states: Vec<_> = state
        .jobs()
        .iter()
        .map(|(id, job)| (id, job.state))
        .collect();
    let expected: Vec<_> = model
        .jobs
        .iter()
        .map(|(id, job)| (*id, job.state))
        .collect();
    assert_eq!(states, expected);
    for queue in QUEUES {
        assert_eq!(
            state.pending(&QueueName(queue.into())),
            model.pending(queue)
        );
    }
    for (id, expected) in &model.tasks {
        assert_same_task(state, model, id, expected);
    }
}

fn assert_same_task(state: &ControlState, model: &Model, id: &TaskId, expected: &model::ModelTask) {
    let job = state.job(id.job).expect("the model has it");
    let occurrence_is_done = model.occurrence_is_done(id.job, id.occurrence);
    assert_eq!(
        job.occurrence_is_done(id.occurrence),
        occurrence_is_done,
        "{id}"
    );
    match job.task(id.occurrence, id.step, id.index) {
        Some(task) => {
            assert_eq!(task.is_done(), expected.done, "{id}");
            let run_service = job.run_service(task).map(|service| service.0.clone());
            assert_eq!(run_service, expected.assigned, "{id}");
            let is_here = matches!(task.status, TaskStatus::Assigned { .. });
            assert_eq!(is_here, run_service == Some(job.service.0.clone()), "{id}");
            // Of a task that is done, only that is kept.
            let (attempt, failed) = if expected.done {
                (0, 0)
            } else {
                (expected.attempt, expected.failures.len() as u32)
            };
            assert_eq!((task.attempt, task.failed), (attempt, failed), "{id}");
        }
        None => assert!(
            occurrence_is_done || *expected == Default::default(),
            "{id}"
        ),
    }
}

/// Checks that each service with work has an owner, also if the configuration does not name it.
fn assert_owned(state: &ControlState, model: &Model) {
    let mut without_configuration = StateParts::of(state);
    without_configuration.configuration.services.clear();
    let state = without_configuration.state();
    let in_use: BTreeSet<&str> = state
        .services_in_use()
        .into_iter()
        .map(|service| service.0.as_str())
        .collect();
    assert_eq!(in_use, model.services_at_work());
}

/// Checks the invariants of one state.
fn assert_invariants(state: &ControlState) {
    for (service, open) in state.jobs().open_by_service() {
        let is_open = |id: &JobId| {
            let job = state.job(*id).expect("a listed job is known");
            job.is_open() && job.service == *service
        };
        assert!(!open.is_empty() && open.iter().all(is_open));
    }
    let listed: BTreeSet<JobId> = state
        .jobs()
        .open_by_service()
        .values()
        .flatten()
        .copied()
        .collect();
    let open = state.jobs().iter().filter(|(_, job)| job.is_open());
    assert_eq!(listed, open.map(|(id, _)| id).collect());
    for (_, job) in state.jobs().iter() {
        assert_eq!(job.ended_at.is_none(), job.is_open());
        let ranges = job.occurrences.done().ranges();
        let done: usize = ranges.map(|range| range.len()).sum();
        assert_eq!(job.occurrences.done().len() as usize, done);
        let all: u32 = job.spec.steps.iter().map(|step| step.count).sum();
        for (number, occurrence) in job.occurrences.open() {
            assert!(!job.occurrence_is_done(*number) && !occurrence.is_done());
            let done: u32 = occurrence.steps().map(|(_, step)| step.done().len()).sum();
            assert_eq!(occurrence.open_tasks(), all - done);
            for (_, step) in occurrence.steps() {
                let mut recorded = step.tasks().iter();
                assert!(recorded.all(|(index, task)| task.attempt > 0
                    && !task.is_done()
                    && !step.done().contains(*index)));
            }
        }
    }
}

/// Checks the invariants of two successive states.
fn assert_successor_invariants(before: &ControlState, after: &ControlState) {
    for (id, earlier) in before.jobs().iter() {
        let Some(later) = after.job(id) else {
            assert!(!earlier.is_open(), "an open job was forgotten");
            continue;
        };
        if !earlier.is_open() {
            assert_eq!(
                (later.state, later.ended_at),
                (earlier.state, earlier.ended_at)
            );
        }
        let mut done = earlier.occurrences.done().ranges().flatten();
        assert!(done.all(|number| later.occurrence_is_done(number)));
        for (number, occurrence) in earlier.occurrences.open() {
            if later.occurrence_is_done(*number) {
                continue;
            }
            let later = &later.occurrences.open()[number];
            assert!(later.open_tasks() <= occurrence.open_tasks());
            for (number, step) in occurrence.steps() {
                let later = later.step(number).expect("its tasks were started");
                let mut done = step.done().ranges().flatten();
                assert!(
                    done.all(|index| later.done().contains(index)),
                    "a done task changed"
                );
                for (index, earlier) in step.tasks() {
                    let is_done = later.done().contains(*index);
                    let is_later = |later: &TaskRecord| {
                        later.attempt >= earlier.attempt && later.failed >= earlier.failed
                    };
                    assert!(is_done || later.tasks().get(index).is_some_and(is_later));
                }
            }
        }
    }
}

/// Plays many histories. A panic in the property counts as a failure, and the history is shrunk.
fn check(property: fn(History) -> bool) {
    QuickCheck::new().tests(HISTORIES).quickcheck(property);
}

#[test]
fn every_history_matches_the_model() {
    fn property(history: History) -> bool {
        let mut state = state();
        for (operation, expected, model) in play(&history) {
            let before = state.clone();
            assert_eq!(state.apply(&operation), expected, "{operation:?}");
            assert_same(&state, &model);
            assert_invariants(&state);
            assert_owned(&state, &model);
            assert_successor_invariants(&before, &state);
        }
        true
    }
    check(property);
}

#[test]
fn equal_histories_lead_to_equal_states_and_survive_encoding() {
    fn property(history: History) -> bool {
        let (mut one, mut other) = (state(), state());
        for (operation, ..) in play(&history) {
            let result = one.apply(&operation);
            let bytes = other.to_bytes().expect("it can be written");
            other = ControlState::from_bytes(&bytes).expect("it can be read");
            assert_eq!(other.apply(&operation), result);
        }
        one == other && one.to_bytes() == other.to_bytes()
    }
    check(property);
}

#[test]
fn a_repeated_operation_counts_once() {
    fn property(history: History) -> bool {
        let mut state = state();
        for (operation, expected, _) in play(&history) {
            assert_eq!(state.apply(&operation), expected);
            let once = state.clone();
            state.apply(&operation);
            assert_eq!(state, once, "{operation:?}");
        }
        true
    }
    check(property);
}

/// Whether the first start of an operation is that of a member of a gang.
fn names_a_gang(model: &Model, operation: &Operation) -> bool {
    let Operation::RecordStarts { starts, .. } = operation else {
        return false;
    };
    let step = starts.first().and_then(|start| model.step(&start.task));
    step.is_some_and(|step| step.gang)
}

#[test]
fn histories_cover_the_cases_under_test() {
    let mut generator = Gen::from_size_and_seed(COMMANDS, SEED);
    let mut reached = BTreeSet::new();
    for _ in 0..HISTORIES {
        for (operation, result, model) in play(&History::arbitrary(&mut generator)) {
            let held = matches!(&result, OperationResult::Starts(hold) if hold.contains(&true));
            reached.extend(held.then_some(if names_a_gang(&model, &operation) {
                "gang"
            } else {
                "single"
            }));
            reached.extend(model.jobs.values().map(|job| job.state.as_str()));
            let is_elsewhere = |(id, task): (&TaskId, &model::ModelTask)| {
                let service = task.assigned.as_deref();
                service.is_some_and(|service| model.jobs[&id.job].service != service)
            };
            reached.extend(
                model
                    .tasks
                    .iter()
                    .any(is_elsewhere)
                    .then_some("handed over"),
            );
            reached.extend(
                (result == OperationResult::Refused(ErrorKind::Fenced)).then_some("fenced"),
            );
        }
    }
    let all = [
        "cancelled",
        "failed",
        "fenced",
        "gang",
        "handed over",
        "queued",
        "running",
        "single",
        "succeeded",
    ];
    assert_eq!(reached, BTreeSet::from(all));
}
