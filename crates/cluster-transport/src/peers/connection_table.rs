//! The table of connections: the connections to each peer, and the frames that wait for one.

use super::codec;
use super::connection::{Connection, PushError};
use super::pending_frames::PendingFrames;
use super::send_outcome::SendOutcome;
use super::settings::PeerSettings;
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::time::Instant;

/// The maximum number of replaced connections to a peer that are still read; beyond it the oldest one is closed.
const MAX_REPLACED_CONNECTIONS: usize = 2;

/// What is known of one peer.
#[derive(Default)]
struct Peer {
    /// Open connections, the oldest first; frames are sent on the last one.
    connections: Vec<Arc<Connection>>,
    /// When bytes last arrived on a connection that has ended.
    last_received: Option<Instant>,
    pending: PendingFrames,
    /// Whether a task is opening a connection.
    dialing: bool,
}

/// The result of sending a frame.
pub(super) struct SendResult {
    /// What happened to the frame.
    pub(super) outcome: SendOutcome,
    /// Whether the caller must open a connection now.
    pub(super) needs_dial: bool,
}

/// All peers and connections.
#[derive(Default)]
pub(super) struct ConnectionTable {
    peers: HashMap<PeerAddress, Peer>,
    connections_by_number: HashMap<u64, Arc<Connection>>,
    last_number: u64,
}

impl ConnectionTable {
    /// Queues a frame on the newest connection to a peer, or adds it to the pending frames.
    pub(super) fn send(
        &mut self,
        to: PeerAddress,
        frame: &Frame,
        settings: &PeerSettings,
    ) -> SendResult {
        let without_dial = |outcome| SendResult {
            outcome,
            needs_dial: false,
        };
        let peer = self.peers.entry(to).or_default();
        if let Some(outcome) = peer.push(frame, settings) {
            return without_dial(outcome);
        }
        let mut bytes = Vec::new();
        if codec::append(&mut bytes, frame).is_err() {
            return without_dial(SendOutcome::Dropped);
        }
        peer.pending.push(bytes, Instant::now(), settings);
        let was_dialing = std::mem::replace(&mut peer.dialing, true);
        SendResult {
            outcome: SendOutcome::Pending,
            needs_dial: !was_dialing,
        }
    }

    /// Queues a frame on the connection with this number; false if that is impossible.
    pub(super) fn send_on(&mut self, number: u64, frame: &Frame, settings: &PeerSettings) -> bool {
        self.connections_by_number
            .get(&number)
            .is_some_and(|connection| connection.push(frame, settings.max_unwritten_bytes).is_ok())
    }

    /// Adds a connection. `hello`, all pending frames of the peer and all later frames are sent on it.
    pub(super) fn open(
        &mut self,
        to: PeerAddress,
        hello: &Frame,
        settings: &PeerSettings,
    ) -> Arc<Connection> {
        self.last_number += 1;
        let connection = Arc::new(Connection::new(self.last_number, to));
        let peer = self.peers.entry(to).or_default();
        // A new connection accepts any frame, and this process's greeting is never too large.
        let _ = connection.push(hello, settings.max_unwritten_bytes);
        peer.pending.drop_expired(Instant::now(), settings);
        for bytes in peer.pending.take_all() {
            connection.push_encoded(&bytes);
        }
        peer.connections.push(connection.clone());
        if peer.connections.len() > MAX_REPLACED_CONNECTIONS + 1 {
            peer.connections[0].close();
        }
        self.connections_by_number
            .insert(connection.number, connection.clone());
        connection
    }

    /// Closes older connections to other incarnations of the peer's process.
    pub(super) fn close_other_incarnations(&self, connection: &Connection, incarnation: u64) {
        let Some(peer) = self.peers.get(&connection.peer) else {
            return;
        };
        for other in &peer.connections {
            if other.number < connection.number && other.is_of_other_incarnation(incarnation) {
                other.close();
            }
        }
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&mut self, connection: &Connection) {
        self.connections_by_number.remove(&connection.number);
        if let Some(peer) = self.peers.get_mut(&connection.peer) {
            peer.connections
                .retain(|other| other.number != connection.number);
            peer.last_received = peer.last_received.max(connection.last_received());
        }
    }

    /// Closes all connections to a peer.
    pub(super) fn close(&self, to: PeerAddress) {
        if let Some(peer) = self.peers.get(&to) {
            for connection in &peer.connections {
                connection.close();
            }
        }
    }

    /// Whether a frame to a peer can be sent at once.
    pub(super) fn is_connected(&self, to: PeerAddress) -> bool {
        self.peers
            .get(&to)
            .is_some_and(|peer| peer.newest().is_some())
    }

    /// When bytes last arrived from a peer.
    pub(super) fn last_received(&self, from: PeerAddress) -> Option<Instant> {
        let peer = self.peers.get(&from)?;
        let open = peer
            .connections
            .iter()
            .filter_map(|connection| connection.last_received());
        open.chain(peer.last_received).max()
    }

    /// Whether to try to connect again, which is so while frames wait. Otherwise the next frame starts new attempts.
    pub(super) fn continue_dialing(&mut self, to: PeerAddress, settings: &PeerSettings) -> bool {
        let peer = self.peers.entry(to).or_default();
        peer.pending.drop_expired(Instant::now(), settings);
        peer.dialing = !peer.pending.is_empty();
        peer.dialing
    }

    /// Records that a connection was opened.
    pub(super) fn dialing_ended(&mut self, to: PeerAddress) {
        self.peers.entry(to).or_default().dialing = false;
    }
}

impl Peer {
    /// The connection on which frames are sent.
    fn newest(&self) -> Option<&Arc<Connection>> {
        self.connections
            .iter()
            .rev()
            .find(|connection| !connection.is_closed())
    }

    /// Queues a frame on the newest connection; none if there is no connection.
    fn push(&self, frame: &Frame, settings: &PeerSettings) -> Option<SendOutcome> {
        let connection = self.newest()?;
        match connection.push(frame, settings.max_unwritten_bytes) {
            Ok(()) => Some(SendOutcome::Sent {
                connection: connection.number,
            }),
            Err(PushError::Overflow | PushError::Frame(_)) => Some(SendOutcome::Dropped),
            Err(PushError::Closed) => None,
        }
    }
}
