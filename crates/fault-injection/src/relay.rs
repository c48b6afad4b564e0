//! The fault relay: every directed pair of fronts, and every way that begins or ends at a front, goes through it.
//!
//! Front `i` reaches `j` at a socket that the relay holds for that pair; what comes in there leaves from the socket that `j`
//! knows `i` by. So the address of a sender is right at the receiver, unless a script makes it another.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{copy_bidirectional, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Datagrams on their way over one path at once; further ones are lost.
const UNDERWAY_MOST: u64 = 512;
/// Datagrams that are kept for being played again.
const KEPT_MOST: usize = 4096;

/// What a directed path does to what goes over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Nothing passes.
    pub cut: bool,
    /// The share that is lost.
    pub loss: f64,
    /// The share that comes twice.
    pub twice: f64,
    /// The share in which a byte is altered.
    pub damage: f64,
    /// The least that it takes, in milliseconds.
    pub delay_ms: u64,
    /// What may come to that, at random: it reorders.
    pub spread_ms: u64,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Path {
    fault: Mutex<Fault>,
    dice: Mutex<fastrand::Rng>,
    underway: AtomicU64,
}

struct Pairs {
    n: usize,
    /// `ways[i * n + j]`: where `i` reaches `j`, and what `j` is reached from as far as `i` sees.
    ways: Vec<Option<Arc<UdpSocket>>>,
    paths: Vec<Path>,
    /// Where each front really listens.
    targets: Vec<Mutex<Option<SocketAddr>>>,
    kept: Mutex<Vec<(usize, usize, Vec<u8>)>>,
    keeps: AtomicBool,
    /// The second process under each name, and by which addresses the others know it: none of them is listed.
    strays: Vec<Mutex<Option<Stray>>>,
    /// Datagrams and their bytes that each front sent.
    sent: Vec<(AtomicU64, AtomicU64)>,
}

#[derive(Clone)]
struct Stray {
    at: SocketAddr,
    ways: Arc<Vec<Option<Arc<UdpSocket>>>>,
}

/// The relay between fronts.
pub struct Relay {
    pairs: Arc<Pairs>,
    tasks: JoinSet<()>,
}

