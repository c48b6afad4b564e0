//! From which member a spare takes entries.
//!
//! The tail feeds spares, since what it has is committed. But a spare is needed most when a member is lost, and that may be
//! the tail: so while its feeder is silent a spare turns to the member before it, and from the head to the tail again.
//! Any member feeds with what it knows to be committed.

use crate::limits::FEEDER_SILENT_MS;
use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;

/// The member that feeds a spare in one view.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Feeder {
    /// How many members before the tail it stands, counted round.
    turn: usize,
    heard_at: Millis,
}

impl Feeder {
    /// The tail, at the beginning of a view.
    pub(crate) fn tail(now: Millis) -> Feeder {
        Feeder {
            turn: 0,
            heard_at: now,
        }
    }

    /// Which member it is.
    pub(crate) fn of(&self, view: &View) -> Option<DiskId> {
        let behind = self.turn.checked_rem(view.chain.len())?;
        view.chain.iter().rev().nth(behind).copied()
    }

    /// It sent something.
    pub(crate) fn heard(&mut self, now: Millis) {
        self.heard_at = now;
    }

    /// Turns to the next one if this one is silent.
    pub(crate) fn look(&mut self, now: Millis) {
        if now.since(self.heard_at) >= FEEDER_SILENT_MS {
            *self = Feeder {
                turn: self.turn + 1,
                heard_at: now,
            };
        }
    }
}
