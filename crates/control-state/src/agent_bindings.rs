//! Which agent each incarnation of a server is bound to.
//!
//! An agent serves one server at a time. So an incarnation that was bound to an agent has ended
//! once a later one is bound to the same agent. From that, owners infer the ends of runs that no
//! server reports any more.

use borsh::{BorshDeserialize, BorshSerialize};
use lupinrack_cluster_api::identity::{PeerAddress, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of stored bindings. The oldest are removed first; the ends of runs on those
/// servers are then inferred later, when their leases have expired.
pub const MAX_BINDINGS: usize = 20_000;

/// The agent of an incarnation of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AgentBinding {
    /// The agent on the server's machine.
    pub agent: PeerAddress,
    /// Increases with every recorded binding: of two incarnations with one agent, the later one has
    /// the higher number.
    pub order: u64,
}

/// The bindings of all known incarnations of servers.
///
/// Invariant: `recorded` is the highest `order` ever given, so no two bindings have the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AgentBindings {
    by_server: BTreeMap<ServerId, AgentBinding>,
    recorded: u64,
}

impl AgentBindings {
    /// The binding of an incarnation; none if it is unknown or was removed.
    pub fn get(&self, server: &ServerId) -> Option<&AgentBinding> {
        self.by_server.get(server)
    }

    /// All bindings, by incarnation.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &AgentBinding)> {
        self.by_server.iter()
    }

    /// The number of stored bindings.
    pub fn len(&self) -> usize {
        self.by_server.len()
    }

    /// How many bindings were ever recorded, which is the highest `order` of any binding.
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Whether no binding is stored.
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// Incarnations that were bound to the same agent before this one. They have ended.
    pub fn earlier_incarnations(&self, server: &ServerId) -> Vec<&ServerId> {
        let Some(own) = self.get(server) else {
            return Vec::new();
        };
        let is_earlier = |other: &AgentBinding| other.agent == own.agent && other.order < own.order;
        self.iter()
            .filter(|(_, binding)| is_earlier(binding))
            .map(|(id, _)| id)
            .collect()
    }

    /// Binds an incarnation to its agent. An existing binding is not changed.
    pub(crate) fn bind(
        &mut self,
        server: &ServerId,
        agent: PeerAddress,
        servers_in_use: impl FnOnce() -> BTreeSet<ServerId>,
    ) {
        if self.by_server.contains_key(server) {
            return;
        }
        self.forget_unused(&servers_in_use());
        self.recorded += 1;
        self.by_server.insert(
            server.clone(),
            AgentBinding {
                agent,
                order: self.recorded,
            },
        );
    }

    /// Removes incarnations that are neither the newest of their agent nor in use, and the oldest
    /// if there are still too many.
    fn forget_unused(&mut self, in_use: &BTreeSet<ServerId>) {
        let newest = self.newest_by_agent();
        self.by_server.retain(|server, binding| {
            newest.get(&binding.agent) == Some(&binding.order) || in_use.contains(server)
        });
        while self.by_server.len() >= MAX_BINDINGS {
            let oldest = self
                .iter()
                .min_by_key(|(_, binding)| binding.order)
                .map(|(server, _)| server.clone());
            let Some(oldest) = oldest else { return };
            self.by_server.remove(&oldest);
        }
    }

    /// The order of the newest binding to each agent.
    fn newest_by_agent(&self) -> BTreeMap<PeerAddress, u64> {
        let mut newest = BTreeMap::new();
        for binding in self.by_server.values() {
            let order: &mut u64 = newest.entry(binding.agent).or_default();
            *order = binding.order.max(*order);
        }
        newest
    }
}
