//! How far the log is written and synced.

use lupinrack_policy::Micros;

/// How far the log is written and synced. One sync at a time is in flight.
#[derive(Debug)]
pub(super) struct LogPosition {
    /// The sequence number of the next record.
    next: u64,
    /// Records below this sequence number are durable.
    durable_below: u64,
    /// The sync in flight covers the records below this.
    syncing_below: Option<u64>,
    /// When the next sync is due.
    sync_due: Option<Micros>,
    /// Whether the log failed: nothing more is written to it.
    closed: bool,
}

impl LogPosition {
    /// A log whose next record has this number; all before are durable.
    pub(super) fn new(next: u64) -> LogPosition {
        LogPosition {
            next,
            durable_below: next,
            syncing_below: None,
            sync_due: None,
            closed: false,
        }
    }

    pub(super) fn next(&self) -> u64 {
        self.next
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed
    }

    pub(super) fn is_durable(&self, sequence: u64) -> bool {
        sequence < self.durable_below
    }

    /// Takes the number of a record that is written now.
    pub(super) fn advance(&mut self) {
        self.next += 1;
    }

    /// Has a sync begin at this time at the latest, as far as none is due before.
    pub(super) fn sync_by(&mut self, due: Micros) {
        self.sync_due = self.sync_due.or(Some(due));
    }

    /// Has a sync begin as soon as none is in flight.
    pub(super) fn sync_now(&mut self, now: Micros) {
        self.sync_due = Some(now);
    }

    /// Begins a sync if one is due and none is in flight.
    pub(super) fn begin_due_sync(&mut self, now: Micros) -> bool {
        let due = self.sync_due.is_some_and(|at| at <= now);
        let begins = due && self.syncing_below.is_none() && !self.closed;
        if begins {
            self.syncing_below = Some(self.next);
            self.sync_due = None;
        }
        begins
    }

    /// When the next sync begins if nothing else happens; none while one is in flight.
    pub(super) fn next_sync_at(&self) -> Option<Micros> {
        self.sync_due.filter(|_| self.syncing_below.is_none())
    }

    /// The sync in flight went well. Returns whether there was one.
    pub(super) fn synced(&mut self) -> bool {
        let Some(below) = self.syncing_below.take() else {
            return false;
        };
        self.durable_below = self.durable_below.max(below);
        true
    }

    /// The log failed.
    pub(super) fn close(&mut self) {
        self.closed = true;
        self.syncing_below = None;
        self.sync_due = None;
    }
}
