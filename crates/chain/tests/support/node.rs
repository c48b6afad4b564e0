//! The driver of one replica: carries out its effects on the simulated disk and network.

use super::checker::{Checker, Committer, Violation};
use super::disk::{Disk, Snapshot, Write};
use super::{apply, InjectedFault};
use lupinrack_chain::{Chain, Effect};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use std::collections::{BTreeMap, VecDeque};

/// Bytes of a snapshot; more than one chunk.
const SNAPSHOT_BYTES: usize = 700 * 1024;

/// A message to be sent.
#[derive(Debug)]
pub struct Outgoing {
    pub to: DiskId,
    pub message: ChainMessage,
}

/// The requests of a node to its world.
#[derive(Debug, Default)]
pub struct Requests {
    pub outgoing: Vec<Outgoing>,
}

/// A machine: its disk, and its process while it runs.
#[derive(Debug)]
pub struct Node {
    pub id: DiskId,
    pub disk: Disk,
    pub chain: Option<Chain>,
    /// Counts processes, so that events for an earlier one are dropped.
    pub incarnation: u64,
    pub applied: Snapshot,
    pub disk_slow_until: u64,
    minimum_length: usize,
    fault: InjectedFault,
    /// The highest index committed by any replica when each barrier of this head was started.
    barriers: BTreeMap<u64, u64>,
}

impl Node {
    pub fn new(id: DiskId, minimum_length: usize, fault: InjectedFault) -> Node {
        Node {
            id,
            disk: Disk::default(),
            chain: None,
            incarnation: 0,
            applied: Snapshot::default(),
            disk_slow_until: 0,
            minimum_length,
            fault,
            barriers: BTreeMap::new(),
        }
    }

    pub fn start(&mut self) {
        self.applied = self.disk.snapshot;
        self.chain = Some(Chain::new(self.id, self.minimum_length, self.disk.stored()));
    }

    pub fn crash(&mut self, random: &mut fastrand::Rng) {
        self.incarnation += 1;
        self.chain = None;
        self.barriers.clear();
        self.disk.lose_power(random, self.fault);
    }

    pub fn learn(&mut self, view: View, now: Millis, checker: &mut Checker) -> Requests {
        let Some(chain) = self.chain.as_mut() else {
            return Requests::default();
        };
        if chain.view().number >= view.number {
            return Requests::default();
        }
        match self.fault {
            InjectedFault::ViewNotStored => {}
            InjectedFault::ViewStoredLate => self.disk.order(Write::View(view.clone())),
            _ => self.disk.view = view.clone(),
        }
        self.barriers.clear();
        let effects = chain.adopt_view(view, now);
        self.carry_out(effects, now, checker)
    }

    pub fn receive(
        &mut self,
        from: DiskId,
        mut message: ChainMessage,
        now: Millis,
        checker: &mut Checker,
    ) -> Requests {
        let Some(chain) = self.chain.as_mut() else {
            return Requests::default();
        };
        if self.fault == InjectedFault::AcceptOtherViews {
            renumber(&mut message, chain.view().number);
        }
        let effects = chain.receive(from, message, now);
        self.carry_out(effects, now, checker)
    }

    pub fn tick(&mut self, now: Millis, checker: &mut Checker) -> Requests {
        let Some(chain) = self.chain.as_mut() else {
            return Requests::default();
        };
        let effects = chain.tick(now);
        self.carry_out(effects, now, checker)
    }

    pub fn submit(&mut self, number: u64, now: Millis, checker: &mut Checker) -> Requests {
        let submitted = self
            .chain
            .as_mut()
            .and_then(|chain| chain.submit(super::operation(number), now).ok());
        let Some((_, effects)) = submitted else {
            return Requests::default();
        };
        self.carry_out(effects, now, checker)
    }

    pub fn start_barrier(&mut self, now: Millis, checker: &mut Checker) -> Requests {
        let started = self
            .chain
            .as_mut()
            .and_then(|chain| chain.start_barrier(now));
        let Some((number, effects)) = started else {
            return Requests::default();
        };
        self.barriers.insert(number, checker.committed());
        self.carry_out(effects, now, checker)
    }

    /// Completes the oldest write of the disk.
    pub fn synced(&mut self, now: Millis, checker: &mut Checker) -> Requests {
        let write = self.disk.sync_next(self.fault);
        let (Some(write), Some(chain)) = (write, self.chain.as_mut()) else {
            return Requests::default();
        };
        let effects = match write {
            Write::Append(entries) => {
                let last = entries.last().map_or(0, |entry| entry.index);
                chain.entries_written(last, now)
            }
            Write::Truncate(index) => chain.log_truncated(index, now),
            Write::Install(snapshot) => chain.snapshot_installed(snapshot.index, now),
            Write::ReplicaStatus(_) => chain.replica_status_stored(now),
            Write::View(_) => Vec::new(),
        };
        self.carry_out(effects, now, checker)
    }

