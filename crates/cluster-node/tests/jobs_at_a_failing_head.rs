//! Jobs are submitted, read, cancelled and resubmitted while the head fails. A refused job must not exist, an accepted one
//! exists once, and cancels are answered in time.

mod network;

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::{JobSpec, JobState, Step};
use lupinrack_cluster_api::operation::ConfigurationChange;
use lupinrack_cluster_api::request::{Reply, Request, Target};
use network::operator::full_configuration;
use network::Network;
use tokio::sync::oneshot::Receiver;

/// The part of a client's timeout that the front passes on to the head.
const WAIT_MS: u64 = 2_250;
const SUBMIT_INTERVAL_MS: u64 = 23;
const CANCEL_AFTER_MS: u64 = 400;
const RESUBMIT_AFTER_MS: u64 = 3_000;

/// The calls made for each job, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Submit,
    Read,
    Cancel,
    Resubmit,
}

struct Call {
    job: u64,
    action: Action,
    process: usize,
    began: u64,
    waited_ms: u64,
    pending_reply: Option<Receiver<Reply>>,
    reply: Option<Reply>,
}

struct Scenario {
    network: Network,
    calls: Vec<Call>,
    scheduled: Vec<(u64, u64, Action)>,
    jobs: u64,
    submits_until: u64,
}

fn request(job: u64, action: Action) -> Request {
    let target = Target {
        host: "h.example".to_owned(),
        path: format!("/mark-1/{job:016x}"),
    };
    let job = JobId(job);
    let spec = JobSpec {
        steps: vec![Step {
            count: 1,
            ..Step::default()
        }],
        ..JobSpec::default()
    };
    match action {
        Action::Submit | Action::Resubmit => Request::SubmitJob { target, job, spec },
        Action::Read => Request::ReadJob { target, job },
        Action::Cancel => Request::CancelJob { target, job },
    }
}

impl Scenario {
    fn begin() -> Scenario {
        let mut network = Network::new(3);
        network.advance_ms(2_000);
        let change = ConfigurationChange {
            if_match: 0,
            body: full_configuration(1, 1),
        };
        let mut reply = network.call(0, Request::ChangeConfiguration(change), WAIT_MS);
        network.advance_ms(500);
        assert_eq!(reply.try_recv(), Ok(Reply::Done));
        Scenario {
            network,
            calls: Vec::new(),
            scheduled: Vec::new(),
            jobs: 0,
            submits_until: u64::MAX,
        }
    }

    fn advance_ms(&mut self, milliseconds: u64) {
        let until = self.network.now + milliseconds;
        while self.network.now < until {
            self.take_answers();
            if self.network.now.is_multiple_of(SUBMIT_INTERVAL_MS)
                && self.network.now < self.submits_until
            {
                self.jobs += 1;
                self.call(self.jobs, Action::Submit);
            }
            let now = self.network.now;
            let (due, later) = std::mem::take(&mut self.scheduled)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.scheduled = later;
            let due: Vec<(u64, u64, Action)> = due;
            due.into_iter()
                .for_each(|(_, job, action)| self.call(job, action));
            self.network.step();
        }
    }

    fn call(&mut self, job: u64, action: Action) {
        let process = (job as usize + action as usize) % self.network.count();
        let began = self.network.now;
        let pending_reply = Some(self.network.call(process, request(job, action), WAIT_MS));
        self.calls.push(Call {
            job,
            action,
            process,
            began,
            waited_ms: 0,
            pending_reply,
            reply: None,
        });
    }

    fn take_answers(&mut self) {
        let now = self.network.now;
        for call in self
            .calls
            .iter_mut()
            .filter(|call| call.pending_reply.is_some())
        {
            let Some(Ok(reply)) = call.pending_reply.as_mut().map(Receiver::try_recv) else {
                continue;
            };
            call.pending_reply = None;
            call.waited_ms = now - call.began;
            if matches!(reply, Reply::Job(_)) && call.action == Action::Submit {
                self.scheduled.push((now, call.job, Action::Read));
                self.scheduled
                    .push((now + CANCEL_AFTER_MS, call.job, Action::Cancel));
                self.scheduled
                    .push((now + RESUBMIT_AFTER_MS, call.job, Action::Resubmit));
            }
            call.reply = Some(reply);
        }
    }

    /// Reads the state of a job at a process after the faults have ended.
    fn read(&mut self, process: usize, job: u64) -> Reply {
        let target = Target {
            host: "h.example".to_owned(),
            path: format!("/mark-1/{job:016x}"),
        };
        let mut reply = self.network.call(
            process,
            Request::ReadJob {
                target,
                job: JobId(job),
            },
            WAIT_MS,
        );
        self.network.advance_ms(20);
        reply
            .try_recv()
            .expect("a head without faults answers at once")
    }

    /// Stops submitting, waits for all calls, and checks each answer against the final state of its job.
    fn finish(&mut self, name: &str, reader: usize) {
        self.submits_until = self.network.now;
        self.advance_ms(RESUBMIT_AFTER_MS + 2 * WAIT_MS);
        for job in 1..=self.jobs {
            let final_state = self.read(reader, job);
            for call in self.calls.iter().filter(|call| call.job == job) {
                let text = format!(
                    "{name}: job {job}, {:?} at {}: {:?}, now {final_state:?}",
                    call.action, call.began, call.reply
                );
                assert!(is_consistent(call, &final_state), "{text}");
            }
        }
    }

