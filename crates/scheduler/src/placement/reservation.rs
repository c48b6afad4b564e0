//! Reservations: capacity that is kept free for work that cannot start yet.

use crate::resources::sum;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::time::Millis;

/// Capacity of a server that is kept free for a gang or for a large single task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reservation {
    /// When the reserved work is expected to start.
    pub(crate) until: Millis,
    /// The priority of the reserved work. More urgent work ignores the reservation.
    pub(crate) priority: u32,
    /// The needs of the reserved work on this server.
    pub(crate) needs: Resources,
}

impl Reservation {
    /// Combines two reservations into one that is at least as restrictive as each of them.
    pub(crate) fn merge(&self, other: &Reservation) -> Reservation {
        Reservation {
            until: self.until.min(other.until),
            priority: self.priority.min(other.priority),
            needs: sum(&self.needs, &other.needs),
        }
    }
}
