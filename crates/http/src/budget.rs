//! The memory for large bodies and answers: how much there is, what one may hold, who waits and who is turned away.
//! The decisions are pure; [`Room`] lets tasks wait for them.

use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Up to this a body or an answer is held without asking; open requests are bounded, and so are these.
pub const SMALL: usize = 64 << 10;
/// The longest answer that is passed on. One said to be longer is none of a storage node's.
pub const ANSWER_LONGEST: u64 = 64 << 20;
/// The longest body that clients send.
const BODY_LONGEST: usize = 33 << 20;
/// What a streamed answer holds at most on its way: a piece in the library's buffers on either side, one between them,
/// and what was collected before it began.
pub const WINDOW: usize = 128 << 10;
/// How long a client waits, unread, for room for its body before it is turned away.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// What a body of unknown length asks for at a time.
const STEP: usize = 256 << 10;

/// Part of the memory that is for large bodies and answers: the rest is the program, small bodies and the allocator's loss.
const PART: (usize, usize) = (2, 5);

/// What becomes of a body when its head is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It needs no room of its own.
    Small,
    /// It is read once this many bytes are held for it.
    Hold(usize),
    /// It would never fit.
    TooLong,
}

/// Bytes for all large bodies and answers together.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    total: usize,
}

impl Budget {
    /// The part of this much memory.
    pub fn of(memory_mb: usize) -> Budget {
        Budget {
            total: (memory_mb << 20) / PART.1 * PART.0,
        }
    }

    /// What bodies may hold together, and answers as much again.
    fn half(&self) -> usize {
        self.total >> 11 << 10
    }

    /// The longest body: one may have all that is for bodies, but no more than clients send.
    pub fn longest(&self) -> usize {
        self.half().clamp(SMALL, BODY_LONGEST)
    }

    /// What becomes of a body whose head gives this length, if any.
    pub fn body(&self, length: Option<u64>) -> Entry {
        match length.map(|l| usize::try_from(l).unwrap_or(usize::MAX)) {
            None => Entry::Small,
            Some(l) if l <= SMALL => Entry::Small,
            Some(l) if l > self.longest() => Entry::TooLong,
            Some(l) => Entry::Hold(l),
        }
    }

    /// What a body without a length must hold to take so many bytes; none where it is too long.
    pub fn grown(&self, bytes: usize, held: usize) -> Option<usize> {
        if bytes <= SMALL || bytes <= held {
            return Some(held);
        }
        let want = bytes.div_ceil(STEP) * STEP;
        (bytes <= self.longest()).then_some(want.min(self.longest()))
    }
}

/// The budget as tasks draw on it; who came first is served first.
#[derive(Clone, Debug)]
pub struct Room {
    budget: Budget,
    /// For bodies, and apart from them for answers: a large body that waits must not hold up what a node gives.
    free: Arc<Semaphore>,
    passing: Arc<Semaphore>,
}

/// Bytes held, until it is dropped.
#[derive(Debug, Default)]
pub struct Hold {
    bytes: usize,
    permits: Vec<OwnedSemaphorePermit>,
}

impl Room {
    /// All of a budget, free.
    pub fn new(budget: Budget) -> Room {
        let half = || Arc::new(Semaphore::new(budget.half() >> 10));
        Room {
            budget,
            free: half(),
            passing: half(),
        }
    }

    /// What is decided by.
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// Bytes that nothing holds.
    pub fn free(&self) -> usize {
        (self.free.available_permits() + self.passing.available_permits()) << 10
    }

    /// Raises what is held to this much; false: there was no room in time. Who holds something already does not wait:
    /// several that did would wait for each other.
    pub async fn raise(&self, hold: &mut Hold, bytes: usize) -> bool {
        Room::draw(&self.free, hold, bytes).await
    }

    /// The same for an answer on its way.
    pub async fn pass(&self, hold: &mut Hold, bytes: usize) -> bool {
        Room::draw(&self.passing, hold, bytes).await
    }

