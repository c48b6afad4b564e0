//! The status of this replica, and whether the disk holds it.

use crate::effect::Effect;
use crate::outbox::Outbox;
use crate::replica_status::ReplicaStatus;

/// The status of this replica, and whether it is durable.
#[derive(Debug)]
pub(crate) struct StatusRecord {
    status: ReplicaStatus,
    /// Writes of the status that are not synced yet.
    pending_writes: u32,
}

impl StatusRecord {
    /// The status that the disk holds.
    pub(crate) fn stored(status: ReplicaStatus) -> StatusRecord {
        StatusRecord {
            status,
            pending_writes: 0,
        }
    }

    /// The status, durable or not.
    pub(crate) fn status(&self) -> ReplicaStatus {
        self.status
    }

    /// Whether the disk holds the status.
    pub(crate) fn is_durable(&self) -> bool {
        self.pending_writes == 0
    }

    /// Changes the status and has it written to the disk.
    pub(crate) fn change(&mut self, status: ReplicaStatus, outbox: &mut Outbox) {
        if self.status == status {
            return;
        }
        self.status = status;
        self.pending_writes += 1;
        outbox.push(Effect::StoreReplicaStatus(status));
    }

    /// Notes that a write is synced.
    pub(crate) fn written(&mut self) {
        self.pending_writes = self.pending_writes.saturating_sub(1);
    }
}
