//! The fault relay. All datagrams between fronts and all TCP connections from or to a front pass through it.
//!
//! Front `i` sends to front `j` through a socket that the relay holds for that pair. The relay forwards the datagram from the
//! socket that `j` knows as `i`'s address. The receiver thus sees the expected source address, unless a script runs a
//! second process under a front's name.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{copy_bidirectional, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Most datagrams that are delayed on a path at once. Further ones are lost.
const MAX_DATAGRAMS_IN_FLIGHT: u64 = 512;
/// Most datagrams that are recorded for replay.
const MAX_RECORDED_DATAGRAMS: usize = 4096;

/// The faults that a directed path injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Fault {
    /// All datagrams are dropped.
    pub cut: bool,
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// The share of datagrams that is delivered twice.
    pub twice: f64,
    /// The share of datagrams in which one bit is flipped.
    pub damage: f64,
    /// The minimum delay, in milliseconds.
    pub delay_ms: u64,
    /// The largest jitter on top of the delay, in milliseconds. It reorders datagrams.
    pub spread_ms: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Path {
    fault: Mutex<Fault>,
    rng: Mutex<fastrand::Rng>,
    in_flight: AtomicU64,
}

struct Pairs {
    n: usize,
    /// `sockets[i * n + j]` is where `i` sends to `j`. It is also the source address that `i` sees on datagrams from `j`.
    sockets: Vec<Option<Arc<UdpSocket>>>,
    paths: Vec<Path>,
    /// The address on which each front listens.
    targets: Vec<Mutex<Option<SocketAddr>>>,
    recorded: Mutex<Vec<(usize, usize, Vec<u8>)>>,
    is_recording: AtomicBool,
    /// The second process under each front's name. The others see it under addresses that are not in their member lists.
    twins: Vec<Mutex<Option<Twin>>>,
    /// Number of datagrams and bytes that each front sent.
    sent: Vec<(AtomicU64, AtomicU64)>,
}

#[derive(Clone)]
struct Twin {
    at: SocketAddr,
    sockets: Arc<Vec<Option<Arc<UdpSocket>>>>,
}

/// The relay for datagrams between fronts.
pub struct Relay {
    pairs: Arc<Pairs>,
    tasks: JoinSet<()>,
}

impl Relay {
    /// A relay between `n` fronts that injects no fault yet.
    pub async fn new(n: usize, seed: u64) -> std::io::Result<Relay> {
        let mut sockets = Vec::with_capacity(n * n);
        for at in 0..n * n {
            let own = at / n == at % n;
            sockets.push(if own {
                None
            } else {
                Some(Arc::new(UdpSocket::bind("127.0.0.1:0").await?))
            });
        }
        let path = |at: usize| Path {
            fault: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(
                seed ^ (at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            )),
            in_flight: AtomicU64::new(0),
        };
        let pairs = Arc::new(Pairs {
            n,
            sockets,
            paths: (0..n * n).map(path).collect(),
            targets: (0..n).map(|_| Mutex::new(None)).collect(),
            recorded: Mutex::default(),
            is_recording: AtomicBool::new(false),
            twins: (0..n).map(|_| Mutex::new(None)).collect(),
            sent: (0..n).map(|_| Default::default()).collect(),
        });
        let mut tasks = JoinSet::new();
        for from in 0..n {
            for to in (0..n).filter(|to| *to != from) {
                tasks.spawn(forward(pairs.clone(), from, to));
            }
        }
        Ok(Relay { pairs, tasks })
    }

    /// The address at which `from` reaches `to`.
    pub fn address(&self, from: usize, to: usize) -> std::io::Result<SocketAddr> {
        match &self.pairs.sockets[from * self.pairs.n + to] {
            Some(socket) => socket.local_addr(),
            // No front sends to itself.
            None => Ok(SocketAddr::from(([127, 0, 0, 1], 9))),
        }
    }

    /// Sets the address on which a front listens. `None` means that it has no process.
    pub fn set_target(&self, front: usize, at: Option<SocketAddr>) {
        *lock(&self.pairs.targets[front]) = at;
    }

    /// Adds a second process under a front's name that listens at `at`. Its datagrams reach the others from addresses of its
    /// own.
    pub async fn add_twin(&mut self, front: usize, at: SocketAddr) -> std::io::Result<()> {
        let n = self.pairs.n;
        let mut sockets = Vec::new();
        for to in 0..n {
            sockets.push(if to == front {
                None
            } else {
                Some(Arc::new(UdpSocket::bind("127.0.0.1:0").await?))
            });
        }
        for (to, socket) in sockets.iter().enumerate() {
            let (Some(socket), Some(return_socket)) =
                (socket.clone(), self.pairs.sockets[front * n + to].clone())
            else {
                continue;
            };
            self.tasks.spawn(async move {
                let mut buffer = [0; 2048];
                while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                    let _ = return_socket.send_to(&buffer[..length], at).await;
                }
            });
        }
        *lock(&self.pairs.twins[front]) = Some(Twin {
            at,
            sockets: Arc::new(sockets),
        });
        Ok(())
    }

    /// Sets the faults of a path.
    pub fn set_fault(&self, from: usize, to: usize, fault: Fault) {
        *lock(&self.pairs.paths[from * self.pairs.n + to].fault) = fault;
    }

    /// Changes the faults of every path.
    pub fn update_all(&self, change: impl Fn(usize, usize, &mut Fault)) {
        let n = self.pairs.n;
        for at in 0..n * n {
            change(at / n, at % n, &mut lock(&self.pairs.paths[at].fault));
        }
    }

    /// Starts or stops the recording of datagrams for replay.
    pub fn record(&self, on: bool) {
        self.pairs.is_recording.store(on, Relaxed);
    }

    /// Delivers the recorded datagrams again, unchanged and in their order.
    pub async fn replay(&self) {
        let recorded = std::mem::take(&mut *lock(&self.pairs.recorded));
        for (from, to, bytes) in recorded {
            deliver(&self.pairs, from, to, &bytes).await;
        }
    }

    /// Number of datagrams and bytes that a front has sent so far.
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
    if let (Some(target), Some(socket)) = (target, &pairs.sockets[to * pairs.n + from]) {
        let _ = socket.send_to(bytes, target).await;
    }
}

