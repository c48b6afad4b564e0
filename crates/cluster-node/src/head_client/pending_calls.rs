//! Calls to the head of the chain that are not answered yet, as a state machine without I/O: when each is sent, sent
//! again or given up, and which answer belongs to which call.
//!
//! An answer belongs to a call if it names the call's whole identity, the life of this process included, and comes from a
//! process to which that call was sent. Whatever else comes is counted and changes nothing.
//!
//! Only calls whose type says that they are [`Idempotent`] can be kept here, since each may be sent more than once:
//!
//! ```
//! use lupinrack_cluster_api::request::Request;
//! use lupinrack_cluster_node::head_client::pending_calls::PendingCalls;
//!
//! let calls = PendingCalls::<Request>::new(1);
//! assert!(calls.is_idle());
//! ```
//!
//! A question to one certain process is not:
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

/// A call that was sent and not answered is sent again after this long, in milliseconds.
const RESEND_AFTER_MS: u64 = 900;
/// A call that reached a process which is not the head is sent again after this long, in milliseconds.
const NOT_HEAD_RETRY_MS: u64 = 100;
/// A call that finds no head is given up after this long, in milliseconds.
const NO_HEAD_TIMEOUT_MS: u64 = 800;

/// The newest sending of a call.
#[derive(Clone, Copy, Debug)]
struct Transmission {
    to: PeerAddress,
    at: Millis,
}

#[derive(Clone, Debug)]
struct PendingCall<C> {
    call: C,
    began: Millis,
    until: Millis,
    newest: Option<Transmission>,
    /// All processes to which it was sent.
    recipients: Vec<PeerAddress>,
    sends: u32,
}

/// What is to be done for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEffect<C> {
    /// Send it.
    Send {
        /// To whom.
        to: PeerAddress,
        /// Which call.
        id: CallId,
        /// Milliseconds that its caller still waits.
        remaining_ms: u64,
        /// The call.
        call: C,
    },
    /// Tell its caller; the call is over.
    Finish {
        /// The number of the call.
        number: u64,
        /// What came of it.
        reply: Reply,
    },
}

/// All open calls of one life of a process.
#[derive(Clone, Debug)]
pub struct PendingCalls<C: Idempotent> {
    incarnation: u64,
    view: View,
    last_number: u64,
    open: BTreeMap<u64, PendingCall<C>>,
    unmatched_replies: u64,
}

impl<C: Idempotent + Clone> PendingCalls<C> {
    /// No calls, in this life of the process.
    pub fn new(incarnation: u64) -> PendingCalls<C> {
        PendingCalls {
            incarnation,
            view: View::default(),
            last_number: 0,
            open: BTreeMap::new(),
            unmatched_replies: 0,
        }
    }

    /// The newest view known.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// How many calls are open.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Whether no call is open.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// How many answers came that belong to no open call: late, repeated, or never asked for.
    pub fn unmatched_replies(&self) -> u64 {
        self.unmatched_replies
    }

    /// Takes over a view if it is newer; calls that wait are sent to its head.
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

    /// Begins a call that is given up at `until`, and gives it its number.
    pub fn begin(&mut self, call: C, until: Millis, now: Millis) -> (u64, Vec<CallEffect<C>>) {
        self.last_number += 1;
        let number = self.last_number;
        let open = PendingCall {
            call,
            began: now,
            until,
            newest: None,
            recipients: Vec::new(),
            sends: 0,
        };
        self.open.insert(number, open);
        (number, self.send_where(now, |other, _| other == number))
    }

    /// Forgets a call whose caller has gone.
    pub fn abandon(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// An answer came.
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
            Reply::NotHead(view) => self.refused_by(from, id.number, &view, now),
            reply => self.finish(id.number, |call| final_reply(reply, call.sends)),
        }
    }

    /// A connection ended: what was sent there goes out again.
    pub fn disconnected(&mut self, peer: PeerAddress, now: Millis) -> Vec<CallEffect<C>> {
        self.send_where(now, |_, call| {
            call.newest.is_some_and(|newest| newest.to == peer)
        })
    }

    /// Gives up what is over and repeats what is overdue.
    pub fn tick(&mut self, now: Millis) -> Vec<CallEffect<C>> {
        let is_over = |call: &PendingCall<C>| call.is_over(now);
        let over: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, call)| is_over(call))
            .map(|(number, _)| *number)
            .collect();
        let mut effects: Vec<CallEffect<C>> = over
            .into_iter()
            .flat_map(|number| self.finish(number, |call| call.timeout_reply()))
            .collect();
        let head = self.head();
        effects.extend(self.send_where(now, |_, call| call.is_overdue(head, now)));
        effects
    }

    fn head(&self) -> Option<PeerAddress> {
        self.view.address(self.view.head()?)
    }

    /// Whether this life of the process has asked `from` that, and waits for an answer.
    fn is_awaited_from(&self, from: PeerAddress, id: CallId) -> bool {
        let call = self
            .open
            .get(&id.number)
            .filter(|_| id.incarnation == self.incarnation);
        call.is_some_and(|call| call.recipients.contains(&from))
    }

    /// A process that is not the head took nothing; it may know of a newer view.
    fn refused_by(
        &mut self,
        from: PeerAddress,
        number: u64,
        view: &View,
        now: Millis,
    ) -> Vec<CallEffect<C>> {
        let again_at = Millis(now.0.saturating_sub(RESEND_AFTER_MS - NOT_HEAD_RETRY_MS));
        let newest = self
            .open
            .get_mut(&number)
            .and_then(|call| call.newest.as_mut());
        if let Some(newest) = newest.filter(|newest| newest.to == from) {
            newest.at = again_at;
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
        which: impl Fn(u64, &PendingCall<C>) -> bool,
    ) -> Vec<CallEffect<C>> {
        let Some(head) = self.head() else {
            return Vec::new();
        };
        let incarnation = self.incarnation;
        let due = self
            .open
            .iter_mut()
            .filter(|(number, call)| which(**number, call));
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
        self.newest = Some(Transmission { to, at: now });
        self.sends += 1;
        if !self.recipients.contains(&to) {
            self.recipients.push(to);
        }
        CallEffect::Send {
            to,
            id,
            remaining_ms: self.until.since(now),
            call: self.call.clone(),
        }
    }

    fn is_overdue(&self, head: Option<PeerAddress>, now: Millis) -> bool {
        match self.newest {
            None => true,
            Some(newest) => Some(newest.to) != head || now.since(newest.at) >= RESEND_AFTER_MS,
        }
    }

    fn is_over(&self, now: Millis) -> bool {
        let no_head = self.newest.is_none() && now.since(self.began) >= NO_HEAD_TIMEOUT_MS;
        now >= self.until || no_head
    }

    /// *Not taken* where it was never handed to a connection, and *in doubt* otherwise.
    fn timeout_reply(&self) -> Reply {
        let kind = if self.newest.is_some() {
            ErrorKind::InDoubt
        } else {
            ErrorKind::NotTaken
        };
        Reply::Error(kind)
    }
}

/// A refusal speaks for the try that it answers; where there were others, the call as a whole is in doubt.
fn final_reply(reply: Reply, sends: u32) -> Reply {
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
