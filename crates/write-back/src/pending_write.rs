//! A write that is not resolved, and what may be done with it now.
//!
//! The repeat window is judged by time that also passes while the program is down, within one boot of the machine. Over a
//! boot only the wall clock is left, which may have been set: then every window counts as over, which costs a question to
//! the nodes and never a second run.

use crate::accepted_write::AcceptedWrite;
use crate::attempt_outcome::AttemptOutcome;
use crate::moment::Moment;
use lupinrack_policy::Micros;

/// Part of the window (in tenths) in which a repeat is sent; the rest covers its way to the node.
const WINDOW_TENTHS: Micros = 9;

/// An attempt at a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptState {
    /// Its number.
    pub attempt: u16,
    /// The node's name.
    pub node: String,
    /// The shard that the node held.
    pub shard: u32,
    /// When it was about to be sent.
    pub at: Moment,
    /// How it ended, where that is known.
    pub outcome: Option<AttemptOutcome>,
}

/// A write that is not resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite {
    /// The write as it was accepted.
    pub accepted: AcceptedWrite,
    /// The sequence number of its record: the log is needed from there on.
    pub sequence: u64,
    /// Its attempts, in order.
    pub attempts: Vec<AttemptState>,
}

/// What may be done with a pending write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryStatus {
    /// It provably never ran: it may be sent at any time, anywhere.
    NeverSent,
    /// A node has it: it only remains to be resolved.
    Stored,
    /// It may have run, and the nodes of this shard still drop its repeat: it may be sent again, to them only.
    WithinWindow {
        /// The shard.
        shard: u32,
        /// For how long, in microseconds.
        remaining: Micros,
    },
    /// It may have run and its repeat is dropped no more: these nodes are asked first, by a read of the object, and it is
    /// sent only where it is absent from all of them.
    WindowExpired {
        /// The names of the nodes that may have run it.
        nodes: Vec<String>,
    },
}

impl PendingWrite {
    /// What may be done with it at `now`, with the repeat window of its class.
    pub fn retry_status(&self, now: Moment, repeat_window: Micros) -> RetryStatus {
        status_of(&self.attempts, now, repeat_window)
    }

    /// What could be done with it if this attempt had never been intended.
    pub(crate) fn status_before(
        &self,
        attempt: u16,
        now: Moment,
        repeat_window: Micros,
    ) -> RetryStatus {
        let others = self
            .attempts
            .iter()
            .filter(|other| other.attempt != attempt);
        let others: Vec<AttemptState> = others.cloned().collect();
        status_of(&others, now, repeat_window)
    }
}

fn status_of(attempts: &[AttemptState], now: Moment, repeat_window: Micros) -> RetryStatus {
    let stored = |attempt: &AttemptState| attempt.outcome == Some(AttemptOutcome::Stored);
    if attempts.iter().any(stored) {
        return RetryStatus::Stored;
    }
    let may_have_run: Vec<&AttemptState> = attempts
        .iter()
        .filter(|attempt| attempt.outcome != Some(AttemptOutcome::NeverRan))
        .collect();
    let Some(first) = may_have_run.first() else {
        return RetryStatus::NeverSent;
    };
    let elapsed = now.since_boot - first.at.since_boot;
    let remaining = repeat_window * WINDOW_TENTHS / 10 - elapsed;
    let one_shard = may_have_run.iter().all(|other| other.shard == first.shard);
    if now.boot == first.at.boot && elapsed >= 0 && remaining > 0 && one_shard {
        return RetryStatus::WithinWindow {
            shard: first.shard,
            remaining,
        };
    }
    let mut nodes: Vec<String> = may_have_run
        .iter()
        .map(|attempt| attempt.node.clone())
        .collect();
    nodes.sort_unstable();
    nodes.dedup();
    RetryStatus::WindowExpired { nodes }
}
