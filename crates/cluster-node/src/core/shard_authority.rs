//! For how long this process may act as the owner of shards.
//!
//! An owner acts only while its view is known to rule. It asks the head now and then, which answers after a barrier
//! through the chain; its authority counts from the moment of the question, on its own steady clock.

use lupinrack_cluster_api::request::Reply;
use lupinrack_cluster_api::time::Millis;
use tokio::sync::oneshot;

/// How long an owner may act after it last asked whether its view rules, in milliseconds.
pub(super) const AUTHORITY_MS: u64 = 1_000;
/// Between two questions whether the own view rules, in milliseconds.
const CONFIRMATION_INTERVAL_MS: u64 = 300;

/// A question that the head has not answered.
#[derive(Debug)]
struct PendingConfirmation {
    requested_at: Millis,
    view_number: u64,
    reply: oneshot::Receiver<Reply>,
}

/// The authority of this process in its view.
#[derive(Debug)]
pub(super) struct ShardAuthority {
    pending: Option<PendingConfirmation>,
    last_requested_at: Millis,
    until: Millis,
}

impl ShardAuthority {
    /// None yet.
    pub(super) fn new() -> ShardAuthority {
        ShardAuthority {
            pending: None,
            last_requested_at: Millis(0),
            until: Millis(0),
        }
    }

    /// When the authority ends.
    pub(super) fn until(&self) -> Millis {
        self.until
    }

    /// Whether the head should be asked again.
    pub(super) fn is_request_due(&self, now: Millis) -> bool {
        now.since(self.last_requested_at) >= CONFIRMATION_INTERVAL_MS
    }

    /// Begins a question about the view of this number; returns where its answer goes.
    pub(super) fn begin_request(
        &mut self,
        view_number: u64,
        now: Millis,
    ) -> oneshot::Sender<Reply> {
        let (reply_to, reply) = oneshot::channel();
        self.last_requested_at = now;
        self.pending = Some(PendingConfirmation {
            requested_at: now,
            view_number,
            reply,
        });
        reply_to
    }

    /// Takes the head's answer, if it came; returns whether it extends the authority in the current view.
    pub(super) fn poll(&mut self, current_view_number: u64) -> bool {
        let Some(pending) = &mut self.pending else {
            return false;
        };
        let Ok(reply) = pending.reply.try_recv() else {
            return false;
        };
        let is_confirmed = reply == Reply::Done && pending.view_number == current_view_number;
        if is_confirmed {
            self.until = pending.requested_at.plus(AUTHORITY_MS);
        }
        self.pending = None;
        is_confirmed
    }

    /// The view changed: the authority of the old one is over, and the head is to be asked at once.
    pub(super) fn revoke(&mut self) {
        *self = ShardAuthority::new();
    }
}
