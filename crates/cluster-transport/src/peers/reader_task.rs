//! The task of a connection that reads.

use super::codec::FrameReader;
use super::connection::Connection;
use super::event::PeerEvent;
use super::shared::Shared;
use lupinrack_cluster_api::frame::{Frame, Hello, Role};
use std::pin::pin;
use std::sync::Arc;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;

/// Delivers the frames of a connection as events until it ends.
///
/// `hello` is the peer's greeting if it was read already; otherwise the first frame must be the greeting.
pub(super) async fn run(
    shared: Arc<Shared>,
    connection: Arc<Connection>,
    mut stream: OwnedReadHalf,
    mut frames: FrameReader,
    hello: Option<Hello>,
) {
    let mut closing = pin!(connection.closing());
    if !connection.is_closed() {
        let delivery = FrameDelivery {
            shared: &shared,
            connection: &connection,
            sender: None,
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
    // If this fails, nobody receives events any more.
    let _ = shared.events.send(closed).await;
}

/// The sender of all frames of a connection, from the peer's greeting.
#[derive(Clone, Copy)]
struct Sender {
    role: Role,
    incarnation: u64,
}

/// Whether a connection can continue after its latest input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Continue,
    /// It broke the protocol, or nobody receives events any more.
    End,
}

/// Delivers the frames of one connection to the receiver of events.
struct FrameDelivery<'a> {
    shared: &'a Shared,
    connection: &'a Connection,
    /// Known once the greeting has arrived.
    sender: Option<Sender>,
}

impl FrameDelivery<'_> {
    /// Reads and delivers until the stream ends, fails or breaks the protocol.
    async fn run(
        mut self,
        stream: &mut OwnedReadHalf,
        frames: &mut FrameReader,
        hello: Option<Hello>,
    ) {
        if let Some(hello) = hello {
            if self.deliver(Frame::Hello(hello)).await == Progress::End {
                return;
            }
        }
        while self.deliver_complete(frames).await == Progress::Continue {
            match frames.read(stream).await {
                Ok(0) if frames.is_between_frames() => return,
                Ok(0) | Err(_) => return self.connection.fail(),
                Ok(_) => self.connection.received(Instant::now()),
            }
        }
    }

    /// Delivers all frames that are complete.
    async fn deliver_complete(&mut self, frames: &mut FrameReader) -> Progress {
        loop {
            match frames.next() {
                Ok(Some(frame)) => {
                    if self.deliver(frame).await == Progress::End {
                        return Progress::End;
                    }
                }
                Ok(None) => return Progress::Continue,
                Err(_) => {
                    self.shared.count_violation();
                    return Progress::End;
                }
            }
        }
    }

    async fn deliver(&mut self, frame: Frame) -> Progress {
        let Some(sender) = self.sender_of(&frame) else {
            self.shared.count_violation();
            return Progress::End;
        };
        let event = PeerEvent::Frame {
            from: self.connection.peer,
            role: sender.role,
            incarnation: sender.incarnation,
            connection: self.connection.number,
            frame,
        };
        match self.shared.events.send(event).await {
            Ok(()) => Progress::Continue,
            Err(_) => Progress::End,
        }
    }

    /// The sender of a frame, unless the frame breaks the protocol: the greeting comes first, once, and from the
    /// process that the connection belongs to.
    fn sender_of(&mut self, frame: &Frame) -> Option<Sender> {
        match (self.sender, frame) {
            (None, Frame::Hello(hello)) if hello.address == self.connection.peer => {
                self.connection.set_incarnation(hello.incarnation);
                self.shared
                    .table()
                    .close_other_incarnations(self.connection, hello.incarnation);
                self.sender = Some(Sender {
                    role: hello.role,
                    incarnation: hello.incarnation,
                });
                self.sender
            }
            (None, _) | (Some(_), Frame::Hello(_)) => None,
            (Some(sender), _) => Some(sender),
        }
    }
}
