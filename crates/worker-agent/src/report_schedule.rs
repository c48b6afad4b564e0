//! Which heartbeats are worth passing on to the owner.

use lupinrack_cluster_api::agent::Heartbeat;
use lupinrack_cluster_api::server::RunningTask;
use lupinrack_cluster_api::time::Millis;

/// The longest time, in milliseconds, without a report while the server lives: reports renew its hold.
pub const REPORT_MS: u64 = 400;

/// The shortest time, in milliseconds, between heartbeats that are passed on for their progress alone.
pub const PROGRESS_MS: u64 = 500;

/// The longest time, in milliseconds, without a heartbeat passed on, even if it tells nothing new.
pub const FULL_REPORT_MS: u64 = 2_000;

/// What to send to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportKind {
    /// The newest heartbeat.
    Heartbeat,
    /// Word that nothing has changed.
    NoChange,
}

/// A heartbeat as it was passed on.
#[derive(Clone, Debug)]
struct Reported {
    heartbeat: Heartbeat,
    orders_answered: u64,
    at: Millis,
}

/// Remembers what the owner was told, and when.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    reported: Option<Reported>,
    last_sent: Option<Millis>,
}

impl Reporter {
    /// When the last message was sent.
    pub fn last_sent(&self) -> Option<Millis> {
        self.last_sent
    }

    /// Notes that a message was sent.
    pub fn sent(&mut self, now: Millis) {
        self.last_sent = Some(now);
    }

    /// Notes that this heartbeat was sent. `orders_answered` is the number of the owner's newest message with orders
    /// that `orders_seen` covers.
    pub fn sent_heartbeat(&mut self, heartbeat: &Heartbeat, orders_answered: u64, now: Millis) {
        self.reported = Some(Reported {
            heartbeat: heartbeat.clone(),
            orders_answered,
            at: now,
        });
        self.sent(now);
    }

    /// What to send now, if anything.
    pub fn due(
        &self,
        heartbeat: &Heartbeat,
        orders_answered: u64,
        now: Millis,
    ) -> Option<ReportKind> {
        let due = |at: Millis| at <= now;
        if due(self.heartbeat_due(heartbeat, orders_answered)) {
            return Some(ReportKind::Heartbeat);
        }
        due(self.no_change_due()).then_some(ReportKind::NoChange)
    }

    /// When something has to be sent if nothing else happens.
    pub fn next_due(&self, heartbeat: &Heartbeat, orders_answered: u64) -> Millis {
        self.heartbeat_due(heartbeat, orders_answered)
            .min(self.no_change_due())
    }

    fn no_change_due(&self) -> Millis {
        self.last_sent
            .map_or(Millis::default(), |at| at.plus(REPORT_MS))
    }

    fn heartbeat_due(&self, heartbeat: &Heartbeat, orders_answered: u64) -> Millis {
        let Some(reported) = &self.reported else {
            return Millis::default();
        };
        if orders_answered > reported.orders_answered || differs(&reported.heartbeat, heartbeat) {
            return Millis::default();
        }
        let progressed = reported.heartbeat.running != heartbeat.running;
        reported.at.plus(if progressed {
            PROGRESS_MS
        } else {
            FULL_REPORT_MS
        })
    }
}

/// Whether the two differ in more than progress, leaving aside what changes with every heartbeat.
fn differs(old: &Heartbeat, new: &Heartbeat) -> bool {
    let same_runs = old.running.len() == new.running.len()
        && old.running.iter().zip(&new.running).all(same_run);
    !same_runs
        || old.server != new.server
        || old.draining != new.draining
        || old.finished != new.finished
}

fn same_run((old, new): (&RunningTask, &RunningTask)) -> bool {
    old.task == new.task && old.attempt == new.attempt && old.checkpoint == new.checkpoint
}
