//! Counts that are asked of fronts, which tell whether a route is in force there.

use super::{Operator, SILENCE_MS};
use crate::configuration_body::{mark_of, HOST};
use crate::pending_call::{call, OpenCall, Outcome};
use crate::world::World;
use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::request::{Request, Target};

/// How soon an acknowledged configuration is in force at every machine in touch, in milliseconds. A machine out of touch
/// answers nothing after that by what was in force before.
const APPLY_MS: u64 = 1_500;
/// Between two counts that are asked of fronts, in milliseconds.
const COUNT_EVERY_MS: u64 = 300;

/// A count asked of a front.
#[derive(Debug)]
pub struct OpenCount {
    call: OpenCall,
    mark: String,
    is_there: bool,
    /// How many changes had been begun.
    changes: usize,
}

impl Operator {
    pub(super) fn go_on_with_count(&mut self, world: &mut World) {
        let now = world.now;
        if let Some(count) = &mut self.count {
            let Some(outcome) = count.call.outcome(now) else {
                return;
            };
            let Some(count) = self.count.take() else {
                return;
            };
            if count.changes == self.changes.len() {
                count_answered(&count, &outcome, world);
            }
            return;
        }
        if now < self.next_count_at {
            return;
        }
        self.next_count_at = now + COUNT_EVERY_MS;
        let Some((mark, is_there)) = self.settled_mark(now) else {
            return;
        };
        let Some(front) = world.ready_front() else {
            return;
        };
        let target = Target {
            host: HOST.to_owned(),
            path: format!("/{mark}/"),
        };
        let (control_call, open) = call(Request::ReadQueue { target }, now, SILENCE_MS);
        self.count = Some(OpenCount {
            call: open,
            mark,
            is_there,
            changes: self.changes.len(),
        });
        world.call_front(front, control_call);
    }

    /// A route of which it is certain whether fronts know it: the newest change is settled and nothing else was sent
    /// since.
    fn settled_mark(&self, now: u64) -> Option<(String, bool)> {
        if self.is_busy() {
            return None;
        }
        let changes = self.changes.iter().enumerate();
        let acknowledged = changes.filter(|(_, change)| change.acknowledged_at().is_some());
        let (number, change) = acknowledged.max_by_key(|(_, change)| change.version())?;
        if change.version() != self.known || change.acknowledged_at()? + APPLY_MS > now {
            return None;
        }
        if change.is_whole() && number > 0 && now.is_multiple_of(2) {
            return Some((mark_of(number - 1), false));
        }
        Some((mark_of(number), true))
    }
}

fn count_answered(count: &OpenCount, outcome: &Outcome, world: &mut World) {
    let wrong = match outcome {
        Outcome::Success(_) => !count.is_there,
        Outcome::Refused(ErrorKind::UnknownQueue) => count.is_there,
        _ => false,
    };
    if wrong {
        let text = format!(
            "CONFIG: route {} is there: {}, answered {outcome:?}",
            count.mark, count.is_there
        );
        world.checks.broke(world.now, text);
    }
}
