//! Which connections there are to which peer, and what waits for one.

use super::connection::{Connection, PushError};
use super::settings::PeerSettings;
use super::waiting::WaitingFrames;
use super::{codec, SendOutcome};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::time::Instant;

/// How many replaced connections to a peer are still read; the oldest one beyond is closed.
const REPLACED_MOST: usize = 2;

/// What is known of one peer.
#[derive(Default)]
struct Peer {
    /// Open connections, oldest first; frames are sent on the last one.
    connections: Vec<Arc<Connection>>,
    /// When bytes came in last on a connection that is gone.
    last_received: Option<Instant>,
    waiting: WaitingFrames,
    dialing: bool,
}

/// What to do after a frame was handed over.
pub(super) struct Handed {
    /// What became of the frame.
    pub(super) outcome: SendOutcome,
    /// Whether a connection has to be opened now.
    pub(super) dial: bool,
}

/// All peers and connections.
#[derive(Default)]
pub(super) struct Table {
    peers: HashMap<PeerAddress, Peer>,
    numbers: HashMap<u64, Arc<Connection>>,
    last_number: u64,
}

impl Table {
    /// Hands a frame to the newest connection to a peer, or lets it wait for one.
    pub(super) fn send(
        &mut self,
        to: PeerAddress,
        frame: &Frame,
        settings: &PeerSettings,
    ) -> Handed {
        let peer = self.peers.entry(to).or_default();
        if let Some(outcome) = peer.push(frame, settings) {
            return Handed {
                outcome,
                dial: false,
            };
        }
        let mut bytes = Vec::new();
        if codec::append(&mut bytes, frame).is_err() {
            return Handed {
                outcome: SendOutcome::Dropped,
                dial: false,
            };
        }
        peer.waiting.push(bytes, Instant::now(), settings);
        let dial = !std::mem::replace(&mut peer.dialing, true);
        Handed {
            outcome: SendOutcome::Waiting,
            dial,
        }
    }

    /// Hands a frame to one certain connection.
    pub(super) fn send_on(&mut self, number: u64, frame: &Frame, settings: &PeerSettings) -> bool {
        let connection = self.numbers.get(&number);
        connection
            .is_some_and(|connection| connection.push(frame, settings.outgoing_bytes_most).is_ok())
    }

    /// Adds a connection on which `hello` and all that waits for the peer are sent, and from now on all else.
    pub(super) fn open(
        &mut self,
        to: PeerAddress,
        hello: &Frame,
        settings: &PeerSettings,
    ) -> Arc<Connection> {
        self.last_number += 1;
        let connection = Arc::new(Connection::new(self.last_number, to));
        let peer = self.peers.entry(to).or_default();
        // A connection that is new takes any frame, and the own greeting is never too large.
        let _ = connection.push(hello, settings.outgoing_bytes_most);
        peer.waiting.drop_expired(Instant::now(), settings);
        for bytes in peer.waiting.take() {
            connection.push_encoded(&bytes);
        }
        peer.connections.push(connection.clone());
        if peer.connections.len() > REPLACED_MOST + 1 {
            peer.connections[0].close();
        }
        self.numbers.insert(connection.number, connection.clone());
        connection
    }

    /// Closes older connections to former lives of the peer's process.
    pub(super) fn close_other_incarnations(&self, connection: &Connection, incarnation: u64) {
        let Some(peer) = self.peers.get(&connection.peer) else {
            return;
        };
        let older = peer
            .connections
            .iter()
            .filter(|other| other.number < connection.number);
        older
            .filter(|other| other.is_of_other_incarnation(incarnation))
            .for_each(|other| other.close());
    }

    /// Forgets a connection that has ended.
    pub(super) fn remove(&mut self, connection: &Connection) {
        self.numbers.remove(&connection.number);
        if let Some(peer) = self.peers.get_mut(&connection.peer) {
            peer.connections
                .retain(|other| other.number != connection.number);
            peer.last_received = peer.last_received.max(connection.last_received());
        }
    }

    /// Closes all connections to a peer.
    pub(super) fn close(&self, to: PeerAddress) {
        let connections = self
            .peers
            .get(&to)
            .map(|peer| peer.connections.as_slice())
            .unwrap_or_default();
        connections.iter().for_each(|connection| connection.close());
    }

    /// Whether frames to a peer go out at once.
    pub(super) fn is_connected(&self, to: PeerAddress) -> bool {
        self.peers
            .get(&to)
            .is_some_and(|peer| peer.newest().is_some())
    }

    /// When bytes came in last from a peer.
    pub(super) fn last_received(&self, from: PeerAddress) -> Option<Instant> {
        let peer = self.peers.get(&from)?;
        let open = peer
            .connections
            .iter()
            .filter_map(|connection| connection.last_received());
        open.chain(peer.last_received).max()
    }

    /// Whether to try again to open a connection: while frames wait. Otherwise the next frame begins anew.
    pub(super) fn dial_again(&mut self, to: PeerAddress, settings: &PeerSettings) -> bool {
        let peer = self.peers.entry(to).or_default();
        peer.waiting.drop_expired(Instant::now(), settings);
        peer.dialing = !peer.waiting.is_empty();
        peer.dialing
    }

    /// Notes that opening a connection has come to an end.
    pub(super) fn dialed(&mut self, to: PeerAddress) {
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

    /// Hands a frame to the newest connection; none where there is no connection.
    fn push(&self, frame: &Frame, settings: &PeerSettings) -> Option<SendOutcome> {
        let connection = self.newest()?;
        match connection.push(frame, settings.outgoing_bytes_most) {
            Ok(()) => Some(SendOutcome::Sent {
                connection: connection.number,
            }),
            Err(PushError::Overflow | PushError::Frame(_)) => Some(SendOutcome::Dropped),
            Err(PushError::Closed) => None,
        }
    }
}
