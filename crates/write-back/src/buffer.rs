//! The decisions of the buffer.

mod flushes;
mod log_position;
mod write_progress;

use crate::accepted_write::{AcceptedWrite, WriteId};
use crate::action::{Acknowledgement, Action};
use crate::attempt_outcome::AttemptOutcome;
use crate::input::{AcknowledgeAt, Input, Lookup, Waiter};
use crate::limits::Limits;
use crate::moment::Moment;
use crate::pending_write::{PendingWrite, RetryStatus};
use crate::record::Record;
use crate::write_table::WriteTable;
use flushes::Flushes;
use log_position::LogPosition;
use lupinrack_policy::Micros;
use std::collections::{BTreeMap, BTreeSet};
use write_progress::{WriteProgress, WriteStage};

/// A client that waits until its write is durable in the log.
#[derive(Clone, Copy, Debug)]
struct BufferedWaiter {
    /// Sequence number of the record of the write.
    sequence: u64,
    waiter: Waiter,
    write: WriteId,
}

/// An attempt that waits until its intent is durable.
#[derive(Clone, Copy, Debug)]
struct IntendedAttempt {
    /// Sequence number of the record of the intent.
    sequence: u64,
    write: WriteId,
    attempt: u16,
}

/// Decides, without I/O and without a clock, which writes of one front are acknowledged, sent, retried and resolved, and which
/// segments of the log can be removed.
///
/// It guarantees:
/// - [`Acknowledgement::Buffered`] is returned once a write is synced to the log, [`Acknowledgement::Flushed`] once a node has
///   stored it.
/// - The intent of an attempt is synced before the first byte of the attempt is sent.
/// - An acknowledged write is resolved only once a node has stored it.
#[derive(Debug)]
pub struct Buffer {
    limits: Limits,
    writes: WriteTable,
    progress: BTreeMap<WriteId, WriteProgress>,
    /// Total bytes of the bodies of all pending writes.
    pending_bytes: u64,
    /// Number of barriers so far per volume, for volumes with pending writes.
    barriers: BTreeMap<u64, u64>,
    log: LogPosition,
    buffered_waiters: Vec<BufferedWaiter>,
    intended_attempts: Vec<IntendedAttempt>,
    flushes: Flushes,
    /// Time of the last requested timer.
    wake_at: Option<Micros>,
}

impl Buffer {
    /// Creates a buffer from the recovered writes and the sequence number of the next record in the log.
    pub fn new(limits: Limits, writes: WriteTable, next_sequence: u64) -> Buffer {
        let mut barriers: BTreeMap<u64, u64> = BTreeMap::new();
        let mut progress = BTreeMap::new();
        for pending in writes.pending() {
            // Barriers before the restart are not counted. Instead, each recovered write waits for all earlier ones of its
            // volume.
            let generation = barriers.entry(pending.accepted.volume).or_default();
            *generation += 1;
            let recovered = WriteProgress {
                generation: *generation,
                stage: WriteStage::READY,
                bytes: pending.accepted.body.len() as u64,
            };
            progress.insert(pending.accepted.write, recovered);
        }
        Buffer {
            limits,
            pending_bytes: progress.values().map(|write| write.bytes).sum(),
            writes,
            progress,
            barriers,
            log: LogPosition::new(next_sequence),
            buffered_waiters: Vec::new(),
            intended_attempts: Vec::new(),
            flushes: Flushes::default(),
            wake_at: None,
        }
    }

    /// The pending writes.
    pub fn pending(&self) -> impl Iterator<Item = &PendingWrite> {
        self.writes.pending()
    }

    /// Total bytes of the bodies of all pending writes.
    pub fn pending_bytes(&self) -> u64 {
        self.pending_bytes
    }

