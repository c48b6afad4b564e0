//! A mock storage node. It holds one shard, serves requests from a bounded queue, deduplicates keyed writes, rejects
//! requests for other shards, and records every attempt.

use crate::http1::{answer, Message, Reader};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

/// How long after its first run a keyed write is deduplicated by the nodes of a shard.
pub const DEDUP_WINDOW: Duration = Duration::from_secs(4);

/// The placement of a key: its shard, and the incarnation and epoch of the map that says so.
pub type Placement = (u32, u64, u64);

/// Looks up the placement of a volume's key. `None` means that the placement is unknown, and the node serves the request.
pub type PlacementLookup = Arc<dyn Fn(u64, u64) -> Option<Placement> + Send + Sync>;

/// Configuration of a mock node, with the faults that it injects.
#[derive(Clone)]
pub struct NodeConfig {
    /// The shard that the node holds.
    pub shard: u32,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait in the queue. Further ones are rejected without running.
    pub queue: usize,
    /// Mean time that a request runs. Each takes between 0.5 and 1.5 times this.
    pub mean_work: Duration,
    /// One attempt in this many breaks its connection, half of them before the request runs. 0 disables this.
    pub resets: u32,
    /// Injects a fault that checks have to detect: the node does not remember which keyed writes ran, and runs retries again.
    pub forgets_keys: bool,
    /// Seed of the node's random generator.
    pub seed: u64,
    /// Looks up the placement of requested data. Without it the node serves every request.
    pub placement_lookup: Option<PlacementLookup>,
}

impl Default for NodeConfig {
    fn default() -> Self {
        let mean_work = Duration::from_millis(5);
        NodeConfig {
            shard: 0,
            slots: 4,
            queue: 64,
            mean_work,
            resets: 0,
            forgets_keys: false,
            seed: 1,
            placement_lookup: None,
        }
    }
}

/// The outcome of an attempt at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request ran.
    Ran,
    /// A retry of a keyed write that already ran; it was not run again.
    Deduplicated,
    /// Rejected without running: the queue was full.
    QueueFull,
    /// Rejected without running: another shard holds the data.
    WrongShard,
    /// The node broke the connection before the request ran.
    ConnectionBroken,
    /// The request arrived while the node hung. It did not run and was never answered.
    Hung,
}

/// An attempt as the node recorded it.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The request ID.
    pub id: String,
    /// The idempotency key of a keyed write.
    pub key: Option<String>,
    /// When the last byte of the request arrived.
    pub at: Instant,
    /// The outcome.
    pub outcome: AttemptOutcome,
}

/// The keyed writes that ran on the nodes of a shard, with the time of each one's first run. Nodes of a shard share it.
pub type KeyedWrites = Arc<Mutex<HashMap<String, Instant>>>;

/// A running node. Dropping it stops the server.
pub struct Node {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// All attempts that the node received, apart from those without a request ID.
    pub attempts: Arc<Mutex<Vec<AttemptRecord>>>,
    hang: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct NodeServer {
    config: NodeConfig,
    hang: watch::Receiver<bool>,
    attempts: Arc<Mutex<Vec<AttemptRecord>>>,
    keyed_writes: KeyedWrites,
    slots: Semaphore,
    waiting: Mutex<usize>,
    rng: Mutex<fastrand::Rng>,
}

/// Locks a mutex. Poisoning is ignored, because the test in which a task panicked has failed already.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Starts a node on loopback. Nodes of a shard share their record of keyed writes.
    pub async fn start(config: NodeConfig, keyed_writes: KeyedWrites) -> std::io::Result<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, attempts) = (listener.local_addr()?, Arc::new(Mutex::new(Vec::new())));
        let (slots, rng) = (
            Semaphore::new(config.slots),
            Mutex::new(fastrand::Rng::with_seed(config.seed)),
        );
        let (hang, hang_receiver) = watch::channel(false);
        let server = NodeServer {
            config,
            hang: hang_receiver,
            attempts: attempts.clone(),
            keyed_writes,
            slots,
            waiting: Mutex::new(0),
            rng,
        };
        let server = Arc::new(server);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                connections.spawn(async move { server.connection(stream).await });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Node {
            address,
            attempts,
            hang,
            task,
        })
    }
}

