//! The state as bytes, for disks and for replicas that join the chain.

use crate::state::ControlState;

/// the bytes are not a state: {0}
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct SnapshotError(String);

impl std::error::Error for SnapshotError {}

impl ControlState {
    /// The state in its `borsh` form; equal states have equal bytes.
    ///
    /// # Errors
    ///
    /// If a list is longer than `borsh` can encode, 2^32 - 1 items.
    pub fn to_bytes(&self) -> Result<Vec<u8>, SnapshotError> {
        borsh::to_vec(self).map_err(|error| SnapshotError(error.to_string()))
    }

    /// Reads what [`ControlState::to_bytes`] wrote.
    ///
    /// # Errors
    ///
    /// If the bytes are not those of a state.
    pub fn from_bytes(bytes: &[u8]) -> Result<ControlState, SnapshotError> {
        borsh::from_slice(bytes).map_err(|error| SnapshotError(error.to_string()))
    }
}
