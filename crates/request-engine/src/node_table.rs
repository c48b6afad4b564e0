//! The node table: the number of each node name, its address, and when sends to it must stop.

use crate::clock::Clock;
use lupinrack_policy::{Micros, NodeEntry, NodeId, NodeListKind, NodeState, Shard, Zone};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// The part of the drain grace, in tenths, after which an attempt that has not been written is dropped. The rest covers the network
/// delay to the node and a late turn of the engine.
const GRACE_USED_TENTHS: Micros = 9;
/// How long a removed node stays in the table; longer than any attempt to it lasts.
const REMOVED_NODE_TTL_US: Micros = 60_000_000;

/// A node as discovery lists it, by name and address.
#[derive(Clone, Debug)]
pub struct NodeListing {
    /// Its name, the same after a restart.
    pub name: String,
    /// The address at which this front reaches it.
    pub address: SocketAddr,
    /// Whether it takes requests.
    pub state: NodeState,
    /// Its zone.
    pub zone: Zone,
    /// The shard that it stores.
    pub shard: Shard,
    /// When it last started, on the engine's clock; `None`: so long ago that it is not warming up.
    pub started: Option<Micros>,
    /// Its capacity relative to other nodes, without a unit.
    pub weight: f64,
}

/// The data that a front needs to send to a node.
#[derive(Clone, Debug)]
pub struct NodeTarget {
    /// Its number.
    pub node: NodeId,
    /// Its name.
    pub name: Arc<str>,
    /// Its address on the platform's protocol.
    pub address: SocketAddr,
    /// The clock reading from which on no new request may be written to it; `Micros::MAX` while it takes requests.
    pub stop_at: watch::Receiver<Micros>,
}

impl NodeTarget {
    /// Waits until no new request may be sent to the node.
    pub async fn stopped(&self, clock: Clock) {
        let mut stop_at = self.stop_at.clone();
        loop {
            let at = *stop_at.borrow_and_update();
            tokio::select! {
                () = tokio::time::sleep_until(clock.instant(at)), if at != Micros::MAX => return,
                // The table has dropped the node, so the last value is final.
                changed = stop_at.changed() => if changed.is_err() {
                    match at {
                        Micros::MAX => return std::future::pending().await,
                        at => return tokio::time::sleep_until(clock.instant(at)).await,
                    }
                },
            }
        }
    }
}

/// A node in the table.
struct KnownNode {
    target: NodeTarget,
    stop_at: watch::Sender<Micros>,
    /// When the list first omitted it or listed it as gone.
    removed_at: Option<Micros>,
}

impl KnownNode {
    fn set_stop_at(&self, stop_at: impl FnOnce(Micros) -> Micros) {
        self.stop_at.send_if_modified(|current| {
            let new = stop_at(*current);
            std::mem::replace(current, new) != new
        });
    }
}

/// The nodes that discovery listed. A removed node stays for [`REMOVED_NODE_TTL_US`].
pub(crate) struct NodeTable {
    drain_grace: Micros,
    ids: HashMap<Arc<str>, NodeId>,
    known: BTreeMap<NodeId, KnownNode>,
    next_id: u32,
}

impl NodeTable {
    /// An empty table. A draining node may get new requests for `drain_grace` after this front was notified that it drains.
    pub(crate) fn new(drain_grace: Micros) -> Self {
        NodeTable {
            drain_grace,
            ids: HashMap::new(),
            known: BTreeMap::new(),
            next_id: 0,
        }
    }

    pub(crate) fn set_drain_grace(&mut self, drain_grace: Micros) {
        self.drain_grace = drain_grace;
    }

    /// Applies an update of the list, and returns its entries in the form that the balancer takes.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        kind: NodeListKind,
        listings: Vec<NodeListing>,
    ) -> Vec<NodeEntry> {
        let stop_at = now + self.drain_grace * GRACE_USED_TENTHS / 10;
        let mut entries = Vec::with_capacity(listings.len());
        for listing in listings {
            entries.extend(self.update_node(now, stop_at, &listing));
        }
        if kind != NodeListKind::Changes {
            let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
            let absent = self
                .known
                .iter_mut()
                .filter(|(node, _)| !listed.contains(node));
            for (_, known) in absent {
                known.set_stop_at(|at| stop_at.min(at));
                known.removed_at = known.removed_at.or(Some(now));
            }
        }
        self.forget_removed(now);
        entries
    }

    fn update_node(
        &mut self,
        now: Micros,
        stop_at: Micros,
        listing: &NodeListing,
    ) -> Option<NodeEntry> {
        let node = self.id_or_insert(listing);
        let known = self.known.get_mut(&node)?;
        known.target.address = listing.address;
        known.set_stop_at(|at| match listing.state {
            NodeState::Ready => Micros::MAX,
            NodeState::Draining | NodeState::Gone => stop_at.min(at),
        });
        known.removed_at = match listing.state {
            NodeState::Gone => known.removed_at.or(Some(now)),
            NodeState::Ready | NodeState::Draining => None,
        };
        Some(NodeEntry {
            node,
            state: listing.state,
            zone: listing.zone,
            shard: listing.shard,
            started: listing.started,
            weight: listing.weight,
        })
    }

    fn id_or_insert(&mut self, listing: &NodeListing) -> NodeId {
        if let Some(node) = self.ids.get(listing.name.as_str()) {
            return *node;
        }
        let node = NodeId(self.next_id);
        self.next_id += 1;
        let name: Arc<str> = listing.name.as_str().into();
        let (sender, stop_at) = watch::channel(Micros::MAX);
        self.ids.insert(name.clone(), node);
        let known = KnownNode {
            target: NodeTarget {
                node,
                name,
                address: listing.address,
                stop_at,
            },
            stop_at: sender,
            removed_at: None,
        };
        self.known.insert(node, known);
        node
    }

    /// Drops nodes that were removed at least [`REMOVED_NODE_TTL_US`] ago. Replaced nodes return under new names, so that the table would
    /// otherwise grow without bound.
    fn forget_removed(&mut self, now: Micros) {
        self.known.retain(|_, known| {
            known
                .removed_at
                .is_none_or(|at| now - at < REMOVED_NODE_TTL_US)
        });
        self.ids.retain(|_, node| self.known.contains_key(node));
    }

    /// The number of the node of this name.
    pub(crate) fn id(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// The data needed to send to a node.
    pub(crate) fn target(&self, node: NodeId) -> Option<NodeTarget> {
        self.known.get(&node).map(|known| known.target.clone())
    }
}
