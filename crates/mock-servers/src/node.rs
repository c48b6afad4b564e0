//! A stand-in storage node: holds shards, serves requests in turn, drops the repeat of a keyed write, turns away what it
//! does not hold, and remembers all that ran.

use crate::http1::{answer, Message, Reader};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

/// How long nodes that hold one shard drop the repeat of a keyed write.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Where a piece of data lies, as a node sees it: the shard, and the version (incarnation and epoch) that says so.
pub type Lies = (u32, u64, u64);

/// What a node asks to learn where a piece of data lies; none: it does not look, and serves what comes.
pub type Whereabouts = Arc<dyn Fn(u64, u64) -> Option<Lies> + Send + Sync>;

/// How a node works.
#[derive(Clone)]
pub struct Manner {
    /// The shard it holds.
    pub shard: u32,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that may wait; further ones are turned away unrun.
    pub queue: usize,
    /// The mean of a request's work; each takes between half and one and a half times this.
    pub work: Duration,
    /// One attempt in this many breaks its connection, half of them before it runs; 0: none.
    pub resets: u32,
    /// It does not remember which keyed writes ran, and runs them again: a fault, for checkers that have to find it.
    pub forgets: bool,
    /// The seed of its own chances.
    pub seed: u64,
    /// Where data lies.
    pub whereabouts: Option<Whereabouts>,
}

impl Default for Manner {
    fn default() -> Self {
        let work = Duration::from_millis(5);
        Manner {
            shard: 0,
            slots: 4,
            queue: 64,
            work,
            resets: 0,
            forgets: false,
            seed: 1,
            whereabouts: None,
        }
    }
}

/// What one attempt came to at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It ran.
    Ran,
    /// A repeat of a write that ran; dropped.
    Dropped,
    /// Turned away unrun: the queue was full.
    Full,
    /// Turned away unrun: the data lies elsewhere.
    Elsewhere,
    /// Its connection was broken before it ran.
    Broken,
    /// The node hung when it came: it was never answered, and did not run.
    Hung,
}

/// One attempt as the node saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The request's id.
    pub id: String,
    /// The key of a keyed write.
    pub key: Option<String>,
    /// When its last byte came.
    pub at: Instant,
    /// What it came to.
    pub fate: Fate,
}

/// The memory of the nodes that hold one shard: which keyed writes ran, and when the first of each did.
pub type Group = Arc<Mutex<HashMap<String, Instant>>>;

/// A node at work, until it is dropped.
pub struct Node {
    /// Where it listens.
    pub address: SocketAddr,
    /// What reached it.
    pub seen: Arc<Mutex<Vec<Seen>>>,
    hangs: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Work {
    manner: Manner,
    hangs: watch::Receiver<bool>,
    seen: Arc<Mutex<Vec<Seen>>>,
    group: Group,
    slots: Semaphore,
    waiting: Mutex<usize>,
    dice: Mutex<fastrand::Rng>,
}

/// Takes a lock; a task that panicked beside it has failed its test already.
pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// Starts a node on loopback. Nodes that hold one shard share a group.
    pub async fn start(manner: Manner, group: Group) -> std::io::Result<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, seen) = (listener.local_addr()?, Arc::new(Mutex::new(Vec::new())));
        let (slots, dice) = (
            Semaphore::new(manner.slots),
            Mutex::new(fastrand::Rng::with_seed(manner.seed)),
        );
        let (hangs, hung) = watch::channel(false);
        let work = Work {
            manner,
            hangs: hung,
            seen: seen.clone(),
            group,
            slots,
            waiting: Mutex::new(0),
            dice,
        };
        let work = Arc::new(work);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let work = work.clone();
                connections.spawn(async move { work.connection(stream).await });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Node {
            address,
            seen,
            hangs,
            task,
        })
    }
}

impl Node {
    /// Hangs from now on, or no longer: what came meanwhile ends with its connection.
    pub fn hang(&self, hangs: bool) {
        self.hangs.send_replace(hangs);
    }
}

impl Work {
    async fn connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::default();
        while let Ok(Some(request)) = reader.next(&mut stream).await {
            if self.request(&mut stream, &request).await.is_none() {
                return;
            }
        }
    }

    /// Serves one request; none where the connection is to close.
    async fn request(&self, stream: &mut TcpStream, request: &Message) -> Option<()> {
        let at = Instant::now();
        let id = request.field("x-request-id").unwrap_or("").to_string();
        let key = request.field("idempotency-key").map(String::from);
        let note = |fate| {
            lock(&self.seen).push(Seen {
                id: id.clone(),
                key: key.clone(),
                at,
                fate,
            })
        };
        if id.is_empty() {
            answer(stream, "404 Not Found", "", b"").await.ok()?;
            return Some(());
        }
        if *self.hangs.borrow() {
            note(Fate::Hung);
            let _ = self.hangs.clone().wait_for(|hangs| !hangs).await;
            return None;
        }
        let (reset, before, work) = {
            let mut dice = lock(&self.dice);
            let reset = self.manner.resets > 0 && dice.u32(0..self.manner.resets) == 0;
            (
                reset,
                dice.bool(),
                self.manner.work.mul_f64(0.5 + dice.f64()),
            )
        };
        if reset && before {
            note(Fate::Broken);
            return None;
        }
        if let Some((shard, incarnation, epoch)) = self.lies(request.second()) {
            if shard != self.manner.shard {
                note(Fate::Elsewhere);
                let fields = format!("X-Not-Run: 1\r\nX-Extent-Epoch: {incarnation}.{epoch}\r\n");
                answer(stream, "503 Service Unavailable", &fields, b"moved")
                    .await
                    .ok()?;
                return Some(());
            }
        }
        let full = {
            let mut waiting = lock(&self.waiting);
            let full = *waiting >= self.manner.queue + self.manner.slots;
            *waiting += usize::from(!full);
            full
        };
        if full {
            note(Fate::Full);
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
            note(self.run(key.as_deref(), at));
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

    /// Runs a request, or drops it as the repeat of a keyed write that ran within the window.
    fn run(&self, key: Option<&str>, at: Instant) -> Fate {
        let Some(key) = key.filter(|_| !self.manner.forgets) else {
            return Fate::Ran;
        };
        let mut group = lock(&self.group);
        group.retain(|_, first| at < *first + WINDOW);
        match group.contains_key(key) {
            true => Fate::Dropped,
            false => {
                group.insert(key.to_string(), at);
                Fate::Ran
            }
        }
    }

    /// Where the target's data lies: its last two parts are the volume and the piece of data.
    fn lies(&self, target: &str) -> Option<Lies> {
        let whereabouts = self.manner.whereabouts.as_ref()?;
        let mut parts = target.split('?').next().unwrap_or("").rsplit('/');
        let key = u64::from_str_radix(parts.next()?, 16).ok()?;
        let volume = u64::from_str_radix(parts.next()?, 16).ok()?;
        whereabouts(volume, key)
    }
}
