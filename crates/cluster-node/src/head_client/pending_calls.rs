//! Unanswered calls to the head of the chain, as a state machine without I/O. It decides when each call is sent, sent
//! again or given up, and which reply belongs to which call.
//!
//! A reply belongs to a call if it has the call's complete identity, including the incarnation of this process, and
//! comes from a process to which that call was sent. Other replies are counted and ignored.
//!
//! The type of a call must be [`Idempotent`], since a call may be sent more than once:
//!
//! ```
//! use lupinrack_cluster_api::request::Request;
//! use lupinrack_cluster_node::head_client::pending_calls::PendingCalls;
//!
//! let calls = PendingCalls::<Request>::new(1);
//! assert!(calls.is_idle());
//! ```
//!
//! A query to one specific process is not idempotent:
//!
//! ```compile_fail,E0277
//! use lupinrack_cluster_api::request::ProcessQuery;
//! use lupinrack_cluster_node::head_client::pending_calls::PendingCalls;
//!
//! let calls = PendingCalls::<ProcessQuery>::new(1);
//! ```

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::identity::PeerAddress;
use lupinrack_cluster_api::request::{CallId, Idempotent, Reply};
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_api::view::View;
use std::collections::BTreeMap;

/// Delay before an unanswered call is sent again, in milliseconds.
const RESEND_AFTER_MS: u64 = 900;
/// Delay before a call is sent again after a process replied that it is not the head, in milliseconds.
const NOT_HEAD_RETRY_MS: u64 = 100;
/// Timeout after which a call is given up if no head is known, in milliseconds.
const NO_HEAD_TIMEOUT_MS: u64 = 800;

/// The latest attempt to send a call.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    to: PeerAddress,
    at: Millis,
}

#[derive(Clone, Debug)]
struct PendingCall<C> {
    call: C,
    began_at: Millis,
    deadline: Millis,
    last_attempt: Option<Attempt>,
    /// All processes to which the call was sent.
    recipients: Vec<PeerAddress>,
    attempts: u32,
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEffect<C> {
    /// Sends a call, for the first time or again.
    Send {
        /// The receiver.
        to: PeerAddress,
        /// The identity of the call.
        id: CallId,
        /// Milliseconds until the deadline of the call.
        remaining_ms: u64,
        /// The call.
        call: C,
    },
    /// Passes the reply to the caller. The call is closed.
    Finish {
        /// The number of the call.
        number: u64,
        /// The reply.
        reply: Reply,
    },
}

/// All open calls of one incarnation of a process.
#[derive(Clone, Debug)]
pub struct PendingCalls<C: Idempotent> {
    incarnation: u64,
    view: View,
    last_number: u64,
    open: BTreeMap<u64, PendingCall<C>>,
    unmatched_replies: u64,
}

impl<C: Idempotent + Clone> PendingCalls<C> {
    /// Starts without calls, in this incarnation of the process.
    pub fn new(incarnation: u64) -> PendingCalls<C> {
        PendingCalls {
            incarnation,
            view: View::default(),
            last_number: 0,
            open: BTreeMap::new(),
            unmatched_replies: 0,
        }
    }

    /// The newest known view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Number of open calls.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Whether no call is open.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Number of received replies that match no open call: late, duplicate or unsolicited ones.
    pub fn unmatched_replies(&self) -> u64 {
        self.unmatched_replies
    }

    /// Adopts a view if it is newer. If its head is another one, open calls are sent to it.
    pub fn learn_view(&mut self, view: &View, now: Millis) -> Vec<CallEffect<C>> {
        if view.number <= self.view.number {
            return Vec::new();
        }
        let before = self.head();
        self.view = view.clone();
        if self.head() == before {
            return Vec::new();
        }
        self.send_where(now, |_, _| true)
    }

    /// Begins a call that is given up at `deadline`. Returns its number.
    pub fn begin(&mut self, call: C, deadline: Millis, now: Millis) -> (u64, Vec<CallEffect<C>>) {
        self.last_number += 1;
        let number = self.last_number;
        let open = PendingCall {
            call,
            began_at: now,
            deadline,
            last_attempt: None,
            recipients: Vec::new(),
            attempts: 0,
        };
        self.open.insert(number, open);
        (number, self.send_where(now, |other, _| other == number))
    }

