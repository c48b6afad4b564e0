//! The record of a finished request, for flow export.

use lupinrack_policy::{Micros, Request};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowEnd {
    /// The client got a complete answer.
    Served,
    /// It was rejected.
    Rejected,
    /// It failed.
    Failed,
    /// The client disconnected first.
    ClientGone,
}

/// A finished request or transfer.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The request as it was opened.
    pub request: Request,
    /// When it was opened.
    pub opened: Micros,
    /// When it ended for its client.
    pub ended: Micros,
    /// The units that it was granted in total.
    pub units: f64,
    /// The bytes forwarded to the client.
    pub bytes: u64,
    /// The number of attempts sent.
    pub attempts: u16,
    /// How it ended.
    pub end: FlowEnd,
}
