//! The memory for large request bodies and responses: how much there is, how much one of them may use, and which have to
//! wait or are refused. [`MemoryBudget`] decides without I/O; [`MemoryPool`] lets tasks wait for memory.

use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// The largest body or response that is held without a reservation. The number of open requests is limited, so the memory
/// for these is limited too.
pub const MAX_UNRESERVED_BYTES: usize = 64 << 10;
/// The longest response that is passed on. No storage node sends a longer one.
pub const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// The longest body that clients send.
const MAX_BODY_BYTES: usize = 33 << 20;
/// The most memory that a streamed response uses: a chunk in hyper's buffers on either side, one between them, and what
/// was collected before streaming started.
pub const STREAM_BUFFER_BYTES: usize = 128 << 10;
/// How long a body waits, unread, for memory before its request is refused.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The step by which the reservation of a body of unknown length grows.
const GROWTH_STEP_BYTES: usize = 256 << 10;

/// The share of the process's memory for large bodies and responses, as numerator and denominator. The rest is for the
/// program, small bodies, and the allocator's overhead.
const MEMORY_SHARE: (usize, usize) = (2, 5);

/// What happens to a body, decided from its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyAdmission {
    /// The body is read without a reservation.
    Unreserved,
    /// The body is read once this many bytes are reserved.
    Reserve(usize),
    /// The body is longer than this front can ever hold.
    TooLong,
}

/// The number of bytes for all large bodies and responses together.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    total_bytes: usize,
}

impl MemoryBudget {
    /// The budget of a process with this much memory.
    pub fn of_memory_mb(memory_mb: usize) -> MemoryBudget {
        MemoryBudget {
            total_bytes: (memory_mb << 20) / MEMORY_SHARE.1 * MEMORY_SHARE.0,
        }
    }

    /// The bytes for all bodies. There are as many again for all responses.
    fn half(&self) -> usize {
        self.total_bytes >> 11 << 10
    }

    /// The longest body that is accepted: a single one may use all memory for bodies, up to what clients send.
    pub fn max_body_bytes(&self) -> usize {
        self.half().clamp(MAX_UNRESERVED_BYTES, MAX_BODY_BYTES)
    }

    /// Decides what happens to a body with this declared length, if its head declares one.
    pub fn admit_body(&self, length: Option<u64>) -> BodyAdmission {
        match length.map(|l| usize::try_from(l).unwrap_or(usize::MAX)) {
            None => BodyAdmission::Unreserved,
            Some(l) if l <= MAX_UNRESERVED_BYTES => BodyAdmission::Unreserved,
            Some(l) if l > self.max_body_bytes() => BodyAdmission::TooLong,
            Some(l) => BodyAdmission::Reserve(l),
        }
    }

    /// The reservation that a body of unknown length needs to hold `bytes` when it has `reserved`, or `None` if it is too
    /// long.
    pub fn required_reservation(&self, bytes: usize, reserved: usize) -> Option<usize> {
        if bytes <= MAX_UNRESERVED_BYTES || bytes <= reserved {
            return Some(reserved);
        }
        let rounded_up = bytes.div_ceil(GROWTH_STEP_BYTES) * GROWTH_STEP_BYTES;
        (bytes <= self.max_body_bytes()).then_some(rounded_up.min(self.max_body_bytes()))
    }
}

/// The memory of a budget, which tasks reserve in the order in which they ask.
#[derive(Clone, Debug)]
pub struct MemoryPool {
    budget: MemoryBudget,
    /// Bodies and responses have separate memory, in KiB: a large body that waits must not block the responses of nodes.
    bodies: Arc<Semaphore>,
    responses: Arc<Semaphore>,
}

/// Reserved bytes, which are given back when this is dropped.
#[derive(Debug, Default)]
pub struct MemoryReservation {
    bytes: usize,
    permits: Vec<OwnedSemaphorePermit>,
}

impl MemoryPool {
    /// A pool with all of the budget free.
    pub fn new(budget: MemoryBudget) -> MemoryPool {
        let half = || Arc::new(Semaphore::new(budget.half() >> 10));
        MemoryPool {
            budget,
            bodies: half(),
            responses: half(),
        }
    }

    /// The budget of this pool.
    pub fn budget(&self) -> MemoryBudget {
        self.budget
    }

    /// The number of bytes that are not reserved.
    pub fn free_bytes(&self) -> usize {
        (self.bodies.available_permits() + self.responses.available_permits()) << 10
    }

    /// Raises the reservation of a body to `bytes`. Returns false if there was no memory in time. A reservation that already
    /// holds some bytes does not wait for more: several such reservations would wait for each other.
    pub async fn reserve_body(&self, reservation: &mut MemoryReservation, bytes: usize) -> bool {
        MemoryPool::reserve(&self.bodies, reservation, bytes).await
    }

    /// The same for a streamed response.
    pub async fn reserve_response(
        &self,
        reservation: &mut MemoryReservation,
        bytes: usize,
    ) -> bool {
        MemoryPool::reserve(&self.responses, reservation, bytes).await
    }

