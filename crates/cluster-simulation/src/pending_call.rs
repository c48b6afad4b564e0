//! HTTP calls of clients and of the operator, simulated without HTTP.

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_cluster_node::control_api::HeadCall;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

/// A pending call.
#[derive(Debug)]
pub(crate) struct PendingCall {
    reply: oneshot::Receiver<Reply>,
    /// When the call times out.
    deadline: u64,
}

/// The outcome of a call as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A success answer.
    Success(Reply),
    /// A definite refusal of this attempt.
    Rejected(ErrorKind),
    /// A timeout, a lost connection, or an answer that leaves the effect unknown.
    Indeterminate,
}

/// Creates a call: the part that is passed to a process, and the part that the caller keeps.
pub(crate) fn call(request: Request, now: u64, wait_ms: u64) -> (HeadCall, PendingCall) {
    let (reply_to, reply) = oneshot::channel();
    let call = HeadCall {
        request,
        reply_to,
        remaining_ms: wait_ms,
    };
    (
        call,
        PendingCall {
            reply,
            deadline: now + wait_ms + 250,
        },
    )
}

impl PendingCall {
    /// The outcome, once there is one.
    pub(crate) fn outcome(&mut self, now: u64) -> Option<Outcome> {
        match self.reply.try_recv() {
            Ok(reply) => Some(outcome_of(reply)),
            Err(TryRecvError::Closed) => Some(Outcome::Indeterminate),
            Err(TryRecvError::Empty) => (now >= self.deadline).then_some(Outcome::Indeterminate),
        }
    }
}

fn outcome_of(reply: Reply) -> Outcome {
    match reply {
        Reply::Error(ErrorKind::InDoubt) | Reply::NotHead(_) => Outcome::Indeterminate,
        Reply::Error(kind) => Outcome::Rejected(kind),
        reply => Outcome::Success(reply),
    }
}
