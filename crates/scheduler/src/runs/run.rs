//! One start of a task, from its proposal to the record of its end.

use crate::run_id::RunId;
use crate::runs::profile::RunProfile;
use crate::servers::session::{OrderId, SessionId};
use lupinrack_cluster_api::identity::{Attempt, ServerId, TaskId};
use lupinrack_cluster_api::operation::StartRecord;
use lupinrack_cluster_api::server::RunningTask;
use lupinrack_cluster_api::time::Millis;

/// Whether the start of a run is in the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The operation that records it was submitted and not applied; no server knows of it.
    Proposed,
    /// It is recorded; its server may know of it.
    Recorded,
}

/// Who decided on a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOrigin {
    /// This scheduler proposed it: its server knows of it only from this scheduler.
    Own,
    /// An earlier owner, or an unknown proposer: its server may have been notified by somebody else.
    Inherited,
}

/// Why a run is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// Its job was cancelled, has failed or is not known any longer.
    JobClosed,
    /// Another member of its gang has ended.
    GangBroken,
    /// Its server is draining, and shuts down before the run would end.
    Draining,
    /// More urgent work needs its capacity.
    Preempted,
    /// It makes no progress.
    Stalled,
    /// Its start was recorded although this scheduler had not proposed it.
    Orphaned,
}

/// One start of a task.
///
/// A run is proposed, then recorded, then ended. It may be asked to stop in each phase; one that is
/// still proposed is stopped once its start is recorded. `ended` stays false before `phase` is
/// `Recorded`, unless the run is about to be removed.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The task.
    pub(crate) task: TaskId,
    /// The number of the start.
    pub(crate) attempt: Attempt,
    /// The server that it was assigned to.
    pub(crate) server: ServerId,
    /// What placement and estimates have to know of it.
    pub(crate) profile: RunProfile,
    /// The checkpoint that it started from; empty for none.
    pub(crate) start_checkpoint: String,
    /// Its newest known checkpoint; empty for none.
    pub(crate) checkpoint: String,
    /// Whether its start is recorded.
    pub(crate) phase: RunPhase,
    /// Who decided on it.
    pub(crate) origin: RunOrigin,
    /// The newest session in which its server's agent was ordered to start it.
    pub(crate) start_ordered_in: Option<SessionId>,
    /// Why it is to be stopped, if it is.
    pub(crate) stop: Option<StopReason>,
    /// The newest order that carried its stop.
    pub(crate) stop_order: Option<OrderId>,
    /// When its server first listed it as running.
    pub(crate) running_since: Option<Millis>,
    /// The newest progress that its server listed, in percent.
    pub(crate) percent: u32,
    /// When the progress last changed; before the run is listed, when its start was proposed or
    /// recorded.
    pub(crate) progressed_at: Millis,
    /// When the checkpoint last changed.
    pub(crate) checkpointed_at: Millis,
    /// Whether it was already counted as taking much longer than expected.
    pub(crate) overdue: bool,
    /// Whether its end is known: it takes no capacity any longer, and the operation that records its
    /// end was submitted.
    pub(crate) ended: bool,
}

impl Run {
    /// A start that this scheduler proposes now.
    pub(crate) fn proposed(start: &StartRecord, profile: RunProfile, now: Millis) -> Run {
        Run {
            task: start.task,
            attempt: start.attempt,
            server: start.server.clone(),
            profile,
            start_checkpoint: start.checkpoint.clone(),
            checkpoint: start.checkpoint.clone(),
            phase: RunPhase::Proposed,
            origin: RunOrigin::Own,
            start_ordered_in: None,
            stop: None,
            stop_order: None,
            running_since: None,
            percent: 0,
            progressed_at: now,
            checkpointed_at: now,
            overdue: false,
            ended: false,
        }
    }

    /// A recorded start that this scheduler did not propose.
    pub(crate) fn inherited(start: &StartRecord, profile: RunProfile, now: Millis) -> Run {
        Run {
            phase: RunPhase::Recorded,
            origin: RunOrigin::Inherited,
            ..Run::proposed(start, profile, now)
        }
    }

    /// What identifies it.
    pub(crate) fn id(&self) -> RunId {
        RunId::new(self.task, self.attempt)
    }

    /// Whether any owner may have notified its server of it.
    pub(crate) fn server_may_know(&self) -> bool {
        self.origin == RunOrigin::Inherited || self.start_ordered_in.is_some()
    }

    /// Whether it is recorded and has not ended.
    pub(crate) fn is_open(&self) -> bool {
        self.phase == RunPhase::Recorded && !self.ended
    }

    /// Whether it is recorded, has not ended and is not to be stopped.
    pub(crate) fn should_run(&self) -> bool {
        self.is_open() && self.stop.is_none()
    }

    /// Whether the time that it takes shows how long such work takes: it started without a
    /// checkpoint and does not wait for other tasks.
    pub(crate) fn shows_duration(&self) -> bool {
        self.start_checkpoint.is_empty() && !self.profile.gang && !self.profile.long_running
    }

    /// Takes over what its server listed of it at this moment.
    pub(crate) fn record_progress(&mut self, listed: &RunningTask, at: Millis) {
        if self.running_since.is_none() {
            self.running_since = Some(at);
            self.progressed_at = at;
            self.checkpointed_at = at;
        }
        if self.percent != listed.percent {
            self.percent = listed.percent;
            self.progressed_at = at;
        }
        if !listed.checkpoint.is_empty() && self.checkpoint != listed.checkpoint {
            self.checkpoint.clone_from(&listed.checkpoint);
            self.checkpointed_at = at;
        }
    }
}
