//! A simulation of a head, a disk that joins it, and a link of limited speed between them.

#![allow(dead_code, reason = "each test file uses some of it")]

use super::common::{large_operation, view};
use lupinrack_chain::{Chain, Effect, ReplicaStatus, StoredState};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::LogEntry;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use std::collections::VecDeque;

pub const HEAD: DiskId = DiskId(1);
pub const JOINER: DiskId = DiskId(2);
/// One step of simulated time, in milliseconds.
const STEP_MS: u64 = 5;
/// Milliseconds between two ticks of a process.
const TICK_MS: u64 = 25;
/// Waiting bytes with which a connection is closed instead of taking a further message.
pub const MAX_CONNECTION_BYTES: u64 = 4 * 1024 * 1024;

/// One direction of the connection.
#[derive(Debug, Default)]
pub struct Link {
    queue: VecDeque<(ChainMessage, u64)>,
    /// Bytes of the first message that were delivered.
    delivered_bytes: u64,
    waiting_bytes: u64,
    /// The maximum of `waiting_bytes` so far.
    pub max_waiting_bytes: u64,
    /// How many times the connection was closed because too many bytes waited.
    pub overflows: u64,
}

impl Link {
    fn push(&mut self, message: ChainMessage) {
        if self.waiting_bytes >= MAX_CONNECTION_BYTES {
            self.overflows += 1;
            self.reset();
            return;
        }
        let bytes = borsh::object_length(&message).expect("counts") as u64;
        self.waiting_bytes += bytes;
        self.max_waiting_bytes = self.max_waiting_bytes.max(self.waiting_bytes);
        self.queue.push_back((message, bytes));
    }

    /// Loses every message in flight.
    pub fn reset(&mut self) {
        self.queue.clear();
        self.delivered_bytes = 0;
        self.waiting_bytes = 0;
    }

    fn deliver(&mut self, mut bytes: u64) -> Vec<ChainMessage> {
        let mut arrived = Vec::new();
        while let Some((_, size)) = self.queue.front() {
            let missing_bytes = size - self.delivered_bytes;
            if missing_bytes > bytes {
                self.delivered_bytes += bytes;
                break;
            }
            bytes -= missing_bytes;
            self.delivered_bytes = 0;
            let (message, size) = self.queue.pop_front().expect("the queue is not empty");
            self.waiting_bytes -= size;
            arrived.push(message);
        }
        arrived
    }
}

/// A disk: the synced state and the pending writes.
#[derive(Debug, Default)]
pub struct Disk {
    stored: StoredState,
    writes: VecDeque<Effect>,
    /// When the sync in progress ends, and how many writes it covers.
    sync: Option<(u64, usize)>,
    /// Milliseconds for which the sync of the next installation hangs.
    hang_ms: Option<u64>,
}

impl Disk {
    fn perform(&mut self, write: &Effect) {
        match write {
            Effect::Append(entries) => self.stored.entries.extend(entries.iter().cloned()),
            Effect::TruncateAfter(index) => {
                self.stored.entries.retain(|entry| entry.index <= *index)
            }
            Effect::StoreReplicaStatus(replica_status) => {
                self.stored.replica_status = *replica_status
            }
            Effect::Install { index, .. } => {
                self.stored.snapshot_index = *index;
                self.stored.entries.clear();
            }
            _ => {}
        }
    }
}

/// The state up to an index. Each part of its bytes differs from that of every other index.
pub fn state(index: u64, bytes: usize) -> Vec<u8> {
    index.to_le_bytes().repeat(bytes / 8)
}

/// The speed of link and disk, and the load.
#[derive(Clone, Copy, Debug)]
pub struct Environment {
    /// Bytes per second of the link in each direction.
    pub link_bytes_per_s: u64,
    /// Milliseconds of one sync of the joiner's disk.
    pub joiner_sync_ms: u64,
    /// Bytes of a change.
    pub change_bytes: usize,
    /// Milliseconds between two changes.
    pub change_every_ms: u64,
    /// Bytes of the state.
    pub state_bytes: usize,
    /// Changes between two snapshots at the head.
    pub snapshot_every: u64,
}

pub struct World {
    pub environment: Environment,
    pub now: u64,
    pub view: View,
    pub head: Chain,
    pub joiner: Chain,
    disk: Disk,
    pub to_joiner: Link,
    pub to_head: Link,
    changes: u64,
    last_change: u64,
    /// The committed index of the head at each step.
    committed: Vec<u64>,
    /// How many snapshots the joiner installed.
    pub installs: u64,
    /// How many snapshots the head requested from its driver.
    pub snapshots_requested: u64,
    /// The maximum bytes of entries in the head's memory so far.
    pub max_log_bytes: u64,
}

