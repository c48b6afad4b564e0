//! A thread that owns a store and writes what waits.

use crate::batch::Batch;
use crate::error::StoreError;
use crate::store::ControlStore;
use std::io;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

/// How long the writer waits after an error before it tries again; doubled from the first to the longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPauses {
    /// After the first error.
    pub first: Duration,
    /// At most.
    pub longest: Duration,
}

impl Default for RetryPauses {
    fn default() -> Self {
        RetryPauses {
            first: Duration::from_millis(20),
            longest: Duration::from_secs(1),
        }
    }
}

/// What the writer tells after each attempt.
#[derive(Debug)]
pub struct WriteOutcome {
    /// The batches that are synced now, in their order.
    pub tickets_done: Vec<u64>,
    /// Batches that do not fit the log. They were dropped and will never be done.
    pub tickets_refused: Vec<u64>,
    /// An error of the disk, after which what waits is tried again; or of the first batch that was refused.
    pub result: Result<(), StoreError>,
}

/// A batch under its number.
#[derive(Debug)]
struct Ticket {
    number: u64,
    batch: Batch,
}

/// Begins threads that write.
#[derive(Debug)]
pub struct Writer;

impl Writer {
    /// Starts a thread that owns `store`. It calls `done` after each attempt to write, on its own thread.
    pub fn spawn(
        store: ControlStore,
        done: impl Fn(WriteOutcome) + Send + 'static,
    ) -> io::Result<WriterHandle> {
        Writer::spawn_with(store, RetryPauses::default(), done)
    }

    /// The same with pauses of one's own.
    pub fn spawn_with(
        store: ControlStore,
        pauses: RetryPauses,
        done: impl Fn(WriteOutcome) + Send + 'static,
    ) -> io::Result<WriterHandle> {
        let (sender, incoming) = channel();
        let job = Job {
            store,
            incoming,
            waiting: Vec::new(),
            group: Vec::new(),
            pauses,
            done,
        };
        let thread = Builder::new()
            .name("control-store".to_owned())
            .spawn(move || job.run())?;
        Ok(WriterHandle { sender, thread })
    }
}

/// Hands batches to the writer. When it is dropped, the thread writes what waits, if the disk lets it, and ends.
#[derive(Debug)]
pub struct WriterHandle {
    sender: Sender<Ticket>,
    thread: JoinHandle<()>,
}

impl WriterHandle {
    /// Queues a batch; never blocks. Its number comes back in a [`WriteOutcome`] once it is synced. False where the
    /// thread has ended, which only a panic in `done` brings about.
    pub fn write(&self, ticket: u64, batch: Batch) -> bool {
        self.sender
            .send(Ticket {
                number: ticket,
                batch,
            })
            .is_ok()
    }

    /// Ends the thread once it has written what waits, or has failed to, and waits for that.
    pub fn close(self) {
        drop(self.sender);
        // A panic has been reported on its own thread.
        let _ = self.thread.join();
    }
}

/// The thread's state.
struct Job<Done> {
    store: ControlStore,
    incoming: Receiver<Ticket>,
    /// What was taken from the channel and is in no group yet.
    waiting: Vec<Ticket>,
    /// What is written by one commit.
    group: Vec<Ticket>,
    pauses: RetryPauses,
    done: Done,
}

impl<Done: Fn(WriteOutcome)> Job<Done> {
    fn run(mut self) {
        while self.form_group() {
            if !self.write_until_done() {
                return;
            }
        }
    }

    /// Waits for a batch, and makes a group of all that are there; false where none will come.
    fn form_group(&mut self) -> bool {
        if self.waiting.is_empty() {
            match self.incoming.recv() {
                Ok(ticket) => self.waiting.push(ticket),
                Err(_) => return false,
            }
        }
        self.waiting.extend(self.incoming.try_iter());
        self.group = std::mem::take(&mut self.waiting);
        self.refuse_misfits();
        true
    }

    /// Drops the batches that do not fit after those before them.
    fn refuse_misfits(&mut self) {
        let mut bounds = self.store.bounds();
        let mut refused = Vec::new();
        let mut first_misfit = None;
        self.group
            .retain(|ticket| match bounds.after(&ticket.batch) {
                Ok(after) => {
                    bounds = after;
                    true
                }
                Err(misfit) => {
                    refused.push(ticket.number);
                    first_misfit.get_or_insert(misfit);
                    false
                }
            });
        if let Some(misfit) = first_misfit {
            self.tell(Vec::new(), refused, Err(misfit.into()));
        }
    }

    /// Writes the group, again after errors; false where it has to be given up.
    fn write_until_done(&mut self) -> bool {
        if self.group.is_empty() {
            return true;
        }
        let mut pause = self.pauses.first;
        let mut result = self.write();
        while let Err(error) = result {
            self.tell(Vec::new(), Vec::new(), Err(error));
            if !self.pause(pause) {
                return false;
            }
            pause = self.pauses.longest.min(pause * 2);
            result = self.write_again();
        }
        let tickets = self.group.drain(..).map(|ticket| ticket.number).collect();
        self.tell(tickets, Vec::new(), Ok(()));
        true
    }

    fn write(&mut self) -> Result<(), StoreError> {
        let batches: Vec<&Batch> = self.group.iter().map(|ticket| &ticket.batch).collect();
        self.store.commit_all(&batches)
    }

    /// Opens the store again, and writes the group where the commit that failed did not bring it to the disk.
    fn write_again(&mut self) -> Result<(), StoreError> {
        if self.store.reopen()? {
            return Ok(());
        }
        self.write()
    }

    /// Lets time pass and takes what comes meanwhile; false where the handle is gone.
    fn pause(&mut self, pause: Duration) -> bool {
        let end = Instant::now() + pause;
        loop {
            match self
                .incoming
                .recv_timeout(end.saturating_duration_since(Instant::now()))
            {
                Ok(ticket) => self.waiting.push(ticket),
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    fn tell(
        &self,
        tickets_done: Vec<u64>,
        tickets_refused: Vec<u64>,
        result: Result<(), StoreError>,
    ) {
        (self.done)(WriteOutcome {
            tickets_done,
            tickets_refused,
            result,
        });
    }
}
