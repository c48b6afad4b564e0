//! Connections between the processes of the system, which carry [`Frame`]s both ways.
//!
//! Either side may open a connection; its first frame each way is [`Frame::Hello`]. There is no acknowledgement: frames
//! are lost with their connection, and their order holds within one connection only. Each connection has a task that
//! reads and one that writes; all frames that are sent in one turn of the runtime go out in one write.

mod accept;
mod codec;
mod connection;
mod dial;
mod settings;
mod table;
mod tasks;
mod waiting;

pub use settings::PeerSettings;

use crate::listen;
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use lupinrack_cluster_api::identity::PeerAddress;
use std::borrow::Borrow;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use table::Table;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

/// What happens on internal connections.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all events are frames; a box would cost each an allocation"
)]
pub enum PeerEvent {
    /// A frame came in. The first one of each connection is the peer's [`Frame::Hello`].
    Frame {
        /// Where the peer listens.
        from: PeerAddress,
        /// The peer's kind.
        role: Role,
        /// The life of the peer's process.
        incarnation: u64,
        /// The connection, for [`Peers::send_on`].
        connection: u64,
        /// The frame.
        frame: Frame,
    },
    /// A connection has ended; nothing more comes from it. Frames that were sent on it may be lost.
    Closed {
        /// Where the peer listens.
        from: PeerAddress,
        /// The connection.
        connection: u64,
        /// Whether it failed, other than by an orderly end of either side.
        reset: bool,
    },
}

/// What became of a frame that was handed to [`Peers::send`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It was queued on a connection.
    Sent {
        /// The connection.
        connection: u64,
    },
    /// It waits for a connection to be opened.
    Waiting,
    /// It was dropped: it is too large, or the peer does not read, in which case its connection was closed.
    Dropped,
}

/// The internal connections of this process. Clones share them.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
}

/// What all connections share.
struct Shared {
    hello: Frame,
    address: SocketAddrV4,
    settings: PeerSettings,
    runtime: Handle,
    events: mpsc::Sender<PeerEvent>,
    shutdown: Notify,
    table: Mutex<Table>,
    jitter: Mutex<fastrand::Rng>,
    violations: AtomicU64,
}

impl Peers {
    /// Listens for peers. To be called within a runtime.
    ///
    /// A port of 0 in `hello.address` stands for the port that was chosen.
    ///
    /// # Errors
    ///
    /// Where it cannot listen at the address.
    pub fn start(
        address: SocketAddrV4,
        hello: Hello,
        settings: PeerSettings,
    ) -> io::Result<(Peers, mpsc::Receiver<PeerEvent>)> {
        Peers::start_on(listen::bind_once(address)?, hello, settings)
    }

    /// Like [`Peers::start`], with a socket that listens already.
    ///
    /// # Errors
    ///
    /// Where the socket cannot be used.
    pub fn start_on(
        listener: std::net::TcpListener,
        mut hello: Hello,
        settings: PeerSettings,
    ) -> io::Result<(Peers, mpsc::Receiver<PeerEvent>)> {
        listener.set_nonblocking(true)?;
        let address = local_address(&listener)?;
        if hello.address.0.port() == 0 {
            hello.address.0.set_port(address.port());
        }
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (events, receiver) = mpsc::channel(settings.events_most);
        let shared = Arc::new(Shared {
            jitter: Mutex::new(fastrand::Rng::with_seed(hello.incarnation)),
            hello: Frame::Hello(hello),
            address,
            settings,
            runtime: Handle::current(),
            events,
            shutdown: Notify::new(),
            table: Mutex::default(),
            violations: AtomicU64::new(0),
        });
        tokio::spawn(accept::run(listener, shared.clone()));
        Ok((Peers { shared }, receiver))
    }

    /// Where this process listens.
    pub fn local_address(&self) -> SocketAddrV4 {
        self.shared.address
    }

    /// Sends a frame on the newest connection to a peer, or opens one for it. Never blocks.
    pub fn send(&self, to: PeerAddress, frame: impl Borrow<Frame>) -> SendOutcome {
        let handed = self
            .shared
            .table()
            .send(to, frame.borrow(), &self.shared.settings);
        if handed.dial {
            self.shared
                .runtime
                .spawn(dial::run(to, self.shared.clone()));
        }
        handed.outcome
    }

    /// Sends a frame on this very connection; false where it is gone. Never blocks.
    pub fn send_on(&self, connection: u64, frame: impl Borrow<Frame>) -> bool {
        self.shared
            .table()
            .send_on(connection, frame.borrow(), &self.shared.settings)
    }

    /// Closes all connections to a peer at once; what was not written yet is lost.
    pub fn close(&self, to: PeerAddress) {
        self.shared.table().close(to);
    }

    /// Whether there is an open connection to a peer.
    pub fn is_connected(&self, to: PeerAddress) -> bool {
        self.shared.table().is_connected(to)
    }

    /// When bytes came in last from a peer; none if never.
    pub fn last_received(&self, from: PeerAddress) -> Option<Instant> {
        self.shared.table().last_received(from)
    }

    /// How many connections were closed because what came on them broke the protocol: no frame, one that is too large,
    /// or a greeting that is missing, doubled or another process's.
    pub fn protocol_violations(&self) -> u64 {
        self.shared.violations.load(Ordering::Relaxed)
    }

    /// Listens no longer. Open connections stay.
    pub fn stop_listening(&self) {
        self.shared.shutdown.notify_one();
    }
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a connection that is closed for what came on it.
    fn note_violation(&self) {
        self.violations.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets what every internal connection has: no delay of small writes, and an end where nobody answers.
    fn configure(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(self.settings.user_timeout))
    }
}

fn local_address(listener: &std::net::TcpListener) -> io::Result<SocketAddrV4> {
    match listener.local_addr()? {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(io::ErrorKind::Unsupported.into()),
    }
}
