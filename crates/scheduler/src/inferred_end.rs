//! Inferred ends: ends of runs that their servers did not report.
//!
//! Each reason to infer an end has a name and a proof; see `docs/design/control-safety.md`.

use lupinrack_cluster_api::identity::{Attempt, ServerId, TaskId};
use lupinrack_cluster_api::server::RunEnd;

/// Why a run is over although its server did not report its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum InferredEndReason {
    /// its server deregistered
    ServerDeregistered,
    /// a later incarnation runs beside the same agent
    LaterIncarnation,
    /// every lease that its server was granted has expired
    LeaseExpired,
    /// its server is not known, and every lease that an earlier owner granted has expired
    TakeoverBoundExpired,
    /// its server was gone before it was notified of it
    ServerGoneBeforeNotification,
    /// it was stopped before its server was notified of it
    StoppedBeforeNotification,
    /// its server has acknowledged the stop and does not list it
    StopAcknowledged,
}

impl InferredEndReason {
    /// The end that is recorded for a run that is over for this reason.
    pub(crate) fn run_end(self) -> RunEnd {
        match self {
            InferredEndReason::StoppedBeforeNotification | InferredEndReason::StopAcknowledged => {
                RunEnd::Stopped
            }
            InferredEndReason::ServerDeregistered
            | InferredEndReason::LaterIncarnation
            | InferredEndReason::LeaseExpired
            | InferredEndReason::TakeoverBoundExpired
            | InferredEndReason::ServerGoneBeforeNotification => RunEnd::LeaseExpired,
        }
    }
}

/// The end of a run that its server did not report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InferredEnd {
    /// The task of the run.
    pub task: TaskId,
    /// The attempt number of the run.
    pub attempt: Attempt,
    /// The server that the run was assigned to.
    pub server: ServerId,
    /// Why the run is over.
    pub reason: InferredEndReason,
}
