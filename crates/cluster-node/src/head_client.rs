//! Calls to the head of the chain, from any process: sent again to each new head until they are answered or given up.
//!
//! Every call may be repeated safely: operations on jobs and configurations are idempotent. What is given up is
//! *not taken* where it was never handed to a connection, and *in doubt* otherwise.

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use lupinrack_cluster_api::wire::Frame;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// A call that was sent and not answered is sent again after this long, in milliseconds.
const RESEND_AFTER_MS: u64 = 900;
/// A call that reached a process which is not the head is sent again after this long, in milliseconds.
const NOT_HEAD_PAUSE_MS: u64 = 100;
/// A call that finds no head is given up after this long, in milliseconds.
const NO_HEAD_MS: u64 = 800;
/// Open calls of one process; further ones are refused.
const OPEN_CALLS_MOST: usize = 2_000;

/// Where a finished call's answer goes.
pub type Answerer = oneshot::Sender<Reply>;

#[derive(Debug)]
struct OpenCall {
    request: Request,
    answerer: Answerer,
    began: Millis,
    until: Millis,
    sent: Option<(PeerAddress, Millis)>,
    sends: u32,
}

/// A frame to send.
#[derive(Debug)]
pub struct Outgoing {
    /// To whom.
    pub to: PeerAddress,
    /// What.
    pub frame: Frame,
}

/// All open calls of this process.
#[derive(Debug, Default)]
pub struct HeadClient {
    view: View,
    next_id: u64,
    open: BTreeMap<u64, OpenCall>,
}

impl HeadClient {
    /// The newest view known.
    pub fn view(&self) -> &View {
        &self.view
    }

    fn head(&self) -> Option<PeerAddress> {
        self.view.address(self.view.head()?)
    }

    /// Takes over a view if it is newer; calls that wait are sent to its head.
    pub fn learn(&mut self, view: &View, now: Millis) -> Vec<Outgoing> {
        if view.number <= self.view.number {
            return Vec::new();
        }
        let before = self.head();
        self.view = view.clone();
        if self.head() == before {
            return Vec::new();
        }
        self.send_where(now, |_| true)
    }

    /// Begins a call that is given up at `until`.
    pub fn call(
        &mut self,
        request: Request,
        answerer: Answerer,
        until: Millis,
        now: Millis,
    ) -> Vec<Outgoing> {
        if self.open.len() >= OPEN_CALLS_MOST {
            // A caller that has gone needs no answer.
            let _ = answerer.send(Reply::Error(ErrorKind::Overloaded));
            return Vec::new();
        }
        self.next_id += 1;
        let id = self.next_id;
        self.open.insert(id, OpenCall { request, answerer, began: now, until, sent: None, sends: 0 });
        self.send_where(now, |open| open == id)
    }

    /// An answer came.
    pub fn answered(&mut self, id: u64, reply: Reply, now: Millis) -> Vec<Outgoing> {
        match reply {
            Reply::NotHead(view) => {
                let newer = view.number > self.view.number;
                if let Some(call) = self.open.get_mut(&id) {
                    let again_at = Millis(now.0.saturating_sub(RESEND_AFTER_MS - NOT_HEAD_PAUSE_MS));
                    call.sent = call.sent.map(|(to, _)| (to, again_at));
                }
                if newer {
                    self.learn(&view, now)
                } else {
                    Vec::new()
                }
            }
            reply => {
                if let Some(call) = self.open.remove(&id) {
                    let certain = Self::certain(reply, call.sends);
                    let _ = call.answerer.send(certain);
                }
                Vec::new()
            }
        }
    }

    /// A refusal speaks for the try that it answers; where there were others, the call as a whole is in doubt.
    fn certain(reply: Reply, sends: u32) -> Reply {
        let refused = matches!(
            reply,
            Reply::Error(ErrorKind::NotTaken | ErrorKind::Overloaded | ErrorKind::ShuttingDown)
        );
        if refused && sends > 1 {
            Reply::Error(ErrorKind::InDoubt)
        } else {
            reply
        }
    }

    /// A connection ended: what was sent there goes out again.
    pub fn closed(&mut self, peer: PeerAddress, now: Millis) -> Vec<Outgoing> {
        let sent_there: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, call)| call.sent.is_some_and(|(to, _)| to == peer))
            .map(|(id, _)| *id)
            .collect();
        self.send_where(now, |id| sent_there.binary_search(&id).is_ok())
    }

    /// Gives up what is over and repeats what is overdue.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        let over: Vec<u64> =
            self.open.iter().filter(|(_, call)| Self::is_over(call, now)).map(|(id, _)| *id).collect();
        for id in over {
            self.give_up(id);
        }
        let head = self.head();
        let overdue: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, call)| match call.sent {
                None => true,
                Some((to, at)) => Some(to) != head || now.since(at) >= RESEND_AFTER_MS,
            })
            .map(|(id, _)| *id)
            .collect();
        self.send_where(now, |id| overdue.binary_search(&id).is_ok())
    }

    /// Whether any call is open.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    fn is_over(call: &OpenCall, now: Millis) -> bool {
        let no_head = call.sent.is_none() && now.since(call.began) >= NO_HEAD_MS;
        now >= call.until || no_head || call.answerer.is_closed()
    }

    fn give_up(&mut self, id: u64) {
        let Some(call) = self.open.remove(&id) else {
            return;
        };
        let kind = if call.sent.is_some() { ErrorKind::InDoubt } else { ErrorKind::NotTaken };
        let _ = call.answerer.send(Reply::Error(kind));
    }

    fn send_where(&mut self, now: Millis, which: impl Fn(u64) -> bool) -> Vec<Outgoing> {
        let Some(head) = self.head() else {
            return Vec::new();
        };
        let mut outgoing = Vec::new();
        for (id, call) in &mut self.open {
            if !which(*id) {
                continue;
            }
            call.sent = Some((head, now));
            call.sends += 1;
            let frame = Frame::Request {
                id: *id,
                remaining_ms: call.until.since(now),
                request: call.request.clone(),
            };
            outgoing.push(Outgoing { to: head, frame });
        }
        outgoing
    }
}
