//! A message to an agent, with its address.

use lupinrack_cluster_api::agent::OwnerMessage;
use lupinrack_cluster_api::identity::PeerAddress;

/// A message to an agent, and the connection that it is sent on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentOrder {
    /// The agent.
    pub agent: PeerAddress,
    /// The connection of its session.
    pub connection: u64,
    /// The message.
    pub message: OwnerMessage,
}
