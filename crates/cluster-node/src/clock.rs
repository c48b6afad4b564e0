//! The clocks of the process; the only place where they are read.

use crate::core::Moment;
use lupinrack_cluster_api::time::{Millis, WallMillis};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reads both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
}

impl Clock {
    /// Begins at 1, so that 0 lies before every moment.
    pub fn start() -> Clock {
        Clock {
            began: Instant::now(),
        }
    }

    /// Milliseconds of the monotonic clock since the process began.
    pub fn now(&self) -> Millis {
        Millis(self.began.elapsed().as_millis() as u64 + 1)
    }

    /// Both clocks.
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

/// A number drawn once for this incarnation of the process, from the system's source of randomness.
pub fn draw() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    // Each `RandomState` is keyed from the system's randomness; two of them make one draw hard to repeat.
    let first = std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish();
    let second = std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish();
    first.rotate_left(32) ^ second
}
