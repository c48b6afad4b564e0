//! How a spare knows that it keeps up with the chain.

use lupinrack_cluster_api::time::Millis;

/// What the source called committed, and when.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    committed: u64,
    at: Millis,
}

/// How far a spare is behind what its source calls committed in the current view.
#[derive(Debug, Default)]
pub(crate) struct CommitLag {
    /// The oldest announcement of which this disk has not synced all entries. Of those between it
    /// and the newest one none is kept, which bounds the memory.
    pending: Option<Announcement>,
    /// The newest announcement.
    newest: Option<Announcement>,
    /// When the newest of the announcements came whose entries this disk has all synced.
    reached_at: Option<Millis>,
}

impl CommitLag {
    /// Notes that the source calls everything up to `committed` committed.
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

    /// Whether everything is synced that the source called committed so many milliseconds ago, or
    /// later.
    pub(crate) fn is_within(&self, milliseconds: u64, now: Millis) -> bool {
        self.reached_at
            .is_some_and(|at| now.since(at) <= milliseconds)
    }
}
