//! Clients: each hands in a job, asks for its state, and may cancel it.

use crate::calls::{call, OpenCall, Outcome};
use crate::planted::PlantedFault;
use crate::world::World;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::JobId;
use lupinrack_cluster_api::job::JobState;
use lupinrack_cluster_api::request::{Reply, Request, Target};

/// How long a client waits for an answer, in milliseconds.
const WAIT_MS: u64 = 2_250;
/// Tries after which a client gives up what is always refused.
const TRIES_MOST: u32 = 12;
/// The host of all routes.
pub const HOST: &str = "h";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Intent {
    Submit,
    Ask,
    Cancel,
}

/// A client and its one job.
#[derive(Debug)]
pub struct Client {
    job: JobId,
    queue: &'static str,
    next_at: u64,
    cancel_at: Option<u64>,
    open: Option<(Intent, OpenCall)>,
    refusals: u32,
    /// Whether a try may have been taken.
    in_doubt: bool,
    /// When the job was accepted.
    pub accepted_at: Option<u64>,
    /// Whether the client has nothing more to do.
    pub finished: bool,
}

impl Client {
    /// One that hands in a job at `begins_at` and cancels it at `cancel_at`.
    pub fn new(job: JobId, queue: &'static str, begins_at: u64, cancel_at: Option<u64>) -> Client {
        Client {
            job,
            queue,
            next_at: begins_at,
            cancel_at,
            open: None,
            refusals: 0,
            in_doubt: false,
            accepted_at: None,
            finished: false,
        }
    }

    /// The job.
    pub fn job(&self) -> JobId {
        self.job
    }

    fn target(&self) -> Target {
        Target { host: HOST.to_owned(), path: format!("/{}/{}", self.queue, self.job) }
    }
}

impl World {
    /// Lets every client do what is due.
    pub fn serve_clients(&mut self) {
        for number in 0..self.clients.len() {
            if self.clients[number].finished {
                continue;
            }
            self.read_answer(number);
            self.begin_call(number);
        }
    }

    fn begin_call(&mut self, number: usize) {
        let now = self.now;
        let client = &self.clients[number];
        if client.finished || client.open.is_some() || now < client.next_at {
            return;
        }
        let Some(front) = self.ready_front() else { return };
        let client = &mut self.clients[number];
        let (target, job) = (client.target(), client.job);
        let Some(truth) = self.checks.jobs.get_mut(&job) else { return };
        let (intent, request) = if client.accepted_at.is_none() {
            truth.sent = true;
            (Intent::Submit, Request::SubmitJob { target, job, spec: truth.spec.clone() })
        } else if client.cancel_at.is_some_and(|at| now >= at) {
            truth.cancel_sent = true;
            (Intent::Cancel, Request::CancelJob { target, job })
        } else {
            (Intent::Ask, Request::ReadJob { target, job })
        };
        let (call, open) = call(request, now, WAIT_MS);
        client.open = Some((intent, open));
        self.call_front(front, call);
    }

    fn read_answer(&mut self, number: usize) {
        let now = self.now;
        let planted = self.planted;
        let client = &mut self.clients[number];
        let Some((intent, open)) = &mut client.open else { return };
        let Some(mut outcome) = open.outcome(now) else { return };
        if planted == Some(PlantedFault::RefusedInDoubt) && outcome == Outcome::Doubt {
            outcome = Outcome::Refused(ErrorKind::NotTaken);
        }
        let intent = *intent;
        client.open = None;
        client.next_at = now + 100 + self.rng.u64(0..300);
        match intent {
            Intent::Submit => self.submitted(number, outcome),
            Intent::Ask => self.asked(number, outcome),
            Intent::Cancel => self.cancelled(number, outcome),
        }
    }

    fn submitted(&mut self, number: usize, outcome: Outcome) {
        let now = self.now;
        let gives_up = self.rng.u32(0..3) == 0;
        let client = &mut self.clients[number];
        let job = client.job;
        match outcome {
            Outcome::Success(Reply::Job(_)) => {
                client.accepted_at = Some(now);
                self.strike_on_acceptance();
            }
            Outcome::Doubt => client.in_doubt = true,
            Outcome::Refused(ErrorKind::NotTaken | ErrorKind::Overloaded | ErrorKind::ShuttingDown) => {
                client.refusals += 1;
                if !client.in_doubt && (gives_up || client.refusals > TRIES_MOST) {
                    client.finished = true;
                    if let Some(truth) = self.checks.jobs.get_mut(&job) {
                        truth.refused = true;
                    }
                }
            }
            other => self.checks.broke(now, format!("CONFIG: submission of {job} answered {other:?}")),
        }
    }

    fn asked(&mut self, number: usize, outcome: Outcome) {
        let now = self.now;
        let job = self.clients[number].job;
        let pause = self.rng.u64(400..1_500);
        self.clients[number].next_at = now + pause;
        match outcome {
            Outcome::Success(Reply::Job(state)) => self.shown(number, state),
            Outcome::Refused(ErrorKind::UnknownJob) => {
                self.checks.broke(now, format!("LOST: accepted job {job} is not known"));
                self.clients[number].finished = true;
            }
            Outcome::Refused(ErrorKind::UnknownQueue) => {
                self.checks.broke(now, format!("CONFIG: the queue of {job} is not known"));
            }
            _ => {}
        }
    }

    fn shown(&mut self, number: usize, state: JobState) {
        let now = self.now;
        let job = self.clients[number].job;
        let cancel_sent = self.checks.jobs.get(&job).is_some_and(|truth| truth.cancel_sent);
        if state == JobState::Succeeded && !self.checks.all_done(job) {
            self.checks.broke(now, format!("MIXED: {job} is shown as succeeded"));
        }
        if state == JobState::Failed && !self.checks.has_cause_to_fail(job) {
            self.checks.broke(now, format!("LOST: {job} is shown as failed without cause"));
        }
        if state == JobState::Cancelled && !cancel_sent {
            self.checks.broke(now, format!("LOST: {job} is shown as cancelled without cause"));
        }
        if state.is_final() {
            self.clients[number].finished = true;
        }
    }

    fn cancelled(&mut self, number: usize, outcome: Outcome) {
        let now = self.now;
        let job = self.clients[number].job;
        match outcome {
            Outcome::Success(Reply::Job(state)) => {
                if let Some(truth) = self.checks.jobs.get_mut(&job) {
                    truth.cancelled_at = Some(now);
                }
                self.shown(number, state);
            }
            Outcome::Refused(ErrorKind::UnknownJob) => {
                self.checks.broke(now, format!("LOST: accepted job {job} is not known"));
                self.clients[number].finished = true;
            }
            _ => {}
        }
    }
}