    fn answered(&self, action: Action, from: u64, to: u64) -> Vec<&Call> {
        let of_action = self.calls.iter().filter(|call| call.action == action);
        of_action
            .filter(|call| (from..to).contains(&call.began))
            .collect()
    }
}

/// Whether an answer is consistent with the final state of its job.
fn is_consistent(call: &Call, final_state: &Reply) -> bool {
    let exists = matches!(final_state, Reply::Job(_));
    let is_cancelled = *final_state == Reply::Job(JobState::Cancelled);
    match (&call.reply, call.action) {
        (Some(Reply::Job(_)), Action::Submit) => exists,
        (Some(Reply::Job(_)), Action::Read) => exists,
        (Some(Reply::Job(_)), Action::Cancel) => is_cancelled,
        (Some(Reply::Job(state)), Action::Resubmit) => Reply::Job(*state) == *final_state || exists,
        (Some(Reply::Error(kind)), Action::Submit) => match kind {
            ErrorKind::NotTaken | ErrorKind::Overloaded | ErrorKind::ShuttingDown => !exists,
            kind => *kind == ErrorKind::InDoubt,
        },
        // An accepted job and its queue are never reported as unknown.
        (Some(Reply::Error(kind)), _) => matches!(kind, ErrorKind::InDoubt | ErrorKind::NotTaken),
        // The process ended before it answered.
        (None, _) => true,
        _ => false,
    }
}

fn isolate(network: &mut Network, process: usize) {
    for other in (0..3).filter(|other| *other != process) {
        network.partition(other, process);
        network.partition(process, other);
    }
}

#[test]
fn without_faults_every_cancel_is_answered_at_once() {
    let mut scenario = Scenario::begin();
    scenario.advance_ms(3_000);
    scenario.finish("no faults", 1);
    let cancels = scenario.answered(Action::Cancel, 0, u64::MAX);
    assert!(cancels.len() > 100);
    assert!(cancels
        .iter()
        .all(|call| call.reply == Some(Reply::Job(JobState::Cancelled))));
    assert!(cancels.iter().all(|call| call.waited_ms <= 20));
    let resubmits = scenario.answered(Action::Resubmit, 0, u64::MAX);
    assert!(
        resubmits
            .iter()
            .all(|call| call.reply == Some(Reply::Job(JobState::Cancelled))),
        "a resubmitted job stays one job"
    );
}

/// Cancels sent to the processes without a fault are answered within their callers' timeout, also those made just before
/// and after the loss of the head.
fn assert_cancelled_elsewhere(scenario: &Scenario, process: usize, from: u64, to: u64) {
    let cancels = scenario.answered(Action::Cancel, from, to);
    let elsewhere: Vec<&&Call> = cancels
        .iter()
        .filter(|call| call.process != process)
        .collect();
    assert!(elsewhere.len() > 10);
    for call in elsewhere {
        let answer = (&call.reply, call.began - from, call.waited_ms);
        assert!(
            matches!(call.reply, Some(Reply::Job(JobState::Cancelled))),
            "{answer:?}"
        );
    }
}

#[test]
fn answers_are_consistent_while_each_process_is_partitioned() {
    for process in 0..3 {
        let mut scenario = Scenario::begin();
        scenario.advance_ms(1_500);
        let from = scenario.network.now;
        isolate(&mut scenario.network, process);
        scenario.advance_ms(6_000);
        let to = scenario.network.now;
        scenario.network.heal();
        scenario.advance_ms(1_000);
        scenario.finish(&format!("process {process} is isolated"), (process + 1) % 3);
        assert_cancelled_elsewhere(&scenario, process, from - 100, to);
    }
}

#[test]
fn answers_are_consistent_while_each_process_is_frozen() {
    for process in 0..3 {
        for frozen_ms in [300, 900, 4_000] {
            let mut scenario = Scenario::begin();
            scenario.advance_ms(1_500);
            let from = scenario.network.now;
            scenario.network.freeze(process);
            scenario.advance_ms(frozen_ms);
            scenario.network.thaw(process);
            scenario.advance_ms(2_000);
            scenario.finish(
                &format!("process {process} is frozen for {frozen_ms} ms"),
                (process + 1) % 3,
            );
            assert_cancelled_elsewhere(&scenario, process, from - 100, from + frozen_ms);
        }
    }
}

#[test]
fn answers_are_consistent_while_each_process_ends_or_is_wiped() {
    for process in 0..3 {
        for is_wiped in [false, true] {
            let mut scenario = Scenario::begin();
            scenario.advance_ms(1_500);
            let from = scenario.network.now;
            if is_wiped {
                scenario.network.wipe(process);
            } else {
                scenario.network.terminate(process);
            }
            scenario.advance_ms(5_000);
            scenario.finish(
                &format!("process {process} ends, wiped: {is_wiped}"),
                (process + 1) % 3,
            );
            assert_cancelled_elsewhere(&scenario, process, from - 100, from + 4_000);
        }
    }
}
