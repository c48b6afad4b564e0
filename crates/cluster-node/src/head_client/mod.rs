//! Calls to the head of the chain, from any process. Each call is sent again to each new head until it is answered or
//! given up.
//!
//! [`PendingCalls`] decides when a call is sent again and which reply belongs to it. [`HeadClient`] keeps the senders
//! by which the callers get their replies.

pub mod pending_calls;

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::{CallId, Reply, Request};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use pending_calls::{CallEffect, PendingCalls};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Limit on the open calls of one process. Further ones are refused.
const MAX_PENDING_CALLS: usize = 2_000;

/// Sends the reply of a finished call to its caller.
pub type ReplySender = oneshot::Sender<Reply>;

/// A frame to send.
#[derive(Debug)]
pub struct OutgoingFrame {
    /// The receiver.
    pub to: PeerAddress,
    /// The frame.
    pub frame: Frame,
}

/// All open calls of this process, and the senders for their replies.
#[derive(Debug)]
pub struct HeadClient {
    calls: PendingCalls<Request>,
    /// The reply senders, by the numbers of their calls.
    reply_senders: BTreeMap<u64, ReplySender>,
}

impl HeadClient {
    /// Starts without calls. The incarnation is the one in the process's `Hello`, drawn at random at its start.
    pub fn new(incarnation: u64) -> HeadClient {
        HeadClient {
            calls: PendingCalls::new(incarnation),
            reply_senders: BTreeMap::new(),
        }
    }

    /// The newest known view.
    pub fn view(&self) -> &View {
        self.calls.view()
    }

    /// Whether no call is open.
    pub fn is_idle(&self) -> bool {
        self.calls.is_idle()
    }

    /// Number of received replies that match no open call.
    pub fn unmatched_replies(&self) -> u64 {
        self.calls.unmatched_replies()
    }

    /// Adopts a view if it is newer. If its head is another one, open calls are sent to it.
    pub fn learn_view(&mut self, view: &View, now: Millis) -> Vec<OutgoingFrame> {
        let effects = self.calls.learn_view(view, now);
        self.carry_out(effects)
    }

    /// Begins a call that is given up at `deadline`.
    pub fn call(
        &mut self,
        request: Request,
        reply_to: ReplySender,
        deadline: Millis,
        now: Millis,
    ) -> Vec<OutgoingFrame> {
        if self.calls.open_count() >= MAX_PENDING_CALLS {
            // Sending fails if the caller has gone. The reply is then dropped.
            let _ = reply_to.send(Reply::Error(ErrorKind::Overloaded));
            return Vec::new();
        }
        let (number, effects) = self.calls.begin(request, deadline, now);
        self.reply_senders.insert(number, reply_to);
        self.carry_out(effects)
    }

    /// Handles a reply from a process.
    pub fn receive_reply(
        &mut self,
        from: PeerAddress,
        id: CallId,
        reply: Reply,
        now: Millis,
    ) -> Vec<OutgoingFrame> {
        let effects = self.calls.receive_reply(from, id, reply, now);
        self.carry_out(effects)
    }

    /// Handles the end of the connection to a process. Open calls that were last sent to it are sent again.
    pub fn disconnected(&mut self, peer: PeerAddress, now: Millis) -> Vec<OutgoingFrame> {
        let effects = self.calls.disconnected(peer, now);
        self.carry_out(effects)
    }

    /// Handles a tick of the timer: gives up expired calls and sends overdue ones again.
    pub fn tick(&mut self, now: Millis) -> Vec<OutgoingFrame> {
        self.abandon_closed_calls();
        let effects = self.calls.tick(now);
        self.carry_out(effects)
    }

    fn abandon_closed_calls(&mut self) {
        let is_closed = |(_, reply_to): &(&u64, &ReplySender)| reply_to.is_closed();
        let closed: Vec<u64> = self
            .reply_senders
            .iter()
            .filter(is_closed)
            .map(|(number, _)| *number)
            .collect();
        for number in closed {
            self.reply_senders.remove(&number);
            self.calls.abandon(number);
        }
    }

    fn carry_out(&mut self, effects: Vec<CallEffect<Request>>) -> Vec<OutgoingFrame> {
        effects
            .into_iter()
            .filter_map(|effect| self.outgoing(effect))
            .collect()
    }

    fn outgoing(&mut self, effect: CallEffect<Request>) -> Option<OutgoingFrame> {
        match effect {
            CallEffect::Send {
                to,
                id,
                remaining_ms,
                call,
            } => Some(OutgoingFrame {
                to,
                frame: Frame::Request {
                    id,
                    remaining_ms,
                    request: call,
                },
            }),
            CallEffect::Finish { number, reply } => {
                if let Some(reply_to) = self.reply_senders.remove(&number) {
                    // Sending fails if the caller has gone. The reply is then dropped.
                    let _ = reply_to.send(reply);
                }
                None
            }
        }
    }
}
