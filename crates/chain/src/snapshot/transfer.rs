//! Whether a disk needs a snapshot, and the progress of its transfer.

use super::outgoing::OutgoingSnapshot;
use super::shared::SharedSnapshot;
use crate::limits::SNAPSHOT_RETRY_MS;
use lupinrack_cluster_api::time::Millis;

/// The transfer of a snapshot to one disk.
#[derive(Debug)]
pub(crate) enum SnapshotTransfer {
    /// The disk needs no snapshot.
    NotNeeded,
    /// The disk needs a snapshot, which was requested from the driver.
    Requested,
    /// The snapshot is being sent.
    Sending(OutgoingSnapshot),
    /// The disk has received the snapshot completely.
    Received {
        /// The last index that the snapshot covers.
        index: u64,
        /// When the disk was last known to be installing the snapshot.
        at: Millis,
    },
}

impl SnapshotTransfer {
    /// Whether entries have to wait for a snapshot.
    pub(crate) fn is_pending(&self) -> bool {
        matches!(
            self,
            SnapshotTransfer::Requested | SnapshotTransfer::Sending(_)
        )
    }

    /// Whether a snapshot has to be requested; if so, it is marked as requested. A disk that has
    /// installed a snapshot and lags behind again needs the next one at once; a disk that is still
    /// installing it gets [`SNAPSHOT_RETRY_MS`] to finish.
    pub(crate) fn request(&mut self, acknowledged: Option<u64>, now: Millis) -> bool {
        let is_due = match self {
            SnapshotTransfer::NotNeeded => true,
            SnapshotTransfer::Requested | SnapshotTransfer::Sending(_) => false,
            SnapshotTransfer::Received { index, at } => {
                let is_installed = acknowledged.is_some_and(|acknowledged| acknowledged >= *index);
                is_installed || now.since(*at) >= SNAPSHOT_RETRY_MS
            }
        };
        if is_due {
            *self = SnapshotTransfer::Requested;
        }
        is_due
    }

    /// Starts to send a snapshot if one was requested. Returns whether it does.
    pub(crate) fn start(&mut self, snapshot: &SharedSnapshot) -> bool {
        let is_requested = matches!(self, SnapshotTransfer::Requested);
        if is_requested {
            *self = SnapshotTransfer::Sending(OutgoingSnapshot::new(snapshot.clone()));
        }
        is_requested
    }

    /// Ends the transfer if the disk has everything that the snapshot covers. Returns the last index
    /// that the snapshot covers if so.
    pub(crate) fn end_at(&mut self, have: u64, now: Millis) -> Option<u64> {
        let SnapshotTransfer::Sending(snapshot) = self else {
            return None;
        };
        let index = snapshot.index();
        if have < index {
            return None;
        }
        *self = SnapshotTransfer::Received { index, at: now };
        Some(index)
    }
}
