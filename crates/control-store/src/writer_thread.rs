//! The thread of a [`Writer`](crate::Writer): groups, commits and retries.

use crate::batch::Batch;
use crate::error::StoreError;
use crate::store::{ControlStore, FailedCommit};
use crate::writer::{QueuedBatch, RetryBackoff, WriteOutcome};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// The queue was closed while the disk was failing.
struct QueueClosed;

/// The thread's state.
pub(crate) struct WriterThread<OnOutcome> {
    store: ControlStore,
    incoming: Receiver<Vec<QueuedBatch>>,
    /// Batches that were received and are not in a group yet.
    pending: Vec<QueuedBatch>,
    /// Batches that are written by one commit.
    group: Vec<QueuedBatch>,
    backoff: RetryBackoff,
    on_outcome: OnOutcome,
}

impl<OnOutcome: Fn(WriteOutcome)> WriterThread<OnOutcome> {
    pub(crate) fn new(
        store: ControlStore,
        incoming: Receiver<Vec<QueuedBatch>>,
        backoff: RetryBackoff,
        on_outcome: OnOutcome,
    ) -> Self {
        Self {
            store,
            incoming,
            pending: Vec::new(),
            group: Vec::new(),
            backoff,
            on_outcome,
        }
    }

    /// Writes until the queue is closed and empty, or closed while the disk fails.
    pub(crate) fn run(mut self) {
        while self.form_group() {
            if self.write_group().is_err() {
                return;
            }
        }
    }

    /// Waits for a batch, and groups all queued batches; false if the queue is closed and empty.
    fn form_group(&mut self) -> bool {
        if self.pending.is_empty() {
            match self.incoming.recv() {
                Ok(batches) => self.pending.extend(batches),
                Err(_) => return false,
            }
        }
        self.pending.extend(self.incoming.try_iter().flatten());
        self.group = std::mem::take(&mut self.pending);
        self.reject_invalid();
        true
    }

    /// Drops batches that do not fit the log after the preceding batches.
    fn reject_invalid(&mut self) {
        let mut bounds = self.store.bounds();
        let mut rejected = Vec::new();
        let mut first_error = None;
        self.group
            .retain(|queued| match bounds.after(&queued.batch) {
                Ok(after) => {
                    bounds = after;
                    true
                }
                Err(error) => {
                    rejected.push(queued.number);
                    first_error.get_or_insert(error);
                    false
                }
            });
        if let Some(error) = first_error {
            self.report(WriteOutcome {
                synced: Vec::new(),
                rejected,
                result: Err(error.into()),
            });
        }
    }

    /// Writes the group, and retries until the write succeeds.
    fn write_group(&mut self) -> Result<(), QueueClosed> {
        if self.group.is_empty() {
            return Ok(());
        }
        let mut delay = self.backoff.initial;
        let mut result = self.commit_group();
        while let Err(error) = result {
            self.report(WriteOutcome {
                synced: Vec::new(),
                rejected: Vec::new(),
                result: Err(error),
            });
            self.wait(delay)?;
            delay = self.backoff.max.min(delay * 2);
            result = self.retry_group();
        }
        let synced = self.group.drain(..).map(|queued| queued.number).collect();
        self.report(WriteOutcome {
            synced,
            rejected: Vec::new(),
            result: Ok(()),
        });
        Ok(())
    }

    fn commit_group(&mut self) -> Result<(), StoreError> {
        let batches: Vec<&Batch> = self.group.iter().map(|queued| &queued.batch).collect();
        self.store.commit_all(&batches)
    }

    /// Opens the store again, and commits the group unless the failed commit is on the disk.
    fn retry_group(&mut self) -> Result<(), StoreError> {
        match self.store.reopen()? {
            FailedCommit::Durable => Ok(()),
            FailedCommit::NotApplied => self.commit_group(),
        }
    }

    /// Waits, and receives the batches that are queued meanwhile.
    fn wait(&mut self, delay: Duration) -> Result<(), QueueClosed> {
        let end = Instant::now() + delay;
        loop {
            match self
                .incoming
                .recv_timeout(end.saturating_duration_since(Instant::now()))
            {
                Ok(batches) => self.pending.extend(batches),
                Err(RecvTimeoutError::Timeout) => return Ok(()),
                Err(RecvTimeoutError::Disconnected) => return Err(QueueClosed),
            }
        }
    }

    fn report(&self, outcome: WriteOutcome) {
        (self.on_outcome)(outcome);
    }
}
