//! Calls to the head of the chain, from any process: sent again to each new head until they are answered or given up.
//!
//! When a call is sent again, and which answer is its own, is for [`PendingCalls`] to say; here are the callers who wait.

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

/// Open calls of one process; further ones are refused.
const MAX_PENDING_CALLS: usize = 2_000;

/// Where a finished call's answer goes.
pub type ReplySender = oneshot::Sender<Reply>;

/// A frame to send.
#[derive(Debug)]
pub struct OutgoingFrame {
    /// To whom.
    pub to: PeerAddress,
    /// What.
    pub frame: Frame,
}

/// All open calls of this process, and who waits for them.
#[derive(Debug)]
pub struct HeadClient {
    calls: PendingCalls<Request>,
    /// By the numbers of their calls.
    reply_senders: BTreeMap<u64, ReplySender>,
}

impl HeadClient {
    /// No calls. `life` is drawn at random when the process begins, as in its greeting.
    pub fn new(incarnation: u64) -> HeadClient {
        HeadClient {
            calls: PendingCalls::new(incarnation),
            reply_senders: BTreeMap::new(),
        }
    }

    /// The newest view known.
    pub fn view(&self) -> &View {
        self.calls.view()
    }

    /// Whether no call is open.
    pub fn is_idle(&self) -> bool {
        self.calls.is_idle()
    }

    /// How many answers came that belong to no open call.
    pub fn unmatched_replies(&self) -> u64 {
        self.calls.unmatched_replies()
    }

    /// Takes over a view if it is newer; calls that wait are sent to its head.
    pub fn learn_view(&mut self, view: &View, now: Millis) -> Vec<OutgoingFrame> {
        let effects = self.calls.learn_view(view, now);
        self.carry_out(effects)
    }

    /// Begins a call that is given up at `until`.
    pub fn call(
        &mut self,
        request: Request,
        reply_to: ReplySender,
        until: Millis,
        now: Millis,
    ) -> Vec<OutgoingFrame> {
        if self.calls.open_count() >= MAX_PENDING_CALLS {
            // A caller that has gone needs no answer.
            let _ = reply_to.send(Reply::Error(ErrorKind::Overloaded));
            return Vec::new();
        }
        let (number, effects) = self.calls.begin(request, until, now);
        self.reply_senders.insert(number, reply_to);
        self.carry_out(effects)
    }

    /// An answer came from a process.
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

    /// A connection ended: what was sent there goes out again.
    pub fn disconnected(&mut self, peer: PeerAddress, now: Millis) -> Vec<OutgoingFrame> {
        let effects = self.calls.disconnected(peer, now);
        self.carry_out(effects)
    }

    /// Gives up what is over and repeats what is overdue.
    pub fn tick(&mut self, now: Millis) -> Vec<OutgoingFrame> {
        self.abandon_calls_of_the_gone();
        let effects = self.calls.tick(now);
        self.carry_out(effects)
    }

    fn abandon_calls_of_the_gone(&mut self) {
        let gone = |(_, reply_to): &(&u64, &ReplySender)| reply_to.is_closed();
        let gone: Vec<u64> = self
            .reply_senders
            .iter()
            .filter(gone)
            .map(|(number, _)| *number)
            .collect();
        for number in gone {
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
                    // A caller that has gone needs no answer.
                    let _ = reply_to.send(reply);
                }
                None
            }
        }
    }
}