    /// Handles one input at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Moment, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Write(waiter, acknowledge_at, write) => {
                self.on_write(now, waiter, acknowledge_at, write, actions);
            }
            Input::Flush(waiter, volume) => self.on_flush(waiter, volume, actions),
            Input::Barrier(volume) => {
                if let Some(generation) = self.barriers.get_mut(&volume) {
                    *generation += 1;
                }
            }
            Input::Synced => self.on_synced(now, actions),
            Input::LogFailed => self.on_log_failed(actions),
            Input::Intent {
                write,
                attempt,
                node,
                shard,
            } => {
                if self.log.is_closed() || !self.progress.contains_key(&write) {
                    return actions.push(Action::Abort(write, attempt));
                }
                self.on_intent(now, write, attempt, node, shard, actions);
            }
            Input::AttemptEnded(write, attempt, outcome) => {
                self.on_attempt_ended(write, attempt, outcome, actions);
            }
            Input::Released(write) => {
                let retry_at = now.since_boot + self.limits.retry_delay;
                self.set_stage(write, WriteStage::Waiting(retry_at));
            }
            Input::Located(write, lookup) => self.on_located(write, lookup, actions),
            Input::Timer => self.wake_at = None,
        }
        self.perform_due_actions(now, actions);
    }

    fn on_write(
        &mut self,
        now: Moment,
        waiter: Waiter,
        acknowledge_at: AcknowledgeAt,
        write: AcceptedWrite,
        actions: &mut Vec<Action>,
    ) {
        let bytes = write.body.len() as u64;
        let fits = self.pending_bytes + bytes <= self.limits.max_pending_bytes;
        if self.log.is_closed() || !fits {
            let write_through = Acknowledgement::WriteThrough;
            return actions.push(Action::Acknowledge(waiter, write_through));
        }
        let id = self.writes.next_id();
        let progress = WriteProgress {
            generation: *self.barriers.entry(write.volume).or_default(),
            stage: WriteStage::READY,
            bytes,
        };
        self.progress.insert(id, progress);
        self.pending_bytes += bytes;
        let accepted = AcceptedWrite { write: id, ..write };
        let sequence = self.append(Record::Accepted(accepted), actions);
        match acknowledge_at {
            AcknowledgeAt::Buffered => self.buffered_waiters.push(BufferedWaiter {
                sequence,
                waiter,
                write: id,
            }),
            AcknowledgeAt::Flushed => self.flushes.wait_for_write(waiter, id),
        }
        self.log.sync_by(now.since_boot + self.limits.sync_delay);
    }

    fn on_flush(&mut self, waiter: Waiter, volume: u64, actions: &mut Vec<Action>) {
        let writes: BTreeSet<WriteId> = self
            .writes
            .pending()
            .filter(|pending| pending.accepted.volume == volume)
            .map(|pending| pending.accepted.write)
            .collect();
        if !self.flushes.wait_for_all(waiter, writes) {
            actions.push(Action::Acknowledge(waiter, Acknowledgement::Flushed));
        }
    }

    fn on_intent(
        &mut self,
        now: Moment,
        write: WriteId,
        attempt: u16,
        node: String,
        shard: u32,
        actions: &mut Vec<Action>,
    ) {
        let intent = Record::Attempt {
            write,
            attempt,
            node,
            shard,
            at: now,
        };
        let sequence = self.append(intent, actions);
        self.intended_attempts.push(IntendedAttempt {
            sequence,
            write,
            attempt,
        });
        // A request waits for this intent, so its sync is not delayed to be shared.
        self.log.sync_now(now.since_boot);
    }

    fn on_attempt_ended(
        &mut self,
        write: WriteId,
        attempt: u16,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        if !self.progress.contains_key(&write) {
            return;
        }
        let ended = Record::AttemptEnded {
            write,
            attempt,
            outcome,
        };
        self.append(ended, actions);
        if outcome == AttemptOutcome::Stored {
            self.resolve(write, actions);
        }
    }

    fn on_located(&mut self, write: WriteId, lookup: Lookup, actions: &mut Vec<Action>) {
        match lookup {
            Lookup::Present => self.resolve(write, actions),
            Lookup::Absent => self.on_absent(write, actions),
            Lookup::Unknown => {
                if self.set_stage(write, WriteStage::InDoubt) {
                    actions.push(Action::InDoubt(write));
                }
            }
        }
    }

    /// No node that may have run the write has it, so none of its attempts ran.
    fn on_absent(&mut self, write: WriteId, actions: &mut Vec<Action>) {
        let attempts: Vec<u16> = self.writes.get(write).map_or(Vec::new(), |pending| {
            let attempts = pending.attempts.iter();
            attempts.map(|attempt| attempt.attempt).collect()
        });
        for attempt in attempts {
            let outcome = AttemptOutcome::NeverRan;
            let ended = Record::AttemptEnded {
                write,
                attempt,
                outcome,
            };
            self.append(ended, actions);
        }
        self.writes.record_absence(write);
        self.set_stage(write, WriteStage::READY);
    }

    fn on_synced(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if !self.log.synced() {
            return;
        }
        for buffered in std::mem::take(&mut self.buffered_waiters) {
            if self.log.is_durable(buffered.sequence) {
                let acknowledgement = Acknowledgement::Buffered;
                actions.push(Action::Acknowledge(buffered.waiter, acknowledgement));
            } else {
                self.buffered_waiters.push(buffered);
            }
        }
        for intended in std::mem::take(&mut self.intended_attempts) {
            let IntendedAttempt { write, attempt, .. } = intended;
            if !self.log.is_durable(intended.sequence) {
                self.intended_attempts.push(intended);
            } else if self.may_send(now, write, attempt) {
                actions.push(Action::Send(write, attempt));
            } else {
                // The sync took so long that nodes would no longer drop the retry as a repeat.
                actions.push(Action::Abort(write, attempt));
                let outcome = AttemptOutcome::NeverRan;
                let ended = Record::AttemptEnded {
                    write,
                    attempt,
                    outcome,
                };
                self.append(ended, actions);
                self.set_stage(write, WriteStage::READY);
            }
        }
    }

    /// Whether an attempt may be sent now, given the other attempts at the write.
    fn may_send(&self, now: Moment, write: WriteId, attempt: u16) -> bool {
        let Some(pending) = self.writes.get(write) else {
            return false;
        };
        let shard = pending
            .attempts
            .iter()
            .find(|other| other.attempt == attempt)
            .map(|intended| intended.shard);
        match pending.status_before(attempt, now, self.limits.repeat_window) {
            RetryStatus::NeverSent => true,
            RetryStatus::WithinWindow { shard: only, .. } => shard == Some(only),
            RetryStatus::Stored | RetryStatus::WindowExpired { .. } => false,
        }
    }

    /// Records that were not synced count as not written. Their writes are written through and not acknowledged as buffered.
    fn on_log_failed(&mut self, actions: &mut Vec<Action>) {
        self.log.close();
        let lost: Vec<WriteId> = self
            .writes
            .pending()
            .filter(|pending| !self.log.is_durable(pending.sequence))
            .map(|pending| pending.accepted.write)
            .collect();
        for write in lost {
            self.remove_progress(write);
            self.writes
                .apply(self.log.next_sequence(), &Record::Resolved(write));
            let write_through = Acknowledgement::WriteThrough;
            self.flushes.resolve(write, write_through, actions);
        }
        for buffered in std::mem::take(&mut self.buffered_waiters) {
            let write_through = Acknowledgement::WriteThrough;
            actions.push(Action::Acknowledge(buffered.waiter, write_through));
        }
        for intended in std::mem::take(&mut self.intended_attempts) {
            actions.push(Action::Abort(intended.write, intended.attempt));
        }
    }

    /// Applies a record, and appends it to the log unless the log has failed. Returns its sequence number.
    fn append(&mut self, record: Record, actions: &mut Vec<Action>) -> u64 {
        let sequence = self.log.next_sequence();
        self.writes.apply(sequence, &record);
        if !self.log.is_closed() {
            self.log.advance();
            actions.push(Action::Append(record));
        }
        sequence
    }

    /// Resolves a write that a node has stored.
    fn resolve(&mut self, write: WriteId, actions: &mut Vec<Action>) {
        let volume = self
            .writes
            .get(write)
            .map(|pending| pending.accepted.volume);
        if !self.remove_progress(write) {
            return;
        }
        self.append(Record::Resolved(write), actions);
        // Clients that wait for the log are acknowledged as well: stored by a node is stronger than buffered.
        let (resolved, waiting): (Vec<BufferedWaiter>, Vec<BufferedWaiter>) =
            std::mem::take(&mut self.buffered_waiters)
                .into_iter()
                .partition(|buffered| buffered.write == write);
        self.buffered_waiters = waiting;
        let acknowledge = |buffered: BufferedWaiter| {
            Action::Acknowledge(buffered.waiter, Acknowledgement::Flushed)
        };
        actions.extend(resolved.into_iter().map(acknowledge));
        self.flushes
            .resolve(write, Acknowledgement::Flushed, actions);
        if let Some(volume) = volume {
            self.remove_unused_barriers(volume);
        }
        if !self.log.is_closed() {
            let needed_from = self
                .writes
                .needed_from()
                .unwrap_or(self.log.next_sequence());
            actions.push(Action::Reclaim(needed_from));
        }
    }

    /// Removes the barrier count of a volume without pending writes.
    fn remove_unused_barriers(&mut self, volume: u64) {
        let of_volume = |pending: &PendingWrite| pending.accepted.volume == volume;
        if !self.writes.pending().any(of_volume) {
            self.barriers.remove(&volume);
        }
    }

    /// Removes the state of a write and subtracts its bytes. Returns false if there was none.
    fn remove_progress(&mut self, write: WriteId) -> bool {
        let removed = self.progress.remove(&write);
        self.pending_bytes -= removed.as_ref().map_or(0, |progress| progress.bytes);
        removed.is_some()
    }

    /// Sets the stage of a write. Returns false if no write with this number is pending.
    fn set_stage(&mut self, write: WriteId, stage: WriteStage) -> bool {
        let progress = self.progress.get_mut(&write);
        progress.map(|progress| progress.stage = stage).is_some()
    }

    fn perform_due_actions(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.log.start_due_sync(now.since_boot) {
            actions.push(Action::Sync);
        }
        self.open_due_writes(now, actions);
        self.request_timer(now.since_boot, actions);
    }

    fn request_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let retry_times = self
            .progress
            .values()
            .filter_map(|progress| match progress.stage {
                WriteStage::Waiting(at) if at > now => Some(at),
                _ => None,
            });
        let Some(at) = retry_times.chain(self.log.next_sync_at()).min() else {
            return;
        };
        if self.wake_at.is_none_or(|wake| at < wake || wake <= now) {
            self.wake_at = Some(at);
            actions.push(Action::Wake(at));
        }
    }

    /// Opens the waiting writes that are due, durable and not behind a barrier, and that may be sent. Starts lookups for those
    /// whose retry window has expired.
    fn open_due_writes(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.log.is_closed() {
            // Intents can no longer be synced. Acknowledged writes stay in the log and are sent after the next start.
            return;
        }
        let first_generations = self.first_generations();
        let mut stored = Vec::new();
        for pending in self.writes.pending() {
            let (write, volume) = (pending.accepted.write, pending.accepted.volume);
            let Some(progress) = self.progress.get_mut(&write) else {
                continue;
            };
            let due = matches!(progress.stage, WriteStage::Waiting(at) if at <= now.since_boot);
            let past_barriers = first_generations.get(&volume) == Some(&progress.generation);
            // The record of the write must be durable first. Otherwise the log could contain an attempt without its write.
            if !due || !self.log.is_durable(pending.sequence) || !past_barriers {
                continue;
            }
            match pending.retry_status(now, self.limits.repeat_window) {
                RetryStatus::NeverSent => {
                    progress.stage = WriteStage::Open;
                    actions.push(Action::Open(write, None));
                }
                RetryStatus::WithinWindow { shard, remaining } => {
                    progress.stage = WriteStage::Open;
                    actions.push(Action::Open(write, Some((shard, remaining))));
                }
                RetryStatus::WindowExpired { nodes } => {
                    progress.stage = WriteStage::Locating;
                    actions.push(Action::Locate(write, nodes));
                }
                // The process ended before the resolution was logged.
                RetryStatus::Stored => stored.push(write),
            }
        }
        for write in stored {
            self.resolve(write, actions);
        }
    }

    /// The lowest generation of the pending writes of each volume, without those in doubt. Only writes of this generation may be
    /// sent.
    fn first_generations(&self) -> BTreeMap<u64, u64> {
        let mut first: BTreeMap<u64, u64> = BTreeMap::new();
        for pending in self.writes.pending() {
            let Some(progress) = self.progress.get(&pending.accepted.write) else {
                continue;
            };
            if progress.stage != WriteStage::InDoubt {
                let earliest = first
                    .entry(pending.accepted.volume)
                    .or_insert(progress.generation);
                *earliest = progress.generation.min(*earliest);
            }
        }
        first
    }
}
