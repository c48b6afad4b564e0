//! The buffer's decisions.

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

/// A waiter for the log to have its write.
#[derive(Clone, Copy, Debug)]
struct BufferedWaiter {
    /// The sequence number of the write's record.
    sequence: u64,
    waiter: Waiter,
    write: WriteId,
}

/// An attempt that waits for its intent to be durable.
#[derive(Clone, Copy, Debug)]
struct IntendedAttempt {
    /// The sequence number of the intent's record.
    sequence: u64,
    write: WriteId,
    attempt: u16,
}

/// The decisions of one front's buffer, without I/O and without a clock: what may be acknowledged, sent, sent again, given up
/// and freed.
///
/// It promises: [`Acknowledgement::Buffered`] is given once a write is synced to the log, [`Acknowledgement::Flushed`] once a
/// node has it; the intent of an attempt is synced before the attempt's first byte leaves; what was acknowledged is resolved
/// only by a node that has it.
#[derive(Debug)]
pub struct Buffer {
    limits: Limits,
    writes: WriteTable,
    progress: BTreeMap<WriteId, WriteProgress>,
    /// Bytes of the bodies of all pending writes.
    pending_bytes: u64,
    /// Barriers so far, by volume, while it has pending writes.
    barriers: BTreeMap<u64, u64>,
    log: LogPosition,
    buffered_waiters: Vec<BufferedWaiter>,
    intended_attempts: Vec<IntendedAttempt>,
    flushes: Flushes,
    /// The time for which a timer was requested.
    wake_at: Option<Micros>,
}

impl Buffer {
    /// A buffer over what recovery found, with the sequence number of the log's next record.
    pub fn new(limits: Limits, writes: WriteTable, next_sequence: u64) -> Buffer {
        let mut barriers: BTreeMap<u64, u64> = BTreeMap::new();
        let mut progress = BTreeMap::new();
        for pending in writes.pending() {
            // Earlier barriers are kept by order: each pending write waits for those accepted before it.
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

    /// The writes that are not resolved.
    pub fn pending(&self) -> impl Iterator<Item = &PendingWrite> {
        self.writes.pending()
    }

    /// Bytes of the bodies of all pending writes.
    pub fn pending_bytes(&self) -> u64 {
        self.pending_bytes
    }

    /// Processes one input at `now`, and appends what the driver has to do to `actions`.
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
        self.do_what_is_due(now, actions);
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
            let through = Acknowledgement::WriteThrough;
            return actions.push(Action::Acknowledge(waiter, through));
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
        // A request waits for it: its sync does not wait for others.
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

    /// Absent from every node that may have run it: its attempts are known not to have run.
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
                // The sync took so long that a repeat would not be dropped any more.
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

    /// Whether an attempt may be sent now, judged by those before it.
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

    /// What was not synced counts as not written: its writes go through, and nobody is told that they are buffered.
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
            self.writes.apply(self.log.next(), &Record::Resolved(write));
            let through = Acknowledgement::WriteThrough;
            self.flushes.resolve(write, through, actions);
        }
        for buffered in std::mem::take(&mut self.buffered_waiters) {
            let through = Acknowledgement::WriteThrough;
            actions.push(Action::Acknowledge(buffered.waiter, through));
        }
        for intended in std::mem::take(&mut self.intended_attempts) {
            actions.push(Action::Abort(intended.write, intended.attempt));
        }
    }

    /// Applies a record, and has it written unless the log has failed. Returns its sequence number.
    fn append(&mut self, record: Record, actions: &mut Vec<Action>) -> u64 {
        let sequence = self.log.next();
        self.writes.apply(sequence, &record);
        if !self.log.is_closed() {
            self.log.advance();
            actions.push(Action::Append(record));
        }
        sequence
    }

    /// A node has a write.
    fn resolve(&mut self, write: WriteId, actions: &mut Vec<Action>) {
        let volume = self
            .writes
            .get(write)
            .map(|pending| pending.accepted.volume);
        if !self.remove_progress(write) {
            return;
        }
        self.append(Record::Resolved(write), actions);
        // That a node has it is more than that the log has it.
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
            self.forget_barriers_without_writes(volume);
        }
        if !self.log.is_closed() {
            let needed_from = self.writes.needed_from().unwrap_or(self.log.next());
            actions.push(Action::Reclaim(needed_from));
        }
    }

    fn forget_barriers_without_writes(&mut self, volume: u64) {
        let of_volume = |pending: &PendingWrite| pending.accepted.volume == volume;
        if !self.writes.pending().any(of_volume) {
            self.barriers.remove(&volume);
        }
    }

    /// Removes a write's progress, with its bytes. Returns whether there was any.
    fn remove_progress(&mut self, write: WriteId) -> bool {
        let removed = self.progress.remove(&write);
        self.pending_bytes -= removed.as_ref().map_or(0, |progress| progress.bytes);
        removed.is_some()
    }

    /// Changes the stage of a pending write. Returns whether there is one with this number.
    fn set_stage(&mut self, write: WriteId, stage: WriteStage) -> bool {
        let progress = self.progress.get_mut(&write);
        progress.map(|progress| progress.stage = stage).is_some()
    }

    fn do_what_is_due(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.log.begin_due_sync(now.since_boot) {
            actions.push(Action::Sync);
        }
        self.open_due_writes(now, actions);
        self.request_timer(now.since_boot, actions);
    }

    fn request_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let retries = self
            .progress
            .values()
            .filter_map(|progress| match progress.stage {
                WriteStage::Waiting(at) if at > now => Some(at),
                _ => None,
            });
        let Some(at) = retries.chain(self.log.next_sync_at()).min() else {
            return;
        };
        if self.wake_at.is_none_or(|wake| at < wake || wake <= now) {
            self.wake_at = Some(at);
            actions.push(Action::Wake(at));
        }
    }

    /// Opens what may be sent now: durable, past its barrier, due, and in a state that allows it.
    fn open_due_writes(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.log.is_closed() {
            // No intent can be synced any more: what was acknowledged stays in the log for the next start.
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
            // Not before its own record is durable: else an attempt could be known of a write that is not.
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
                // Its resolution was not written in time.
                RetryStatus::Stored => stored.push(write),
            }
        }
        for write in stored {
            self.resolve(write, actions);
        }
    }

    /// The earliest generation of each volume's writes, apart from those in doubt: only that may be sent.
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
