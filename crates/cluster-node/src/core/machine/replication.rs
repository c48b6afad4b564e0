//! The chain and the replica: appending, applying, snapshots.

use super::CoreMachine;
use crate::core::fault::CoreFault;
use crate::core::pending_writes::WriteContinuation;
use crate::core::replica::Replica;
use crate::core::view_manager::encode;
use lupinrack_chain::Effect;
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::operation::LogEntry;
use lupinrack_control_store::Batch;
use std::collections::VecDeque;

impl CoreMachine {
    pub(super) fn carry_out_chain(&mut self, effects: Vec<Effect>) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Send(disk, message) => {
                    if let Some(address) = self.views.address_of(disk) {
                        self.outbox.send(address, Frame::Chain(message));
                    }
                }
                Effect::Append(entries) => self.write_entries(entries),
                Effect::TruncateAfter(index) => {
                    let batch = Batch {
                        truncate_after: Some(index),
                        ..Batch::default()
                    };
                    self.write(batch, WriteContinuation::Truncated(index));
                }
                Effect::StoreReplicaStatus(status) => {
                    let batch = Batch {
                        replica_status: Some(encode(&status)),
                        ..Batch::default()
                    };
                    self.write(batch, WriteContinuation::ReplicaStatusStored);
                }
                Effect::Install { index, bytes } => self.install_snapshot(index, bytes),
                Effect::Commit(index) => self.apply_up_to(index),
                Effect::Barrier(number) => self.complete_barrier(number),
                Effect::NeedSnapshot => {
                    let (index, bytes) = (self.replica.applied(), self.replica.to_bytes());
                    effects.extend(self.chain.provide_snapshot(index, bytes, self.moment.now));
                }
            }
        }
    }

    fn write_entries(&mut self, entries: Vec<LogEntry>) {
        let last = entries.last().map_or(0, |entry| entry.index);
        let batch = Batch {
            append: entries,
            committed: Some(self.chain.committed()),
            ..Batch::default()
        };
        self.write(batch, WriteContinuation::EntriesWritten(last));
    }

    /// Replaces the replica with a snapshot received from another member.
    fn install_snapshot(&mut self, index: u64, bytes: Vec<u8>) {
        match Replica::load(index, &bytes) {
            Ok(replica) => {
                self.replica = replica;
                self.measure_state(bytes.len());
            }
            Err(error) => {
                spdlog::error!("cannot decode the snapshot up to index {index}: {error}");
                return self.fail(CoreFault::UnreadableSnapshot);
            }
        }
        let batch = Batch {
            truncate_after: Some(index),
            snapshot: Some((index, bytes)),
            committed: Some(index),
            ..Batch::default()
        };
        self.write(batch, WriteContinuation::SnapshotInstalled(index));
    }

    /// Writes a snapshot if enough entries, or enough bytes of entries, were applied since the last one.
    pub(super) fn write_snapshot_if_due(&mut self) {
        let (snapshot_index, applied) = (self.replica.snapshot_index(), self.replica.applied());
        let is_due =
            self.replica.needs_snapshot() || self.chain.wants_snapshot(snapshot_index, applied);
        if !is_due {
            return;
        }
        let (index, bytes) = self.replica.take_snapshot();
        self.measure_state(bytes.len());
        let batch = Batch {
            snapshot: Some((index, bytes)),
            committed: Some(index),
            ..Batch::default()
        };
        self.write(batch, WriteContinuation::Nothing);
        self.chain.compact_log(index);
    }

    /// Records the size of the encoded state.
    pub(super) fn measure_state(&mut self, encoded_bytes: usize) {
        let size = self.admission.size_mut();
        size.measure(self.replica.state(), encoded_bytes);
    }

    fn apply_up_to(&mut self, index: u64) {
        let version_before = self.replica.configuration_version();
        while self.replica.applied() < index {
            let Some(entry) = self.chain.entry(self.replica.applied() + 1).cloned() else {
                break;
            };
            let result = self.replica.apply(&entry);
            self.admission.size_mut().applied(&entry.operation);
            let view = self.views.current();
            self.shards
                .applied(&entry.operation, &result, view, self.moment.now);
            self.reply_to_applied(entry.index, &result);
        }
        self.rounds.request();
        let version = self.replica.configuration_version();
        if version != version_before {
            spdlog::info!("configuration {version}");
            self.send_configuration();
            self.take_over_shards();
        }
    }
}