    async fn reserve(
        free: &Arc<Semaphore>,
        reservation: &mut MemoryReservation,
        bytes: usize,
    ) -> bool {
        let missing_kib = u32::try_from(bytes.saturating_sub(reservation.bytes).div_ceil(1 << 10))
            .unwrap_or(u32::MAX);
        if missing_kib == 0 {
            return true;
        }
        let permit = match reservation.bytes {
            0 => timeout(
                RESERVE_TIMEOUT,
                free.clone().acquire_many_owned(missing_kib),
            )
            .await
            .ok()
            .and_then(Result::ok),
            _ => free.clone().try_acquire_many_owned(missing_kib).ok(),
        };
        let Some(permit) = permit else { return false };
        reservation.bytes += (missing_kib as usize) << 10;
        reservation.permits.push(permit);
        true
    }
}

impl MemoryReservation {
    /// The number of bytes reserved.
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
    fn a_body_that_can_fit_is_reserved_and_a_longer_one_is_refused() {
        let budget = MemoryBudget::of_memory_mb(48);
        assert!(budget.total_bytes < 20 << 20 && budget.max_body_bytes() < 10 << 20);
        assert_eq!(
            budget.admit_body(Some(MAX_UNRESERVED_BYTES as u64)),
            BodyAdmission::Unreserved
        );
        assert_eq!(
            budget.admit_body(Some(MAX_UNRESERVED_BYTES as u64 + 1)),
            BodyAdmission::Reserve(MAX_UNRESERVED_BYTES + 1)
        );
        assert_eq!(budget.admit_body(Some(32 << 20)), BodyAdmission::TooLong);
        assert_eq!(budget.admit_body(Some(u64::MAX)), BodyAdmission::TooLong);
        assert_eq!(
            (
                budget.required_reservation(MAX_UNRESERVED_BYTES, 0),
                budget.required_reservation(MAX_UNRESERVED_BYTES + 1, 0)
            ),
            (Some(0), Some(GROWTH_STEP_BYTES))
        );
        assert_eq!(
            (
                budget.required_reservation(GROWTH_STEP_BYTES, GROWTH_STEP_BYTES),
                budget.required_reservation(GROWTH_STEP_BYTES + 1, GROWTH_STEP_BYTES)
            ),
            (Some(GROWTH_STEP_BYTES), Some(2 * GROWTH_STEP_BYTES))
        );
        assert_eq!(
            budget.required_reservation(budget.max_body_bytes() + 1, 0),
            None
        );
    }

    /// Reads a hundred bodies of unknown length at once, each growing in steps. Returns how many were completed, and the
    /// most bytes reserved at a time.
    async fn reserve_for_hundred_bodies(pool: &MemoryPool) -> (usize, usize) {
        let (total, min_free) = (pool.free_bytes(), Arc::new(AtomicUsize::new(usize::MAX)));
        let mut tasks = JoinSet::new();
        for n in 0..100_usize {
            let (pool, min_free) = (pool.clone(), min_free.clone());
            tasks.spawn(async move {
                let mut reservation = MemoryReservation::default();
                for step in 1..=1 + n % 5 {
                    if !pool
                        .reserve_body(&mut reservation, step * GROWTH_STEP_BYTES)
                        .await
                    {
                        return false;
                    }
                    min_free.fetch_min(pool.free_bytes(), Relaxed);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                true
            });
        }
        let mut completed = 0;
        while let Some(result) = tasks.join_next().await {
            completed += usize::from(result.unwrap());
        }
        (completed, total - min_free.load(Relaxed))
    }

    #[tokio::test(start_paused = true)]
    async fn a_hundred_growing_bodies_reserve_at_most_half_and_do_not_wait_for_each_other() {
        let pool = MemoryPool::new(MemoryBudget::of_memory_mb(16));
        let (total, started_at) = (pool.free_bytes(), tokio::time::Instant::now());
        let (completed, max_reserved) = reserve_for_hundred_bodies(&pool).await;
        assert!(
            max_reserved <= total / 2 && max_reserved > total / 3,
            "{max_reserved} of {total}"
        );
        assert!(
            completed >= 20 && started_at.elapsed() < RESERVE_TIMEOUT,
            "{completed} in {:?}",
            started_at.elapsed()
        );
        assert_eq!(pool.free_bytes(), total, "all memory is given back");
    }

    #[tokio::test(start_paused = true)]
    async fn the_longest_body_fits_and_responses_have_separate_memory() {
        for memory_mb in [1, 16, 32, 48, 191, 4_096] {
            let pool = MemoryPool::new(MemoryBudget::of_memory_mb(memory_mb));
            let mut reservation = MemoryReservation::default();
            let longest = pool.budget().max_body_bytes();
            assert!(
                pool.reserve_body(&mut reservation, longest).await,
                "{memory_mb}"
            );
            assert!(reservation.bytes() >= longest);
        }
        let pool = MemoryPool::new(MemoryBudget::of_memory_mb(48));
        let mut reservation = MemoryReservation::default();
        assert!(
            pool.reserve_body(&mut reservation, pool.budget().max_body_bytes())
                .await
        );
        assert!(
            !pool
                .reserve_body(&mut MemoryReservation::default(), 1)
                .await,
            "the wait for memory ends"
        );
        assert!(
            pool.reserve_response(&mut MemoryReservation::default(), STREAM_BUFFER_BYTES)
                .await
        );
    }
}
