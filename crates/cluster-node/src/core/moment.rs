//! One reading of both clocks of a process.

use lupinrack_cluster_api::time::{Millis, WallMillis};

/// Both clocks, read at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// The monotonic clock of the process.
    pub now: Millis,
    /// The time of day.
    pub wall: WallMillis,
}
