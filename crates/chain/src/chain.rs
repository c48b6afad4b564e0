//! The state of a replica, and its public operations.

use crate::barrier::Barriers;
use crate::catch_up::CatchUp;
use crate::downstream::Downstream;
use crate::effect::Effect;
use crate::leadership::Leadership;
use crate::limits::{ByteLimits, CAUGHT_UP_MS, MAX_ENTRY_BYTES, MAX_UNCOMMITTED_ENTRIES};
use crate::log::encoded_bytes;
use crate::outbox::Outbox;
use crate::replica_log::ReplicaLog;
use crate::replica_status::ReplicaStatus;
use crate::sender_state::SenderState;
use crate::snapshot::SnapshotReceiver;
use crate::status_record::StatusRecord;
use crate::stored_state::StoredState;
use crate::submit_error::SubmitError;
use crate::upstream::Upstream;
use crate::view_role::ViewRole;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::{LogEntry, Operation};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;

/// The replica of one disk: a member of the chain of the newest view, or a spare.
#[derive(Debug)]
pub struct Chain {
    /// With fewer members the chain commits nothing.
    pub(crate) minimum_length: usize,
    /// Limits in bytes of the log and of the entries in flight.
    pub(crate) limits: ByteLimits,
    /// The newest view, and the role of this disk in it.
    pub(crate) role: ViewRole,
    /// The log, and how far it is synced, verified and committed.
    pub(crate) log: ReplicaLog,
    /// Whether this disk has everything that was committed before the view.
    pub(crate) status: StatusRecord,
    /// The barriers of the view.
    pub(crate) barriers: Barriers,
    /// State that only the head uses.
    pub(crate) leadership: Leadership,
    /// The link to the disk that sends this one entries.
    pub(crate) upstream: Upstream,
    /// The disks that this one sends entries to.
    pub(crate) downstream: Downstream,
    /// State that only a spare uses.
    pub(crate) catch_up: CatchUp,
    /// The snapshot that is being received or installed.
    pub(crate) snapshots: SnapshotReceiver,
    /// The effects that were not returned to the driver yet.
    pub(crate) outbox: Outbox,
}

impl Chain {
    /// Creates the replica of a disk, which commits nothing while the chain has fewer than `minimum_length`
    /// members.
    pub fn new(me: DiskId, minimum_length: usize, stored: StoredState) -> Chain {
        let mut chain = Chain {
            minimum_length,
            limits: ByteLimits::default(),
            role: ViewRole::new(me, stored.view),
            log: ReplicaLog::stored(stored.snapshot_index, stored.entries),
            status: StatusRecord::stored(stored.replica_status),
            barriers: Barriers::default(),
            leadership: Leadership::default(),
            upstream: Upstream::default(),
            downstream: Downstream::default(),
            catch_up: CatchUp::begin(Millis::default()),
            snapshots: SnapshotReceiver::default(),
            outbox: Outbox::default(),
        };
        if chain.role.view_number() > 0 {
            chain.reenter_view();
        }
        chain
    }

    /// Replaces the limits in bytes.
    #[must_use]
    pub fn with_byte_limits(mut self, limits: ByteLimits) -> Chain {
        self.limits = limits;
        self
    }

    /// Appends an operation and returns its index.
    ///
    /// # Errors
    ///
    /// If this disk is not the head, is not ready, has too many uncommitted entries, or the operation
    /// is too large.
    pub fn submit(
        &mut self,
        operation: Operation,
        now: Millis,
    ) -> Result<(u64, Vec<Effect>), SubmitError> {
        if !self.is_ready() {
            return Err(SubmitError::NotReady);
        }
        if self.is_full() {
            return Err(SubmitError::Full);
        }
        let index = self.log.last() + 1;
        let entry = LogEntry { index, operation };
        if encoded_bytes(&entry) > MAX_ENTRY_BYTES {
            return Err(SubmitError::TooLarge);
        }
        self.log.append(entry, &mut self.outbox);
        self.feed_successor(now);
        Ok((index, self.outbox.take()))
    }

    /// Whether the limit of uncommitted entries is reached, so that nothing can be appended for now.
    pub fn is_full(&self) -> bool {
        let (committed, last) = (self.log.committed(), self.log.last());
        let uncommitted_bytes = self.log.entries().bytes_between(committed, last);
        last - committed >= MAX_UNCOMMITTED_ENTRIES || uncommitted_bytes >= self.limits.uncommitted
    }

