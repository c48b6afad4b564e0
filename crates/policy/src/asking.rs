//! When to ask for the node list, where it does not come unasked: at the start, again after a call that failed or went
//! unanswered, with growing waits. No decision on requests lies here.

use crate::interface::{DiscoveryMode, Micros, NodeListKind};

/// Spacing of calls to discovery that failed, first and last, and how long an answer may take. What a call that fell silent missed
/// counts as told 6 s after the silence began: the next one, and its answer, have to be there by then.
const FIRST: Micros = 700_000;
const LAST: Micros = 4_000_000;
const PATIENCE: Micros = 4_500_000;

/// The next call, if one is due at some time.
#[derive(Default)]
pub(crate) struct Asking {
    at: Option<Micros>,
    wait: Micros,
}

impl Asking {
    /// The first call, where the list must be asked for.
    pub(crate) fn begin(&mut self, now: Micros, how: DiscoveryMode) {
        self.at = (how != DiscoveryMode::Push).then_some(now);
    }

    /// When a call is due.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.at
    }

    /// Whether one is due now; it is then taken as made.
    pub(crate) fn due(&mut self, now: Micros) -> bool {
        let due = self.at.is_some_and(|t| t <= now);
        if due {
            self.at = Some(now + PATIENCE);
        }
        due
    }

    /// News of the list came. `chance` is random in 0..1.
    pub(crate) fn heard(
        &mut self,
        now: Micros,
        kind: NodeListKind,
        how: DiscoveryMode,
        chance: f64,
    ) {
        match kind {
            NodeListKind::Cached => {}
            NodeListKind::Failed => {
                let wait = self.wait.max(FIRST);
                let again = now + (wait as f64 * (0.5 + chance)) as Micros;
                self.at = Some(again).filter(|_| how != DiscoveryMode::Push);
                self.wait = (wait * 2).min(LAST);
            }
            NodeListKind::Changes | NodeListKind::Full => (self.at, self.wait) = (None, FIRST),
        }
    }
}