impl World {
    pub fn new(environment: Environment) -> World {
        let first = view(1, &[HEAD.0]);
        let mut head = Chain::new(HEAD, 1, StoredState::default());
        head.adopt_view(first.clone(), Millis(0));
        let mut world = World {
            environment,
            now: 0,
            view: first,
            head,
            joiner: Chain::new(JOINER, 1, StoredState::default()),
            disk: Disk::default(),
            to_joiner: Link::default(),
            to_head: Link::default(),
            changes: 0,
            last_change: 0,
            committed: Vec::new(),
            installs: 0,
            snapshots_requested: 0,
            max_log_bytes: 0,
        };
        world.adopt_at_joiner();
        world
    }

    fn moment(&self) -> Millis {
        Millis(self.now)
    }

    /// Submits changes to the head while the joiner is away.
    pub fn change_while_joiner_is_away(&mut self, changes: u64) {
        for _ in 0..changes {
            self.change();
            let effects = self
                .head
                .entries_written(self.head.last_index(), self.moment());
            self.at_head(effects);
        }
    }

    pub fn change(&mut self) {
        let operation = large_operation(self.changes + 1, self.environment.change_bytes);
        let Ok((index, effects)) = self.head.submit(operation, self.moment()) else {
            return;
        };
        self.changes += 1;
        self.at_head(effects);
        if index.is_multiple_of(self.environment.snapshot_every) {
            self.compact();
        }
    }

    pub fn compact(&mut self) {
        let committed = self.head.committed();
        self.head.compact_log(committed);
    }

    /// Adopts a new view with the same chain.
    pub fn change_view(&mut self) {
        self.view.number += 1;
        let effects = self.head.adopt_view(self.view.clone(), self.moment());
        self.at_head(effects);
        let entries_written = self
            .head
            .entries_written(self.head.last_index(), self.moment());
        self.at_head(entries_written);
        self.adopt_at_joiner();
    }

    fn adopt_at_joiner(&mut self) {
        self.disk.stored.view = self.view.clone();
        let effects = self.joiner.adopt_view(self.view.clone(), self.moment());
        self.at_joiner(effects);
    }

    /// Restarts the joiner's process; the first `writes_kept` pending writes reach the disk.
    pub fn crash_joiner(&mut self, writes_kept: usize) {
        for _ in 0..writes_kept {
            let Some(write) = self.disk.writes.pop_front() else {
                break;
            };
            self.disk.perform(&write);
        }
        self.disk.writes.clear();
        self.disk.sync = None;
        self.reset();
        self.joiner = Chain::new(JOINER, 1, self.disk.stored.clone());
        self.adopt_at_joiner();
    }

    /// Makes the joiner's disk hang this long when the next snapshot is written to it.
    pub fn hang_at_next_install(&mut self, milliseconds: u64) {
        self.disk.hang_ms = Some(milliseconds);
    }

    /// Ends the connection without notifying either process.
    pub fn reset(&mut self) {
        self.to_joiner.reset();
        self.to_head.reset();
    }

    /// Ends the connection and notifies the head.
    pub fn disconnect(&mut self) {
        self.reset();
        self.head.peer_disconnected(JOINER, self.moment());
    }

    fn at_head(&mut self, effects: Vec<Effect>) {
        let mut work: VecDeque<Effect> = effects.into();
        while let Some(effect) = work.pop_front() {
            match effect {
                Effect::Send(_, message) => self.to_joiner.push(message),
                Effect::NeedSnapshot => {
                    self.snapshots_requested += 1;
                    let index = self.head.committed();
                    let bytes = state(index, self.environment.state_bytes);
                    work.extend(self.head.provide_snapshot(index, bytes, self.moment()));
                }
                Effect::Append(entries) => {
                    let last = entries.last().map_or(0, |entry| entry.index);
                    work.extend(self.head.entries_written(last, self.moment()));
                }
                Effect::TruncateAfter(index) => {
                    work.extend(self.head.log_truncated(index, self.moment()))
                }
                Effect::StoreReplicaStatus(_) => {
                    work.extend(self.head.replica_status_stored(self.moment()))
                }
                Effect::Install { .. } | Effect::Commit(_) | Effect::Barrier(_) => {}
            }
        }
    }

