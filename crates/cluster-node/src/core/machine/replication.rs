//! The chain and the replica: appending, applying, snapshots.

use super::*;

impl CoreMachine {
    pub(super) fn carry_out_chain(&mut self, effects: Vec<ChainEffect>, now: Millis) {
        let mut work: VecDeque<ChainEffect> = effects.into();
        while let Some(effect) = work.pop_front() {
            match effect {
                ChainEffect::Send(disk, message) => {
                    if let Some(address) = self.address_of(disk) {
                        self.outbox.send(address, Frame::Chain(message));
                    }
                }
                ChainEffect::Append(entries) => {
                    let last = entries.last().map_or(0, |entry| entry.index);
                    let committed = Some(self.chain.committed());
                    let batch = Batch {
                        append: entries,
                        committed,
                        ..Batch::default()
                    };
                    self.write(batch, AfterWrite::EntriesWritten(last), now);
                }
                ChainEffect::TruncateAfter(index) => {
                    let batch = Batch {
                        truncate_after: Some(index),
                        ..Batch::default()
                    };
                    self.write(batch, AfterWrite::Truncated(index), now);
                }
                ChainEffect::StoreReplicaStatus(replica_status) => {
                    let batch = Batch {
                        replica_status: Some(to_bytes(&replica_status)),
                        ..Batch::default()
                    };
                    self.write(batch, AfterWrite::ReplicaStatusStored, now);
                }
                ChainEffect::Install { index, bytes } => self.install(index, bytes, now),
                ChainEffect::Commit(index) => self.apply_up_to(index, now),
                ChainEffect::Barrier(number) => self.barrier_passed(number, now),
                ChainEffect::NeedSnapshot => {
                    let (index, bytes) = (self.replica.applied, self.replica.bytes());
                    work.extend(self.chain.provide_snapshot(index, bytes, now));
                }
            }
        }
    }

    pub(super) fn install(&mut self, index: u64, bytes: Vec<u8>, now: Millis) {
        match Replica::load(index, &bytes) {
            Ok(replica) => self.replica = replica,
            Err(error) => {
                spdlog::error!("a snapshot up to {index}: {error}");
                return self.fail(CoreFault::UnreadableSnapshot);
            }
        }
        let batch = Batch {
            truncate_after: Some(index),
            snapshot: Some((index, bytes)),
            committed: Some(index),
            ..Batch::default()
        };
        self.write(batch, AfterWrite::StateInstalled(index), now);
    }

    /// Whether so many entries, or so many bytes of them, were applied since the last snapshot.
    pub(super) fn wants_snapshot(&self) -> bool {
        let (snapshot_index, applied) = (self.replica.snapshot_index(), self.replica.applied);
        self.replica.wants_snapshot() || self.chain.wants_snapshot(snapshot_index, applied)
    }

    pub(super) fn write_snapshot(&mut self, now: Millis) {
        let (index, bytes) = self.replica.snapshot();
        let batch = Batch {
            snapshot: Some((index, bytes)),
            committed: Some(index),
            ..Batch::default()
        };
        self.write(batch, AfterWrite::Nothing, now);
        self.chain.compact_log(index);
    }

    pub(super) fn apply_up_to(&mut self, index: u64, now: Millis) {
        let version_before = self.replica.state.configuration().version;
        while self.replica.applied < index {
            let Some(entry) = self.chain.entry(self.replica.applied + 1).cloned() else {
                break;
            };
            let result = self.replica.apply(&entry);
            self.shards
                .applied(&entry.operation, &result, self.agreement.current(), now);
            self.answer_applied(entry.index, &result, now);
        }
        self.round_due = true;
        if self.replica.state.configuration().version != version_before {
            spdlog::info!(
                "configuration {}",
                self.replica.state.configuration().version
            );
            self.tell_configuration();
            self.follow_view(now);
        }
    }

    pub(super) fn answer_applied(&mut self, index: u64, result: &OperationResult, now: Millis) {
        let Some(call) = self.waiting.applied(index) else {
            return;
        };
        self.answer(call.caller, reply_for(result), now);
    }
}
