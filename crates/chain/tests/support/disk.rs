//! A disk that keeps all synced writes at a loss of power, and any prefix of the pending ones.

use super::InjectedFault;
use lupinrack_chain::{ReplicaStatus, StoredState};
use lupinrack_cluster_api::operation::LogEntry;
use lupinrack_cluster_api::view::View;
use std::collections::VecDeque;

/// The applied state at an index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    pub index: u64,
    pub state: u64,
}

/// A pending write.
#[derive(Clone, Debug)]
pub enum Write {
    Append(Vec<LogEntry>),
    Truncate(u64),
    Install(Snapshot),
    ReplicaStatus(ReplicaStatus),
    View(View),
}

/// The contents of a disk and its pending writes.
#[derive(Debug, Default)]
pub struct Disk {
    pub snapshot: Snapshot,
    pub view: View,
    log: Vec<LogEntry>,
    replica_status: ReplicaStatus,
    writes: VecDeque<Write>,
    syncing: bool,
}

impl Disk {
    pub fn stored(&self) -> StoredState {
        StoredState {
            snapshot_index: self.snapshot.index,
            entries: self.log.clone(),
            view: self.view.clone(),
            replica_status: self.replica_status,
        }
    }

    pub fn replica_status(&self) -> ReplicaStatus {
        self.replica_status
    }

    pub fn is_idle(&self) -> bool {
        self.writes.is_empty()
    }

    pub fn order(&mut self, write: Write) {
        self.writes.push_back(write);
    }

    /// Starts a sync unless one is in progress. Returns how many writes it covers.
    pub fn start_sync(&mut self) -> usize {
        if self.syncing || self.writes.is_empty() {
            return 0;
        }
        self.syncing = true;
        self.writes.len()
    }

    pub fn end_sync(&mut self) {
        self.syncing = false;
    }

    /// Completes the oldest write.
    pub fn sync_next(&mut self, fault: InjectedFault) -> Option<Write> {
        let write = self.writes.pop_front()?;
        self.perform(write.clone(), fault);
        Some(write)
    }

    fn perform(&mut self, write: Write, fault: InjectedFault) {
        match write {
            Write::Append(entries) => self.log.extend(entries),
            Write::View(view) => self.view = view,
            Write::Truncate(_) if fault == InjectedFault::NoTruncation => {}
            Write::Truncate(index) => self.log.retain(|entry| entry.index <= index),
            Write::Install(snapshot) => {
                self.snapshot = snapshot;
                self.log.clear();
            }
            Write::ReplicaStatus(_) if fault == InjectedFault::AlwaysComplete => {}
            Write::ReplicaStatus(replica_status) => self.replica_status = replica_status,
        }
    }

    /// Stores the applied state as the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.snapshot = snapshot;
        self.log.retain(|entry| entry.index > snapshot.index);
    }

    /// Keeps none of the pending writes, or a prefix of them whose last write may be torn.
    pub fn lose_power(&mut self, random: &mut fastrand::Rng, fault: InjectedFault) {
        let kept = if random.bool() {
            0
        } else {
            random.usize(0..=self.writes.len())
        };
        for _ in 0..kept {
            self.sync_next(fault);
        }
        if let Some(Write::Append(mut entries)) = self.writes.pop_front() {
            entries.truncate(if kept == 0 {
                0
            } else {
                random.usize(0..=entries.len())
            });
            self.perform(Write::Append(entries), fault);
        }
        self.writes.clear();
        self.syncing = false;
    }
}
