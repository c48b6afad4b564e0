//! Connections between the processes of the system, which carry [`Frame`]s both ways.
//!
//! Either side may open a connection; the first frame each way is [`Frame::Hello`]. There are no acknowledgements:
//! frames are lost with their connection, and their order is kept within one connection only.
//!
//! Start reading at [`Peers`]. Each connection has a task that reads (`reader_task`) and one that writes
//! (`writer_task`); all frames that are sent in one turn of the runtime go out in one write. The `connection_table`
//! owns the connections to each peer, and `shared` the state that all tasks share.

mod accept;
mod codec;
mod connection;
mod connection_table;
mod dial;
mod event;
mod pending_frames;
mod reader_task;
mod send_outcome;
mod settings;
mod shared;
mod writer_task;

pub use event::PeerEvent;
pub use send_outcome::SendOutcome;
pub use settings::PeerSettings;

use crate::listen;
use lupinrack_cluster_api::frame::{Frame, Hello};
use lupinrack_cluster_api::identity::PeerAddress;
use shared::Shared;
use std::borrow::Borrow;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The internal connections of this process. Clones share them.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
}

impl Peers {
    /// Listens for peers at an address. Must be called within a tokio runtime.
    ///
    /// A port of 0 in `hello.address` is replaced by the port that the kernel chose.
    ///
    /// # Errors
    ///
    /// If the process cannot listen at the address.
    pub fn start(
        address: SocketAddrV4,
        hello: Hello,
        settings: PeerSettings,
    ) -> io::Result<(Peers, mpsc::Receiver<PeerEvent>)> {
        Peers::start_on(listen::bind_once(address)?, hello, settings)
    }

    /// Like [`Peers::start`], with a socket that is already listening.
    ///
    /// # Errors
    ///
    /// If the socket cannot be made asynchronous or has no IPv4 address.
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
        let (events, receiver) = mpsc::channel(settings.max_queued_events);
        let shared = Arc::new(Shared::new(address, hello, settings, events));
        tokio::spawn(accept::run(listener, shared.clone()));
        Ok((Peers { shared }, receiver))
    }

    /// Where this process listens.
    pub fn local_address(&self) -> SocketAddrV4 {
        self.shared.address
    }

    /// Sends a frame on the newest connection to a peer, or opens one for it. Never blocks.
    pub fn send(&self, to: PeerAddress, frame: impl Borrow<Frame>) -> SendOutcome {
        let sent = self
            .shared
            .table()
            .send(to, frame.borrow(), &self.shared.settings);
        if sent.needs_dial {
            self.shared
                .runtime
                .spawn(dial::run(to, self.shared.clone()));
        }
        sent.outcome
    }

    /// Sends a frame on the connection with this number; false if the connection has ended. Never blocks.
    pub fn send_on(&self, connection: u64, frame: impl Borrow<Frame>) -> bool {
        self.shared
            .table()
            .send_on(connection, frame.borrow(), &self.shared.settings)
    }

    /// Closes all connections to a peer at once; bytes that were not written yet are lost.
    pub fn close(&self, to: PeerAddress) {
        self.shared.table().close(to);
    }

    /// Whether there is an open connection to a peer.
    pub fn is_connected(&self, to: PeerAddress) -> bool {
        self.shared.table().is_connected(to)
    }

    /// When bytes last arrived from a peer; none if none ever did.
    pub fn last_received(&self, from: PeerAddress) -> Option<Instant> {
        self.shared.table().last_received(from)
    }

    /// How many connections were closed because of their input: bytes that are not a frame, a frame that is too large,
    /// or a greeting that is missing, repeated or from another process.
    pub fn protocol_violations(&self) -> u64 {
        self.shared.violations()
    }

    /// Stops listening. Open connections stay.
    pub fn stop_listening(&self) {
        self.shared.stop_accepting.notify_one();
    }
}

fn local_address(listener: &std::net::TcpListener) -> io::Result<SocketAddrV4> {
    match listener.local_addr()? {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(io::ErrorKind::Unsupported.into()),
    }
}
