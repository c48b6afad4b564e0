//! The orders of the engine to the owner of a request.

use crate::node_table::NodeTarget;
use crate::send_permit::SendPermit;
use lupinrack_policy::{Micros, Settings};
use std::time::Duration;

/// The largest number of attempts for which a request's queue of orders has capacity.
const MAX_ATTEMPTS: u32 = 1024;

/// An order to the owner of a request.
#[derive(Debug)]
pub enum Order {
    /// Start this attempt, and report its end exactly once.
    Send(Attempt),
    /// Stop waiting for the attempt of this number.
    Cancel(u16),
    /// Move the units that were requested.
    Grant,
    /// Final answer: rejected. The client may retry after the time given.
    Reject(Option<Duration>),
    /// Final answer: failed.
    Fail,
}

/// An attempt to be made.
#[derive(Debug)]
pub struct Attempt {
    /// Its number among the request's attempts, from 0.
    pub number: u16,
    /// The node to send it to.
    pub target: NodeTarget,
    /// When to stop waiting for its answer.
    pub timeout_at: Micros,
    /// The clock reading from which on it must not start: the quota that it draws on has expired, or nodes may have forgotten the
    /// request that it retries.
    pub begin_by: Micros,
    /// The permit to send it once.
    pub permit: SendPermit,
}

/// The length of a request's queue of orders under these settings. A `Send` and a `Cancel` for each attempt, one `Grant` at a time and
/// one final answer always fit.
pub(crate) fn order_queue_length(settings: &Settings) -> usize {
    2 * settings.max_attempts.clamp(1, MAX_ATTEMPTS) as usize + 3
}
