//! Group commit: a thread that owns a store and writes the queued batches.

use crate::batch::Batch;
use crate::error::StoreError;
use crate::store::ControlStore;
use crate::writer_thread::WriterThread;
use std::io;
use std::sync::mpsc::{channel, Sender};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// The thread's name.
const THREAD_NAME: &str = "control-store";

/// Default of [`RetryBackoff::initial`].
const DEFAULT_INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Default of [`RetryBackoff::max`].
const DEFAULT_MAX_BACKOFF: Duration = Duration::from_secs(1);

/// How long the writer waits between attempts to write to a disk that fails. The delay doubles with
/// each attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBackoff {
    /// The delay after the first failure; 20 ms by default.
    pub initial: Duration,
    /// The longest delay; 1 s by default.
    pub max: Duration,
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self {
            initial: DEFAULT_INITIAL_BACKOFF,
            max: DEFAULT_MAX_BACKOFF,
        }
    }
}

/// A batch under its number.
#[derive(Debug)]
pub struct QueuedBatch {
    /// The number that a [`WriteOutcome`] returns.
    pub number: u64,
    /// The batch.
    pub batch: Batch,
}

/// What the writer reports after each attempt.
#[derive(Debug)]
pub struct WriteOutcome {
    /// The numbers of the batches that are synced now, in their order.
    pub synced: Vec<u64>,
    /// The numbers of batches that do not fit the log. They were dropped and will never be written.
    pub rejected: Vec<u64>,
    /// An error of the disk, after which the pending batches are retried, or the error of the first
    /// rejected batch.
    pub result: Result<(), StoreError>,
}

/// the thread that writes has ended
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub struct WriterStopped;

impl std::error::Error for WriterStopped {}

/// Queues batches for the thread that writes them. When the writer is dropped, the thread writes
/// the queued batches, if the disk does not fail, and ends.
#[derive(Debug)]
pub struct Writer {
    queue: Sender<Vec<QueuedBatch>>,
    thread: JoinHandle<()>,
}

impl Writer {
    /// Starts a thread that owns `store`. It calls `on_outcome`, on its own thread, after each
    /// attempt to write.
    ///
    /// # Errors
    ///
    /// If the system cannot start a thread.
    pub fn spawn(
        store: ControlStore,
        on_outcome: impl Fn(WriteOutcome) + Send + 'static,
    ) -> io::Result<Writer> {
        Writer::spawn_with_backoff(store, RetryBackoff::default(), on_outcome)
    }

    /// Like [`Writer::spawn`], with delays other than the defaults.
    ///
    /// # Errors
    ///
    /// If the system cannot start a thread.
    pub fn spawn_with_backoff(
        store: ControlStore,
        backoff: RetryBackoff,
        on_outcome: impl Fn(WriteOutcome) + Send + 'static,
    ) -> io::Result<Writer> {
        let (queue, incoming) = channel();
        let thread = WriterThread::new(store, incoming, backoff, on_outcome);
        let thread = Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || thread.run())?;
        Ok(Writer { queue, thread })
    }

    /// Queues a batch under a number, which a [`WriteOutcome`] returns once the batch is synced.
    /// Never blocks.
    ///
    /// # Errors
    ///
    /// If the thread has ended, which only a panic of `on_outcome` can cause.
    pub fn write(&self, number: u64, batch: Batch) -> Result<(), WriterStopped> {
        self.write_all(vec![QueuedBatch { number, batch }])
    }

    /// Queues batches that are written with one sync, in their order. Never blocks.
    ///
    /// # Errors
    ///
    /// As for [`Writer::write`].
    pub fn write_all(&self, batches: Vec<QueuedBatch>) -> Result<(), WriterStopped> {
        if batches.is_empty() {
            return Ok(());
        }
        self.queue.send(batches).map_err(|_| WriterStopped)
    }

    /// Closes the queue, and waits until the thread has written the queued batches, or has failed
    /// to, and has ended.
    pub fn close(self) {
        drop(self.queue);
        // The panic hook has already reported a panic of the thread.
        let _ = self.thread.join();
    }
}
