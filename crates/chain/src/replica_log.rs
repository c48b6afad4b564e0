//! The log of a replica, and how far it is synced, verified and committed.

use crate::effect::Effect;
use crate::log::Log;
use crate::outbox::Outbox;
use lupinrack_cluster_api::operation::LogEntry;

/// The log, and the indices up to which it is synced, verified and committed.
///
/// The log changes in memory at once; effects bring the change to the disk. `committed` never
/// decreases, and no entry up to it is ever truncated.
#[derive(Debug)]
pub(crate) struct ReplicaLog {
    entries: Log,
    /// The last index that is synced.
    synced: u64,
    /// Truncations and installations that are not synced yet. Until they are, completions of older
    /// writes are ignored, since the written entries may have been removed.
    pending_rewrites: u32,
    /// The index up to which the log equals that of the head of this view.
    verified: u64,
    /// The index up to which the log is known to be committed.
    committed: u64,
    /// The highest index that another replica has announced as committed in this view; it may be
    /// beyond the end of this log.
    announced: u64,
}

impl ReplicaLog {
    /// The log that the disk held. Only the entries that the snapshot covers are known to be committed.
    pub(crate) fn stored(snapshot_index: u64, entries: Vec<LogEntry>) -> ReplicaLog {
        let entries = Log::new(snapshot_index, entries);
        ReplicaLog {
            synced: entries.last(),
            entries,
            pending_rewrites: 0,
            verified: snapshot_index,
            committed: snapshot_index,
            announced: snapshot_index,
        }
    }

    /// The entries in memory.
    pub(crate) fn entries(&self) -> &Log {
        &self.entries
    }

    pub(crate) fn entries_mut(&mut self) -> &mut Log {
        &mut self.entries
    }

    /// The last index, committed or not.
    pub(crate) fn last(&self) -> u64 {
        self.entries.last()
    }

    pub(crate) fn synced(&self) -> u64 {
        self.synced
    }

    pub(crate) fn verified(&self) -> u64 {
        self.verified
    }

    pub(crate) fn committed(&self) -> u64 {
        self.committed
    }

    pub(crate) fn announced(&self) -> u64 {
        self.announced
    }

    /// The index up to which the log is both synced and verified.
    pub(crate) fn verified_synced(&self) -> u64 {
        self.verified.min(self.synced)
    }

    /// Whether a truncation or installation is not synced yet.
    pub(crate) fn has_pending_rewrite(&self) -> bool {
        self.pending_rewrites > 0
    }

    /// Forgets the index announced in an older view.
    pub(crate) fn forget_announced(&mut self) {
        self.announced = self.committed;
    }

    /// Marks the whole log as verified: that of the head by definition, that of a spare because it
    /// holds committed entries only.
    pub(crate) fn verify_all(&mut self) {
        self.verified = self.last();
    }

    /// Marks only the committed entries as verified.
    pub(crate) fn verify_committed_only(&mut self) {
        self.verified = self.committed;
    }

    /// Marks everything announced as verified, which only a complete replica may do.
    pub(crate) fn verify_announced(&mut self) {
        self.verified = self.verified.max(self.announced.min(self.last()));
    }

    /// Notes that another replica announced everything up to this index as committed.
    pub(crate) fn announce(&mut self, index: u64) {
        self.announced = self.announced.max(index);
    }

    /// Commits everything up to an index, unless that is committed already.
    pub(crate) fn commit(&mut self, index: u64, outbox: &mut Outbox) {
        if index > self.committed {
            self.committed = index;
            outbox.push(Effect::Commit(index));
        }
    }

    /// Appends an entry of this head.
    pub(crate) fn append(&mut self, entry: LogEntry, outbox: &mut Outbox) {
        self.verified = entry.index;
        self.entries.push(entry.clone());
        outbox.push(Effect::Append(vec![entry]));
    }

    /// Compares entries of the head with the log, and replaces the log from the first one that
    /// differs or is new. Entries that leave a gap are ignored.
    pub(crate) fn merge(&mut self, entries: Vec<LogEntry>, outbox: &mut Outbox) {
        let verified = self.verified;
        let new = entries
            .into_iter()
            .skip_while(|entry| entry.index <= verified);
        let mut new = new.peekable();
        while let Some(entry) = new.next_if(|entry| self.entries.get(entry.index) == Some(entry)) {
            self.verified = entry.index;
        }
        let new: Vec<LogEntry> = new.collect();
        let continues = new
            .first()
            .is_some_and(|entry| entry.index == self.verified + 1);
        if !continues {
            return;
        }
        self.truncate_after(self.verified, outbox);
        for entry in &new {
            self.entries.push(entry.clone());
        }
        self.verified = self.last();
        outbox.push(Effect::Append(new));
    }

    /// Removes the entries above an index.
    pub(crate) fn truncate_after(&mut self, index: u64, outbox: &mut Outbox) {
        if self.last() <= index {
            return;
        }
        self.entries.truncate_after(index);
        self.synced = self.synced.min(index);
        self.pending_rewrites += 1;
        outbox.push(Effect::TruncateAfter(index));
    }

    /// Replaces everything by a snapshot, whose state is committed.
    pub(crate) fn install(&mut self, index: u64, bytes: Vec<u8>, outbox: &mut Outbox) {
        self.entries.reset(index);
        self.synced = 0;
        self.pending_rewrites += 1;
        self.verified = index;
        self.committed = index;
        self.announce(index);
        outbox.push(Effect::Install { index, bytes });
    }

    /// Notes that everything up to an index was written. Returns whether this counts: it does not
    /// while a pending rewrite may have removed the entries.
    pub(crate) fn entries_written(&mut self, index: u64) -> bool {
        if self.has_pending_rewrite() {
            return false;
        }
        self.synced = self.synced.max(index.min(self.last()));
        true
    }

    /// Notes that a rewrite is synced that left the entries up to an index. Returns whether it was the
    /// last pending one.
    pub(crate) fn rewritten(&mut self, index: u64) -> bool {
        self.pending_rewrites = self.pending_rewrites.saturating_sub(1);
        if self.has_pending_rewrite() {
            return false;
        }
        self.synced = index.min(self.last());
        true
    }
}