async fn forward(pairs: Arc<Pairs>, from: usize, to: usize) {
    let at = from * pairs.n + to;
    let Some(socket) = pairs.sockets[at].clone() else {
        return;
    };
    let mut buffer = [0; 2048];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        // Datagrams from any other process than the front itself are not on this path.
        if *lock(&pairs.targets[from]) != Some(sender) {
            let twin = lock(&pairs.twins[from])
                .clone()
                .filter(|twin| twin.at == sender);
            let socket = twin.and_then(|twin| twin.sockets[to].clone());
            let (Some(socket), Some(target)) = (socket, *lock(&pairs.targets[to])) else {
                continue;
            };
            let _ = socket.send_to(&buffer[..length], target).await;
            continue;
        }
        let mut bytes = buffer[..length].to_vec();
        pairs.sent[from].0.fetch_add(1, Relaxed);
        pairs.sent[from].1.fetch_add(length as u64, Relaxed);
        let path = &pairs.paths[at];
        let fault = *lock(&path.fault);
        let (lost, twice, delays) = {
            let mut rng = lock(&path.rng);
            if rng.f64() < fault.damage && !bytes.is_empty() {
                let i = rng.usize(0..bytes.len());
                bytes[i] ^= 1 << rng.u32(0..8);
            }
            let mut delay = || fault.delay_ms + rng.u64(0..=fault.spread_ms);
            let delays = [delay(), delay()];
            (rng.f64() < fault.loss, rng.f64() < fault.twice, delays)
        };
        if pairs.is_recording.load(Relaxed) {
            let mut recorded = lock(&pairs.recorded);
            if recorded.len() < MAX_RECORDED_DATAGRAMS {
                recorded.push((from, to, bytes.clone()));
            }
        }
        if fault.cut || lost {
            continue;
        }
        for delay in &delays[..1 + usize::from(twice)] {
            if *delay == 0 {
                deliver(&pairs, from, to, &bytes).await;
            } else if path.in_flight.fetch_add(1, Relaxed) < MAX_DATAGRAMS_IN_FLIGHT {
                let (pairs, bytes, delay) = (pairs.clone(), bytes.clone(), *delay);
                tokio::spawn(async move {
                    sleep(Duration::from_millis(delay)).await;
                    deliver(&pairs, from, to, &bytes).await;
                    pairs.paths[at].in_flight.fetch_sub(1, Relaxed);
                });
            } else {
                path.in_flight.fetch_sub(1, Relaxed);
            }
        }
    }
}

/// A TCP relay that can be cut. While it is cut, open connections stay open without any data, and are closed once it is
/// restored. New connections are accepted and stay silent until then.
pub struct TcpRelay {
    /// The address on which the relay listens.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    cut: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// A relay to `target`.
    pub async fn new(target: Option<SocketAddr>) -> std::io::Result<TcpRelay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (target, cut) = (
            Arc::new(Mutex::new(target)),
            Arc::new(AtomicBool::new(false)),
        );
        let (to, is_cut) = (target.clone(), cut.clone());
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (to, is_cut) = (to.clone(), is_cut.clone());
                connections.spawn(async move { relay_connection(stream, to, is_cut).await });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(TcpRelay {
            address,
            target,
            cut,
            task,
        })
    }

    /// Sets the target. With `None`, connections are closed at once.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *lock(&self.target) = target;
    }

    /// Cuts or restores the relay.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Relaxed);
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn until_restored(is_cut: &AtomicBool) {
    while is_cut.load(Relaxed) {
        sleep(Duration::from_millis(10)).await;
    }
}

async fn relay_connection(
    mut client: TcpStream,
    to: Arc<Mutex<Option<SocketAddr>>>,
    is_cut: Arc<AtomicBool>,
) -> Option<()> {
    until_restored(&is_cut).await;
    let target = (*lock(&to))?;
    let mut server = TcpStream::connect(target).await.ok()?;
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (mut client_buffer, mut server_buffer) = ([0; 16 * 1024], [0; 16 * 1024]);
    loop {
        if is_cut.load(Relaxed) {
            // Silent while it is cut, and closed once it is restored.
            until_restored(&is_cut).await;
            return None;
        }
        tokio::select! {
            () = sleep(Duration::from_millis(20)) => {}
            n = client.read(&mut client_buffer) => match n.ok()? {
                0 => { let _ = server.shutdown().await; return copy_remaining(&mut client, &mut server).await }
                n if !is_cut.load(Relaxed) => server.write_all(&client_buffer[..n]).await.ok()?,
                _ => {}
            },
            n = server.read(&mut server_buffer) => match n.ok()? {
                0 => { let _ = client.shutdown().await; return copy_remaining(&mut client, &mut server).await }
                n if !is_cut.load(Relaxed) => client.write_all(&server_buffer[..n]).await.ok()?,
                _ => {}
            },
        }
    }
}

/// Relays the remaining data after one side has closed, for 5 s at most.
async fn copy_remaining(client: &mut TcpStream, server: &mut TcpStream) -> Option<()> {
    let _ = tokio::time::timeout(Duration::from_secs(5), copy_bidirectional(client, server)).await;
    Some(())
}
