//! Jobs that are handed in, asked for, cancelled and handed in again while the head fails: what is refused never runs, what is
//! accepted is one job, and cancels are answered in time.

mod network;

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::{JobSpec, JobState, Step};
use lupinrack_cluster_api::operation::ConfigurationChange;
use lupinrack_cluster_api::request::{Reply, Request, Target};
use network::operator::full_configuration;
use network::Network;
use tokio::sync::oneshot::Receiver;

/// What a front leaves of a client's time.
const WAIT_MS: u64 = 2_250;
const SUBMIT_EVERY_MS: u64 = 23;
const CANCEL_AFTER_MS: u64 = 400;
const AGAIN_AFTER_MS: u64 = 3_000;

/// What is done with each job, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deed {
    Submit,
    Read,
    Cancel,
    SubmitAgain,
}

struct Call {
    job: u64,
    deed: Deed,
    process: usize,
    began: u64,
    waited_ms: u64,
    open: Option<Receiver<Reply>>,
    reply: Option<Reply>,
}

struct Play {
    network: Network,
    calls: Vec<Call>,
    due: Vec<(u64, u64, Deed)>,
    jobs: u64,
    submits_until: u64,
}

fn request(job: u64, deed: Deed) -> Request {
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
    match deed {
        Deed::Submit | Deed::SubmitAgain => Request::SubmitJob { target, job, spec },
        Deed::Read => Request::ReadJob { target, job },
        Deed::Cancel => Request::CancelJob { target, job },
    }
}

impl Play {
    fn begin() -> Play {
        let mut network = Network::new(3);
        network.pass(2_000);
        let change = ConfigurationChange {
            if_match: 0,
            body: full_configuration(1, 1),
        };
        let mut reply = network.call(0, Request::ChangeConfiguration(change), WAIT_MS);
        network.pass(500);
        assert_eq!(reply.try_recv(), Ok(Reply::Done));
        Play {
            network,
            calls: Vec::new(),
            due: Vec::new(),
            jobs: 0,
            submits_until: u64::MAX,
        }
    }

    fn pass(&mut self, milliseconds: u64) {
        let until = self.network.now + milliseconds;
        while self.network.now < until {
            self.take_answers();
            if self.network.now.is_multiple_of(SUBMIT_EVERY_MS)
                && self.network.now < self.submits_until
            {
                self.jobs += 1;
                self.call(self.jobs, Deed::Submit);
            }
            let now = self.network.now;
            let (due, later) = std::mem::take(&mut self.due)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.due = later;
            let due: Vec<(u64, u64, Deed)> = due;
            due.into_iter()
                .for_each(|(_, job, deed)| self.call(job, deed));
            self.network.step();
        }
    }

    fn call(&mut self, job: u64, deed: Deed) {
        let process = (job as usize + deed as usize) % self.network.count();
        let began = self.network.now;
        let open = Some(self.network.call(process, request(job, deed), WAIT_MS));
        self.calls.push(Call {
            job,
            deed,
            process,
            began,
            waited_ms: 0,
            open,
            reply: None,
        });
    }

    fn take_answers(&mut self) {
        let now = self.network.now;
        for call in self.calls.iter_mut().filter(|call| call.open.is_some()) {
            let Some(Ok(reply)) = call.open.as_mut().map(Receiver::try_recv) else {
                continue;
            };
            call.open = None;
            call.waited_ms = now - call.began;
            if matches!(reply, Reply::Job(_)) && call.deed == Deed::Submit {
                self.due.push((now, call.job, Deed::Read));
                self.due
                    .push((now + CANCEL_AFTER_MS, call.job, Deed::Cancel));
                self.due
                    .push((now + AGAIN_AFTER_MS, call.job, Deed::SubmitAgain));
            }
            call.reply = Some(reply);
        }
    }

