//! How a spare knows that it keeps up with the chain.

use lupinrack_cluster_api::time::Millis;

/// The tail's word on what is committed, as a spare follows it.
#[derive(Clone, Copy, Debug)]
struct CommittedWord {
    committed: u64,
    at: Millis,
}

/// How a spare keeps up with the tail of this view.
#[derive(Debug, Default)]
pub(crate) struct KeepingUp {
    /// The oldest word of the tail that this disk has not synced everything of.
    pending: Option<CommittedWord>,
    /// The newest word.
    newest: Option<CommittedWord>,
    /// When the newest word came of which this disk has synced everything.
    reached_at: Option<Millis>,
}

impl KeepingUp {
    /// The tail said what is committed.
    pub(crate) fn told(&mut self, committed: u64, now: Millis) {
        let word = CommittedWord { committed, at: now };
        self.newest = Some(word);
        self.pending.get_or_insert(word);
    }

    /// This disk has synced everything up to `synced`.
    pub(crate) fn synced(&mut self, synced: u64) {
        for word in [self.pending, self.newest].into_iter().flatten() {
            if word.committed <= synced {
                self.reached_at = self.reached_at.max(Some(word.at));
                self.pending = self.newest.filter(|newest| newest.committed > synced);
            }
        }
    }

    /// Whether everything was synced that the tail called committed so lately.
    pub(crate) fn reached_within(&self, milliseconds: u64, now: Millis) -> bool {
        self.reached_at
            .is_some_and(|at| now.since(at) <= milliseconds)
    }
}