impl Relay {
    /// A relay between `n` fronts without any fault.
    pub async fn new(n: usize, seed: u64) -> std::io::Result<Relay> {
        let mut ways = Vec::with_capacity(n * n);
        for at in 0..n * n {
            let own = at / n == at % n;
            ways.push(if own {
                None
            } else {
                Some(Arc::new(UdpSocket::bind("127.0.0.1:0").await?))
            });
        }
        let path = |at: usize| Path {
            fault: Mutex::default(),
            dice: Mutex::new(fastrand::Rng::with_seed(
                seed ^ (at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            )),
            underway: AtomicU64::new(0),
        };
        let pairs = Arc::new(Pairs {
            n,
            ways,
            paths: (0..n * n).map(path).collect(),
            targets: (0..n).map(|_| Mutex::new(None)).collect(),
            kept: Mutex::default(),
            keeps: AtomicBool::new(false),
            strays: (0..n).map(|_| Mutex::new(None)).collect(),
            sent: (0..n).map(|_| Default::default()).collect(),
        });
        let mut tasks = JoinSet::new();
        for from in 0..n {
            for to in (0..n).filter(|to| *to != from) {
                tasks.spawn(carry(pairs.clone(), from, to));
            }
        }
        Ok(Relay { pairs, tasks })
    }

    /// Where `from` reaches `to`.
    pub fn address(&self, from: usize, to: usize) -> std::io::Result<SocketAddr> {
        match &self.pairs.ways[from * self.pairs.n + to] {
            Some(socket) => socket.local_addr(),
            // Its own: nobody goes there.
            None => Ok(SocketAddr::from(([127, 0, 0, 1], 9))),
        }
    }

    /// Where a front really listens from now on; none: it is gone.
    pub fn target(&self, front: usize, at: Option<SocketAddr>) {
        *lock(&self.pairs.targets[front]) = at;
    }

    /// A second process under a front's name listens here: what it says comes to the others from addresses of its own.
    pub async fn stray(&mut self, front: usize, at: SocketAddr) -> std::io::Result<()> {
        let n = self.pairs.n;
        let mut ways = Vec::new();
        for to in 0..n {
            ways.push(if to == front {
                None
            } else {
                Some(Arc::new(UdpSocket::bind("127.0.0.1:0").await?))
            });
        }
        for (to, way) in ways.iter().enumerate() {
            let (Some(way), Some(back)) = (way.clone(), self.pairs.ways[front * n + to].clone())
            else {
                continue;
            };
            self.tasks.spawn(async move {
                let mut buffer = [0; 2048];
                while let Ok((length, _)) = way.recv_from(&mut buffer).await {
                    let _ = back.send_to(&buffer[..length], at).await;
                }
            });
        }
        *lock(&self.pairs.strays[front]) = Some(Stray {
            at,
            ways: Arc::new(ways),
        });
        Ok(())
    }

    /// Sets what one path does.
    pub fn set(&self, from: usize, to: usize, fault: Fault) {
        *lock(&self.pairs.paths[from * self.pairs.n + to].fault) = fault;
    }

    /// Changes what every path does.
    pub fn each(&self, change: impl Fn(usize, usize, &mut Fault)) {
        let n = self.pairs.n;
        for at in 0..n * n {
            change(at / n, at % n, &mut lock(&self.pairs.paths[at].fault));
        }
    }

    /// Keeps what passes from now on, or ends that.
    pub fn keep(&self, on: bool) {
        self.pairs.keeps.store(on, Relaxed);
    }

    /// Plays what was kept again, as it was, in its order.
    pub async fn again(&self) {
        let kept = std::mem::take(&mut *lock(&self.pairs.kept));
        for (from, to, bytes) in kept {
            deliver(&self.pairs, from, to, &bytes).await;
        }
    }

    /// Datagrams and bytes that a front sent so far.
    pub fn sent(&self, front: usize) -> (u64, u64) {
        let (count, bytes) = &self.pairs.sent[front];
        (count.load(Relaxed), bytes.load(Relaxed))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.abort_all();
    }
}

async fn deliver(pairs: &Pairs, from: usize, to: usize, bytes: &[u8]) {
    let target = *lock(&pairs.targets[to]);
    if let (Some(target), Some(out)) = (target, &pairs.ways[to * pairs.n + from]) {
        let _ = out.send_to(bytes, target).await;
    }
}

async fn carry(pairs: Arc<Pairs>, from: usize, to: usize) {
    let at = from * pairs.n + to;
    let Some(way) = pairs.ways[at].clone() else {
        return;
    };
    let mut buffer = [0; 2048];
    loop {
        let Ok((length, sender)) = way.recv_from(&mut buffer).await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        // Only the front itself: what another process sends here is not between these two.
        if *lock(&pairs.targets[from]) != Some(sender) {
            let stray = lock(&pairs.strays[from]).clone().filter(|s| s.at == sender);
            let way = stray.and_then(|s| s.ways[to].clone());
            let (Some(way), Some(target)) = (way, *lock(&pairs.targets[to])) else {
                continue;
            };
            let _ = way.send_to(&buffer[..length], target).await;
            continue;
        }
        let mut bytes = buffer[..length].to_vec();
        pairs.sent[from].0.fetch_add(1, Relaxed);
        pairs.sent[from].1.fetch_add(length as u64, Relaxed);
        let path = &pairs.paths[at];
        let fault = *lock(&path.fault);
        let (lost, twice, delays) = {
            let mut dice = lock(&path.dice);
            if dice.f64() < fault.damage && !bytes.is_empty() {
                let i = dice.usize(0..bytes.len());
                bytes[i] ^= 1 << dice.u32(0..8);
            }
            let mut delay = || fault.delay_ms + dice.u64(0..=fault.spread_ms);
            let delays = [delay(), delay()];
            (dice.f64() < fault.loss, dice.f64() < fault.twice, delays)
        };
        if pairs.keeps.load(Relaxed) {
            let mut kept = lock(&pairs.kept);
            if kept.len() < KEPT_MOST {
                kept.push((from, to, bytes.clone()));
            }
        }
        if fault.cut || lost {
            continue;
        }
        for delay in &delays[..1 + usize::from(twice)] {
            if *delay == 0 {
                deliver(&pairs, from, to, &bytes).await;
            } else if path.underway.fetch_add(1, Relaxed) < UNDERWAY_MOST {
                let (pairs, bytes, delay) = (pairs.clone(), bytes.clone(), *delay);
                tokio::spawn(async move {
                    sleep(Duration::from_millis(delay)).await;
                    deliver(&pairs, from, to, &bytes).await;
                    pairs.paths[at].underway.fetch_sub(1, Relaxed);
                });
            } else {
                path.underway.fetch_sub(1, Relaxed);
            }
        }
    }
}

/// A way by TCP with a switch: while it is cut, open connections stay open and silent, and are reset once it is back; new ones
/// say nothing meanwhile.
pub struct Way {
    /// Where it is entered.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    cut: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Way {
    /// A way to `target`.
    pub async fn new(target: Option<SocketAddr>) -> std::io::Result<Way> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (target, cut) = (
            Arc::new(Mutex::new(target)),
            Arc::new(AtomicBool::new(false)),
        );
        let (to, off) = (target.clone(), cut.clone());
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (to, off) = (to.clone(), off.clone());
                connections.spawn(async move { pass(stream, to, off).await });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Way {
            address,
            target,
            cut,
            task,
        })
    }

    /// Leads elsewhere from now on; none: nobody is there, and connections are refused at once.
    pub fn lead(&self, target: Option<SocketAddr>) {
        *lock(&self.target) = target;
    }

    /// Cuts it, or joins it again.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Relaxed);
    }
}

impl Drop for Way {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn joined(off: &AtomicBool) {
    while off.load(Relaxed) {
        sleep(Duration::from_millis(10)).await;
    }
}

async fn pass(
    mut inner: TcpStream,
    to: Arc<Mutex<Option<SocketAddr>>>,
    off: Arc<AtomicBool>,
) -> Option<()> {
    joined(&off).await;
    let target = (*lock(&to))?;
    let mut outer = TcpStream::connect(target).await.ok()?;
    let _ = (inner.set_nodelay(true), outer.set_nodelay(true));
    let (mut a, mut b) = ([0; 16 * 1024], [0; 16 * 1024]);
    loop {
        if off.load(Relaxed) {
            // Silent for as long as it is cut, and reset once it is back.
            joined(&off).await;
            return None;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(20)) => {}
            n = inner.read(&mut a) => match n.ok()? {
                0 => { let _ = outer.shutdown().await; return drain(&mut inner, &mut outer).await }
                n if !off.load(Relaxed) => outer.write_all(&a[..n]).await.ok()?,
                _ => {}
            },
            n = outer.read(&mut b) => match n.ok()? {
                0 => { let _ = inner.shutdown().await; return drain(&mut inner, &mut outer).await }
                n if !off.load(Relaxed) => inner.write_all(&b[..n]).await.ok()?,
                _ => {}
            },
        }
    }
}

/// One side has ended: what the other still says passes.
async fn drain(inner: &mut TcpStream, outer: &mut TcpStream) -> Option<()> {
    let _ = tokio::time::timeout(Duration::from_secs(5), copy_bidirectional(inner, outer)).await;
    Some(())
}