    /// The state of a job as a process tells it once everything is over.
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
        self.network.pass(20);
        reply.try_recv().expect("a calm head answers at once")
    }

    /// Lets everything come to rest and checks each call against what is kept.
    fn finish(&mut self, name: &str, reader: usize) {
        self.submits_until = self.network.now;
        self.pass(AGAIN_AFTER_MS + 2 * WAIT_MS);
        for job in 1..=self.jobs {
            let kept = self.read(reader, job);
            for call in self.calls.iter().filter(|call| call.job == job) {
                let text = format!(
                    "{name}: job {job}, {:?} at {}: {:?}, now {kept:?}",
                    call.deed, call.began, call.reply
                );
                assert!(agrees(call, &kept), "{text}");
            }
        }
    }

    fn answered(&self, deed: Deed, from: u64, to: u64) -> Vec<&Call> {
        let of_deed = self.calls.iter().filter(|call| call.deed == deed);
        of_deed
            .filter(|call| (from..to).contains(&call.began))
            .collect()
    }
}

/// Whether an answer to a call is true, by what is kept of its job in the end.
fn agrees(call: &Call, kept: &Reply) -> bool {
    let is_kept = matches!(kept, Reply::Job(_));
    let is_cancelled = *kept == Reply::Job(JobState::Cancelled);
    match (&call.reply, call.deed) {
        (Some(Reply::Job(_)), Deed::Submit) => is_kept,
        (Some(Reply::Job(_)), Deed::Read) => is_kept,
        (Some(Reply::Job(_)), Deed::Cancel) => is_cancelled,
        (Some(Reply::Job(state)), Deed::SubmitAgain) => Reply::Job(*state) == *kept || is_kept,
        (Some(Reply::Error(kind)), Deed::Submit) => match kind {
            ErrorKind::NotTaken | ErrorKind::Overloaded | ErrorKind::ShuttingDown => !is_kept,
            kind => *kind == ErrorKind::InDoubt,
        },
        // Of a job that was accepted nobody says that it or its queue is unknown.
        (Some(Reply::Error(kind)), _) => matches!(kind, ErrorKind::InDoubt | ErrorKind::NotTaken),
        // The process ended under its caller.
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
    let mut play = Play::begin();
    play.pass(3_000);
    play.finish("calm", 1);
    let cancels = play.answered(Deed::Cancel, 0, u64::MAX);
    assert!(cancels.len() > 100);
    assert!(cancels
        .iter()
        .all(|call| call.reply == Some(Reply::Job(JobState::Cancelled))));
    assert!(cancels.iter().all(|call| call.waited_ms <= 20));
    let again = play.answered(Deed::SubmitAgain, 0, u64::MAX);
    assert!(
        again
            .iter()
            .all(|call| call.reply == Some(Reply::Job(JobState::Cancelled))),
        "each stays one job"
    );
}

/// Cancels that are made where nothing is wrong come to an end within their callers' time, also those made just before
/// and after the loss of the head.
fn assert_cancelled_elsewhere(play: &Play, process: usize, from: u64, to: u64) {
    let cancels = play.answered(Deed::Cancel, from, to);
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
fn answers_are_true_while_each_process_is_partitioned() {
    for process in 0..3 {
        let mut play = Play::begin();
        play.pass(1_500);
        let from = play.network.now;
        isolate(&mut play.network, process);
        play.pass(6_000);
        let to = play.network.now;
        play.network.heal();
        play.pass(1_000);
        play.finish(&format!("{process} is cut off"), (process + 1) % 3);
        assert_cancelled_elsewhere(&play, process, from - 100, to);
    }
}

#[test]
fn answers_are_true_while_each_process_is_frozen() {
    for process in 0..3 {
        for frozen_ms in [300, 900, 4_000] {
            let mut play = Play::begin();
            play.pass(1_500);
            let from = play.network.now;
            play.network.freeze(process);
            play.pass(frozen_ms);
            play.network.thaw(process);
            play.pass(2_000);
            play.finish(
                &format!("{process} stands still for {frozen_ms} ms"),
                (process + 1) % 3,
            );
            assert_cancelled_elsewhere(&play, process, from - 100, from + frozen_ms);
        }
    }
}

#[test]
fn answers_are_true_while_each_process_ends_or_is_wiped() {
    for process in 0..3 {
        for is_wiped in [false, true] {
            let mut play = Play::begin();
            play.pass(1_500);
            let from = play.network.now;
            if is_wiped {
                play.network.wipe(process);
            } else {
                play.network.terminate(process);
            }
            play.pass(5_000);
            play.finish(
                &format!("{process} ends, wiped: {is_wiped}"),
                (process + 1) % 3,
            );
            assert_cancelled_elsewhere(&play, process, from - 100, from + 4_000);
        }
    }
}
