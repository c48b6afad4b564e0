//! This disk's replica of the control state, with the index of the last applied entry and of the newest snapshot. Only
//! committed entries may be applied.

use lupinrack_cluster_api::operation::{LogEntry, OperationResult};
use lupinrack_control_state::{ControlState, SnapshotError};

/// Number of applied entries after which a new snapshot is due.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_000;

/// The replica.
#[derive(Debug, Default)]
pub(super) struct Replica {
    state: ControlState,
    applied: u64,
    snapshot_index: u64,
}

impl Replica {
    /// Loads a snapshot that covers the log up to this index. Empty bytes are the empty state.
    ///
    /// # Errors
    ///
    /// If the bytes are not a valid snapshot.
    pub(super) fn load(index: u64, bytes: &[u8]) -> Result<Replica, SnapshotError> {
        let state = if bytes.is_empty() {
            ControlState::default()
        } else {
            ControlState::from_bytes(bytes)?
        };
        Ok(Replica {
            state,
            applied: index,
            snapshot_index: index,
        })
    }

    /// The state.
    pub(super) fn state(&self) -> &ControlState {
        &self.state
    }

    /// The index of the last applied entry.
    pub(super) fn applied(&self) -> u64 {
        self.applied
    }

    /// The version of the configuration; 0 before the first one.
    pub(super) fn configuration_version(&self) -> u64 {
        self.state.configuration().version
    }

    /// Applies the next entry.
    pub(super) fn apply(&mut self, entry: &LogEntry) -> OperationResult {
        debug_assert_eq!(
            entry.index,
            self.applied + 1,
            "entries are applied in order"
        );
        self.applied = entry.index;
        self.state.apply(&entry.operation)
    }

    /// The index that the newest snapshot on this disk covers.
    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot_index
    }

    /// Whether a new snapshot is due, by the number of entries since the last one.
    pub(super) fn needs_snapshot(&self) -> bool {
        self.applied.saturating_sub(self.snapshot_index) >= SNAPSHOT_INTERVAL_ENTRIES
    }

    /// Encodes the state as the newest snapshot. Returns the index that it covers and its bytes.
    pub(super) fn take_snapshot(&mut self) -> (u64, Vec<u8>) {
        self.snapshot_index = self.applied;
        (self.applied, self.to_bytes())
    }

    /// The encoded state.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        // Writing into memory does not fail.
        self.state.to_bytes().unwrap_or_default()
    }
}
