//! One start of a task, from its proposal until its end is recorded.

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
    /// The operation that records it has not been applied. No server has received it.
    Proposed,
    /// It is recorded. Its server may have received it.
    Recorded,
}

/// Which owner proposed a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOrigin {
    /// This scheduler proposed it. Its server can have received it only from this scheduler.
    Own,
    /// An earlier owner or an unknown proposer. Its server may have received it from another owner.
    Inherited,
}

/// The reason to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// Its job was cancelled, has failed or is no longer known.
    JobClosed,
    /// Another member of its gang has ended.
    GangBroken,
    /// Its server is draining and shuts down before the run would end.
    Draining,
    /// More urgent work needs its capacity.
    Preempted,
    /// It makes no progress.
    Stalled,
    /// Its start was recorded without a proposal of this scheduler.
    Orphaned,
}

/// One start of a task.
///
/// A run is first proposed, then recorded, then ended. A stop may be requested in each phase; a
/// proposed run is stopped once its start is recorded. `ended` is false before `phase` is
/// `Recorded`, except for a run that is about to be removed.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) task: TaskId,
    /// The attempt number of the start.
    pub(crate) attempt: Attempt,
    /// The server that it is assigned to.
    pub(crate) server: ServerId,
    /// The properties that placement and estimates use.
    pub(crate) profile: RunProfile,
    /// The checkpoint that it started from; empty for none.
    pub(crate) start_checkpoint: String,
    /// Its newest known checkpoint; empty for none.
    pub(crate) checkpoint: String,
    /// Whether its start is recorded.
    pub(crate) phase: RunPhase,
    /// Which owner proposed it.
    pub(crate) origin: RunOrigin,
    /// The latest session in which the agent was ordered to start it.
    pub(crate) start_ordered_in: Option<SessionId>,
    /// The reason to stop it, if a stop was requested.
    pub(crate) stop: Option<StopReason>,
    /// The latest message with the order to stop it.
    pub(crate) stop_order: Option<OrderId>,
    /// When its server first listed it as running.
    pub(crate) running_since: Option<Millis>,
    /// The latest progress that its server reported, in percent.
    pub(crate) percent: u32,
    /// When the progress last changed. Before the server lists the run, the time at which its start
    /// was proposed or recorded.
    pub(crate) progressed_at: Millis,
    /// When the checkpoint last changed.
    pub(crate) checkpointed_at: Millis,
    /// Whether it has already been counted as overdue.
    pub(crate) overdue: bool,
    /// Whether its end is known. Then it uses no capacity, and the operation that records its end
    /// has been submitted.
    pub(crate) ended: bool,
}

impl Run {
    /// Creates a run whose start this scheduler proposes now.
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

    /// Creates a run for a recorded start that this scheduler did not propose.
    pub(crate) fn inherited(start: &StartRecord, profile: RunProfile, now: Millis) -> Run {
        Run {
            phase: RunPhase::Recorded,
            origin: RunOrigin::Inherited,
            ..Run::proposed(start, profile, now)
        }
    }

    /// The identity of the run.
    pub(crate) fn id(&self) -> RunId {
        RunId::new(self.task, self.attempt)
    }

    /// Whether any owner may have sent the start to the server.
    pub(crate) fn may_be_known_to_server(&self) -> bool {
        self.origin == RunOrigin::Inherited || self.start_ordered_in.is_some()
    }

    /// Whether it is recorded and has not ended.
    pub(crate) fn is_open(&self) -> bool {
        self.phase == RunPhase::Recorded && !self.ended
    }

    /// Whether it is recorded, has not ended and has no stop requested.
    pub(crate) fn should_run(&self) -> bool {
        self.is_open() && self.stop.is_none()
    }

    /// Whether its duration is a usable sample of how long such work takes: it started without a
    /// checkpoint, ends by itself and does not wait for other members of a gang.
    pub(crate) fn is_duration_sample(&self) -> bool {
        self.start_checkpoint.is_empty() && !self.profile.gang && !self.profile.long_running
    }

    /// Records the progress that its server listed at the time `at`.
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
