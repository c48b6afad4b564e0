//! Messages to agents.

use lupinrack_cluster_api::agent::OwnerMessage;
use lupinrack_cluster_api::identity::PeerAddress;

/// A message to an agent, and the connection to send it on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentOrder {
    /// The address of the agent.
    pub agent: PeerAddress,
    /// The connection of the agent's session.
    pub connection: u64,
    /// The message.
    pub message: OwnerMessage,
}
