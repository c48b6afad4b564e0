//! The shards that this process owns, and its authority over them.

use super::*;
use lupinrack_scheduler::InferredEnd;

/// Lines on ends that were inferred in one round, at most.
const INFERRED_END_LINES_MOST: usize = 20;

impl CoreMachine {
    pub(super) fn follow_view(&mut self, now: Millis) {
        let view = self.agreement.current().clone();
        let operations = self.shards.follow_view(&view, &self.replica.state, now);
        for operation in operations {
            self.submit_anywhere(operation, now);
        }
    }

    /// In how many milliseconds a round that something has asked for may be run; none where nothing asks for one.
    pub fn round_wait_ms(&self, now: Millis) -> Option<u64> {
        let asked = self.round_due && !self.shards.is_empty();
        asked.then(|| ROUND_LEAST_MS.saturating_sub(now.since(self.last_round)))
    }

    pub(super) fn run_round(&mut self, now: Millis) {
        if self.shards.is_empty() {
            return;
        }
        let since = now.since(self.last_round);
        let due = since >= ROUND_MOST_MS || (self.round_due && since >= ROUND_LEAST_MS);
        if !due {
            return;
        }
        self.last_round = now;
        self.log_services(now);
        self.round_due = false;
        let wall = self.moment.wall;
        let rounds = self
            .shards
            .round(&self.replica.state, now, wall, self.authority_until);
        for round in rounds {
            log_inferred_ends(&round.inferred_ends);
            for operation in round.operations {
                self.submit_anywhere(operation, now);
            }
            for order in round.messages {
                self.outbox
                    .send_on(order.connection, Frame::Owner(order.message));
            }
        }
    }

    /// A line a second and service, for whoever looks for the reason of a wait.
    fn log_services(&mut self, now: Millis) {
        let due = now.since(self.last_summary) >= SUMMARY_MS;
        if !due || !spdlog::default_logger().should_log(spdlog::Level::Debug) {
            return;
        }
        self.last_summary = now;
        for (service, summary) in self.shards.summaries(now) {
            spdlog::debug!("service {}: {summary}", service.0);
        }
    }

    /// Asks the head now and then whether this process's view still rules; its authority is counted from the question.
    pub(super) fn confirm_view(&mut self, now: Millis) {
        if self.shards.is_empty() || now.since(self.last_confirmation) < CONFIRM_MS {
            return;
        }
        self.last_confirmation = now;
        let number = self.agreement.current().number;
        let (reply_to, reply) = oneshot::channel();
        self.confirmation = Some(Confirmation {
            requested_at: now,
            view: number,
            reply,
        });
        let until = now.plus(AUTHORITY_MS);
        let outgoing = self
            .client
            .call(Request::ConfirmView { number }, reply_to, until, now);
        self.send_all(outgoing);
    }

    pub(super) fn read_confirmation(&mut self) {
        let Some(confirmation) = &mut self.confirmation else {
            return;
        };
        let Ok(reply) = confirmation.reply.try_recv() else {
            return;
        };
        if reply == Reply::Done && confirmation.view == self.agreement.current().number {
            self.authority_until = confirmation.requested_at.plus(AUTHORITY_MS);
            self.round_due = true;
        }
        self.confirmation = None;
    }
}

/// Lines on ends of runs that no server reported, for whoever looks for the reason of a second start.
fn log_inferred_ends(ends: &[InferredEnd]) {
    for run in ends.iter().take(INFERRED_END_LINES_MOST) {
        let InferredEnd {
            task,
            attempt,
            server,
            reason,
        } = run;
        spdlog::info!(
            "run {attempt} of task {task} on {} is over: {reason}",
            server.0
        );
    }
    if ends.len() > INFERRED_END_LINES_MOST {
        spdlog::info!(
            "{} more runs are over likewise",
            ends.len() - INFERRED_END_LINES_MOST
        );
    }
}
