//! How a spare catches up with the chain and keeps up with it.

use crate::catch_up_source::CatchUpSource;
use crate::commit_lag::CommitLag;
use crate::limits::JOIN_MS;
use lupinrack_cluster_api::time::Millis;

/// The `Join` message that was sent last.
#[derive(Clone, Copy, Debug)]
struct LastJoin {
    at: Millis,
    /// The index up to which the disk was synced, as it said.
    synced: u64,
}

/// The state of a spare in the current view; without meaning for a member.
#[derive(Debug)]
pub(crate) struct CatchUp {
    /// Which member feeds it.
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

    /// Whether it is time to tell the source again where this spare stands.
    pub(crate) fn is_join_due(&self, now: Millis) -> bool {
        self.last_join
            .is_none_or(|join| now.since(join.at) >= JOIN_MS)
    }

    /// Notes a `Join` which said that everything up to `synced` is synced.
    pub(crate) fn joined(&mut self, synced: u64, now: Millis) {
        self.last_join = Some(LastJoin { at: now, synced });
    }

    /// Notes a message which said that this spare is at work, though nothing more is synced yet.
    pub(crate) fn postpone_join(&mut self, now: Millis) {
        let synced = self.synced_at_last_join();
        self.last_join = Some(LastJoin { at: now, synced });
    }

    /// Whether a `Join` was sent in this view.
    pub(crate) fn has_joined(&self) -> bool {
        self.last_join.is_some()
    }

    /// What was synced at the last `Join`; 0 if there was none.
    pub(crate) fn synced_at_last_join(&self) -> u64 {
        self.last_join.map_or(0, |join| join.synced)
    }
}
