//! What a round of the scheduler decides.

use crate::agent_order::AgentOrder;
use crate::inferred_end::InferredEnd;
use lupinrack_cluster_api::operation::Operation;

/// The decisions of one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Operations that are to be submitted to the head of the chain, in this order.
    pub operations: Vec<Operation>,
    /// Messages that are to be sent to agents.
    pub messages: Vec<AgentOrder>,
    /// Ends among the operations that were not reported by servers.
    pub inferred_ends: Vec<InferredEnd>,
}
