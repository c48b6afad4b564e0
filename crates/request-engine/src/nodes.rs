//! The node table: one [`NodeId`] for each instance name, its address, and when sends to it must stop.

use super::Clock;
use lupinrack_policy::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// Part of the drain grace (in tenths) after which a send that is still unwritten is dropped; the rest covers
/// the way to the node and a late turn.
const GRACE_TENTHS: Micros = 9;

/// How long a node that is gone is remembered; longer than any attempt to it lasts.
const FORGET: Micros = 60_000_000;

/// A node as discovery lists it, by name and address.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Its name everywhere, also after a restart.
    pub name: String,
    /// Where this front reaches it.
    pub address: SocketAddr,
    /// What it is doing.
    pub state: NodeState,
    /// Its zone.
    pub zone: Zone,
    /// The shard it holds.
    pub shard: Shard,
    /// When it last started, on the monotonic clock; none: long ago.
    pub started: Option<Micros>,
    /// Its size against that of others.
    pub size: f64,
}

/// What a front needs to reach a node.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its number.
    pub node: NodeId,
    /// Its name.
    pub name: Arc<str>,
    /// Its address on the platform's protocol.
    pub address: SocketAddr,
    /// From this reading on nothing new may be written to it; `Micros::MAX` while it serves.
    pub stop_at: watch::Receiver<Micros>,
}

impl Target {
    /// Ends once the node may be sent nothing new.
    pub async fn stopped(&self, clock: Clock) {
        let mut stop_at = self.stop_at.clone();
        loop {
            let at = *stop_at.borrow_and_update();
            tokio::select! {
                () = tokio::time::sleep_until(clock.instant(at)), if at != Micros::MAX => return,
                // Forgotten: what was told last holds.
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

struct Known {
    target: Target,
    stop: watch::Sender<Micros>,
    /// When it was told to be gone.
    gone: Option<Micros>,
}

/// The nodes named to this front, until they have been gone for a while.
#[derive(Default)]
pub(super) struct Nodes {
    ids: HashMap<Arc<str>, NodeId>,
    known: BTreeMap<NodeId, Known>,
    named: u32,
}

impl Nodes {
    /// Takes a list in and words it for the module.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        grace: Micros,
        kind: NodeListKind,
        list: Vec<Listing>,
    ) -> Vec<NodeEntry> {
        let until = now + grace * GRACE_TENTHS / 10;
        let mut listed = BTreeSet::new();
        let mut entries = Vec::with_capacity(list.len());
        for l in list {
            let node = self.place(&l);
            let Some(known) = self.known.get_mut(&node) else {
                continue;
            };
            listed.insert(node);
            known.target.address = l.address;
            match l.state {
                NodeState::Ready => known.stop(|_| Micros::MAX),
                _ => known.stop(|at| until.min(at)),
            }
            known.gone = (l.state == NodeState::Gone).then(|| known.gone.unwrap_or(now));
            let (state, zone, shard, started, size) = (l.state, l.zone, l.shard, l.started, l.size);
            entries.push(NodeEntry {
                node,
                state,
                zone,
                shard,
                started,
                weight: size,
            });
        }
        if kind != NodeListKind::Changes {
            for (_, known) in self
                .known
                .iter_mut()
                .filter(|(node, _)| !listed.contains(node))
            {
                known.stop(|at| until.min(at));
                known.gone = known.gone.or(Some(now));
            }
        }
        // Nodes come and go all day under ever new names.
        self.known
            .retain(|_, known| known.gone.is_none_or(|at| now - at < FORGET));
        self.ids.retain(|_, node| self.known.contains_key(node));
        entries
    }

    fn place(&mut self, l: &Listing) -> NodeId {
        if let Some(node) = self.ids.get(l.name.as_str()) {
            return *node;
        }
        let (node, name): (NodeId, Arc<str>) = (NodeId(self.named), l.name.as_str().into());
        self.named += 1;
        let (stop, stop_at) = watch::channel(Micros::MAX);
        self.ids.insert(name.clone(), node);
        let target = Target {
            node,
            name,
            address: l.address,
            stop_at,
        };
        self.known.insert(
            node,
            Known {
                target,
                stop,
                gone: None,
            },
        );
        node
    }

    pub(super) fn id(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    pub(super) fn target(&self, node: NodeId) -> Option<Target> {
        self.known.get(&node).map(|k| k.target.clone())
    }
}

impl Known {
    fn stop(&self, when: impl FnOnce(Micros) -> Micros) {
        self.stop.send_if_modified(|stop| {
            let at = when(*stop);
            std::mem::replace(stop, at) != at
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listing(name: String, state: NodeState) -> Listing {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        Listing {
            name,
            address,
            state,
            zone: Zone(0),
            shard: Shard(0),
            started: None,
            size: 1.0,
        }
    }

    #[test]
    fn a_day_of_replaced_nodes_leaves_no_names_behind() {
        let mut nodes = Nodes::default();
        let mut last = None;
        for day in 0..10_000 {
            let now = 1_000_000 * i64::from(day);
            let mut list = vec![listing(format!("s-{day}"), NodeState::Ready)];
            if day > 0 && day % 3 > 0 {
                list.push(listing(format!("s-{}", day - 1), NodeState::Gone));
            }
            let kind = if day % 3 == 0 {
                NodeListKind::Full
            } else {
                NodeListKind::Changes
            };
            let entries = nodes.apply(now, 1_000_000, kind, list);
            assert!(
                last.replace(entries[0].node) < Some(entries[0].node),
                "a number is never used again"
            );
            assert!(nodes.known.len() <= 64 && nodes.ids.len() == nodes.known.len());
        }
        assert!(nodes.target(last.unwrap()).is_some() && nodes.target(NodeId(0)).is_none());
    }
}
