//! The state as bytes, for disks and for members that join the chain.

use crate::state::ControlState;

/// the bytes are not a state: {0}
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct SnapshotFault(String);

impl std::error::Error for SnapshotFault {}

impl ControlState {
    /// The state's `borsh` form; equal states have equal bytes.
    pub fn to_bytes(&self) -> Result<Vec<u8>, SnapshotFault> {
        borsh::to_vec(self).map_err(|error| SnapshotFault(error.to_string()))
    }

    /// Reads what [`ControlState::to_bytes`] wrote.
    pub fn from_bytes(bytes: &[u8]) -> Result<ControlState, SnapshotFault> {
        borsh::from_slice(bytes).map_err(|error| SnapshotFault(error.to_string()))
    }
}
