//! A disk that keeps what was synced, and of the rest any first part, at a loss of power.

use super::PlantedFault;
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

/// A write that is under way.
#[derive(Clone, Debug)]
pub enum Write {
    Append(Vec<LogEntry>),
    Truncate(u64),
    Install(Snapshot),
    ReplicaStatus(ReplicaStatus),
    View(View),
}

/// A disk's contents and the writes under way.
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

    /// Begins a sync if none is under way; how many writes it covers.
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

    /// The oldest write is synced.
    pub fn sync_next(&mut self, fault: PlantedFault) -> Option<Write> {
        let write = self.writes.pop_front()?;
        self.perform(write.clone(), fault);
        Some(write)
    }

    fn perform(&mut self, write: Write, fault: PlantedFault) {
        match write {
            Write::Append(entries) => self.log.extend(entries),
            Write::View(view) => self.view = view,
            Write::Truncate(_) if fault == PlantedFault::NoTruncation => {}
            Write::Truncate(index) => self.log.retain(|entry| entry.index <= index),
            Write::Install(snapshot) => {
                self.snapshot = snapshot;
                self.log.clear();
            }
            Write::ReplicaStatus(_) if fault == PlantedFault::AlwaysComplete => {}
            Write::ReplicaStatus(replica_status) => self.replica_status = replica_status,
        }
    }

    /// The applied state becomes the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        self.snapshot = snapshot;
        self.log.retain(|entry| entry.index > snapshot.index);
    }

    /// Of the writes under way nothing lasts, or a first part, whose last write may be torn.
    pub fn lose_power(&mut self, random: &mut fastrand::Rng, fault: PlantedFault) {
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
