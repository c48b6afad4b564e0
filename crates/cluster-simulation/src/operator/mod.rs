//! The operator: changes with races, repeats and faults, and reads. Its calls are checked one by one against the rules of
//! the configuration, and in the end as a whole history.

mod configuration_changes;
mod configuration_reads;
mod queue_reads;

use crate::faults::schedule::OperatorOrder;
use crate::world::World;
use configuration_changes::OpenChange;
use configuration_reads::OpenRead;
use lupinrack_configuration_history::History;
use queue_reads::OpenCount;

/// How long the operator waits for an answer before it goes on to another process, in milliseconds.
const SILENCE_MS: u64 = 1_000;

/// The operator.
#[derive(Debug, Default)]
pub struct Operator {
    changes: Vec<OpenChange>,
    read: Option<OpenRead>,
    count: Option<OpenCount>,
    next_read_at: u64,
    next_count_at: u64,
    /// The newest version that was acknowledged.
    acknowledged: u64,
    /// The newest version that is known from an acknowledgement or a read.
    known: u64,
    /// The newest version that was read.
    read_version: u64,
    /// When the newest configuration was read whole after the end of the day.
    pub read_at_end: Option<u64>,
    /// All its calls but counts.
    history: History,
}

impl Operator {
    /// Whether any change is still being sent.
    pub fn is_busy(&self) -> bool {
        self.changes.iter().any(|change| !change.is_over())
    }

    /// How many changes were acknowledged.
    pub fn count_acknowledged(&self) -> usize {
        self.changes
            .iter()
            .filter(|change| change.acknowledged_at().is_some())
            .count()
    }

    /// Begins what the plan has it do.
    pub fn begin(&mut self, order: OperatorOrder, world: &mut World) {
        self.begin_order(order, world);
    }

    /// Lets the operator do what is due.
    pub fn serve(&mut self, world: &mut World) {
        for number in 0..self.changes.len() {
            self.go_on_with_change(number, world);
        }
        self.go_on_with_read(world);
        self.go_on_with_count(world);
    }

    /// Checks all calls together: a single register could have given these answers.
    pub fn check_history(&self, world: &mut World) {
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
            world.checks.broke(world.now, text);
        }
    }
}
