//! Calls over HTTP, of clients and of the operator, without HTTP.

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::request::{Reply, Request};
use lupinrack_cluster_node::control_api::HeadCall;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

/// A call under way.
#[derive(Debug)]
pub(crate) struct PendingCall {
    reply: oneshot::Receiver<Reply>,
    /// After this the caller waits no longer.
    deadline: u64,
}

/// What its caller sees of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// An answer with success.
    Success(Reply),
    /// A clear refusal of this try.
    Rejected(ErrorKind),
    /// A timeout, a lost connection, or an answer that says that the effect is not known.
    Indeterminate,
}

/// A call to be handed to a process, and what its caller keeps.
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
    /// What has come of it, once anything has.
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