    async fn draw(free: &Arc<Semaphore>, hold: &mut Hold, bytes: usize) -> bool {
        let more =
            u32::try_from(bytes.saturating_sub(hold.bytes).div_ceil(1 << 10)).unwrap_or(u32::MAX);
        if more == 0 {
            return true;
        }
        let permit = match hold.bytes {
            0 => timeout(PATIENCE, free.clone().acquire_many_owned(more))
                .await
                .ok()
                .and_then(Result::ok),
            _ => free.clone().try_acquire_many_owned(more).ok(),
        };
        let Some(permit) = permit else { return false };
        hold.bytes += (more as usize) << 10;
        hold.permits.push(permit);
        true
    }
}

impl Hold {
    /// How many.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
    use tokio::task::JoinSet;

    #[test]
    fn what_fits_is_held_and_what_never_fits_is_turned_away() {
        let budget = Budget::of(48);
        assert!(budget.total < 20 << 20 && budget.longest() < 10 << 20);
        assert_eq!(budget.body(Some(SMALL as u64)), Entry::Small);
        assert_eq!(budget.body(Some(SMALL as u64 + 1)), Entry::Hold(SMALL + 1));
        assert_eq!(budget.body(Some(32 << 20)), Entry::TooLong);
        assert_eq!(budget.body(Some(u64::MAX)), Entry::TooLong);
        assert_eq!(
            (budget.grown(SMALL, 0), budget.grown(SMALL + 1, 0)),
            (Some(0), Some(STEP))
        );
        assert_eq!(
            (budget.grown(STEP, STEP), budget.grown(STEP + 1, STEP)),
            (Some(STEP), Some(2 * STEP))
        );
        assert_eq!(budget.grown(budget.longest() + 1, 0), None);
    }

    /// A hundred bodies of unknown length at once, each growing in steps: how many came whole, and the most that was held.
    async fn hundred(room: &Room) -> (usize, usize) {
        let (all, least) = (room.free(), Arc::new(AtomicUsize::new(usize::MAX)));
        let mut tasks = JoinSet::new();
        for n in 0..100_usize {
            let (room, least) = (room.clone(), least.clone());
            tasks.spawn(async move {
                let mut hold = Hold::default();
                for step in 1..=1 + n % 5 {
                    if !room.raise(&mut hold, step * STEP).await {
                        return false;
                    }
                    least.fetch_min(room.free(), Relaxed);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                true
            });
        }
        let mut whole = 0;
        while let Some(came) = tasks.join_next().await {
            whole += usize::from(came.unwrap());
        }
        (whole, all - least.load(Relaxed))
    }

    #[tokio::test(start_paused = true)]
    async fn a_hundred_at_once_hold_no_more_than_half_and_those_that_grow_do_not_wait_for_each_other(
    ) {
        let room = Room::new(Budget::of(16));
        let (all, began) = (room.free(), tokio::time::Instant::now());
        let (whole, most) = hundred(&room).await;
        assert!(most <= all / 2 && most > all / 3, "{most} of {all}");
        assert!(
            whole >= 20 && began.elapsed() < PATIENCE,
            "{whole} in {:?}",
            began.elapsed()
        );
        assert_eq!(room.free(), all, "all of it is given back");
    }

    #[tokio::test(start_paused = true)]
    async fn the_longest_body_fits_and_answers_have_their_own() {
        for memory in [1, 16, 32, 48, 191, 4_096] {
            let room = Room::new(Budget::of(memory));
            let mut hold = Hold::default();
            let longest = room.budget().longest();
            assert!(room.raise(&mut hold, longest).await, "{memory}");
            assert!(hold.bytes() >= longest);
        }
        let room = Room::new(Budget::of(48));
        let mut hold = Hold::default();
        assert!(room.raise(&mut hold, room.budget().longest()).await);
        assert!(
            !room.raise(&mut Hold::default(), 1).await,
            "nobody waits for good"
        );
        assert!(room.pass(&mut Hold::default(), WINDOW).await);
    }
}
