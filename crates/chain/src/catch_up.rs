//! How a spare catches up with the chain and keeps up with it.

use crate::catch_up_source::CatchUpSource;
use crate::commit_lag::CommitLag;
use crate::limits::JOIN_INTERVAL_MS;
use lupinrack_cluster_api::time::Millis;

/// The `Join` message that was sent last.
#[derive(Clone, Copy, Debug)]
struct LastJoin {
    /// When it was sent.
    at: Millis,
    /// The index up to which it reported the disk as synced.
    synced: u64,
}

/// The state of a spare in the current view; unused by a member.
#[derive(Debug)]
pub(crate) struct CatchUp {
    /// The member that feeds it.
    pub(crate) source: CatchUpSource,
    /// How far it is behind that member.
    pub(crate) lag: CommitLag,
    last_join: Option<LastJoin>,
}

impl CatchUp {
    /// The state at the beginning of a view.
    pub(crate) fn begin(now: Millis) -> CatchUp {
        CatchUp {
            source: CatchUpSource::tail(now),
            lag: CommitLag::default(),
            last_join: None,
        }
    }

    /// Whether the next `Join` to the source is due.
    pub(crate) fn is_join_due(&self, now: Millis) -> bool {
        self.last_join
            .is_none_or(|join| now.since(join.at) >= JOIN_INTERVAL_MS)
    }

    /// Notes a `Join` that reported everything up to `synced` as synced.
    pub(crate) fn joined(&mut self, synced: u64, now: Millis) {
        self.last_join = Some(LastJoin { at: now, synced });
    }

    /// Notes a message that showed the source that this spare is alive, without newly synced
    /// entries; it replaces the next `Join`.
    pub(crate) fn postpone_join(&mut self, now: Millis) {
        let synced = self.synced_at_last_join();
        self.last_join = Some(LastJoin { at: now, synced });
    }

    /// Whether a `Join` was sent in this view.
    pub(crate) fn has_joined(&self) -> bool {
        self.last_join.is_some()
    }

    /// The index that the last `Join` reported as synced; 0 if there was none.
    pub(crate) fn synced_at_last_join(&self) -> u64 {
        self.last_join.map_or(0, |join| join.synced)
    }
}