    /// Makes a snapshot of the applied state, if no write is pending.
    pub fn compact(&mut self) {
        let Some(chain) = self.chain.as_mut() else {
            return;
        };
        if self.disk.is_idle() {
            let too_new = u64::from(self.fault == InjectedFault::StoredSnapshotTooNew);
            self.disk.compact(Snapshot {
                index: self.applied.index + too_new,
                ..self.applied
            });
            chain.compact_log(self.applied.index);
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>, now: Millis, checker: &mut Checker) -> Requests {
        let mut requests = Requests::default();
        let mut queue = VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            let more = self.carry_out_one(effect, now, checker, &mut requests);
            queue.extend(more);
        }
        requests
    }

    fn carry_out_one(
        &mut self,
        effect: Effect,
        now: Millis,
        checker: &mut Checker,
        requests: &mut Requests,
    ) -> Vec<Effect> {
        let Some(chain) = self.chain.as_mut() else {
            return Vec::new();
        };
        match effect {
            Effect::Send(to, message) => requests.outgoing.push(Outgoing { to, message }),
            Effect::Append(entries) => {
                let last = entries.last().map_or(0, |entry| entry.index);
                self.disk.order(Write::Append(entries));
                if self.fault == InjectedFault::AcknowledgeBeforeSync {
                    return chain.entries_written(last, now);
                }
            }
            Effect::TruncateAfter(index) => {
                self.disk.order(Write::Truncate(index));
            }
            Effect::StoreReplicaStatus(replica_status) => {
                self.disk.order(Write::ReplicaStatus(replica_status));
            }
            Effect::Install { index, bytes } => {
                self.install(index, &bytes, checker);
            }
            Effect::Commit(index) => self.apply_through(index, checker),
            Effect::Barrier(number) => {
                let committed = chain.committed();
                let expected = self.barriers.remove(&number).unwrap_or(u64::MAX);
                checker.barrier(self.id, committed, expected);
            }
            Effect::NeedSnapshot => {
                let bytes = self.applied.state.to_le_bytes().repeat(SNAPSHOT_BYTES / 8);
                let too_new = u64::from(self.fault == InjectedFault::SentSnapshotTooNew);
                return chain.provide_snapshot(self.applied.index + too_new, bytes, now);
            }
        }
        Vec::new()
    }

    fn install(&mut self, index: u64, bytes: &[u8], checker: &mut Checker) {
        let (words, _) = bytes.as_chunks::<8>();
        let is_whole = bytes.len() == SNAPSHOT_BYTES && words.iter().all(|word| *word == words[0]);
        if !is_whole {
            checker.report(Violation::WrongSnapshot {
                disk: self.id,
                index,
            });
        }
        let snapshot = Snapshot {
            index,
            state: u64::from_le_bytes(words[0]),
        };
        checker.loaded(self.id, index, snapshot.state);
        self.applied = snapshot;
        self.disk.order(Write::Install(snapshot));
    }

    fn apply_through(&mut self, index: u64, checker: &mut Checker) {
        let Some(chain) = self.chain.as_ref() else {
            return;
        };
        let view = chain.view();
        let by = Committer {
            disk: self.id,
            view: view.number,
            is_head: chain.is_head(),
            chain_is_long_enough: view.chain.len() >= self.minimum_length,
        };
        while self.applied.index < index {
            let next = self.applied.index + 1;
            let Some(entry) = chain.entry(next) else {
                checker.report(Violation::MissingEntry {
                    disk: self.id,
                    index: next,
                });
                return;
            };
            checker.applied(by, next, &entry.operation);
            self.applied = Snapshot {
                index: next,
                state: apply(self.applied.state, &entry.operation),
            };
        }
    }
}

/// Changes a message of another view to one of this view.
fn renumber(message: &mut ChainMessage, newest: u64) {
    match message {
        ChainMessage::Append { view, .. }
        | ChainMessage::Acknowledge { view, .. }
        | ChainMessage::Resend { view, .. }
        | ChainMessage::Snapshot { view, .. }
        | ChainMessage::SnapshotReceived { view, .. }
        | ChainMessage::Join { view, .. } => *view = newest,
        ChainMessage::Outdated { .. } => {}
    }
}