    /// Removes a call whose caller has gone.
    pub fn abandon(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Handles a reply.
    pub fn receive_reply(
        &mut self,
        from: PeerAddress,
        id: CallId,
        reply: Reply,
        now: Millis,
    ) -> Vec<CallEffect<C>> {
        if !self.is_awaited_from(from, id) {
            self.unmatched_replies += 1;
            return Vec::new();
        }
        match reply {
            Reply::NotHead(view) => self.redirected_by(from, id.number, &view, now),
            reply => self.finish(id.number, |call| final_reply(reply, call.attempts)),
        }
    }

    /// Handles the end of the connection to a process. Open calls that were last sent to it are sent again.
    pub fn disconnected(&mut self, peer: PeerAddress, now: Millis) -> Vec<CallEffect<C>> {
        self.send_where(now, |_, call| {
            call.last_attempt.is_some_and(|attempt| attempt.to == peer)
        })
    }

    /// Handles a tick of the timer: gives up expired calls and sends overdue ones again.
    pub fn tick(&mut self, now: Millis) -> Vec<CallEffect<C>> {
        let is_expired = |call: &PendingCall<C>| call.is_expired(now);
        let expired: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, call)| is_expired(call))
            .map(|(number, _)| *number)
            .collect();
        let mut effects: Vec<CallEffect<C>> = expired
            .into_iter()
            .flat_map(|number| self.finish(number, PendingCall::timeout_reply))
            .collect();
        let head = self.head();
        effects.extend(self.send_where(now, |_, call| call.is_overdue(head, now)));
        effects
    }

    fn head(&self) -> Option<PeerAddress> {
        self.view.address(self.view.head()?)
    }

    /// Whether this incarnation of the process has sent the open call with this identity to `from`.
    fn is_awaited_from(&self, from: PeerAddress, id: CallId) -> bool {
        let call = self
            .open
            .get(&id.number)
            .filter(|_| id.incarnation == self.incarnation);
        call.is_some_and(|call| call.recipients.contains(&from))
    }

    /// Handles the reply of a process that is not the head. It did not take the call, and may know a newer view.
    fn redirected_by(
        &mut self,
        from: PeerAddress,
        number: u64,
        view: &View,
        now: Millis,
    ) -> Vec<CallEffect<C>> {
        let retry_as_if_sent_at = Millis(now.0.saturating_sub(RESEND_AFTER_MS - NOT_HEAD_RETRY_MS));
        let attempt = self
            .open
            .get_mut(&number)
            .and_then(|call| call.last_attempt.as_mut());
        if let Some(attempt) = attempt.filter(|attempt| attempt.to == from) {
            attempt.at = retry_as_if_sent_at;
        }
        self.learn_view(view, now)
    }

    fn finish(
        &mut self,
        number: u64,
        reply: impl FnOnce(&PendingCall<C>) -> Reply,
    ) -> Vec<CallEffect<C>> {
        let call = self.open.remove(&number);
        call.map(|call| CallEffect::Finish {
            number,
            reply: reply(&call),
        })
        .into_iter()
        .collect()
    }

    fn send_where(
        &mut self,
        now: Millis,
        is_due: impl Fn(u64, &PendingCall<C>) -> bool,
    ) -> Vec<CallEffect<C>> {
        let Some(head) = self.head() else {
            return Vec::new();
        };
        let incarnation = self.incarnation;
        let due = self
            .open
            .iter_mut()
            .filter(|(number, call)| is_due(**number, call));
        due.map(|(number, call)| {
            call.send(
                head,
                CallId {
                    incarnation,
                    number: *number,
                },
                now,
            )
        })
        .collect()
    }
}

impl<C: Clone> PendingCall<C> {
    fn send(&mut self, to: PeerAddress, id: CallId, now: Millis) -> CallEffect<C> {
        self.last_attempt = Some(Attempt { to, at: now });
        self.attempts += 1;
        if !self.recipients.contains(&to) {
            self.recipients.push(to);
        }
        CallEffect::Send {
            to,
            id,
            remaining_ms: self.deadline.since(now),
            call: self.call.clone(),
        }
    }

    fn is_overdue(&self, head: Option<PeerAddress>, now: Millis) -> bool {
        match self.last_attempt {
            None => true,
            Some(attempt) => Some(attempt.to) != head || now.since(attempt.at) >= RESEND_AFTER_MS,
        }
    }

    fn is_expired(&self, now: Millis) -> bool {
        let no_head = self.last_attempt.is_none() && now.since(self.began_at) >= NO_HEAD_TIMEOUT_MS;
        now >= self.deadline || no_head
    }

    /// The reply to an expired call: *not taken* if it was never sent, and *in doubt* otherwise.
    fn timeout_reply(&self) -> Reply {
        let kind = if self.last_attempt.is_some() {
            ErrorKind::InDoubt
        } else {
            ErrorKind::NotTaken
        };
        Reply::Error(kind)
    }
}

/// The reply that the caller gets. A refusal is conclusive only for the attempt that it answers. If there were other
/// attempts, the outcome of the call is unknown.
fn final_reply(reply: Reply, attempts: u32) -> Reply {
    let refused = matches!(
        reply,
        Reply::Error(ErrorKind::NotTaken | ErrorKind::Overloaded | ErrorKind::ShuttingDown)
    );
    if refused && attempts > 1 {
        Reply::Error(ErrorKind::InDoubt)
    } else {
        reply
    }
}
