//! Calls to the head that this process makes itself. Where it is the head, they do not go over the network.

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
    /// Calls that this process is to answer itself.
    to_self: VecDeque<PendingRequest>,
}

impl OwnCalls {
    /// No calls, in this incarnation of the process at this address.
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

    /// How many replies came that belong to no open call.
    pub(super) fn unmatched_replies(&self) -> u64 {
        self.client.unmatched_replies()
    }

    /// The next call that this process is to answer itself.
    pub(super) fn next_to_self(&mut self) -> Option<PendingRequest> {
        self.to_self.pop_front()
    }

    /// Begins a call that is given up at `until`.
    pub(super) fn begin(
        &mut self,
        request: Request,
        reply_to: oneshot::Sender<Reply>,
        until: Millis,
        now: Millis,
        outbox: &mut Outbox,
    ) {
        let outgoing = self.client.call(request, reply_to, until, now);
        self.send(outgoing, now, outbox);
    }

    /// A reply came.
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

    /// A newer view is adopted.
    pub(super) fn view_changed(&mut self, view: &View, now: Millis, outbox: &mut Outbox) {
        let outgoing = self.client.learn_view(view, now);
        self.send(outgoing, now, outbox);
    }

    /// A connection ended.
    pub(super) fn disconnected(&mut self, from: PeerAddress, now: Millis, outbox: &mut Outbox) {
        let outgoing = self.client.disconnected(from, now);
        self.send(outgoing, now, outbox);
    }

    /// Time has passed.
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
                        until: now.plus(remaining_ms),
                    };
                    self.to_self.push_back(PendingRequest { caller, request });
                }
                frame => outbox.send(to, frame),
            }
        }
    }
}
