//! The clocks of the process. No other module reads them.

use crate::core::Moment;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reads both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
}

impl Clock {
    /// Starts the monotonic clock at 1, so that 0 is earlier than any reading.
    pub fn start() -> Clock {
        Clock {
            began: Instant::now(),
        }
    }

    /// Milliseconds of the monotonic clock since the process began.
    pub fn now(&self) -> Millis {
        Millis(self.began.elapsed().as_millis() as u64 + 1)
    }

    /// Reads both clocks.
    pub fn moment(&self) -> Moment {
        Moment {
            now: self.now(),
            wall: self.wall(),
        }
    }

    /// The time of day.
    pub fn wall(&self) -> WallMillis {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        WallMillis(since_1970.map_or(0, |duration| duration.as_millis() as u64))
    }
}

/// Draws a random number from the system's source of randomness, for example as the incarnation of this process.
pub fn draw() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    // Each `RandomState` is seeded from the system's randomness. Combining two makes a repeated number unlikely.
    let first = std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish();
    let second = std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish();
    first.rotate_left(32) ^ second
}
