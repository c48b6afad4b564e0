//! Clients: each submits a job, reads its state, and may cancel it.

use crate::configuration_body::HOST;
use crate::faults::schedule::Acknowledgement;
use crate::injected_bugs::InjectedBug;
use crate::pending_call::{call, Outcome, PendingCall};
use crate::world::World;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::request::{Reply, Request, Target};

/// Timeout of a client's call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_250;
/// Attempts after which a client gives up a call that is always refused.
const MAX_ATTEMPTS: u32 = 12;
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Intent {
    Submit,
    Read,
    Cancel,
}

/// A client and its single job.
#[derive(Debug)]
pub(crate) struct Client {
    job: JobId,
    queue: &'static str,
    next_at: u64,
    cancel_at: Option<u64>,
    open: Option<(Intent, PendingCall)>,
    rejections: u32,
    /// Whether an earlier attempt may have been accepted.
    is_indeterminate: bool,
    /// When the job was accepted.
    pub accepted_at: Option<u64>,
    /// Whether the client has finished.
    pub finished: bool,
}

impl Client {
    /// Creates a client that submits its job at `begins_at` and cancels it at `cancel_at`.
    pub(crate) fn new(
        job: JobId,
        queue: &'static str,
        begins_at: u64,
        cancel_at: Option<u64>,
    ) -> Client {
        Client {
            job,
            queue,
            next_at: begins_at,
            cancel_at,
            open: None,
            rejections: 0,
            is_indeterminate: false,
            accepted_at: None,
            finished: false,
        }
    }

    /// The job.
    pub(crate) fn job(&self) -> JobId {
        self.job
    }

    /// Whether its job was accepted and is not known to have ended.
    pub(crate) fn has_open_job(&self) -> bool {
        self.accepted_at.is_some() && !self.finished
    }

    /// Advances the client's call and begins the next one when it is due.
    pub(crate) fn advance(&mut self, world: &mut World) {
        if !self.finished {
            self.read_answer(world);
            self.begin_call(world);
        }
    }

    fn target(&self) -> Target {
        Target {
            host: HOST.to_owned(),
            path: format!("/{}/{}", self.queue, self.job),
        }
    }

    fn begin_call(&mut self, world: &mut World) {
        let now = world.now;
        if self.finished || self.open.is_some() || now < self.next_at {
            return;
        }
        let Some(front) = world.choose_ready_front() else {
            return;
        };
        let (target, job) = (self.target(), self.job);
        let Some(expected) = world.oracle.jobs.get_mut(&job) else {
            return;
        };
        let (intent, request) = if self.accepted_at.is_none() {
            expected.sent = true;
            (
                Intent::Submit,
                Request::SubmitJob {
                    target,
                    job,
                    spec: expected.spec.clone(),
                },
            )
        } else if self.cancel_at.is_some_and(|at| now >= at) {
            expected.cancel_sent = true;
            (Intent::Cancel, Request::CancelJob { target, job })
        } else {
            (Intent::Read, Request::ReadJob { target, job })
        };
        let (call, open) = call(request, now, CALL_TIMEOUT_MS);
        self.open = Some((intent, open));
        world.call_front(front, call);
    }

    fn read_answer(&mut self, world: &mut World) {
        let now = world.now;
        let Some((intent, open)) = &mut self.open else {
            return;
        };
        let Some(mut outcome) = open.outcome(now) else {
            return;
        };
        if world.injected_bug == Some(InjectedBug::RejectedInDoubt)
            && outcome == Outcome::Indeterminate
        {
            outcome = Outcome::Rejected(ErrorKind::NotTaken);
        }
        let intent = *intent;
        self.open = None;
        self.next_at = now + 100 + world.rng.u64(0..300);
        match intent {
            Intent::Submit => self.check_submission_response(outcome, world),
            Intent::Read => self.check_read_response(&outcome, world),
            Intent::Cancel => self.check_cancel_response(&outcome, world),
        }
    }

    fn check_submission_response(&mut self, outcome: Outcome, world: &mut World) {
        let now = world.now;
        let gives_up = world.rng.u32(0..3) == 0;
        let job = self.job;
        match outcome {
            Outcome::Success(Reply::Job(_)) => {
                self.accepted_at = Some(now);
                world.acknowledged(Acknowledgement::Job);
            }
            Outcome::Indeterminate => self.is_indeterminate = true,
            Outcome::Rejected(
                ErrorKind::NotTaken | ErrorKind::Overloaded | ErrorKind::ShuttingDown,
            ) => {
                self.rejections += 1;
                if !self.is_indeterminate && (gives_up || self.rejections > MAX_ATTEMPTS) {
                    self.finished = true;
                    if let Some(expected) = world.oracle.jobs.get_mut(&job) {
                        expected.rejected = true;
                    }
                }
            }
            other => world.oracle.report_violation(
                now,
                &format!("CONFIG: submission of {job} answered {other:?}"),
            ),
        }
    }

    fn check_read_response(&mut self, outcome: &Outcome, world: &mut World) {
        let now = world.now;
        self.next_at = now + world.rng.u64(400..1_500);
        match outcome {
            Outcome::Success(Reply::Job(state)) => self.check_state(*state, world),
            Outcome::Rejected(ErrorKind::UnknownJob) => self.unknown(world),
            Outcome::Rejected(ErrorKind::UnknownQueue) => {
                world.oracle.report_violation(
                    now,
                    &format!("CONFIG: the queue of {} is not known", self.job),
                );
            }
            _ => {}
        }
    }

    fn unknown(&mut self, world: &mut World) {
        world.oracle.report_violation(
            world.now,
            &format!("LOST: accepted job {} is not known", self.job),
        );
        self.finished = true;
    }

    fn check_state(&mut self, state: JobState, world: &mut World) {
        let (now, job) = (world.now, self.job);
        let oracle = &mut world.oracle;
        let cancel_sent = oracle
            .jobs
            .get(&job)
            .is_some_and(|expected| expected.cancel_sent);
        if state == JobState::Succeeded && !oracle.all_done(job) {
            oracle.report_violation(now, &format!("MIXED: {job} is shown as succeeded"));
        }
        if state == JobState::Failed && !oracle.has_cause_to_fail(job) {
            oracle.report_violation(
                now,
                &format!("LOST: {job} is shown as failed without cause"),
            );
        }
        if state == JobState::Cancelled && !cancel_sent {
            oracle.report_violation(
                now,
                &format!("LOST: {job} is shown as cancelled without cause"),
            );
        }
        if state.is_final() {
            self.finished = true;
        }
    }

    fn check_cancel_response(&mut self, outcome: &Outcome, world: &mut World) {
        match outcome {
            Outcome::Success(Reply::Job(state)) => {
                if let Some(expected) = world.oracle.jobs.get_mut(&self.job) {
                    expected.cancelled_at = Some(world.now);
                }
                self.check_state(*state, world);
            }
            Outcome::Rejected(ErrorKind::UnknownJob) => self.unknown(world),
            _ => {}
        }
    }
}
