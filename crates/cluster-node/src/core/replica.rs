//! This disk's replica of the control state: what is applied, and how it is kept small.

use lupinrack_cluster_api::operation::{LogEntry, OperationResult};
use lupinrack_control_state::{ControlState, SnapshotError};

/// Entries after which the state is written as a new snapshot.
const SNAPSHOT_AFTER_ENTRIES: u64 = 4_000;

/// The applied state.
#[derive(Debug, Default)]
pub struct Replica {
    /// The state.
    pub state: ControlState,
    /// The index of the last applied operation.
    pub applied: u64,
    snapshot_index: u64,
}

impl Replica {
    /// From the snapshot on the disk; empty bytes stand for the empty state.
    pub fn load(index: u64, bytes: &[u8]) -> Result<Replica, SnapshotError> {
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

    /// Applies the next operation.
    pub fn apply(&mut self, entry: &LogEntry) -> OperationResult {
        debug_assert_eq!(
            entry.index,
            self.applied + 1,
            "operations are applied in order"
        );
        self.applied = entry.index;
        self.state.apply(&entry.operation)
    }

    /// The index that the newest snapshot on this disk covers.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot_index
    }

    /// Whether a new snapshot is due for the sake of the number of entries since the last one.
    pub fn wants_snapshot(&self) -> bool {
        self.applied.saturating_sub(self.snapshot_index) >= SNAPSHOT_AFTER_ENTRIES
    }

    /// The state as bytes, under the index that it covers.
    pub fn snapshot(&mut self) -> (u64, Vec<u8>) {
        self.snapshot_index = self.applied;
        (self.applied, self.bytes())
    }

    /// The state as bytes.
    pub fn bytes(&self) -> Vec<u8> {
        self.state.to_bytes().unwrap_or_default()
    }
}
