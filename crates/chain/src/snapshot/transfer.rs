//! Whether a disk needs a snapshot, and how far its transfer has come.

use super::outgoing::OutgoingSnapshot;
use super::shared::SharedSnapshot;
use crate::limits::SNAPSHOT_RETRY_MS;
use lupinrack_cluster_api::time::Millis;

/// The transfer of a snapshot to one disk.
#[derive(Debug)]
pub(crate) enum SnapshotTransfer {
    /// The disk needs none.
    NotNeeded,
    /// The disk needs one, which the driver was asked for.
    Requested,
    /// It is being sent.
    Sending(OutgoingSnapshot),
    /// The disk has received it completely.
    Received {
        /// The last index that it covers.
        index: u64,
        /// When the disk was last known to be installing it.
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

    /// Whether a snapshot is to be requested; it is noted as requested then. A disk that has
    /// installed one and fallen behind again needs the next one at once; one that is still
    /// installing it is given time.
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

    /// Begins to send a snapshot if one was requested. Whether it does.
    pub(crate) fn start(&mut self, snapshot: &SharedSnapshot) -> bool {
        let is_requested = matches!(self, SnapshotTransfer::Requested);
        if is_requested {
            *self = SnapshotTransfer::Sending(OutgoingSnapshot::new(snapshot.clone()));
        }
        is_requested
    }

    /// Ends the transfer if the disk has what the snapshot covers, up to the index that is returned.
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
