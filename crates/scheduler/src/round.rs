//! The decisions of a scheduling round.

use crate::agent_order::AgentOrder;
use crate::inferred_end::InferredEnd;
use crate::wait_report::WaitReport;
use lupinrack_cluster_api::operation::Operation;

/// The decisions of one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Operations to submit to the head of the chain, in this order.
    pub operations: Vec<Operation>,
    /// Messages to send to agents.
    pub messages: Vec<AgentOrder>,
    /// The ends among the operations that were inferred, not reported by servers.
    pub inferred_ends: Vec<InferredEnd>,
    /// Why tasks wait, if a report is due and some have waited for long.
    pub wait_report: Option<WaitReport>,
}