    /// Starts a barrier; [`Effect::Barrier`] with its number follows once every member has seen it.
    /// None if this disk is not the head or is not ready.
    pub fn start_barrier(&mut self, now: Millis) -> Option<(u64, Vec<Effect>)> {
        if !self.is_ready() {
            return None;
        }
        let barrier = self.barriers.start_next();
        self.feed_successor(now);
        self.progress(now);
        Some((barrier, self.outbox.take()))
    }

    /// Whether this disk is the head of the newest view.
    pub fn is_head(&self) -> bool {
        self.role.is_head()
    }

    /// Whether this disk is in the chain of the newest view.
    pub fn is_member(&self) -> bool {
        self.role.is_member()
    }

    /// Whether this is the head, and every entry that it had when the view began has been committed
    /// in this view.
    pub fn is_ready(&self) -> bool {
        self.is_head() && self.leadership.is_ready
    }

    /// Everything up to this index is committed and in the log or the snapshot of this disk.
    pub fn committed(&self) -> u64 {
        self.log.committed()
    }

    /// The last index of the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last()
    }

    /// The newest view that was adopted.
    pub fn view(&self) -> &View {
        self.role.view()
    }

    /// Whether this is a spare that has synced every entry committed at most [`CAUGHT_UP_MS`] ago, as
    /// far as the member that feeds it in this view knows. Entries committed since then may be in
    /// flight, as some always are under a steady load.
    pub fn is_caught_up(&self, now: Millis) -> bool {
        let keeps_up = self.catch_up.lag.is_within(CAUGHT_UP_MS, now);
        keeps_up && !self.is_member() && self.is_disk_idle()
    }

    /// Whether this disk is a member and durably has everything that was committed before this
    /// view. Only such a disk may be the head of the next view.
    pub fn is_complete(&self) -> bool {
        let is_complete = self.status.status() == ReplicaStatus::Complete;
        self.is_member() && is_complete && self.status.is_durable()
    }

    /// Whether the chain makes no progress until a newer view, because its head was restarted within
    /// this one. The newer view may have the same members.
    pub fn needs_new_view(&self) -> bool {
        self.is_head() && self.leadership.was_interrupted
    }

    /// The entry at an index, if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        self.log.entries().get(index)
    }

    /// Whether a new snapshot is due, by the bytes of the entries applied since the last one.
    pub fn wants_snapshot(&self, snapshot_index: u64, applied: u64) -> bool {
        let bytes = self.log.entries().bytes_between(snapshot_index, applied);
        bytes >= self.limits.snapshot_after
    }

    /// Drops the entries that a snapshot up to `index` covers from memory, except those retained for
    /// disks that join. The driver has stored that snapshot before.
    pub fn compact_log(&mut self, index: u64) {
        let needs_after = self.downstream.needs_after();
        let index = index.min(self.log.committed());
        self.log
            .entries_mut()
            .compact(index, needs_after, &self.limits);
    }

    /// Whether this head may act in its view.
    pub(crate) fn leads(&self) -> bool {
        self.is_head() && self.is_complete() && !self.leadership.was_interrupted
    }

    /// Whether truncations, installations and the status are durable.
    pub(crate) fn is_disk_idle(&self) -> bool {
        !self.log.has_pending_rewrite() && self.status.is_durable()
    }

    /// The disk that sends this one entries: the predecessor of a member, or the catch-up source of a
    /// spare.
    pub(crate) fn source(&self) -> Option<DiskId> {
        if self.is_member() {
            self.role.predecessor()
        } else {
            self.catch_up.source.member_of(self.role.view())
        }
    }

    /// The state sent to the successor: every verified entry.
    pub(crate) fn member_state(&self) -> SenderState {
        SenderState {
            view_number: self.role.view_number(),
            limit: self.log.verified(),
            committed: self.log.committed(),
            barrier: self.barriers.newest(),
            limits: self.limits,
        }
    }

    /// The state sent to a spare: committed entries only.
    pub(crate) fn joiner_state(&self) -> SenderState {
        SenderState {
            view_number: self.role.view_number(),
            limit: self.log.committed(),
            committed: self.log.committed(),
            barrier: 0,
            limits: self.limits,
        }
    }
}
