//! The lease under which this process may act as the owner of shards.
//!
//! An owner acts only while its view is known to be in force. It asks the head at regular intervals, and the head
//! answers after a barrier through the chain. The authority lasts from the time of the request, on the owner's
//! monotonic clock.

use lupinrack_cluster_api::request::Reply;
use lupinrack_cluster_api::time::Millis;
use tokio::sync::oneshot::{self, error::TryRecvError};

/// How long an owner may act after it sent the last request that the head confirmed, in milliseconds.
pub const AUTHORITY_MS: u64 = 1_000;
/// Interval between requests to confirm this process's view, in milliseconds.
const CONFIRMATION_INTERVAL_MS: u64 = 300;

/// A request for confirmation that the head has not answered.
#[derive(Debug)]
struct PendingConfirmation {
    requested_at: Millis,
    view_number: u64,
    reply: oneshot::Receiver<Reply>,
}

/// The authority of this process in its view. A new process has none.
#[derive(Debug, Default)]
pub struct ShardAuthority {
    pending: Option<PendingConfirmation>,
    last_requested_at: Millis,
    until: Millis,
}

impl ShardAuthority {
    /// When the authority ends.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Whether to ask the head again. An unanswered request stays open while its answer can still extend the authority:
    /// if the head is slower than the interval, replacing the request each time would mean that none is ever answered.
    pub fn is_request_due(&self, now: Millis) -> bool {
        let interval_ms = if self.pending.is_some() {
            AUTHORITY_MS
        } else {
            CONFIRMATION_INTERVAL_MS
        };
        now.since(self.last_requested_at) >= interval_ms
    }

    /// Begins a request to confirm the view of this number. Returns the sender for its reply.
    pub fn begin_request(&mut self, view_number: u64, now: Millis) -> oneshot::Sender<Reply> {
        let (reply_to, reply) = oneshot::channel();
        self.last_requested_at = now;
        self.pending = Some(PendingConfirmation {
            requested_at: now,
            view_number,
            reply,
        });
        reply_to
    }

    /// Takes the head's reply, if it has arrived. Returns whether it extends the authority in the current view.
    pub fn poll(&mut self, current_view_number: u64) -> bool {
        let Some(pending) = &mut self.pending else {
            return false;
        };
        let reply = match pending.reply.try_recv() {
            Ok(reply) => reply,
            Err(TryRecvError::Empty) => return false,
            Err(TryRecvError::Closed) => {
                self.pending = None;
                return false;
            }
        };
        let is_confirmed = reply == Reply::Done && pending.view_number == current_view_number;
        if is_confirmed {
            self.until = pending.requested_at.plus(AUTHORITY_MS);
        }
        self.pending = None;
        is_confirmed
    }

    /// Ends the authority, since the view changed. A request to the head is due at once.
    pub fn revoke(&mut self) {
        *self = ShardAuthority::default();
    }
}
