//! Measures how far a spare lags behind the chain.

use lupinrack_cluster_api::time::Millis;

/// A committed index that the source announced, and when.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    committed: u64,
    at: Millis,
}

/// How far a spare lags behind the committed index that its source announces in the current view.
#[derive(Debug, Default)]
pub(crate) struct CommitLag {
    /// The oldest announcement whose entries this disk has not all synced. Those between it and the
    /// newest one are not kept, which bounds the memory.
    pending: Option<Announcement>,
    /// The newest announcement.
    newest: Option<Announcement>,
    /// When the newest announcement arrived whose entries this disk has all synced.
    reached_at: Option<Millis>,
}

impl CommitLag {
    /// Notes that the source announced everything up to `committed` as committed.
    pub(crate) fn announced(&mut self, committed: u64, now: Millis) {
        let announcement = Announcement { committed, at: now };
        self.newest = Some(announcement);
        self.pending.get_or_insert(announcement);
    }

    /// Notes that this disk has synced everything up to `synced`.
    pub(crate) fn synced(&mut self, synced: u64) {
        for announcement in [self.pending, self.newest].into_iter().flatten() {
            if announcement.committed <= synced {
                self.reached_at = self.reached_at.max(Some(announcement.at));
                self.pending = self.newest.filter(|newest| newest.committed > synced);
            }
        }
    }

    /// Whether an announcement at most this old is completely synced.
    pub(crate) fn is_within(&self, milliseconds: u64, now: Millis) -> bool {
        self.reached_at
            .is_some_and(|at| now.since(at) <= milliseconds)
    }
}
