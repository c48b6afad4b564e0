//! The actions that the balancer asks of its host.

use super::ids::{Micros, NodeId, RequestId};

/// An action that the embedder carries out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. It times out after `timeout`, or when the client gives up if that is
    /// `None`.
    Send {
        /// The request.
        request: RequestId,
        /// The node to send it to.
        node: NodeId,
        /// The attempt's timeout.
        timeout: Option<Micros>,
        /// The attempt must begin before this moment; otherwise it ends with
        /// [`Outcome::Expired`](super::Outcome::Expired).
        begin_by: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Final answer: rejected. A retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries; `None`: the client gets no such hint.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed. The request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Let a transfer in progress move the units that it requested.
    Grant {
        /// The request.
        request: RequestId,
    },
    /// Set a timer; [`Event::Timer`](super::Event::Timer) reports that it expired.
    SetTimer {
        /// When it expires.
        at: Micros,
        /// The number that the event carries.
        token: u32,
    },
    /// Check the health of a node.
    HealthCheck(NodeId),
    /// Subscribe to changes of the node list.
    Subscribe,
    /// Fetch the full node list once.
    FetchList,
    /// Write a line to the log.
    Log(String),
}
