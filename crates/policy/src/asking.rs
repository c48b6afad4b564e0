//! When the host calls discovery for the node list, if updates are not pushed: at the start, and
//! again with growing delays after a call that failed or was not answered. No decision on requests
//! is made here.

use crate::interface::{DiscoveryMode, Micros, NodeListKind};

/// First and longest delay before a failed call is repeated, and how long an answer may take. An
/// update that a call missed because discovery stopped answering counts as known 6 s after that:
/// the next call and its answer have to come before.
const MIN_RETRY_DELAY: Micros = 700_000;
const MAX_RETRY_DELAY: Micros = 4_000_000;
const ANSWER_TIMEOUT: Micros = 4_500_000;

/// When the next call is due, if any.
#[derive(Default)]
pub(crate) struct DiscoverySchedule {
    next_call_at: Option<Micros>,
    retry_delay: Micros,
}

impl DiscoverySchedule {
    /// Makes the first call due, unless updates are pushed.
    pub(crate) fn start(&mut self, now: Micros, mode: DiscoveryMode) {
        self.next_call_at = (mode != DiscoveryMode::Push).then_some(now);
    }

    /// When a call is due.
    pub(crate) fn next_call_at(&self) -> Option<Micros> {
        self.next_call_at
    }

    /// Whether a call is due now. The caller has to make it: the next one is due when its answer is
    /// overdue.
    pub(crate) fn take_due(&mut self, now: Micros) -> bool {
        let due = self.next_call_at.is_some_and(|t| t <= now);
        if due {
            self.next_call_at = Some(now + ANSWER_TIMEOUT);
        }
        due
    }

    /// An update of the node list came, or a call failed. `random` is between 0 and 1.
    pub(crate) fn on_node_list(
        &mut self,
        now: Micros,
        kind: NodeListKind,
        mode: DiscoveryMode,
        random: f64,
    ) {
        match kind {
            NodeListKind::Cached => {}
            NodeListKind::Failed => {
                let delay = self.retry_delay.max(MIN_RETRY_DELAY);
                let next_call_at = now + (delay as f64 * (0.5 + random)) as Micros;
                self.next_call_at = Some(next_call_at).filter(|_| mode != DiscoveryMode::Push);
                self.retry_delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
            NodeListKind::Changes | NodeListKind::Full => {
                (self.next_call_at, self.retry_delay) = (None, MIN_RETRY_DELAY)
            }
        }
    }
}
