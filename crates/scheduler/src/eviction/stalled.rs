//! Runs that stand still, or that their server never began.

use crate::estimator::total_ms;
use crate::runs::table::{Run, StopReason};
use crate::scheduler::Scheduler;
use lupinrack_cluster_api::identity::TaskId;
use lupinrack_cluster_api::time::Millis;

/// Added to the time that a run may stand still: this part of its expected duration, in percent.
const STALL_PERCENT: u64 = 15;
/// A start that its server does not list after this time is taken back, in milliseconds.
const UNLISTED_MOST_MS: u64 = 5_000;

/// A run is overdue after so many times its expected duration.
const OVERDUE_FACTOR: u64 = 2;

impl Scheduler {
    /// Notes against their servers the runs that take much longer than expected, each once.
    pub(crate) fn note_overdue(&mut self, now: Millis) {
        let overdue = |run: &Run| {
            let since = run
                .running_since
                .filter(|_| run.shows_duration() && !run.overdue && !run.ended)?;
            let (elapsed, total) = (now.since(since), total_ms(run, &self.durations).max(1));
            let part_done = f64::from(run.percent.clamp(1, 100)) / 100.0;
            let ratio = elapsed as f64 / (total as f64 * part_done);
            (elapsed > OVERDUE_FACTOR * total).then_some((run.task, ratio))
        };
        let overdue: Vec<(TaskId, f64)> = self.runs.iter().filter_map(overdue).collect();
        for (task, ratio) in overdue {
            let Some(run) = self.runs.get_mut(task) else {
                continue;
            };
            run.overdue = true;
            self.evidence.took(&run.server, ratio, now);
        }
    }

    /// Stops runs that stand still, to start them again elsewhere, and notes that against their servers.
    pub(crate) fn stop_stalled(&mut self, now: Millis) {
        let stalled: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|run| self.is_stalled(run, now))
            .map(|run| run.task)
            .collect();
        for task in stalled {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            if run.running_since.is_some() {
                let server = run.server.clone();
                self.evidence.fault(&server, task, now);
            }
            self.stop_run(task, StopReason::Stalled);
        }
    }

    fn is_stalled(&self, run: &Run, now: Millis) -> bool {
        if !run.is_wanted() || !self.is_heard(run, now) {
            return false;
        }
        if run.running_since.is_none() {
            return run.told_in.is_some() && now.since(run.progressed_at) > UNLISTED_MOST_MS;
        }
        !run.traits.long_running && self.stood_still_ms(run, now) > self.may_stand_ms(run)
    }

    fn is_heard(&self, run: &Run, now: Millis) -> bool {
        let heartbeat_timeout_ms = self.settings.heartbeat_timeout_ms;
        self.servers
            .get(&run.server)
            .is_some_and(|server| now.since(server.last_contact) <= heartbeat_timeout_ms)
    }

    /// For how long a run has made no progress. A member of a gang only works while all others are there.
    fn stood_still_ms(&self, run: &Run, now: Millis) -> u64 {
        let mut since = run.progressed_at;
        if run.traits.gang {
            let task = run.task;
            let gang = self.runs.of_step(task.job, task.occurrence, task.step);
            for member in gang.filter(|member| member.attempt == run.attempt) {
                since = since.max(member.running_since.unwrap_or(now));
            }
        }
        now.since(since)
    }

    fn may_stand_ms(&self, run: &Run) -> u64 {
        let expected_ms = self
            .durations
            .expected_ms(&run.traits.queue, run.traits.estimate_ms);
        let part = expected_ms.saturating_mul(STALL_PERCENT) / 100;
        self.settings.stall_ms + self.settings.restore_ms + part
    }
}
