//! The state of a replica, and what others may ask of it.

use crate::effect::{Effect, ReplicaStatus};
use crate::feeder::Feeder;
use crate::follower::{Follower, SenderState};
use crate::keeping_up::KeepingUp;
use crate::limits::{ByteLimits, CAUGHT_UP_MS, ENTRY_BYTES_MOST, UNCOMMITTED_ENTRIES_MOST};
use crate::log::{encoded_bytes, Log};
use crate::membership::Entry;
use crate::snapshot::{IncomingSnapshot, SharedSnapshot};
use lupinrack_cluster_api::chain::{ChainMessage, SnapshotIdentity};
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::{LogEntry, Operation};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use std::collections::BTreeMap;

/// The barrier by which a head has every member make its standing durable. Barriers for reads follow it.
pub(crate) const RECOVERY_BARRIER: u64 = 1;

/// What a disk held when its process began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The last index that the snapshot covers; 0 without a snapshot.
    pub snapshot_index: u64,
    /// The entries after the snapshot, all synced.
    pub entries: Vec<LogEntry>,
    /// The newest agreed view that the disk has adopted; number 0 for none.
    pub view: View,
    /// The standing stored last.
    pub replica_status: ReplicaStatus,
}

/// Why an operation was not appended. Nothing of it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum SubmitError {
    /// this disk is not the head of a chain that is ready
    NotReady,
    /// too much is uncommitted
    Full,
    /// the operation is larger than a frame may be
    TooLarge,
}

impl std::error::Error for SubmitError {}

/// What this head has done in its view.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    /// The last index when the view began.
    pub(crate) base: u64,
    /// The last barrier that has passed the chain.
    pub(crate) barrier_passed: u64,
    /// Whether everything up to `base` was committed in this view.
    pub(crate) is_ready: bool,
    /// Whether the process was restarted within the view and does not know what it sent before.
    pub(crate) forgotten: bool,
}

/// What was last acknowledged to the predecessor in this view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Acknowledged {
    pub(crate) synced: u64,
    pub(crate) barrier: u64,
}

/// What was last asked of the predecessor in this view.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResendRequest {
    pub(crate) have: u64,
    pub(crate) at: Millis,
}

/// What the disk has of the log.
#[derive(Debug, Default)]
pub(crate) struct DiskState {
    /// The last index that is synced.
    pub(crate) synced: u64,
    /// Truncations and installations under way; until they are done, reports of older writes say nothing.
    pub(crate) rewrites: u32,
    /// Writes of the standing under way.
    pub(crate) replica_status_writes: u32,
}

/// The replica of one disk.
#[derive(Debug)]
pub struct Chain {
    pub(crate) me: DiskId,
    pub(crate) minimum_length: usize,
    pub(crate) bytes: ByteLimits,
    pub(crate) view: View,
    pub(crate) log: Log,
    pub(crate) disk: DiskState,
    pub(crate) replica_status: ReplicaStatus,
    /// Up to here the log is the one of the head of this view.
    pub(crate) verified: u64,
    /// What others said to be committed, also beyond what this replica has.
    pub(crate) told_committed: u64,
    pub(crate) committed: u64,
    /// The newest barrier of this view that was seen, or started.
    pub(crate) barrier: u64,
    pub(crate) leadership: Leadership,
    pub(crate) successor: Option<Follower>,
    /// Spares that this tail keeps fed.
    pub(crate) joiners: BTreeMap<DiskId, Follower>,
    /// Whether the predecessor was heard in this view, without a gap.
    pub(crate) aligned: bool,
    pub(crate) acknowledged: Option<Acknowledged>,
    pub(crate) resend: Option<ResendRequest>,
    pub(crate) joined_at: Option<Millis>,
    /// Whom this disk joins while it is a spare.
    pub(crate) feeder: Feeder,
    /// What this spare had synced when it last told the tail.
    pub(crate) joined_with: u64,
    pub(crate) keeping_up: KeepingUp,
    pub(crate) incoming: IncomingSnapshot,
    /// The received snapshot that is being written to the disk.
    pub(crate) installing: Option<SnapshotIdentity>,
    /// The snapshot that is being sent.
    pub(crate) outgoing: Option<SharedSnapshot>,
    pub(crate) snapshot_asked: bool,
    /// Effects of the call under way; those of the constructor wait for the first call.
    pub(crate) effects: Vec<Effect>,
}

impl Chain {
    /// The replica of a disk, which commits nothing while the chain has fewer than `minimum_length` members.
    pub fn new(me: DiskId, minimum_length: usize, stored: StoredState) -> Chain {
        let log = Log::new(stored.snapshot_index, stored.entries);
        let mut chain = Chain {
            me,
            minimum_length,
            bytes: ByteLimits::default(),
            view: stored.view,
            disk: DiskState {
                synced: log.last(),
                ..DiskState::default()
            },
            log,
            replica_status: stored.replica_status,
            verified: stored.snapshot_index,
            told_committed: stored.snapshot_index,
            committed: stored.snapshot_index,
            barrier: 0,
            leadership: Leadership::default(),
            successor: None,
            joiners: BTreeMap::new(),
            aligned: false,
            acknowledged: None,
            resend: None,
            joined_at: None,
            feeder: Feeder::default(),
            joined_with: 0,
            keeping_up: KeepingUp::default(),
            incoming: IncomingSnapshot::default(),
            installing: None,
            outgoing: None,
            snapshot_asked: false,
            effects: Vec::new(),
        };
        if chain.view.number > 0 {
            chain.enter_view(Entry::Restarted, Millis::default());
        }
        chain
    }

