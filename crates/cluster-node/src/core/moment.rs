//! One reading of both clocks of a process.

use lupinrack_cluster_api::time::{Millis, WallMillis};

/// Both clocks, read at once.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// The steady clock of the process.
    pub now: Millis,
    /// The time of day.
    pub wall: WallMillis,
}
