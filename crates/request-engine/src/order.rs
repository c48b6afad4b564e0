//! What the engine has the owner of a request do.

use crate::node_table::NodeTarget;
use crate::send_permit::SendPermit;
use lupinrack_policy::{Micros, Settings};
use std::time::Duration;

/// The most attempts of one request for which a queue of orders has room.
const ATTEMPTS_MOST: u32 = 1024;

/// An order to the owner of a request.
#[derive(Debug)]
pub enum Order {
    /// Start this attempt, and report its end exactly once.
    Send(Attempt),
    /// Stop waiting for the attempt of this number.
    Cancel(u16),
    /// Move the units that were requested.
    Grant,
    /// Final answer: rejected. The client may come back after the time given.
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
    /// From this reading on it must not begin: the quota that it draws on has expired, or nodes may have forgotten what it repeats.
    pub begin_by: Micros,
    /// The permit for sending it once.
    pub permit: SendPermit,
}

/// The length of a request's queue of orders under these settings. A `Send` and a `Cancel` for each attempt, one `Grant` at a time and
/// one final answer always have room.
pub(crate) fn order_queue_length(settings: &Settings) -> usize {
    2 * settings.max_attempts.clamp(1, ATTEMPTS_MOST) as usize + 3
}