    /// The same replica with other bounds in bytes.
    pub fn with_byte_limits(mut self, bytes: ByteLimits) -> Chain {
        self.bytes = bytes;
        self
    }

    /// Appends an operation, under the index that is returned.
    ///
    /// # Errors
    ///
    /// Where this is not the head, or it is not ready, or too much is uncommitted, or the operation is too large.
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
        if encoded_bytes(&entry) > ENTRY_BYTES_MOST {
            return Err(SubmitError::TooLarge);
        }
        self.log.push(entry.clone());
        self.verified = index;
        self.effects.push(Effect::Append(vec![entry]));
        self.feed_successor(now);
        Ok((index, self.take_effects()))
    }

    /// Whether so much is uncommitted that nothing more may be appended for now.
    pub fn is_full(&self) -> bool {
        let last = self.log.last();
        let entries = last - self.committed;
        entries >= UNCOMMITTED_ENTRIES_MOST
            || self.log.bytes_between(self.committed, last) >= self.bytes.uncommitted
    }

    /// Starts a barrier; [`Effect::Barrier`] with its number follows once every member has seen it. None where this is
    /// not the head or it is not ready.
    pub fn start_barrier(&mut self, now: Millis) -> Option<(u64, Vec<Effect>)> {
        if !self.is_ready() {
            return None;
        }
        self.barrier += 1;
        self.feed_successor(now);
        self.progress(now);
        Some((self.barrier, self.take_effects()))
    }

    /// Whether this disk is the head of the newest view.
    pub fn is_head(&self) -> bool {
        self.view.head() == Some(self.me)
    }

    /// Whether this disk is in the chain of the newest view.
    pub fn is_member(&self) -> bool {
        self.view.position(self.me).is_some()
    }

    /// Whether this is the head and everything that it had when the view began was committed in the view.
    pub fn is_ready(&self) -> bool {
        self.is_head() && self.leadership.is_ready
    }

    /// Everything up to this index is committed and in the log or the snapshot of this disk.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// The last index of the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last()
    }

    /// The newest view that was handed in.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Whether this is a spare that has synced everything that was committed a moment ago, by the word of the tail of this
    /// view. What the tail has told since may be under way: under a steady load something always is.
    pub fn is_caught_up(&self, now: Millis) -> bool {
        let keeps_up = self.keeping_up.reached_within(CAUGHT_UP_MS, now);
        keeps_up && !self.is_member() && self.is_disk_settled()
    }

    /// Whether this disk is a member and durably has everything that was committed before this view. Only such a disk
    /// may be the head of the next view.
    pub fn is_complete(&self) -> bool {
        self.is_member()
            && self.replica_status == ReplicaStatus::Complete
            && self.disk.replica_status_writes == 0
    }

    /// Whether the chain stands still until a newer view, which may have the same members: its head was restarted
    /// within the view.
    pub fn needs_new_view(&self) -> bool {
        self.is_head() && self.leadership.forgotten
    }

    /// An entry, while it is in memory.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        self.log.get(index)
    }

    /// Whether a new snapshot is due for the sake of the bytes of what was applied since the last one.
    pub fn wants_snapshot(&self, snapshot_index: u64, applied: u64) -> bool {
        self.log.bytes_between(snapshot_index, applied) >= self.bytes.snapshot_after
    }

    /// Drops entries from memory that a snapshot covers, save those kept for disks that join. The driver has made a
    /// snapshot up to `index`.
    pub fn compact_log(&mut self, index: u64) {
        let followers = self.successor.iter().chain(self.joiners.values());
        let needed = followers.map(Follower::needs_after).min();
        self.log
            .compact(index.min(self.committed), needed, &self.bytes);
    }

    /// Whether this head acts in its view.
    pub(crate) fn leads(&self) -> bool {
        self.is_head() && self.is_complete() && !self.leadership.forgotten
    }

    /// Whether truncations, installations and the standing are durable.
    pub(crate) fn is_disk_settled(&self) -> bool {
        self.disk.rewrites == 0 && self.disk.replica_status_writes == 0
    }

    pub(crate) fn predecessor(&self) -> Option<DiskId> {
        let position = self.view.position(self.me)?;
        self.view.chain.get(position.checked_sub(1)?).copied()
    }

    pub(crate) fn send(&mut self, to: DiskId, message: ChainMessage) {
        self.effects.push(Effect::Send(to, message));
    }

    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// What is told to the successor.
    pub(crate) fn member_state(&self) -> SenderState {
        SenderState {
            view: self.view.number,
            limit: self.verified,
            committed: self.committed,
            barrier: self.barrier,
            bytes: self.bytes,
        }
    }

    /// What is told to a spare: committed entries only.
    pub(crate) fn joiner_state(&self) -> SenderState {
        SenderState {
            view: self.view.number,
            limit: self.committed,
            committed: self.committed,
            barrier: 0,
            bytes: self.bytes,
        }
    }
}
