//! Position of the log: which records are written, which are durable, and when the next sync is due.

use lupinrack_policy::Micros;

/// Position of the log. At most one sync is in flight.
#[derive(Debug)]
pub(super) struct LogPosition {
    /// Sequence number of the next record.
    next_sequence: u64,
    /// Records below this sequence number are durable.
    durable_below: u64,
    /// The sync in flight covers the records below this sequence number.
    syncing_below: Option<u64>,
    /// Time at which the next sync is due.
    sync_due: Option<Micros>,
    /// Whether the log has failed. Nothing more is written to it then.
    closed: bool,
}

impl LogPosition {
    /// A log whose next record has this sequence number. All records before it are durable.
    pub(super) fn new(next_sequence: u64) -> LogPosition {
        LogPosition {
            next_sequence,
            durable_below: next_sequence,
            syncing_below: None,
            sync_due: None,
            closed: false,
        }
    }

    pub(super) fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed
    }

    pub(super) fn is_durable(&self, sequence: u64) -> bool {
        sequence < self.durable_below
    }

    /// Counts a record that is appended.
    pub(super) fn advance(&mut self) {
        self.next_sequence += 1;
    }

    /// Schedules a sync at this time unless one is already due.
    pub(super) fn sync_by(&mut self, due: Micros) {
        self.sync_due = self.sync_due.or(Some(due));
    }

    /// Schedules a sync as soon as none is in flight.
    pub(super) fn sync_now(&mut self, now: Micros) {
        self.sync_due = Some(now);
    }

    /// Starts a sync if one is due and none is in flight. Returns whether it did.
    pub(super) fn start_due_sync(&mut self, now: Micros) -> bool {
        let due = self.sync_due.is_some_and(|at| at <= now);
        let starts = due && self.syncing_below.is_none() && !self.closed;
        if starts {
            self.syncing_below = Some(self.next_sequence);
            self.sync_due = None;
        }
        starts
    }

    /// Time at which the next sync starts without further input. `None` while one is in flight.
    pub(super) fn next_sync_at(&self) -> Option<Micros> {
        self.sync_due.filter(|_| self.syncing_below.is_none())
    }

    /// Completes the sync in flight. Returns false if there was none.
    pub(super) fn synced(&mut self) -> bool {
        let Some(below) = self.syncing_below.take() else {
            return false;
        };
        self.durable_below = self.durable_below.max(below);
        true
    }

    /// Closes the log after a failure.
    pub(super) fn close(&mut self) {
        self.closed = true;
        self.syncing_below = None;
        self.sync_due = None;
    }
}
