//! Decides which heartbeats are forwarded to the owner, and when.

use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::server::RunningTask;
use lupinrack_cluster_api::time::Millis;

/// The longest time, in milliseconds, between reports while heartbeats arrive: reports renew the lease.
pub const REPORT_INTERVAL_MS: u64 = 400;

/// The shortest time, in milliseconds, between forwarded heartbeats that differ in the progress of runs alone.
pub const PROGRESS_INTERVAL_MS: u64 = 500;

/// The longest time, in milliseconds, between reports with a heartbeat, even if nothing has changed.
pub const FULL_REPORT_INTERVAL_MS: u64 = 2_000;

/// The content of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportKind {
    /// The newest heartbeat.
    Heartbeat,
    /// Only that nothing has changed.
    NoChange,
}

/// A heartbeat as it was forwarded.
#[derive(Clone, Debug)]
struct ForwardedHeartbeat {
    heartbeat: Heartbeat,
    orders_delivered: u64,
    at: Millis,
}

/// What was last reported to the owner in this session, and when; it decides when the next report is due.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportSchedule {
    forwarded: Option<ForwardedHeartbeat>,
    last_report: Option<Millis>,
}

impl ReportSchedule {
    /// Records that a report without a heartbeat was sent.
    pub(crate) fn record_no_change(&mut self, now: Millis) {
        self.last_report = Some(now);
    }

    /// Records that this heartbeat was forwarded. `orders_delivered` is the number of the owner's newest message with orders
    /// that the heartbeat's `orders_seen` covers.
    pub(crate) fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        orders_delivered: u64,
        now: Millis,
    ) {
        self.forwarded = Some(ForwardedHeartbeat {
            heartbeat: heartbeat.clone(),
            orders_delivered,
            at: now,
        });
        self.last_report = Some(now);
    }

    /// What to report now, if anything.
    pub(crate) fn due(
        &self,
        heartbeat: &Heartbeat,
        orders_delivered: u64,
        now: Millis,
    ) -> Option<ReportKind> {
        if self.heartbeat_due_at(heartbeat, orders_delivered) <= now {
            return Some(ReportKind::Heartbeat);
        }
        (self.no_change_due_at() <= now).then_some(ReportKind::NoChange)
    }

    /// When the next report is due if nothing else happens.
    pub(crate) fn next_due(&self, heartbeat: &Heartbeat, orders_delivered: u64) -> Millis {
        self.heartbeat_due_at(heartbeat, orders_delivered)
            .min(self.no_change_due_at())
    }

    fn no_change_due_at(&self) -> Millis {
        self.last_report
            .map_or(Millis::default(), |at| at.plus(REPORT_INTERVAL_MS))
    }

    fn heartbeat_due_at(&self, heartbeat: &Heartbeat, orders_delivered: u64) -> Millis {
        let Some(forwarded) = &self.forwarded else {
            return Millis::default();
        };
        let newly_delivered = orders_delivered > forwarded.orders_delivered;
        if newly_delivered || has_changed(&forwarded.heartbeat, heartbeat) {
            return Millis::default();
        }
        let progressed = forwarded.heartbeat.running != heartbeat.running;
        forwarded.at.plus(if progressed {
            PROGRESS_INTERVAL_MS
        } else {
            FULL_REPORT_INTERVAL_MS
        })
    }
}

/// Whether the heartbeats differ in more than the progress of runs. Fields that change with every heartbeat are ignored.
fn has_changed(old: &Heartbeat, new: &Heartbeat) -> bool {
    let same_runs = old.running.len() == new.running.len()
        && old.running.iter().zip(&new.running).all(is_same_run);
    !same_runs
        || old.server != new.server
        || old.draining != new.draining
        || old.finished != new.finished
}

fn is_same_run((old, new): (&RunningTask, &RunningTask)) -> bool {
    old.task == new.task && old.attempt == new.attempt && old.checkpoint == new.checkpoint
}
