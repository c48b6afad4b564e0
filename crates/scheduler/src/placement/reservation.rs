//! Capacity that is kept free for work which cannot start yet.

use crate::resources::sum;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;

/// Capacity of a server that is kept free for a gang, or for a task that needs much of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    /// When that work is expected to start.
    pub(crate) until: Millis,
    /// Its priority; more urgent work is not held back.
    pub(crate) priority: u32,
    /// What it needs on this server.
    pub(crate) needs: Resources,
}

impl Reservation {
    /// One reservation in place of two: it holds back what either of them does.
    pub(crate) fn merge(&self, other: &Reservation) -> Reservation {
        Reservation {
            until: self.until.min(other.until),
            priority: self.priority.min(other.priority),
            needs: sum(&self.needs, &other.needs),
        }
    }
}
