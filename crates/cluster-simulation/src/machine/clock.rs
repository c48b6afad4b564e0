//! The clocks of a machine: steady with drift, and a wall clock that may jump.

use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_node::core::Moment;

/// Wall-clock time at the start of every run, in milliseconds since 1970.
pub(crate) const WALL_START_MS: u64 = 1_700_000_000_000;

/// The clocks of one machine. They keep running while its process is suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MachineClock {
    /// Drift of the steady clock in parts per million; negative if it is slow.
    pub drift_ppm: i64,
    /// How far the wall clock is ahead, in milliseconds.
    pub wall_offset_ms: i64,
    /// When the process began, in the simulation's time.
    pub began: u64,
}

impl MachineClock {
    /// Reads both clocks at this simulation time.
    pub(crate) fn read(&self, now: u64) -> Moment {
        let elapsed = now.saturating_sub(self.began);
        let drift = elapsed as i64 * self.drift_ppm / 1_000_000;
        let steady = elapsed.saturating_add_signed(drift) + 1;
        let wall = (WALL_START_MS + now).saturating_add_signed(self.wall_offset_ms);
        Moment {
            now: Millis(steady),
            wall: WallMillis(wall),
        }
    }
}
