//! Helpers of the scripted tests.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use lupinrack_chain::{Chain, Effect, ReplicaStatus, StoredState};
use lupinrack_cluster_api::chain::ChainMessage;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::operation::{
    ConfigurationBody, ConfigurationChange, LogEntry, Operation,
};
use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_api::view::View;
use std::collections::VecDeque;

pub const START: Millis = Millis(1000);

pub fn operation(number: u64) -> Operation {
    Operation::ForgetJobs {
        ended_before: WallMillis(number),
    }
}

pub fn entry(index: u64, number: u64) -> LogEntry {
    LogEntry {
        index,
        operation: operation(number),
    }
}

/// A view whose chain consists of these disks.
pub fn view(number: u64, chain: &[u64]) -> View {
    View {
        number,
        voters: Vec::new(),
        chain: chain.iter().map(|disk| DiskId(*disk)).collect(),
    }
}

pub fn stored(entries: Vec<LogEntry>, view: View, replica_status: ReplicaStatus) -> StoredState {
    StoredState {
        snapshot_index: 0,
        entries,
        view,
        replica_status,
    }
}

pub fn append(
    view: u64,
    previous: u64,
    entries: Vec<LogEntry>,
    committed: u64,
    barrier: u64,
) -> ChainMessage {
    ChainMessage::Append {
        view,
        previous,
        entries,
        committed,
        barrier,
    }
}

pub fn acknowledge(view: u64, synced: u64, barrier: u64) -> ChainMessage {
    ChainMessage::Acknowledge {
        view,
        synced,
        barrier,
    }
}

/// The messages among the effects.
pub fn messages(effects: &[Effect]) -> Vec<(DiskId, ChainMessage)> {
    let message = |effect: &Effect| match effect {
        Effect::Send(to, message) => Some((*to, message.clone())),
        _ => None,
    };
    effects.iter().filter_map(message).collect()
}

/// The effects other than messages.
pub fn orders(effects: &[Effect]) -> Vec<Effect> {
    effects
        .iter()
        .filter(|effect| !matches!(effect, Effect::Send(..)))
        .cloned()
        .collect()
}

/// Replicas whose writes and messages complete at once, in order.
pub struct Cluster {
    pub chains: Vec<Chain>,
    pub now: Millis,
    /// Disks whose writes do not complete.
    pub stalled: Vec<DiskId>,
    /// The effects other than messages and writes, in order.
    pub seen: Vec<(DiskId, Effect)>,
    queue: VecDeque<(usize, Effect)>,
}

impl Cluster {
    /// A cluster of empty disks, numbered from 1.
    pub fn new(disks: u64, minimum_length: usize) -> Cluster {
        let chain = |disk| Chain::new(DiskId(disk), minimum_length, StoredState::default());
        Cluster {
            chains: (1..=disks).map(chain).collect(),
            now: START,
            stalled: Vec::new(),
            seen: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    pub fn chain(&mut self, disk: u64) -> &mut Chain {
        &mut self.chains[disk as usize - 1]
    }

    pub fn adopt(&mut self, view: View) {
        for disk in 0..self.chains.len() {
            let effects = self.chains[disk].adopt_view(view.clone(), self.now);
            self.run(disk, effects);
        }
    }

    pub fn submit(&mut self, disk: u64, number: u64) -> Option<u64> {
        let now = self.now;
        let (index, effects) = self.chain(disk).submit(operation(number), now).ok()?;
        self.run(disk as usize - 1, effects);
        Some(index)
    }

    pub fn barrier(&mut self, disk: u64) -> Option<u64> {
        let now = self.now;
        let (number, effects) = self.chain(disk).start_barrier(now)?;
        self.run(disk as usize - 1, effects);
        Some(number)
    }

    /// Advances time in ticks of 50 ms.
    pub fn advance(&mut self, milliseconds: u64) {
        let end = self.now.plus(milliseconds);
        while self.now < end {
            self.now = self.now.plus(50);
            for disk in 0..self.chains.len() {
                let effects = self.chains[disk].tick(self.now);
                self.run(disk, effects);
            }
        }
    }

    pub fn run(&mut self, disk: usize, effects: Vec<Effect>) {
        self.queue
            .extend(effects.into_iter().map(|effect| (disk, effect)));
        while let Some((disk, effect)) = self.queue.pop_front() {
            self.carry_out(disk, effect);
        }
    }

    fn carry_out(&mut self, disk: usize, effect: Effect) {
        let (id, now) = (DiskId(disk as u64 + 1), self.now);
        let is_stalled = self.stalled.contains(&id);
        let chain = &mut self.chains[disk];
        let (at, effects) = match effect {
            Effect::Send(to, message) => {
                let to = to.0 as usize - 1;
                (to, self.chains[to].receive(id, message, now))
            }
            Effect::Commit(_) | Effect::Barrier(_) => {
                self.seen.push((id, effect));
                (disk, Vec::new())
            }
            _ if is_stalled => (disk, Vec::new()),
            Effect::Append(entries) => (
                disk,
                chain.entries_written(entries[entries.len() - 1].index, now),
            ),
            Effect::TruncateAfter(index) => (disk, chain.log_truncated(index, now)),
            Effect::StoreReplicaStatus(_) => (disk, chain.replica_status_stored(now)),
            Effect::Install { index, .. } => {
                self.seen.push((id, effect));
                (disk, chain.snapshot_installed(index, now))
            }
            Effect::NeedSnapshot => {
                let committed = chain.committed();
                (
                    disk,
                    chain.provide_snapshot(committed, vec![7; 600 * 1024], now),
                )
            }
        };
        self.queue
            .extend(effects.into_iter().map(|effect| (at, effect)));
    }
}

/// An operation of about this many bytes.
pub fn large_operation(number: u64, bytes: usize) -> Operation {
    let body = ConfigurationBody::Replacement("x".repeat(bytes));
    Operation::ChangeConfiguration(ConfigurationChange {
        if_match: number,
        body,
    })
}
