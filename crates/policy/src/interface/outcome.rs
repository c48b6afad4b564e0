//! How attempts and health checks end.

use super::ids::{Micros, NodeId, RequestId};

/// How an attempt or a health check ended, and whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node served it.
    Ok,
    /// The node answered with an error. It may have run.
    Error,
    /// The node had no capacity and rejected it without reading it. It did not run.
    Rejected,
    /// The node rejected it because the data is on another shard. It did not run. The request waits
    /// for [`Event::ShardChanged`](super::Event::ShardChanged).
    WrongShard,
    /// No answer came in time. It may have run, or may still be running.
    Timeout,
    /// No connection could be opened. It did not run.
    ConnectFailed,
    /// The connection broke. It may have run.
    Reset,
    /// It was cancelled. It may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// It was never sent, because the time before which it had to begin had passed.
    Expired,
}

impl Outcome {
    /// Whether the node itself answered.
    pub fn is_node_response(self) -> bool {
        matches!(
            self,
            Outcome::Ok | Outcome::Error | Outcome::Rejected | Outcome::WrongShard
        )
    }
}

/// What a node reports of its load. Reports are late and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it is working on.
    pub outstanding: Option<f64>,
    /// Requests in its queue.
    pub backlog: Option<f64>,
    /// The share of its processor in use, 0 to 1.
    pub utilization: Option<f64>,
    /// Its recent service time.
    pub service_time: Option<Micros>,
    /// Requests served a second.
    pub throughput: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Its request.
    pub request: RequestId,
    /// Its number among the request's attempts, from 0.
    pub attempt: u16,
    /// The node to which it was sent.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was in flight.
    pub elapsed: Micros,
    /// The request needs no final answer from the balancer.
    pub request_finished: bool,
    /// The volume's use everywhere in a past period, as a multiple of the plan's nominal rate. Not
    /// used by this policy.
    pub volume_usage: Option<f64>,
    /// Units that the node served for the volume through other hosts since its last answer here.
    /// Not used by this policy.
    pub units_through_other_hosts: f64,
    /// The node's load report, if one came. Not used by this policy.
    pub load: Option<LoadReport>,
}
