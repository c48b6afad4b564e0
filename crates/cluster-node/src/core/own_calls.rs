//! Calls that this process itself makes to the head. If it is the head, they do not go over the network.

use super::outbox::Outbox;
use super::pending_requests::{Caller, PendingRequest};
use crate::head_client::{HeadClient, OutgoingFrame};
use lupinrack_cluster_api::frame::Frame;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::{CallId, Reply, Request};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use std::collections::VecDeque;
use tokio::sync::oneshot;

/// The calls of this process.
#[derive(Debug)]
pub(super) struct OwnCalls {
    me: PeerAddress,
    client: HeadClient,
    /// Calls that this process answers itself, as the head.
    to_self: VecDeque<PendingRequest>,
}

impl OwnCalls {
    /// Starts without calls, in this incarnation of the process at this address.
    pub(super) fn new(me: PeerAddress, incarnation: u64) -> OwnCalls {
        OwnCalls {
            me,
            client: HeadClient::new(incarnation),
            to_self: VecDeque::new(),
        }
    }

    /// Whether no call is open.
    pub(super) fn is_idle(&self) -> bool {
        self.client.is_idle()
    }

    /// Number of received replies that match no open call.
    pub(super) fn unmatched_replies(&self) -> u64 {
        self.client.unmatched_replies()
    }

    /// Takes the next call that this process answers itself.
    pub(super) fn next_to_self(&mut self) -> Option<PendingRequest> {
        self.to_self.pop_front()
    }

    /// Begins a call that is given up at `deadline`.
    pub(super) fn begin(
        &mut self,
        request: Request,
        reply_to: oneshot::Sender<Reply>,
        deadline: Millis,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        let outgoing = self.client.call(request, reply_to, deadline, now);
        self.send(outgoing, now, outbox);
    }

    /// Handles a reply.
    pub(super) fn receive_reply(
        &mut self,
        from: PeerAddress,
        id: CallId,
        reply: Reply,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        let outgoing = self.client.receive_reply(from, id, reply, now);
        self.send(outgoing, now, outbox);
    }

    /// Handles the adoption of a newer view.
    pub(super) fn view_changed(&mut self, view: &View, now: Millis, outbox: &mut Outbox) {
        let outgoing = self.client.learn_view(view, now);
        self.send(outgoing, now, outbox);
    }

    /// Handles the end of a connection.
    pub(super) fn disconnected(&mut self, from: PeerAddress, now: Millis, outbox: &mut Outbox) {
        let outgoing = self.client.disconnected(from, now);
        self.send(outgoing, now, outbox);
    }

    /// Handles a tick of the timer.
    pub(super) fn tick(&mut self, now: Millis, outbox: &mut Outbox) {
        let outgoing = self.client.tick(now);
        self.send(outgoing, now, outbox);
    }

    fn send(&mut self, outgoing: Vec<OutgoingFrame>, now: Millis, outbox: &mut Outbox) {
        for OutgoingFrame { to, frame } in outgoing {
            match frame {
                Frame::Request {
                    id,
                    remaining_ms,
                    request,
                } if to == self.me => {
                    let caller = Caller {
                        from: to,
                        connection: None,
                        id,
                        deadline: now.plus(remaining_ms),
                    };
                    self.to_self.push_back(PendingRequest { caller, request });
                }
                frame => outbox.send(to, frame),
            }
        }
    }
}