    fn at_joiner(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(_, message) => self.to_head.push(message),
                Effect::Install { index, bytes } => {
                    let expected = state(index, self.environment.state_bytes);
                    assert!(
                        bytes == expected,
                        "the snapshot up to {index} does not hold that state"
                    );
                    assert!(
                        index <= self.head.committed(),
                        "a snapshot newer than anything committed"
                    );
                    self.installs += 1;
                    self.disk.writes.push_back(Effect::Install {
                        index,
                        bytes: Vec::new(),
                    });
                }
                Effect::Append(_) | Effect::TruncateAfter(_) | Effect::StoreReplicaStatus(_) => {
                    self.disk.writes.push_back(effect);
                }
                Effect::Commit(_) | Effect::Barrier(_) | Effect::NeedSnapshot => {}
            }
        }
    }

    /// Advances time by one step.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.sync();
        let bytes = self.environment.link_bytes_per_s * STEP_MS / 1_000;
        for message in self.to_joiner.deliver(bytes) {
            let effects = self.joiner.receive(HEAD, message, self.moment());
            self.at_joiner(effects);
        }
        for message in self.to_head.deliver(bytes) {
            let effects = self.head.receive(JOINER, message, self.moment());
            self.at_head(effects);
        }
        if self.now.is_multiple_of(TICK_MS) {
            let effects = self.head.tick(self.moment());
            self.at_head(effects);
            let effects = self.joiner.tick(self.moment());
            self.at_joiner(effects);
        }
        if self.now - self.last_change >= self.environment.change_every_ms {
            self.last_change = self.now;
            self.change();
        }
        self.committed.push(self.head.committed());
        self.record_log_size();
        self.check_caught_up_claim();
    }

    fn record_log_size(&mut self) {
        let last = self.head.last_index();
        let in_memory = (1..=last)
            .rev()
            .take_while(|index| self.head.entry(*index).is_some())
            .count();
        self.max_log_bytes = self
            .max_log_bytes
            .max(in_memory as u64 * self.environment.change_bytes as u64);
    }

    fn sync(&mut self) {
        if let Some((end, writes)) = self.disk.sync {
            if self.now < end {
                return;
            }
            self.disk.sync = None;
            for _ in 0..writes {
                let Some(write) = self.disk.writes.pop_front() else {
                    break;
                };
                self.disk.perform(&write);
                let effects = self.report(write);
                self.at_joiner(effects);
            }
        }
        if !self.disk.writes.is_empty() {
            let installs = self
                .disk
                .writes
                .iter()
                .any(|write| matches!(write, Effect::Install { .. }));
            let hang_ms = if installs {
                self.disk.hang_ms.take()
            } else {
                None
            };
            let end = self.now + hang_ms.unwrap_or(self.environment.joiner_sync_ms);
            self.disk.sync = Some((end, self.disk.writes.len()));
        }
    }

    fn report(&mut self, write: Effect) -> Vec<Effect> {
        let now = self.moment();
        match write {
            Effect::Append(entries) => self
                .joiner
                .entries_written(entries.last().map_or(0, |entry| entry.index), now),
            Effect::TruncateAfter(index) => self.joiner.log_truncated(index, now),
            Effect::Install { index, .. } => self.joiner.snapshot_installed(index, now),
            Effect::StoreReplicaStatus(_) => self.joiner.replica_status_stored(now),
            _ => Vec::new(),
        }
    }

    /// The last index on the joiner's disk.
    pub fn on_disk(&self) -> u64 {
        let stored = &self.disk.stored;
        stored
            .entries
            .last()
            .map_or(stored.snapshot_index, |entry| entry.index)
    }

    /// Checks that a joiner that reports to have caught up lacks only entries committed within `CAUGHT_UP_MS` and the
    /// delay of a full connection.
    fn check_caught_up_claim(&self) {
        if !self.joiner.is_caught_up(self.moment()) {
            return;
        }
        let link_ms = MAX_CONNECTION_BYTES * 1_000 / self.environment.link_bytes_per_s;
        let allowed = lupinrack_chain::limits::CAUGHT_UP_MS + link_ms + 2 * STEP_MS;
        let then = self
            .committed
            .len()
            .saturating_sub((allowed / STEP_MS) as usize);
        let expected = self.committed[..then].last().copied().unwrap_or(0);
        assert!(
            self.on_disk() >= expected,
            "caught up at {} with {expected} committed",
            self.on_disk()
        );
        assert!(!self.joiner.is_complete(), "no spare is complete");
    }

    /// Advances time until the joiner has caught up. Returns the milliseconds that it took.
    pub fn until_caught_up(&mut self, timeout_ms: u64) -> Option<u64> {
        let start = self.now;
        while self.now - start < timeout_ms {
            self.step();
            if self.joiner.is_caught_up(self.moment()) {
                return Some(self.now - start);
            }
        }
        None
    }

    pub fn advance(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds;
        while self.now < end {
            self.step();
        }
    }

    /// Whether the joiner's disk holds what the head has committed.
    pub fn is_equal(&self) -> bool {
        let stored = &self.disk.stored;
        let entries_equal = stored
            .entries
            .iter()
            .all(|entry: &LogEntry| self.head.entry(entry.index).is_none_or(|own| own == entry));
        let is_joining = stored.replica_status == ReplicaStatus::Joining;
        entries_equal && is_joining && self.on_disk() == self.head.committed()
    }
}