impl Node {
    /// Makes the node hang, or ends the hang. Requests that arrived during the hang lose their connection.
    pub fn hang(&self, hang: bool) {
        self.hang.send_replace(hang);
    }
}

impl NodeServer {
    async fn connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::default();
        while let Ok(Some(request)) = reader.next(&mut stream).await {
            if self.request(&mut stream, &request).await.is_none() {
                return;
            }
        }
    }

    /// Serves one request. `None` closes the connection.
    async fn request(&self, stream: &mut TcpStream, request: &Message) -> Option<()> {
        let at = Instant::now();
        let id = request.field("x-request-id").unwrap_or("").to_string();
        let key = request.field("idempotency-key").map(String::from);
        let record = |outcome| {
            lock(&self.attempts).push(AttemptRecord {
                id: id.clone(),
                key: key.clone(),
                at,
                outcome,
            })
        };
        if id.is_empty() {
            answer(stream, "404 Not Found", "", b"").await.ok()?;
            return Some(());
        }
        if *self.hang.borrow() {
            record(AttemptOutcome::Hung);
            let _ = self.hang.clone().wait_for(|hang| !hang).await;
            return None;
        }
        let (reset, reset_before_run, work) = {
            let mut rng = lock(&self.rng);
            let reset = self.config.resets > 0 && rng.u32(0..self.config.resets) == 0;
            (
                reset,
                rng.bool(),
                self.config.mean_work.mul_f64(0.5 + rng.f64()),
            )
        };
        if reset && reset_before_run {
            record(AttemptOutcome::ConnectionBroken);
            return None;
        }
        if let Some((shard, incarnation, epoch)) = self.placement(request.second()) {
            if shard != self.config.shard {
                record(AttemptOutcome::WrongShard);
                let fields = format!("X-Not-Run: 1\r\nX-Extent-Epoch: {incarnation}.{epoch}\r\n");
                answer(stream, "503 Service Unavailable", &fields, b"moved")
                    .await
                    .ok()?;
                return Some(());
            }
        }
        let full = {
            let mut waiting = lock(&self.waiting);
            let full = *waiting >= self.config.queue + self.config.slots;
            *waiting += usize::from(!full);
            full
        };
        if full {
            record(AttemptOutcome::QueueFull);
            answer(
                stream,
                "503 Service Unavailable",
                "X-Not-Run: 1\r\n",
                b"full",
            )
            .await
            .ok()?;
            return Some(());
        }
        {
            let _slot = self.slots.acquire().await.ok()?;
            record(self.run(key.as_deref(), at));
            sleep(work).await;
        }
        *lock(&self.waiting) -= 1;
        if reset {
            return None;
        }
        answer(stream, "200 OK", "", format!("ran {id}").as_bytes())
            .await
            .ok()?;
        Some(())
    }

    /// Runs a request, or deduplicates a keyed write that ran within `DEDUP_WINDOW`.
    fn run(&self, key: Option<&str>, at: Instant) -> AttemptOutcome {
        let Some(key) = key.filter(|_| !self.config.forgets_keys) else {
            return AttemptOutcome::Ran;
        };
        let mut keyed_writes = lock(&self.keyed_writes);
        keyed_writes.retain(|_, first_ran_at| at < *first_ran_at + DEDUP_WINDOW);
        match keyed_writes.contains_key(key) {
            true => AttemptOutcome::Deduplicated,
            false => {
                keyed_writes.insert(key.to_string(), at);
                AttemptOutcome::Ran
            }
        }
    }

    /// The placement of the data that a target names. Its last two path segments are the volume and the key.
    fn placement(&self, target: &str) -> Option<Placement> {
        let placement_lookup = self.config.placement_lookup.as_ref()?;
        let mut parts = target.split('?').next().unwrap_or("").rsplit('/');
        let key = u64::from_str_radix(parts.next()?, 16).ok()?;
        let volume = u64::from_str_radix(parts.next()?, 16).ok()?;
        placement_lookup(volume, key)
    }
}
