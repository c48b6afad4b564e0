//! A proposal of another process that is in progress.

use crate::pace::Request;
use crate::proposal::RESEND_AFTER_MS;
use lupinrack_cluster_api::time::Millis;

/// Milliseconds without a request after which the proposal counts as ended. A proposer repeats its
/// requests, so this tolerates two lost ones.
const ENDED_AFTER_MS: u64 = 3 * RESEND_AFTER_MS;

/// The proposal of another process that this disk voted for last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Rival {
    phase: Option<RivalPhase>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RivalPhase {
    /// The incarnation of the proposer.
    incarnation: u64,
    request: Request,
    first: Millis,
    last: Millis,
}

impl Rival {
    /// Notes a vote for a request of the process with this incarnation.
    pub(crate) fn observed(&mut self, incarnation: u64, request: Request, now: Millis) {
        let is_same = |phase: &RivalPhase| {
            let progresses = phase.request == Request::Prepare && request == Request::Accept;
            phase.incarnation == incarnation && phase.continues_at(now) && !progresses
        };
        let first = self.phase.filter(is_same).map_or(now, |phase| phase.first);
        self.phase = Some(RivalPhase {
            incarnation,
            request,
            first,
            last: now,
        });
    }

    /// Whether the proposal is in progress, and its phase has lasted for less than this many
    /// milliseconds. A proposer that cannot reach a majority never completes its phase.
    pub(crate) fn is_active(&self, max_phase_ms: u64, now: Millis) -> bool {
        self.phase
            .is_some_and(|phase| phase.continues_at(now) && now.since(phase.first) < max_phase_ms)
    }
}

impl RivalPhase {
    fn continues_at(&self, now: Millis) -> bool {
        now.since(self.last) < ENDED_AFTER_MS
    }
}
