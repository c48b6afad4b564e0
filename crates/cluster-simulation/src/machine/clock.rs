//! The clocks of a machine: steady with drift, and a wall clock that may jump.

use lupinrack_cluster_api::time::{Millis, WallMillis};
use lupinrack_cluster_node::core::Moment;

/// The wall-clock time at which every run begins, in milliseconds since 1970.
pub(crate) const WALL_BEGIN_MS: u64 = 1_700_000_000_000;

/// The clocks of one machine. They go on while its process stands still.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MachineClock {
    /// How many millionths the steady clock runs fast; negative where it is slow.
    pub drift_ppm: i64,
    /// How far the wall clock is ahead, in milliseconds.
    pub wall_offset_ms: i64,
    /// When the process began, in the simulation's time.
    pub began: u64,
}

impl MachineClock {
    /// Both clocks at this moment of the simulation.
    pub(crate) fn read(&self, now: u64) -> Moment {
        let elapsed = now.saturating_sub(self.began);
        let drift = elapsed as i64 * self.drift_ppm / 1_000_000;
        let steady = elapsed.saturating_add_signed(drift) + 1;
        let wall = (WALL_BEGIN_MS + now).saturating_add_signed(self.wall_offset_ms);
        Moment {
            now: Millis(steady),
            wall: WallMillis(wall),
        }
    }
}
