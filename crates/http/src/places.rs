//! The places of clients: so many connections at once, and who makes way when all are taken.

use crate::gate::Visit;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

/// How long a connection has its place for certain: time for its request to come.
const SURE: Duration = Duration::from_millis(50);
/// How long one that was asked to make way may take before another is asked.
const WAY: Duration = Duration::from_millis(20);

/// All places.
#[derive(Clone)]
pub struct Places {
    room: Arc<Semaphore>,
    most: u32,
    taken: Arc<Mutex<HashMap<u64, Visit>>>,
}

/// One place, until it is dropped.
pub struct Place {
    places: Places,
    number: u64,
    _permit: OwnedSemaphorePermit,
}

impl Places {
    /// So many places.
    pub fn new(most: usize) -> Self {
        let most = u32::try_from(most).unwrap_or(u32::MAX);
        Places {
            room: Arc::new(Semaphore::new(most as usize)),
            most,
            taken: Arc::default(),
        }
    }

    /// Takes a place for a connection. Where none is free, the one that has been without a whole request for the
    /// longest makes way: silent clients, however many, must not keep out those who ask something.
    pub async fn take(&self, number: u64, visit: &Visit) -> Place {
        let _permit = loop {
            if let Ok(permit) = self.room.clone().try_acquire_owned() {
                break permit;
            }
            self.make_way();
            if let Ok(Ok(permit)) = timeout(WAY, self.room.clone().acquire_owned()).await {
                break permit;
            }
        };
        self.taken().insert(number, visit.clone());
        Place {
            places: self.clone(),
            number,
            _permit,
        }
    }

    /// Ends once no connection is left.
    pub async fn empty(&self) {
        let _ = self.room.acquire_many(self.most).await;
    }

    fn make_way(&self) {
        let now = Instant::now();
        let taken = self.taken();
        let waiting = taken.values().filter_map(|v| Some((v.waiting()?, v)));
        let old = waiting.filter(|((_, since), _)| now.duration_since(*since) >= SURE);
        // One that has begun to say something goes last.
        if let Some((_, visit)) = old.min_by_key(|((silent, since), _)| (!silent, *since)) {
            visit.close();
        }
    }

    fn taken(&self) -> MutexGuard<'_, HashMap<u64, Visit>> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.taken().remove(&self.number);
    }
}
