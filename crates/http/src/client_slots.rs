//! Limits the number of client connections, and chooses the one to close when all slots are taken.

use crate::client_stream::ClientConnection;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

/// How long a connection keeps its slot in any case, so that its request can arrive.
const MIN_SLOT_TIME: Duration = Duration::from_millis(50);
/// How long a connection that was asked to close may take before another one is asked.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(20);

/// The slots of all client connections.
#[derive(Clone)]
pub struct ClientSlots {
    permits: Arc<Semaphore>,
    max_connections: u32,
    taken: Arc<Mutex<HashMap<u64, ClientConnection>>>,
}

/// The slot of one connection, which is freed when this is dropped.
pub struct ClientSlot {
    slots: ClientSlots,
    number: u64,
    _permit: OwnedSemaphorePermit,
}

impl ClientSlots {
    /// Creates slots for at most `max_connections` connections.
    pub fn new(max_connections: usize) -> Self {
        let max_connections = u32::try_from(max_connections).unwrap_or(u32::MAX);
        ClientSlots {
            permits: Arc::new(Semaphore::new(max_connections as usize)),
            max_connections,
            taken: Arc::default(),
        }
    }

    /// Takes a slot for a connection. If none is free, the connection that has waited longest without a complete head is
    /// closed: silent clients, however many, must not keep out clients with requests.
    pub async fn take(&self, number: u64, connection: &ClientConnection) -> ClientSlot {
        let _permit = loop {
            if let Ok(permit) = self.permits.clone().try_acquire_owned() {
                break permit;
            }
            self.close_one();
            if let Ok(Ok(permit)) =
                timeout(CLOSE_TIMEOUT, self.permits.clone().acquire_owned()).await
            {
                break permit;
            }
        };
        self.taken().insert(number, connection.clone());
        ClientSlot {
            slots: self.clone(),
            number,
            _permit,
        }
    }

    /// Completes once no connection is left.
    pub async fn all_free(&self) {
        let _ = self.permits.acquire_many(self.max_connections).await;
    }

    fn close_one(&self) {
        let now = Instant::now();
        let taken = self.taken();
        let waiting = taken
            .values()
            .filter_map(|c| Some((c.waiting_for_head()?, c)));
        let closable =
            waiting.filter(|((_, since), _)| now.duration_since(*since) >= MIN_SLOT_TIME);
        // Connections that have sent part of a head are closed last.
        if let Some((_, connection)) = closable.min_by_key(|((silent, since), _)| (!silent, *since))
        {
            connection.close();
        }
    }

    fn taken(&self) -> MutexGuard<'_, HashMap<u64, ClientConnection>> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.slots.taken().remove(&self.number);
    }
}
