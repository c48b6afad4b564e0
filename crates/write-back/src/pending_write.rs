//! A write that is not resolved, and whether it may be sent again.
//!
//! The repeat window is measured with the time since boot, which also advances while the process is down. After a reboot
//! only the wall clock remains, and it may have been stepped. Every window then counts as expired, which costs a lookup on
//! the nodes but never runs a write twice.

use crate::accepted_write::AcceptedWrite;
use crate::attempt_outcome::AttemptOutcome;
use crate::moment::Moment;
use lupinrack_policy::Micros;

/// Part of the repeat window, in tenths, in which a retry is sent. The rest covers its transmission to the node.
const WINDOW_TENTHS: Micros = 9;

/// An attempt at a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptState {
    /// Its number.
    pub attempt: u16,
    /// The node's name.
    pub node: String,
    /// Shard of the node.
    pub shard: u32,
    /// When its intent was recorded, before it was sent.
    pub intended_at: Moment,
    /// How it ended, if known.
    pub outcome: Option<AttemptOutcome>,
}

/// A write that is not resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite {
    /// The accepted write.
    pub accepted: AcceptedWrite,
    /// Sequence number of its [`Accepted`](crate::Record::Accepted) record. The log is needed from there on.
    pub sequence: u64,
    /// Its attempts, in order.
    pub attempts: Vec<AttemptState>,
}

/// Whether and where a pending write may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryStatus {
    /// It has not run: it may be sent at any time to any shard.
    NeverSent,
    /// A node has stored it: it only has to be resolved.
    Stored,
    /// It may have run, and the nodes of this shard still drop repeats of it: it may be retried on this shard only.
    WithinWindow {
        /// The shard.
        shard: u32,
        /// Time until the window expires.
        remaining: Micros,
    },
    /// It may have run, and nodes no longer drop repeats of it. The nodes must be asked for the object first, and it is sent
    /// only if none of them has it.
    WindowExpired {
        /// The names of the nodes that may have run it.
        nodes: Vec<String>,
    },
}

impl PendingWrite {
    /// Whether and where it may be sent at `now`, with the repeat window of its class.
    pub fn retry_status(&self, now: Moment, repeat_window: Micros) -> RetryStatus {
        status_of(&self.attempts, now, repeat_window)
    }

    /// The status without this attempt, as if it had not been intended.
    pub(crate) fn status_before(
        &self,
        attempt: u16,
        now: Moment,
        repeat_window: Micros,
    ) -> RetryStatus {
        let other_attempts = self
            .attempts
            .iter()
            .filter(|other| other.attempt != attempt);
        let other_attempts: Vec<AttemptState> = other_attempts.cloned().collect();
        status_of(&other_attempts, now, repeat_window)
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
    let elapsed = now.since_boot - first.intended_at.since_boot;
    let remaining = repeat_window * WINDOW_TENTHS / 10 - elapsed;
    let one_shard = may_have_run.iter().all(|other| other.shard == first.shard);
    if now.boot == first.intended_at.boot && elapsed >= 0 && remaining > 0 && one_shard {
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
