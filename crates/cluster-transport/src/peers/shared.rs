//! The state that all tasks of the internal connections share.

use super::connection_table::ConnectionTable;
use super::event::PeerEvent;
use super::settings::PeerSettings;
use lupinrack_cluster_api::frame::{Frame, Hello};
use std::io;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, Notify};

/// The bound of the delay between attempts to connect doubles up to this number of failures.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// The state that all tasks of the internal connections share.
pub(super) struct Shared {
    /// The greeting that this process sends first on each connection.
    pub(super) hello: Frame,
    /// Where this process listens.
    pub(super) address: SocketAddrV4,
    pub(super) settings: PeerSettings,
    pub(super) runtime: Handle,
    /// The sender of events.
    pub(super) events: mpsc::Sender<PeerEvent>,
    /// Notifies the accepting task that it has to stop.
    pub(super) stop_accepting: Notify,
    table: Mutex<ConnectionTable>,
    /// Draws the delays between attempts to connect.
    jitter: Mutex<fastrand::Rng>,
    violations: AtomicU64,
}

impl Shared {
    /// The shared state of a process without connections. Must be called within a tokio runtime.
    pub(super) fn new(
        address: SocketAddrV4,
        hello: Hello,
        settings: PeerSettings,
        events: mpsc::Sender<PeerEvent>,
    ) -> Shared {
        Shared {
            jitter: Mutex::new(fastrand::Rng::with_seed(hello.incarnation)),
            hello: Frame::Hello(hello),
            address,
            settings,
            runtime: Handle::current(),
            events,
            stop_accepting: Notify::new(),
            table: Mutex::default(),
            violations: AtomicU64::new(0),
        }
    }

    /// Locks the table of connections. It is held for short operations only, never across an await.
    pub(super) fn table(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a connection that is closed because of its input.
    pub(super) fn count_violation(&self) {
        self.violations.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn violations(&self) -> u64 {
        self.violations.load(Ordering::Relaxed)
    }

    /// Sets the options of every internal connection: small writes are not delayed, and the connection fails if
    /// the other side acknowledges nothing.
    pub(super) fn configure(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(self.settings.tcp_user_timeout))
    }

    /// The delay before the next attempt to connect, after this many failures in a row: exponential backoff with
    /// jitter. It is drawn between the minimum delay and a bound that doubles with each failure.
    pub(super) fn reconnect_delay(&self, failures: u32) -> Duration {
        let min = self.settings.min_reconnect_delay;
        let bound = min
            .saturating_mul(1 << failures.min(MAX_BACKOFF_DOUBLINGS))
            .min(self.settings.max_reconnect_delay)
            .max(min);
        let spread = bound
            .saturating_sub(min)
            .as_micros()
            .try_into()
            .unwrap_or(u64::MAX - 1);
        let mut jitter = self.jitter.lock().unwrap_or_else(PoisonError::into_inner);
        min + Duration::from_micros(jitter.u64(0..=spread))
    }
}
