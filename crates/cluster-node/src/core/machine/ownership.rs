//! The shards that this process owns: taking them over, its authority over them, and the rounds of their schedulers.

use super::CoreMachine;
use crate::core::shard_authority::AUTHORITY_MS;
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::ServiceName;
use lupinrack_cluster_api::request::Request;
use lupinrack_cluster_api::time::Millis;
use lupinrack_scheduler::{InferredEnd, WaitReport};
use std::time::Duration;

/// Limit on the log lines about inferred ends in one round.
const MAX_INFERRED_END_LINES: usize = 20;

impl CoreMachine {
    /// Takes over the shards that the view assigns to this process, and drops the others.
    pub(super) fn take_over_shards(&mut self) {
        let now = self.now();
        let view = self.views.current();
        let operations = self.shards.follow_view(view, self.replica.state(), now);
        for operation in operations {
            self.submit(operation);
        }
    }

    /// Milliseconds until the requested round may run; none if no round is requested.
    pub fn round_wait_ms(&self, now: Millis) -> Option<u64> {
        if self.shards.is_empty() {
            return None;
        }
        self.rounds.wait_ms(now)
    }

    /// Reports how long the latest events took to finish. The interval between rounds follows from it.
    pub fn events_finished_in(&mut self, duration: Duration) {
        self.rounds.events_finished_in(duration);
    }

    pub(super) fn run_round(&mut self) {
        let now = self.now();
        if self.shards.is_empty() || !self.rounds.begin_if_due(now) {
            return;
        }
        self.log_services();
        let (state, wall) = (self.replica.state(), self.moment.wall);
        let rounds = self.shards.round(state, now, wall, self.authority.until());
        for (service, round) in rounds {
            log_inferred_ends(&round.inferred_ends);
            if let Some(report) = &round.wait_report {
                log_wait_report(&service, report);
            }
            for operation in round.operations {
                self.submit(operation);
            }
            for order in round.messages {
                self.outbox
                    .send_on(order.connection, Frame::Owner(order.message));
            }
        }
    }

    /// Logs a summary of each service once a second, to diagnose why tasks wait.
    fn log_services(&mut self) {
        let now = self.now();
        let is_logged = spdlog::default_logger().should_log(spdlog::Level::Debug);
        if !is_logged || !self.rounds.begin_summary_if_due(now) {
            return;
        }
        for (service, summary) in self.shards.summaries(now) {
            spdlog::debug!("service {}: {summary}", service.0);
        }
    }

    /// Asks the head whether this process's view is still in force, if a confirmation is due.
    pub(super) fn confirm_view(&mut self) {
        let now = self.now();
        if !self.shards.needs_authority() || !self.authority.is_request_due(now) {
            return;
        }
        let number = self.views.current().number;
        let reply_to = self.authority.begin_request(number, now);
        let (request, deadline) = (Request::ConfirmView { number }, now.plus(AUTHORITY_MS));
        let outbox = &mut self.outbox;
        self.own_calls
            .begin(request, reply_to, deadline, now, outbox);
    }

    pub(super) fn poll_confirmation(&mut self) {
        if self.authority.poll(self.views.current().number) {
            self.rounds.request();
        }
    }
}

/// Logs runs whose end was inferred rather than reported by a server, to explain a second start of a task.
fn log_inferred_ends(ends: &[InferredEnd]) {
    for end in ends.iter().take(MAX_INFERRED_END_LINES) {
        log_inferred_end(end);
    }
    if ends.len() > MAX_INFERRED_END_LINES {
        let more = ends.len() - MAX_INFERRED_END_LINES;
        spdlog::info!("{more} more runs have an inferred end");
    }
}

fn log_inferred_end(end: &InferredEnd) {
    let InferredEnd {
        task,
        attempt,
        server,
        reason,
    } = end;
    spdlog::info!(
        "run {attempt} of task {task} on {} is over: {reason}",
        server.0
    );
}

/// Logs why tasks have been waiting for long.
fn log_wait_report(service: &ServiceName, report: &WaitReport) {
    let WaitReport {
        steps,
        more_steps,
        starts,
        without_authority_ms,
        sessions,
    } = report;
    let ServiceName(name) = service;
    for step in steps {
        spdlog::info!("service {name}: {step}");
    }
    spdlog::info!(
        "service {name}: {more_steps} more steps wait; starts: {starts}; without authority for {without_authority_ms} ms; {sessions} sessions"
    );
}
