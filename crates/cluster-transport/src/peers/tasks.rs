//! The two tasks of a connection.

use super::codec::FrameReader;
use super::connection::Connection;
use super::{PeerEvent, Shared};
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use std::pin::pin;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;

/// What a peer's greeting says of all its frames.
#[derive(Clone, Copy)]
struct Identity {
    role: Role,
    incarnation: u64,
}

/// Takes frames out of a connection until it ends, and passes them on as events.
///
/// `hello` is the peer's greeting where it was read already; otherwise it has to be the first frame.
pub(super) async fn read(
    shared: Arc<Shared>,
    connection: Arc<Connection>,
    mut stream: OwnedReadHalf,
    mut frames: FrameReader,
    hello: Option<Hello>,
) {
    let mut closing = pin!(connection.closing());
    if !connection.is_closed() {
        let delivery = Delivery {
            shared: &shared,
            connection: &connection,
            identity: None,
        };
        tokio::select! {
            () = &mut closing => {}
            () = delivery.run(&mut stream, &mut frames, hello) => {}
        }
    }
    connection.close();
    shared.table().remove(&connection);
    let closed = PeerEvent::Closed {
        from: connection.peer,
        connection: connection.number,
        reset: connection.has_failed(),
    };
    // Nobody listens any more where this fails.
    let _ = shared.events.send(closed).await;
}

/// The way of one connection's frames to the receiver of events.
struct Delivery<'a> {
    shared: &'a Shared,
    connection: &'a Connection,
    identity: Option<Identity>,
}

impl Delivery<'_> {
    /// Reads and delivers until the stream ends, fails or breaks the protocol.
    async fn run(
        mut self,
        stream: &mut OwnedReadHalf,
        frames: &mut FrameReader,
        hello: Option<Hello>,
    ) {
        if let Some(hello) = hello {
            if !self.deliver(Frame::Hello(hello)).await {
                return;
            }
        }
        while self.deliver_all(frames).await {
            match frames.read(stream).await {
                Ok(0) if frames.is_between_frames() => return,
                Ok(0) | Err(_) => return self.connection.fail(),
                Ok(_) => self.connection.received(Instant::now()),
            }
        }
    }

    /// Delivers the frames that have come whole; false where the connection has to end.
    async fn deliver_all(&mut self, frames: &mut FrameReader) -> bool {
        loop {
            match frames.next() {
                Ok(Some(frame)) => {
                    if !self.deliver(frame).await {
                        return false;
                    }
                }
                Ok(None) => return true,
                Err(_) => {
                    self.shared.note_violation();
                    return false;
                }
            }
        }
    }

    /// Delivers a frame; false where it breaks the protocol or nobody takes events.
    async fn deliver(&mut self, frame: Frame) -> bool {
        let Some(identity) = self.identify(&frame) else {
            self.shared.note_violation();
            return false;
        };
        let event = PeerEvent::Frame {
            from: self.connection.peer,
            role: identity.role,
            incarnation: identity.incarnation,
            connection: self.connection.number,
            frame,
        };
        self.shared.events.send(event).await.is_ok()
    }

    /// Who sent a frame: the greeting comes first, once, and from the process that was meant.
    fn identify(&mut self, frame: &Frame) -> Option<Identity> {
        match (self.identity, frame) {
            (None, Frame::Hello(hello)) if hello.address == self.connection.peer => {
                self.connection.set_incarnation(hello.incarnation);
                self.shared
                    .table()
                    .close_other_incarnations(self.connection, hello.incarnation);
                self.identity = Some(Identity {
                    role: hello.role,
                    incarnation: hello.incarnation,
                });
                self.identity
            }
            (None, _) | (Some(_), Frame::Hello(_)) => None,
            (Some(identity), _) => Some(identity),
        }
    }
}

/// Writes what is queued on a connection until it closes, everything that waits in one call.
pub(super) async fn write(connection: Arc<Connection>, mut stream: OwnedWriteHalf) {
    let mut closing = pin!(connection.closing());
    let mut batch = Vec::new();
    while !connection.is_closed() {
        let filled = connection.take(&mut batch);
        let step = async {
            if filled {
                stream.write_all(&batch).await
            } else {
                connection.filled().await;
                Ok(())
            }
        };
        let result = tokio::select! {
            result = step => result,
            () = &mut closing => break,
        };
        if result.is_err() {
            // What the peer had sent before is still read; the reading task then closes the connection.
            return connection.refuse_writes();
        }
    }
}
