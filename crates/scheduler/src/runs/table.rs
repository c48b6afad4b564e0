//! The ledger of runs: every start that was proposed, recorded or told, until its end is recorded.

use crate::resources::{difference, sum};
use lupinrack_cluster_api::identity::{Attempt, JobId, QueueName, ServerId, TaskId};
use lupinrack_cluster_api::job::{Resources, Step};
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::time::Millis;
use lupinrack_control_state::JobRecord;
use std::collections::{BTreeMap, BTreeSet};

/// How far the record of a start is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Its record is on its way; no server knows of it.
    Proposed,
    /// It is recorded; its server may know of it.
    Recorded,
}

/// Why a run is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled, has failed or is not known any longer.
    JobClosed,
    /// Another member of its gang has ended.
    GangBroken,
    /// Its server leaves before it would end.
    Draining,
    /// More urgent work needs its room.
    Preempted,
    /// It makes no progress.
    Stalled,
    /// Its record was taken although its reservation had been given up.
    Orphaned,
}

/// The message that carried a stop: a session and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentIn {
    /// The session.
    pub session: u64,
    /// The number of the message in the session.
    pub number: u64,
}

/// What a run needs to be known by, copied from its job.
#[derive(Clone, Debug)]
pub struct RunTraits {
    /// What it takes of its server.
    pub needs: Resources,
    /// The priority of its queue.
    pub priority: u32,
    /// Its queue.
    pub queue: QueueName,
    /// Its client's estimate.
    pub estimate_ms: u64,
    /// How many times as long it takes where it runs.
    pub distance_factor: f64,
    /// The label that its server must have; empty for none.
    pub requires: String,
    /// Whether it saves its progress.
    pub checkpoints: bool,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Whether it is a member of a gang.
    pub gang: bool,
}

impl RunTraits {
    /// Those of a task of this step.
    pub fn new(job: &JobRecord, step: &Step, distance_factor: f64) -> RunTraits {
        RunTraits {
            needs: step.needs,
            priority: job.priority,
            queue: job.queue.clone(),
            estimate_ms: step.estimate_ms,
            distance_factor,
            requires: step.requires.clone(),
            checkpoints: step.checkpoints,
            long_running: step.long_running,
            gang: step.gang,
        }
    }

    /// Those of a run that never begins: it takes no room.
    pub fn unknown() -> RunTraits {
        RunTraits {
            needs: Resources::default(),
            priority: u32::MAX,
            queue: QueueName(String::new()),
            estimate_ms: 0,
            distance_factor: 1.0,
            requires: String::new(),
            checkpoints: false,
            long_running: false,
            gang: false,
        }
    }
}

/// One start of a task.
#[derive(Clone, Debug)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// The number of the start.
    pub attempt: Attempt,
    /// Where.
    pub server: ServerId,
    /// What it is.
    pub traits: RunTraits,
    /// The checkpoint that it continues from; empty for none.
    pub start_saved: String,
    /// The newest checkpoint that is known.
    pub checkpoint: String,
    /// How far its record is.
    pub phase: RunPhase,
    /// Whether it was recorded without this scheduler's reservation, so that somebody else may have told its server.
    pub inherited: bool,
    /// The session in which its server was told to start it, the newest one.
    pub told_in: Option<u64>,
    /// Why it is to be stopped, if it is.
    pub stop: Option<StopReason>,
    /// Which message carried the stop.
    pub stop_sent: Option<SentIn>,
    /// When it was first listed as running.
    pub running_since: Option<Millis>,
    /// The newest progress that was listed, in percent.
    pub percent: u32,
    /// When the progress last changed.
    pub progressed_at: Millis,
    /// When its checkpoint last changed.
    pub saved_at: Millis,
    /// Whether it was noted that it takes much longer than expected.
    pub overdue: bool,
    /// Whether its end is known: it takes no room any longer, and the record of its end is on its way.
    pub ended: bool,
}

impl Run {
    /// A start that is proposed now.
    pub fn proposed(start: &StartRecord, traits: RunTraits, now: Millis) -> Run {
        Run {
            task: start.task,
            attempt: start.attempt,
            server: start.server.clone(),
            traits,
            start_saved: start.checkpoint.clone(),
            checkpoint: start.checkpoint.clone(),
            phase: RunPhase::Proposed,
            inherited: false,
            told_in: None,
            stop: None,
            stop_sent: None,
            running_since: None,
            percent: 0,
            progressed_at: now,
            saved_at: now,
            overdue: false,
            ended: false,
        }
    }

