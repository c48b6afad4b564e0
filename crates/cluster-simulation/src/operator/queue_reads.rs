//! Reads of a queue's counts from fronts: the answer shows whether the queue's route is in force there.

use super::{Operator, CALL_TIMEOUT_MS};
use crate::configuration_body::{marker_route_name, HOST};
use crate::pending_call::{call, Outcome, PendingCall};
use crate::world::World;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::request::{Request, Target};

/// Time until an acknowledged configuration is in force on every connected machine, in milliseconds. After this time a
/// disconnected machine no longer answers by the earlier configuration.
const CONFIGURATION_IN_FORCE_MS: u64 = 1_500;
/// Interval between two queue reads, in milliseconds.
const QUEUE_READ_INTERVAL_MS: u64 = 300;

/// A pending queue read from a front.
#[derive(Debug)]
pub(super) struct PendingQueueRead {
    call: PendingCall,
    route: String,
    is_there: bool,
    /// Number of changes begun before the read.
    changes: usize,
}

impl Operator {
    pub(super) fn advance_queue_read(&mut self, world: &mut World) {
        let now = world.now;
        if let Some(count) = &mut self.count {
            let Some(outcome) = count.call.outcome(now) else {
                return;
            };
            let Some(count) = self.count.take() else {
                return;
            };
            if count.changes == self.changes.len() {
                check_queue_read(&count, &outcome, world);
            }
            return;
        }
        if now < self.next_queue_read_at {
            return;
        }
        self.next_queue_read_at = now + QUEUE_READ_INTERVAL_MS;
        let Some((route, is_there)) = self.current_route(now) else {
            return;
        };
        let Some(front) = world.choose_ready_front() else {
            return;
        };
        let target = Target {
            host: HOST.to_owned(),
            path: format!("/{route}/"),
        };
        let (control_call, open) = call(Request::ReadQueue { target }, now, CALL_TIMEOUT_MS);
        self.count = Some(PendingQueueRead {
            call: open,
            route,
            is_there,
            changes: self.changes.len(),
        });
        world.call_front(front, control_call);
    }

    /// The newest change's route, if it is certain whether fronts know it: the change is settled and nothing was sent
    /// since.
    fn current_route(&self, now: u64) -> Option<(String, bool)> {
        if self.is_busy() {
            return None;
        }
        let changes = self.changes.iter().enumerate();
        let acknowledged = changes.filter(|(_, change)| change.acknowledged_at().is_some());
        let (number, change) = acknowledged.max_by_key(|(_, change)| change.version())?;
        if change.version() != self.known
            || change.acknowledged_at()? + CONFIGURATION_IN_FORCE_MS > now
        {
            return None;
        }
        if change.is_replacement() && number > 0 && now.is_multiple_of(2) {
            return Some((marker_route_name(number - 1), false));
        }
        Some((marker_route_name(number), true))
    }
}

fn check_queue_read(count: &PendingQueueRead, outcome: &Outcome, world: &mut World) {
    let wrong = match outcome {
        Outcome::Success(_) => !count.is_there,
        Outcome::Rejected(ErrorKind::UnknownQueue) => count.is_there,
        _ => false,
    };
    if wrong {
        let text = format!(
            "CONFIG: route {} is there: {}, answered {outcome:?}",
            count.route, count.is_there
        );
        world.oracle.report_violation(world.now, &text);
    }
}
