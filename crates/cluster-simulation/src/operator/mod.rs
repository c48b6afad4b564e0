//! The operator: concurrent, repeated and invalid changes, and reads. Each call is checked against the rules of
//! the configuration; at the end all calls are checked together for linearizability.

mod configuration_changes;
mod configuration_reads;
mod queue_reads;

use crate::faults::schedule::OperatorAction;
use crate::world::World;
use configuration_changes::ChangeAttempts;
use configuration_reads::PendingRead;
use lupinrack_configuration_history::History;
use queue_reads::PendingQueueRead;

/// Timeout of a call, after which the operator tries another process, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// The operator.
#[derive(Debug, Default)]
pub(crate) struct Operator {
    changes: Vec<ChangeAttempts>,
    read: Option<PendingRead>,
    count: Option<PendingQueueRead>,
    next_read_at: u64,
    next_queue_read_at: u64,
    /// The newest acknowledged version.
    acknowledged: u64,
    /// The newest version known from an acknowledgement or a read.
    known: u64,
    /// The newest version that was read.
    read_version: u64,
    /// When the newest configuration was read back after the traffic ended.
    pub read_at_end: Option<u64>,
    /// All its calls except queue reads.
    history: History,
}

impl Operator {
    /// Whether any change is still being sent.
    pub(crate) fn is_busy(&self) -> bool {
        self.changes.iter().any(|change| !change.is_over())
    }

    /// Number of acknowledged changes.
    pub(crate) fn count_acknowledged(&self) -> usize {
        self.changes
            .iter()
            .filter(|change| change.acknowledged_at().is_some())
            .count()
    }

    /// Begins an action of the fault schedule.
    pub(crate) fn begin(&mut self, action: OperatorAction, world: &mut World) {
        self.begin_action(action, world);
    }

    /// Advances the operator's calls and begins those that are due.
    pub(crate) fn advance(&mut self, world: &mut World) {
        for number in 0..self.changes.len() {
            self.advance_change(number, world);
        }
        self.advance_read(world);
        self.advance_queue_read(world);
    }

    /// Checks all calls together: a single register could have given these answers.
    pub(crate) fn check_history(&self, world: &mut World) {
        if let Err(violation) = self.history.check() {
            let calls = self.history.calls();
            let blocked: Vec<String> = violation
                .blocked
                .iter()
                .take(3)
                .map(|number| format!("{:?}", calls[number.0]))
                .collect();
            let text = format!(
                "HISTORY: no order of the operator's calls fits: {}",
                blocked.join("; ")
            );
            world.oracle.report_violation(world.now, &text);
        }
    }
}