    /// Whether any owner may have told its server to start it.
    pub fn may_be_known(&self) -> bool {
        self.inherited || self.told_in.is_some()
    }

    /// Whether the time that it takes tells how long such work takes: it began from nothing and waits for no others.
    pub fn shows_duration(&self) -> bool {
        self.start_saved.is_empty() && !self.traits.gang && !self.traits.long_running
    }

    /// Whether it is recorded and neither ended nor to be stopped.
    pub fn is_wanted(&self) -> bool {
        self.phase == RunPhase::Recorded && !self.ended && self.stop.is_none()
    }
}

/// All runs of a service, by task. A task has one at most: its next start is only proposed when the end of the one
/// before was recorded.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    runs: BTreeMap<TaskId, Run>,
    by_server: BTreeMap<ServerId, BTreeSet<TaskId>>,
    used: BTreeMap<ServerId, Resources>,
}

/// The first task that a job can have.
fn first_task(job: JobId) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// The last task that a job can have.
fn last_task(job: JobId) -> TaskId {
    TaskId {
        job,
        occurrence: u32::MAX,
        step: u32::MAX,
        index: u32::MAX,
    }
}

impl RunLedger {
    /// Adds a run. It takes room on its server at once.
    pub fn insert(&mut self, run: Run) {
        self.remove(run.task);
        let used = self.used.entry(run.server.clone()).or_default();
        *used = sum(used, &run.traits.needs);
        self.by_server
            .entry(run.server.clone())
            .or_default()
            .insert(run.task);
        self.runs.insert(run.task, run);
    }

    /// The run of a task.
    pub fn get(&self, task: TaskId) -> Option<&Run> {
        self.runs.get(&task)
    }

    /// The run of a task, to be changed. Its server, needs and end are not to be changed through this.
    pub fn get_mut(&mut self, task: TaskId) -> Option<&mut Run> {
        self.runs.get_mut(&task)
    }

    /// Whether the task has a run.
    pub fn contains(&self, task: TaskId) -> bool {
        self.runs.contains_key(&task)
    }

    /// The run that a server speaks of.
    pub fn on_server(&self, server: &ServerId, task: TaskId, attempt: Attempt) -> Option<&Run> {
        self.get(task)
            .filter(|run| run.attempt == attempt && run.server == *server)
    }

    /// Notes that the run is over on its server: its room is free.
    pub fn end(&mut self, task: TaskId) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.ended {
            return;
        }
        run.ended = true;
        if let Some(used) = self.used.get_mut(&run.server) {
            *used = difference(used, &run.traits.needs);
        }
    }

    /// Forgets the run of a task.
    pub fn remove(&mut self, task: TaskId) -> Option<Run> {
        self.end(task);
        let run = self.runs.remove(&task)?;
        if let Some(tasks) = self.by_server.get_mut(&run.server) {
            tasks.remove(&task);
            if tasks.is_empty() {
                self.by_server.remove(&run.server);
                self.used.remove(&run.server);
            }
        }
        Some(run)
    }

    /// What the runs on a server take in all.
    pub fn used(&self, server: &ServerId) -> Resources {
        self.used.get(server).copied().unwrap_or_default()
    }

    /// The runs on a server, those included whose ends are being recorded.
    pub fn of_server<'a>(&'a self, server: &ServerId) -> impl Iterator<Item = &'a Run> + use<'a> {
        self.by_server
            .get(server)
            .into_iter()
            .flatten()
            .filter_map(|task| self.runs.get(task))
    }

    /// The runs of a job.
    pub fn of_job(&self, job: JobId) -> impl Iterator<Item = &Run> {
        self.runs
            .range(first_task(job)..=last_task(job))
            .map(|(_, run)| run)
    }

    /// The runs of one step of one time of a job.
    pub fn of_step(&self, job: JobId, occurrence: u32, step: u32) -> impl Iterator<Item = &Run> {
        let first = TaskId {
            job,
            occurrence,
            step,
            index: 0,
        };
        let last = TaskId {
            index: u32::MAX,
            ..first
        };
        self.runs.range(first..=last).map(|(_, run)| run)
    }

    /// All runs.
    pub fn iter(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }
}
